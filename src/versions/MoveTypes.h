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
    Waiting, ///< For its start, its runners, or an earlier move of the same model.
    Proving, ///< One runner of the new version serves at most `max-share` of the model's traffic.
    Shifting, ///< Routes move in steps.
    Done, ///< All traffic is on the new version on every live node; watched.
    Closed, ///< Final: the watch is over.
    Undoing, ///< No traffic to the new version; live nodes have still to confirm.
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

/// What the old version did on one route before the shift. A new leader cannot measure it any more.
struct RouteBaseline {
    std::string route;
    bool proven = false; ///< The new version has proved itself on the route.
    uint64_t requests = 0;
    uint64_t failures = 0;
    std::array<double, 4> latency {}; ///< ms: first token and whole request at 50%, then both at 90%.

    template <class Archive>
    void serialize(Archive& archive) { archive(route, proven, requests, failures, latency); }
};

/// What every node does for one move, and why. A node follows the one with the highest sequence. Kept in the decision
/// log, from which a new leader goes on.
struct MoveDirective {
    std::string move; ///< Name of the rule.
    std::string model;
    std::string from;
    std::string to;
    MoveStage stage = MoveStage::Waiting;
    uint64_t sequence = 0; ///< Rises by at least one with each change.
    std::vector<RouteShare> shares; ///< Routes that are absent get no traffic on the new version.
    std::vector<RouteBaseline> baselines; ///< From Shifting on.
    UpstreamId canary; ///< While Proving the only runner of the new version that gets traffic; else none.
    TimeMs since; ///< Start of the stage, UTC.
    TimeMs started; ///< First start of Proving, UTC.
    uint32_t oldRunners = 0; ///< Runners of the old version when proving began.
    uint32_t leaders = 0; ///< Decision leaders that have run the move; each gets a part of the false-alarm rate.
    std::string code; ///< Stable code of the last decision, such as "move_step".
    std::string reason; ///< Of the last decision, for people.
    int line = 0; ///< Of the move rule.
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
