#pragma once

#include "base/Random.h"
#include "versions/MoveController.h"
#include "versions/VersionCircuitBreaker.h"

#include <array>
#include <string>
#include <vector>

namespace siskinshunt {

/// Fault of the new version in a simulated move.
enum class VersionFault : uint8_t {
    None, ///< 0.3% to 0.8% errors (old version: 0.5%), 0.9 to 1.1 times the latency of the old version.
    FailsAtOnce, ///< 50% errors.
    SlowAtOnce, ///< Twice the latency.
    FailsLater, ///< 30% errors from 60 s to 1500 s after the start, or during the first half of the watch.
    SlowUnderLoad, ///< Normal latency up to half of an old runner's load, 2.5 times the latency at its full load.
    FailsOnOneRoute, ///< 30% errors on one route, which the seed selects; the rarest route has 3% of the traffic.
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

/// Parameters of the model, which has 4 nodes, 10 old runners with 4 requests/s each and 4 routes with 60%, 25%, 12% and
/// 3% of the requests.
struct MovesModelOptions {
    VersionFault fault = VersionFault::None;
    uint64_t seed = 1;
    bool baseline = false; ///< 5% canary for half of the duration, then 100%; rollback when over 5% of a minute's requests fail.
    double rate = 40; ///< Requests/s over all routes.
    TimeMs duration { 1800000 }; ///< From start to deadline.
    TimeMs watch { 600000 };
    uint64_t leaderChangeEvery = 0; ///< Seconds between leader changes; 0: none.
    double runnerLoss = 0; ///< Probability per second that a runner of the new version is reclaimed and replaced.
    double nodeLoss = 0; ///< Probability per second that a node fails for up to 60 s.
    double nodeCutOff = 0; ///< Probability per second that a node receives no directives for up to 60 s.
};

struct MovesModelResult {
    MoveStage stage = MoveStage::Waiting; ///< Last stage that was reached.
    bool inTime = false; ///< Done by the deadline and not rolled back afterwards.
    bool alarmed = false; ///< Rolled back because of the evidence.
    bool missedDeadline = false; ///< Rolled back because the deadline passed.
    /// Requests sent to the new version after the fifth request that failed or was slowed because of its fault.
    uint64_t badRequests = 0;
    uint64_t newRequests = 0; ///< All requests sent to the new version.
    TimeMs doneAfter; ///< Time from the start until Done; 0 if not reached.
    TimeMs undoneAfter; ///< Time from the start until the rollback; 0 if there was none.
    std::string reason; ///< Reason in the last directive that rolled the move back.
    uint64_t leaderChanges = 0;
    uint64_t runnerLosses = 0;
    uint64_t nodeLosses = 0;
    uint64_t nodeCutOffs = 0;
    std::vector<std::string> violations; ///< Violated guarantees of the controller, such as Done before all nodes confirmed.
};

/// Runs one move in virtual time. The result depends on the options only.
MovesModelResult runMovesModel(const MovesModelOptions&);

}
