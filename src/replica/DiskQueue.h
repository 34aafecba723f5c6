#pragma once

#include "storage/GroupState.h"

#include <span>
#include <utility>

namespace siskinshunt {

/// Batches the disk requests of all groups of a data folder, so that one write and one sync serve all queued requests.
struct DiskQueue {
    std::vector<DiskRequest> waiting;
    std::vector<DiskRequest> running;
};

inline void submit(DiskQueue& queue, std::vector<DiskRequest>&& requests)
{
    for (auto& it : requests)
        queue.waiting.push_back(std::move(it));
}

/// Returns the requests for the next Storage::write(); empty if there are none or a batch is running. They stay valid and
/// unchanged until finishBatch(), so another thread may read them.
inline std::span<const DiskRequest> startBatch(DiskQueue& queue)
{
    if (!queue.running.empty() || queue.waiting.empty())
        return {};
    queue.running.swap(queue.waiting);
    return queue.running;
}

/// Returns the requests of the completed batch; report each to its replica with diskCompleted().
inline std::vector<DiskRequest> finishBatch(DiskQueue& queue)
{
    return std::exchange(queue.running, {});
}

}
