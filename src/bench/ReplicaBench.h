#pragma once

#include "replica/StateMachine.h"

#include <cstdint>
#include <functional>
#include <string>

namespace siskinshunt {

/// Next proposal of a caller.
struct ReplicaBenchProposal {
    size_t group = 0; ///< Index, starting at 0.
    std::string command;
};

struct ReplicaBenchOptions {
    std::string folder; ///< Parent of the voters' data folders.
    double seconds = 10;
    size_t callers = 64; ///< Each has one proposal in flight.
    size_t commandBytes = 512;
    size_t groups = 4; ///< Callers are spread evenly over the groups.
    uint64_t seed = 1;
    uint64_t snapshotEntries = 1000; ///< Log entries after which a replica takes a snapshot.
    /// Creates the state machine of a voter in a group; if not set, commands have no effect.
    std::function<StateMachine(size_t voter, size_t group)> machine;
    /// Returns the next proposal of a caller; `reply` is the reply to its previous one, or empty. If not set, commands
    /// have `commandBytes` bytes.
    std::function<ReplicaBenchProposal(size_t caller, const std::string& reply)> next;
};

struct ReplicaBenchResult {
    double commitsPerSecond = 0;
    double commitsPerSync = 0; ///< Commits divided by the highest number of syncs of any voter.
    double p99Ms = 0;
};

/// Runs three voters with real files in one process. One thread runs all replicas, and each voter has its own disk
/// thread, as on three instances. The first voter leads all groups unless a write delays its elections. Throws
/// std::runtime_error when a write fails.
ReplicaBenchResult runReplicaBench(const ReplicaBenchOptions&);

}
