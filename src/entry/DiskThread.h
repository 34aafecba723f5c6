#pragma once

#include "base/TimeMs.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace siskinshunt {

/// Worker thread for disk I/O. Runs tasks in the order in which they were posted, so that the event loop never blocks on a
/// sync.
class DiskThread {
public:
    DiskThread();
    /// Completes all queued tasks before it returns.
    ~DiskThread();
    DiskThread(const DiskThread&) = delete;
    DiskThread& operator=(const DiskThread&) = delete;

    void post(std::function<void()> task);
    /// Called by a task: waits for this time. Returns false at once when the thread is to end.
    bool wait(TimeMs);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::deque<std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

}
