#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "rules/RuleSet.h"
#include "versions/Evidence.h"
#include "versions/MoveTypes.h"
#include "versions/SequentialTest.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace siskinshunt {

struct MoveSettings {
    double falseAlarm = 0.01; ///< Per move, over all routes, tests, looks and leaders.
    double proofLevel = 0.05; ///< Per route: chance to take a bad version as proven.
    double routeShareCap = 0.25; ///< Of one route's traffic, before proof.
    double shiftPart = 0.4; ///< Part of the time to the deadline that is kept for shifting.
    TimeMs confirmMargin { 10000 }; ///< Kept before the deadline for the confirmations of the nodes.
    TimeMs minStep { 20000 }; ///< Shortest time between two steps of a route.
    TimeMs burst { 30000 }; ///< Length of one full-load burst of the canary.
    TimeMs window { 1000 }; ///< Of the evidence.
};

/// A runner of either version that announces itself and takes work.
struct MoveRunner {
    UpstreamId id;
    std::string model;
    std::string version;
};

/// A live node and the highest directive sequence that it has confirmed, for each move.
struct MoveNode {
    NodeId node;
    std::map<std::string, uint64_t> confirmed;
};

struct MoveInputs {
    TimeMs now; ///< UTC.
    const RuleSet* rules = nullptr; ///< In force; must outlive the call.
    std::span<const MoveRunner> runners;
    std::span<const Evidence> evidence; ///< Arrived since the last call.
    std::span<const MoveNode> nodes; ///< All live nodes.
};

enum class MoveOrderKind : uint8_t {
    StartVersion, ///< Have `count` runners of the version.
    WarmVersion, ///< Load the version on `count` runners ahead of the next step.
    RetireVersion, ///< Keep `count` runners of the version.
};

template <>
inline constexpr auto enumNames<MoveOrderKind> = std::to_array<EnumName<MoveOrderKind>>({
    { MoveOrderKind::StartVersion, "start_version" },
    { MoveOrderKind::WarmVersion, "warm_version" },
    { MoveOrderKind::RetireVersion, "retire_version" },
});

/// A level to be reached, not an increment: it may be repeated. Idempotent by id.
struct MoveOrder {
    std::string id;
    MoveOrderKind kind = MoveOrderKind::StartVersion;
    std::string model;
    std::string version;
    uint32_t count = 0; ///< Runners.
};

struct MoveOutputs {
    std::vector<MoveDirective> directives; ///< New ones, to be committed to the decision log before nodes get them.
    std::vector<MoveOrder> orders;
};

/// Tests of one route. Each takes a window of evidence a second.
struct RouteTests {
    SequentialTest errors;
    std::array<SequentialTest, 4> slow; ///< First token and whole latency, each at the median and at 90%.
    SequentialTest errorsProof; ///< Rejects "bad by errors".
    std::array<SequentialTest, 2> slowProof; ///< Rejects "slow": first token and whole latency at the median.
    VersionEvidence oldRecent; ///< Fades by half every 5 minutes.
    VersionEvidence newTotal;
    VersionEvidence pendingOld; ///< Of the current window.
    VersionEvidence pendingNew;
    double rate = 0; ///< Requests/s of both versions, smoothed.
    double share = 0; ///< In force.
    TimeMs lastStep;
    TimeMs provenAt { -1 };
};

struct ActiveMove {
    MoveDirective directive;
    MoveRule rule; ///< As it was when the move started.
    std::map<std::string, RouteTests> routes;
    uint32_t oldRunners = 0; ///< When proving began.
    TimeMs nextWindow;
    TimeMs fadeAt;
    TimeMs nextBurst; ///< Change between burst and pause of the canary.
    TimeMs provingSince;
    bool bursting = false;
    bool tripped = false;
    std::string tripReason;
};

/// Runs on the decision leader. Sequences start from the restored directives.
struct MoveController {
    MoveSettings settings;
    std::map<std::string, ActiveMove> moves; ///< By rule name; finished ones are kept while their rule stands.
};

/// Goes on with the directives of the decision log after an election. Evidence starts anew, and the leader gets a smaller
/// part of the false-alarm rate, so that the total holds over any number of leaders.
void restoreMoves(MoveController&, std::span<const MoveDirective>, const RuleSet&, TimeMs now);
/// Runs all moves; call it at least once a second.
void stepMoves(MoveController&, const MoveInputs&, MoveOutputs&);
/// False-alarm rate that the n-th leader (from 0) of a move may spend: 3/4, 3/16, ... of the total.
double falseAlarmOfLeader(double total, uint32_t leader);

}
