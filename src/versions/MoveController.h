#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "rules/RuleSet.h"
#include "versions/Evidence.h"
#include "versions/MoveTypes.h"
#include "versions/SequentialTest.h"

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace siskinshunt {

struct MoveSettings {
    double falseAlarmRate = 0.01; ///< Per move, over all routes, tests, looks and leaders.
    double proofLevel = 0.05; ///< Per route: chance to take a bad version as proven.
    double suspicionThreshold = 10; ///< A route does not step up while a test's statistic is at least this.
    double routeShareCap = 0.25; ///< Of one route's traffic, before proof.
    uint64_t minProofRequests = 100; ///< A route with fewer requests on the new version has too little traffic for proof.
    double shiftFraction = 0.4; ///< Part of the time to the deadline that is kept for shifting.
    double keptOldFraction = 0.5; ///< Part of the old runners that is kept while a finished move is watched.
    TimeMs confirmMargin { 10000 }; ///< Kept before the deadline for the confirmations of the nodes.
    TimeMs minStepInterval { 20000 }; ///< Shortest time between two steps of a route.
    TimeMs maxStepInterval { 180000 }; ///< Longest time between two steps of a route that is proven.
    TimeMs burstLength { 30000 }; ///< Length of one full-load burst of the canary.
    TimeMs checkLength { 90000 }; ///< Comparison with half of a route's traffic back on the old version.
    uint64_t minCheckEvents = 10; ///< Failures or slow requests without which a check is extended, up to 4 times.
    TimeMs warmUpTime { 15000 }; ///< Latency of new runners does not count for this long: their caches are empty.
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

/// Counts that fade with a half-life.
struct DecayingRate {
    double hits = 0;
    double trials = 0;
};

/// Latency measures that are compared: first token and whole request, each at the median and at 90%.
inline constexpr size_t latencyMeasures = 4;

/// A comparison at the same time, when a test rejects while most of the route's traffic is on the new version: without
/// traffic on the old version, the test cannot tell a bad version from an outage that would hit both.
struct RouteCheck {
    TimeMs until; ///< 0: no check is running.
    TimeMs latest; ///< Extensions end here.
    uint64_t events = 0; ///< Failures or slow requests of both versions.
    size_t measure = 0; ///< 0 for errors, 1 and up for the latency measures.
    double shareBefore = 1;
};

/// Tests of one route. Each takes one window of evidence a second.
struct RouteTests {
    SequentialTest errors;
    std::array<SequentialTest, latencyMeasures> slow;
    SequentialTest errorsProof; ///< Rejects "fails too often".
    std::array<SequentialTest, 2> slowProof; ///< Rejects "too slow": first token and whole request, at the median.
    VersionEvidence oldRecent; ///< Fades by half every 5 minutes while there is traffic on the old version.
    VersionEvidence newTotal;
    VersionEvidence pendingOld; ///< Of the current window.
    VersionEvidence pendingNew;
    DecayingRate currentOldErrors; ///< Half-life of 10 s, to see an outage that hits both versions.
    std::array<DecayingRate, latencyMeasures> currentOldSlow;
    std::array<double, latencyMeasures> baselineLatency {}; ///< Latency of the old version before the shift, ms.
    double rate = 0; ///< Requests/s of both versions, smoothed.
    double rateWindows = 0; ///< Windows that `rate` comes from.
    double share = 0; ///< In force.
    TimeMs lastStep;
    bool proven = false;
    RouteCheck check;
    /// Of the share of the new version in all failures or slow requests, by RouteCheck::measure. They outlive a check, so
    /// that evidence adds up over several.
    std::array<SequentialTest, 1 + latencyMeasures> checkTests;
};

/// Tests of all routes together, while none has moved by more than half. They see a fault that all routes share sooner.
struct PooledTests {
    SequentialTest errors;
    std::array<SequentialTest, latencyMeasures> slow;
};

struct ActiveMove {
    MoveDirective directive;
    MoveRule rule; ///< As last seen in the rules in force.
    std::map<std::string, RouteTests> routes;
    PooledTests pooled;
    bool sharesChanged = false; ///< A check has begun or ended; the nodes have to know.
    TimeMs nextWindow;
    TimeMs nextDecayAt;
    TimeMs observedSince; ///< Since when this leader has evidence.
    TimeMs warmUntil; ///< Latency of the new version counts from here on.
    TimeMs nextBurst; ///< Change between burst and pause of the canary.
    bool bursting = false;
    bool bad = false;
    bool republish = false; ///< The directive has to be sent again, by a new leader.
    std::string badReason;
    uint32_t newRunners = 0;
    std::map<MoveOrderKind, uint32_t> ordered; ///< Last level of each kind.
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
