#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace siskinshunt {

/// The second thread of the daemon. Runs disk work in order, so that the event loop never waits for a sync.
class DiskThread {
public:
    DiskThread();
    /// Finishes the queued work first.
    ~DiskThread();
    DiskThread(const DiskThread&) = delete;
    DiskThread& operator=(const DiskThread&) = delete;

    void post(std::function<void()> work);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_work;
    bool m_stopping = false;
    std::thread m_thread;
};

}
