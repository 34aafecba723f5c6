#include "entry/DiskThread.h"

#include "entry/ToChrono.h"

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
    m_condition.notify_one();
    m_thread.join();
}

void DiskThread::post(std::function<void()> task)
{
    {
        const std::lock_guard lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_condition.notify_one();
}

bool DiskThread::wait(TimeMs time)
{
    std::unique_lock lock(m_mutex);
    return !m_condition.wait_for(lock, toChrono(time), [this] { return m_stopping; });
}

void DiskThread::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_condition.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        if (m_tasks.empty())
            return;
        auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

}
