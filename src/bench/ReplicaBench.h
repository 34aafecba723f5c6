#pragma once

#include <cstdint>
#include <string>

namespace siskinshunt {

struct ReplicaBenchOptions {
    std::string folder; ///< Gets one data folder per voter.
    double seconds = 10;
    size_t callers = 64; ///< Each has one proposal outstanding.
    size_t commandBytes = 512;
    size_t groups = 4; ///< Callers are spread evenly over the groups.
    uint64_t seed = 1;
};

struct ReplicaBenchResult {
    double commitsPerSecond = 0;
    double commitsPerSync = 0; ///< Commits over the syncs of the voter that synced most.
    double p99Ms = 0;
};

/// Three voters with real files in one process. One thread runs all replicas and each voter has its own disk thread, as
/// on three instances. One voter leads all groups. Throws std::runtime_error when a write fails.
ReplicaBenchResult runReplicaBench(const ReplicaBenchOptions&);

}
