#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

// Decides on an operator's order to move a backend to a version within a time limit, by the results that the entry nodes report. Pure: the
// caller passes the time and the reports, and carries the decision out. See docs/decisions/version-moves.md.

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

struct RolloutSettings {
    // What a version that turns out to be bad may get: this share of the requests until the time limit, and some more.
    double exposureShare = 0.1;
    double exposureExtra = 50;
};

/// What the fleet knows of an order now.
struct RolloutReports {
    std::map<NodeId, std::vector<RouteResults>> nodes; ///< Cumulative since the start of the order.
    size_t oldInstances = 0;
    size_t newInstances = 0; ///< That take requests.
};

enum class RolloutAction : uint8_t {
    Wait,
    Burst, ///< Send `share` of the requests to one new instance for `length`.
    Complete,
    RollBack,
};

template <>
inline constexpr auto enumNames<RolloutAction> = std::to_array<EnumName<RolloutAction>>({
    { RolloutAction::Wait, "wait" },
    { RolloutAction::Burst, "burst" },
    { RolloutAction::Complete, "complete" },
    { RolloutAction::RollBack, "roll_back" },
});

struct RolloutDecision {
    RolloutAction action = RolloutAction::Wait;
    double share = 0; ///< Burst: share of the backend's requests.
    TimeMs length; ///< Burst.
    std::string reason; ///< Human-readable.
};

/// State of one order at the decision leader. A later leader begins anew, from the cumulative reports.
struct Rollout {
    struct Tested {
        RolloutCounts after; ///< Of the windows so far.
        double expectedFailures = 0; ///< As many as the other versions would have had in the same windows.
        double expectedSlow = 0;
        double expectedSlowPaces = 0;
    };
    using TestedByNode = std::map<NodeId, Tested>;

    TimeMs startedAt;
    TimeMs within;
    std::map<std::string, RouteLimits> limits; ///< By route.
    std::map<NodeId, std::map<std::string, RouteResults>> last; ///< Cumulative reports at the last step, by route.
    std::map<std::string, TestedByNode> tested; ///< Since the start, by route; the empty name stands for all routes.
    std::map<std::string, TestedByNode> testedRecently; ///< Since the last burst began.
    RolloutCounts beforeRecently; ///< Decaying counts of the other versions, on all routes.
    uint64_t started = 0; ///< Requests sent to any version.
    uint64_t startedAfter = 0; ///< Requests sent to the version that was ordered.
    double perMs = 0; ///< Recent requests, moving average.
    TimeMs windowStart; ///< Of the requests that are not part of the rate yet.
    uint64_t startedInWindow = 0;
    bool probed = false; ///< The first requests have been sent.
    bool burst = false; ///< There was a burst.
    TimeMs burstEnd; ///< Of the last burst, or of the first requests.
    bool limitsChanged = false; ///< `limits` has to be told to the entry nodes.
};

/// Share of the requests that goes to one new instance outside of bursts.
constexpr double rolloutBaseShare = 0.005;

Rollout startRollout(TimeMs startedAt, TimeMs within);
RolloutDecision stepRollout(Rollout&, const RolloutReports&, const RolloutSettings&, TimeMs now);
/// Time before the time limit at which a sound version is completed.
TimeMs completionMargin(TimeMs within);
/// Time from the decision to complete a version to the record of it, in which requests at the other versions end.
TimeMs completionDrain(TimeMs within);

}
