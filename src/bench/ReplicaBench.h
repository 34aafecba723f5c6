#pragma once

#include "replica/StateMachine.h"

#include <cstdint>
#include <functional>
#include <string>

namespace siskinshunt {

/// What a caller proposes next.
struct ReplicaBenchProposal {
    size_t group = 0; ///< From 0.
    std::string command;
};

struct ReplicaBenchOptions {
    std::string folder; ///< Gets one data folder per voter.
    double seconds = 10;
    size_t callers = 64; ///< Each has one proposal outstanding.
    size_t commandBytes = 512;
    size_t groups = 4; ///< Callers are spread evenly over the groups.
    uint64_t seed = 1;
    uint64_t snapshotEntries = 1000; ///< Of each replica.
    /// The state machine of a voter in a group; without it one that only counts.
    std::function<StateMachine(size_t voter, size_t group)> machine;
    /// The next proposal of a caller; `reply` is the one to its last, empty at first. Without it `commandBytes` bytes.
    std::function<ReplicaBenchProposal(size_t caller, const std::string& reply)> next;
};

struct ReplicaBenchResult {
    double commitsPerSecond = 0;
    double commitsPerSync = 0; ///< Commits over the syncs of the voter that synced most.
    double p99Ms = 0;
};

/// Three voters with real files in one process. One thread runs all replicas and each voter has its own disk thread, as
/// on three instances. The first voter
/// leads all groups unless a write delays its elections. Throws std::runtime_error when a write fails.
ReplicaBenchResult runReplicaBench(const ReplicaBenchOptions&);

}
