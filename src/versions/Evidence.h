#pragma once

#include "base/Ids.h"
#include "versions/LatencySketch.h"

#include <string>
#include <vector>

namespace siskinshunt {

/// Requests that one node sent to one version on one route since its last report.
struct VersionEvidence {
    uint64_t requests = 0; ///< Finished requests, failed ones included.
    uint64_t failures = 0;
    LatencySketch firstToken; ///< Time to first token in ms, successful requests only.
    LatencySketch wholeRequest; ///< Latency of the whole request in ms, successful requests only.

    template <class Archive>
    void serialize(Archive& archive) { archive(requests, failures, firstToken, wholeRequest); }
};

struct RouteEvidence {
    std::string route;
    VersionEvidence oldVersion;
    VersionEvidence newVersion;

    template <class Archive>
    void serialize(Archive& archive) { archive(route, oldVersion, newVersion); }
};

/// Report of one node on one open move, sent once a second. Counts are increments: each request is reported only once.
struct Evidence {
    std::string move;
    NodeId node;
    uint64_t confirmed = 0; ///< Sequence of the directive that the node applies.
    bool tripped = false; ///< The node's circuit breaker has stopped traffic to the new version.
    std::string tripReason;
    std::vector<RouteEvidence> routes;

    template <class Archive>
    void serialize(Archive& archive) { archive(move, node, confirmed, tripped, tripReason, routes); }
};

}
