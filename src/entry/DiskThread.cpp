#include "entry/DiskThread.h"

namespace siskinshunt {

DiskThread::DiskThread()
    : m_thread([this] { run(); })
{
}

DiskThread::~DiskThread()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void DiskThread::post(std::function<void()> work)
{
    {
        const std::lock_guard lock(m_mutex);
        m_work.push_back(std::move(work));
    }
    m_wake.notify_one();
}

void DiskThread::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopping || !m_work.empty(); });
        if (m_work.empty())
            return;
        auto work = std::move(m_work.front());
        m_work.pop_front();
        lock.unlock();
        work();
        lock.lock();
    }
}

}
