#pragma once

#include "base/Ids.h"
#include "versions/LatencySketch.h"

#include <string>
#include <vector>

namespace siskinshunt {

/// What one node saw of one version on one route since its last report.
struct VersionEvidence {
    uint64_t requests = 0; ///< Finished ones.
    uint64_t failures = 0;
    LatencySketch firstToken; ///< ms, successful requests.
    LatencySketch wholeRequest; ///< ms, successful requests.

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

/// Sent by each node once a second for each open move. The sender must send each count once.
struct Evidence {
    std::string move;
    NodeId node;
    uint64_t confirmed = 0; ///< Sequence of the directive in force on the node.
    bool tripped = false; ///< The local trip has stopped the new version on the node.
    std::string tripReason;
    std::vector<RouteEvidence> routes;

    template <class Archive>
    void serialize(Archive& archive) { archive(move, node, confirmed, tripped, tripReason, routes); }
};

}
