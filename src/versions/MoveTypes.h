#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinshunt {

enum class MoveStage : uint8_t {
    Waiting, ///< Waits for its start time, for a runner of the new version, or for an earlier move of the same model.
    Proving, ///< One runner of the new version serves at most `max-share` of the model's traffic.
    Shifting, ///< The share of each route rises in steps.
    Done, ///< Every live node sends all traffic to the new version, which is still watched for faults.
    Closed, ///< Final: the watch period has ended.
    Undoing, ///< Rollback has been ordered; not all live nodes have confirmed it yet.
    Undone, ///< Final: no live node sends traffic to the new version.
};

template <>
inline constexpr auto enumNames<MoveStage> = std::to_array<EnumName<MoveStage>>({
    { MoveStage::Waiting, "waiting" },
    { MoveStage::Proving, "proving" },
    { MoveStage::Shifting, "shifting" },
    { MoveStage::Done, "done" },
    { MoveStage::Closed, "closed" },
    { MoveStage::Undoing, "undoing" },
    { MoveStage::Undone, "undone" },
});

constexpr bool isFinal(MoveStage stage) { return stage == MoveStage::Closed || stage == MoveStage::Undone; }

/// Share of one route's traffic that goes to the new version, 0 to 1.
struct RouteShare {
    std::string route;
    double share = 0;

    template <class Archive>
    void serialize(Archive& archive) { archive(route, share); }
};

/// Measurements of the old version on one route before the shift. A new leader cannot repeat them.
struct RouteBaseline {
    std::string route;
    bool proven = false; ///< The new version is proven on the route.
    uint64_t requests = 0;
    uint64_t failures = 0;
    std::array<double, 4> latency {}; ///< ms: first token and whole request at 50%, then both at 90%.

    template <class Archive>
    void serialize(Archive& archive) { archive(route, proven, requests, failures, latency); }
};

/// Instructs every node how to route the traffic of one move, and says why. A node follows the directive with the highest
/// sequence. Directives are kept in the decision log, from which a new leader resumes.
struct MoveDirective {
    std::string move; ///< Name of the rule.
    std::string model;
    std::string from;
    std::string to;
    MoveStage stage = MoveStage::Waiting;
    uint64_t sequence = 0; ///< Increases by at least one with each change.
    std::vector<RouteShare> shares; ///< Routes that are absent send no traffic to the new version.
    std::vector<RouteBaseline> baselines; ///< Set from stage Shifting on.
    UpstreamId canary; ///< In stage Proving the only runner of the new version that gets traffic; otherwise none.
    TimeMs since; ///< Start of the current stage, UTC.
    TimeMs started; ///< Start of stage Proving, UTC.
    uint32_t oldRunners = 0; ///< Runners of the old version when proving began.
    uint32_t leaders = 0; ///< Number of changes of the decision leader during the move; each leader gets a fraction of the false-alarm rate.
    std::string code; ///< Stable code of the last decision, such as "move_step".
    std::string reason; ///< Human-readable reason of the last decision.
    int line = 0; ///< Line of the move rule.
    std::string ruleText;
    std::string person;
    std::string ruleReason;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(move, model, from, to, stage, sequence, shares, baselines, canary, since, started, oldRunners, leaders, code, reason, line, ruleText,
            person, ruleReason);
    }
};

}
