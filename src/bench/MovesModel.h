#pragma once

#include "base/Random.h"
#include "versions/MoveController.h"
#include "versions/VersionCircuitBreaker.h"

#include <array>
#include <string>
#include <vector>

namespace siskinshunt {

/// What the new version of a simulated move is like.
enum class VersionFault : uint8_t {
    None, ///< Errors 0.3% to 0.8% (old: 0.5%), latency 0.9 to 1.1 of the old one.
    FailsAtOnce, ///< 50% errors.
    SlowAtOnce, ///< Twice the latency.
    FailsLater, ///< 30% errors from 60 s to 1500 s after the start, or during the first half of the watch.
    SlowUnderLoad, ///< Normal up to half of an old runner's load, 2.5 times the latency at the full load.
    FailsOnOneRoute, ///< 30% errors on one route, chosen by the seed; the rarest has 3% of the traffic.
    SlightlyBad, ///< 3% errors.
};

template <>
inline constexpr auto enumNames<VersionFault> = std::to_array<EnumName<VersionFault>>({
    { VersionFault::None, "good" },
    { VersionFault::FailsAtOnce, "fails_at_once" },
    { VersionFault::SlowAtOnce, "slow_at_once" },
    { VersionFault::FailsLater, "fails_later" },
    { VersionFault::SlowUnderLoad, "slow_under_load" },
    { VersionFault::FailsOnOneRoute, "fails_on_one_route" },
    { VersionFault::SlightlyBad, "slightly_bad" },
});

/// Parameters of the model: 4 nodes, 10 old runners at 4 requests/s each, 4 routes with 60%, 25%, 12% and 3%.
struct MovesModelOptions {
    VersionFault fault = VersionFault::None;
    uint64_t seed = 1;
    bool baseline = false; ///< 5% canary for half of the time, then all; back when over 5% of a minute's requests fail.
    double rate = 40; ///< Requests/s over all routes.
    TimeMs duration { 1800000 }; ///< From start to deadline.
    TimeMs watch { 600000 };
    uint64_t leaderChangeEvery = 0; ///< Seconds; 0: the leader stays.
    double runnerLoss = 0; ///< Chance per second that a runner of the new version is reclaimed; another one starts.
    double nodeLoss = 0; ///< Chance per second that a node dies for up to 60 s.
    double nodeCutOff = 0; ///< Chance per second that a live node gets no directives for up to 60 s.
};

struct MovesModelResult {
    MoveStage stage = MoveStage::Waiting; ///< Last one.
    bool inTime = false; ///< Done by the deadline, and not taken back afterwards.
    bool alarmed = false; ///< Taken back because of its evidence.
    bool missedDeadline = false; ///< Taken back because the deadline passed.
    /// Requests sent to the new version after its fault became evident, that is after the fifth request that failed or
    /// was slowed because of the fault.
    uint64_t badRequests = 0;
    uint64_t newRequests = 0; ///< All requests on the new version.
    TimeMs doneAfter; ///< From the start; 0 if never done.
    TimeMs undoneAfter;
    std::string reason; ///< Of the last directive that took the move back.
    uint64_t leaderChanges = 0;
    uint64_t runnerLosses = 0;
    uint64_t nodeLosses = 0;
    uint64_t nodeCutOffs = 0;
    std::vector<std::string> violations; ///< Broken promises of the controller, such as Done before all nodes confirmed.
};

/// Runs one move in virtual time. The seed determines everything.
MovesModelResult runMovesModel(const MovesModelOptions&);

}
