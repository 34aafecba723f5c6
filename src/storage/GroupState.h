#pragma once

#include "base/LogEntry.h"

#include <memory>
#include <optional>

namespace siskinshunt {

/// Durable state of one group as recovered at start.
struct GroupState {
    HardState hardState;
    Snapshot snapshot; ///< meta.index is 0 if there is none.
    std::vector<LogEntry> entries; ///< The first one has index snapshot.meta.index + 1.
};

/// State of one group to make durable. All of it is durable once the batch that contains it has been written.
struct DiskRequest {
    uint64_t id = 0; ///< Incremented by one with each request of a replica.
    GroupId group;
    std::optional<HardState> hardState;
    std::optional<Snapshot> snapshot; ///< Written before the entries; entries up to its index are no longer needed.
    bool discardLog = false; ///< The snapshot was installed from the leader and replaces the stored entries.
    std::vector<LogEntry> entries; ///< Each entry replaces the stored entry at its index and all entries above it.
};

}
