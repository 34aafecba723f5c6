#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinshunt {

/// Results of a version on a route since the start of the order.
struct RolloutCounts {
    uint32_t started = 0; ///< Requests that were sent to it.
    uint32_t ended = 0; ///< Of these, those that were answered or given up.
    uint32_t failures = 0; ///< Of these, those with an error of the upstream or without an answer.
    float milliseconds = 0; ///< Sum of the times until the answer, or the first event of a stream.
    uint32_t timed = 0; ///< Requests that were compared with `RouteLimits::answer`.
    uint32_t slow = 0; ///< Of these, those that took longer; also those that still wait.
    uint32_t paced = 0; ///< Streams whose pace was measured.
    float pace = 0; ///< Sum of their ms per byte after the first event.
    uint32_t comparedPaces = 0; ///< Streams whose pace was compared with `RouteLimits::pace`.
    uint32_t slowPaces = 0; ///< Of these, those that took longer for each byte.

    RolloutCounts& operator+=(const RolloutCounts&);

    template <class Archive>
    void serialize(Archive& archive) { archive(started, ended, failures, milliseconds, timed, slow, paced, pace, comparedPaces, slowPaces); }
};

struct RouteResults {
    std::string route;
    RolloutCounts before; ///< Of all other versions.
    RolloutCounts after; ///< Of the version that was ordered.

    template <class Archive>
    void serialize(Archive& archive) { archive(route, before, after); }
};

/// Above these a request counts as slow; 0 while not known.
struct RouteLimits {
    float answer = 0; ///< ms until the answer, or the first event of a stream.
    float pace = 0; ///< ms per byte of a stream.

    template <class Archive>
    void serialize(Archive& archive) { archive(answer, pace); }
};

/// What the fleet knows of an order now.
struct RolloutReports {
    std::map<NodeId, std::vector<RouteResults>> nodes; ///< Cumulative since the start of the order.
    size_t recent = 0; ///< Living nodes with a recent report. One that has sent no requests reports that.
    size_t missing = 0; ///< Living nodes without.
    std::set<NodeId> tripped; ///< Nodes that have stopped using the version.
    size_t oldInstances = 0;
    size_t newInstances = 0; ///< That take requests.
};

/// Results of the version that was ordered, beside what the other versions explain. Routes are named as in RouteResults; the empty name stands for all
/// routes.
struct RolloutEvidence {
    struct Tested {
        RolloutCounts after; ///< Of the windows so far.
        double expectedFailures = 0; ///< As many as the other versions would have had in the same windows.
        double expectedSlow = 0;
        double expectedSlowPaces = 0;
    };
    using TestedByNode = std::map<NodeId, Tested>;

    struct LimitTrials {
        uint32_t answer = 0;
        uint32_t pace = 0;
    };

    std::map<std::string, RouteLimits> limits; ///< By route.
    std::map<std::string, LimitTrials> limitTrials; ///< Results from which the limits were taken, by route.
    std::map<NodeId, std::map<std::string, RouteResults>> last; ///< Cumulative reports at the last step, by route.
    std::map<std::string, TestedByNode> tested; ///< Since the start, by route.
    std::map<std::string, TestedByNode> testedRecently; ///< Since the last burst or the switch began, by route.
    RolloutCounts before; ///< Of the other versions since the start, on all routes.
    RolloutCounts beforeRecently; ///< Decaying counts of the other versions, on all routes.
    bool limitsChanged = false; ///< `limits` has to be told to the entry nodes.
};

/// Requests that were sent since the last reports.
struct NewRequests {
    uint64_t before = 0; ///< To the other versions.
    uint64_t after = 0; ///< To the version that was ordered.
};

/// Adds what the reports tell since the last call. Returns the new requests by route.
std::map<std::string, NewRequests> recordReports(RolloutEvidence&, const RolloutReports&);
RolloutEvidence::Tested sumOf(const RolloutEvidence::TestedByNode&);
/// Returns what is wrong with the version, human-readable; none while its results can be explained otherwise.
std::optional<std::string> findFault(const RolloutEvidence&);
/// Returns what may be wrong with the version where the results on a route are too few for findFault(). Fewer failures count while the other versions
/// have none.
std::optional<std::string> findLikelyFault(const RolloutEvidence&);
/// Returns what is wrong with the version after the switch of all requests, when there is nothing to compare it with: failures or slow answers that
/// an outage, or fewer and colder instances than before, do not explain.
std::optional<std::string> findFaultAfterSwitch(const RolloutEvidence&);
/// Returns whether so many entry nodes have stopped using the version that its results say nothing of them; human-readable.
std::optional<std::string> findTrippedNodes(const RolloutReports&);
/// Whether the results show a fault that may be one of the version or of the path of one node. The caller has found no fault of the version.
bool isUndecided(const RolloutEvidence&);

}
