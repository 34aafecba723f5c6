#pragma once

#include "base/EnumNames.h"
#include "base/TimeMs.h"
#include "versions/RolloutEvidence.h"

#include <cstdint>
#include <string>

namespace siskinshunt {

// Decides on an operator's order to move a backend to a version within a time limit, by the results that the entry nodes report. Pure: the
// caller passes the time and the reports, and carries the decision out. See docs/decisions/version-moves.md.

struct RolloutSettings {
    // What a version that turns out to be bad may get: this share of the requests until the time limit, and some more.
    double exposureShare = 0.1;
    double exposureExtra = 50;
};

enum class RolloutAction : uint8_t {
    Wait,
    Burst, ///< Send `share` of the requests to one new instance for `length`.
    Switch, ///< Send all requests to the version, so that those at the others can end before it is completed.
    Complete,
    RollBack,
};

template <>
inline constexpr auto enumNames<RolloutAction> = std::to_array<EnumName<RolloutAction>>({
    { RolloutAction::Wait, "wait" },
    { RolloutAction::Burst, "burst" },
    { RolloutAction::Switch, "switch" },
    { RolloutAction::Complete, "complete" },
    { RolloutAction::RollBack, "roll_back" },
});

struct RolloutDecision {
    RolloutAction action = RolloutAction::Wait;
    double share = 0; ///< Burst: share of the backend's requests.
    TimeMs length; ///< Burst.
    std::string reason; ///< Human-readable.
};

/// Requests of one route since the start of an order.
struct RouteTrial {
    uint64_t started = 0; ///< Sent to any version.
    uint64_t startedAfter = 0; ///< Sent to the version that was ordered.
    double offered = 0; ///< As many as the shares in force would have sent to it.
    double share = 0; ///< Share of the requests that goes to one new instance, beside bursts.
    double toldShare = 0; ///< As it was when the entry nodes were told.
};

/// State of one order at the decision leader. A later leader begins anew, from the cumulative reports; until it has them it decides nothing.
struct Rollout {
    TimeMs startedAt;
    TimeMs within;
    TimeMs firstStepAt; ///< At this leader; 0 before.
    RolloutEvidence evidence;
    uint64_t started = 0; ///< Requests sent to any version.
    uint64_t startedAfter = 0; ///< Requests sent to the version that was ordered.
    std::map<std::string, RouteTrial> routes; ///< By route.
    double offeredRecently = 0; ///< As RouteTrial::offered, on all routes since the last burst began.
    double perMs = 0; ///< Recent requests, moving average.
    TimeMs windowStart; ///< Of the requests that are not part of the rate yet.
    uint64_t startedInWindow = 0;
    bool probed = false; ///< The first requests have been sent.
    bool burst = false; ///< There was a burst.
    bool lastBurst = false; ///< The last burst has begun.
    double burstShare = 0; ///< Of the last burst, or of the first requests.
    TimeMs burstEnd;
    TimeMs switchedAt; ///< When all requests began to go to the version; 0 before.
    TimeMs recentSince; ///< Begin of the evidence since the switch.
    std::string completionReason; ///< Human-readable; set with switchedAt.
    bool sharesChanged = false; ///< The shares of the routes have to be told to the entry nodes.
};

/// Share of the requests that goes to one new instance outside of bursts.
constexpr double rolloutBaseShare = 0.005;

Rollout startRollout(TimeMs startedAt, TimeMs within);
/// For a version that was in use before its order and needs no trial: it is completed as late as another one, unless its results are worse than those of
/// other versions that are still in use.
RolloutDecision stepVersionInUse(Rollout&, const RolloutReports&, TimeMs now);
RolloutDecision stepRollout(Rollout&, const RolloutReports&, const RolloutSettings&, TimeMs now);
/// Shares by route, as the entry nodes have to follow them from now on.
std::map<std::string, double> takeRouteShares(Rollout&);
/// Whether a time limit is so short that reports and steps have to come more often.
bool isShortRollout(TimeMs within);
/// Time before the time limit at which a sound version is completed.
TimeMs completionMargin(TimeMs within);
/// Time from the switch of all requests to the completion, in which requests at the other versions end.
TimeMs completionDrain(TimeMs within);

}
