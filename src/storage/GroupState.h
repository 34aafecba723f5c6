#pragma once

#include "base/LogEntry.h"

#include <memory>
#include <optional>

namespace siskinshunt {

/// What one group has on disk, as found at start.
struct GroupState {
    HardState hardState;
    Snapshot snapshot; ///< meta.index 0 if there is none.
    std::vector<LogEntry> entries; ///< The first one has index snapshot.meta.index + 1.
};

/// One durable step of one group. Everything in it is durable once the batch that contains it has been written.
struct DiskRequest {
    uint64_t id = 0; ///< Rises by one with each request of a replica.
    GroupId group;
    std::optional<HardState> hardState;
    std::optional<Snapshot> snapshot; ///< Written before the entries; entries up to it are no longer needed.
    bool discardLog = false; ///< The snapshot came from the leader: the stored entries are replaced by it.
    std::vector<LogEntry> entries; ///< An entry replaces the stored entry of its index and everything above it.
};

}
