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
    double falseAlarmRate = 0.01; ///< Per move, over all routes, tests, evaluations and leaders.
    double proofLevel = 0.05; ///< Per route: probability that a bad version counts as proven.
    double suspicionThreshold = 10; ///< A route does not step up while a test's statistic is at least this.
    double routeShareCap = 0.25; ///< Largest share of one route's traffic before the new version is proven.
    uint64_t minProofRequests = 100; ///< A route with fewer requests on the new version has too little traffic for proof.
    double shiftFraction = 0.4; ///< Fraction of the time from the start to the deadline that is reserved for shifting.
    double keptOldFraction = 0.5; ///< Fraction of the old runners that is kept while a finished move is watched.
    TimeMs confirmMargin { 10000 }; ///< Time reserved before the deadline for the confirmations of the nodes.
    TimeMs minStepInterval { 20000 }; ///< Shortest time between two steps of a route.
    TimeMs maxStepInterval { 180000 }; ///< Longest time between two steps of a proven route.
    TimeMs burstLength { 30000 }; ///< Length of one full-load burst of the canary.
    TimeMs checkLength { 90000 }; ///< Length of a comparison with half of a route's traffic back on the old version.
    uint64_t minCheckEvents = 10; ///< A check with fewer failures or slow requests is extended, to at most 4 times its length.
    TimeMs warmUpTime { 15000 }; ///< Latency of new runners is ignored for this long, because their caches are empty.
};

/// A runner of either version that announces itself and accepts requests.
struct MoveRunner {
    UpstreamId id;
    std::string model;
    std::string version;
};

/// A live node and, for each move, the highest directive sequence that it has confirmed.
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
    StartVersion, ///< Start runners until `count` run the version.
    WarmVersion, ///< Load the version on `count` runners ahead of the next step.
    RetireVersion, ///< Stop runners until `count` run the version.
};

template <>
inline constexpr auto enumNames<MoveOrderKind> = std::to_array<EnumName<MoveOrderKind>>({
    { MoveOrderKind::StartVersion, "start_version" },
    { MoveOrderKind::WarmVersion, "warm_version" },
    { MoveOrderKind::RetireVersion, "retire_version" },
});

/// Sets a target number of runners, not an increment, so it can be repeated. Idempotent by id.
struct MoveOrder {
    std::string id;
    MoveOrderKind kind = MoveOrderKind::StartVersion;
    std::string model;
    std::string version;
    uint32_t count = 0; ///< Target number of runners.
};

struct MoveOutputs {
    std::vector<MoveDirective> directives; ///< New directives; to be committed to the decision log before they are sent to nodes.
    std::vector<MoveOrder> orders;
};

/// Counts with exponential decay.
struct DecayingRate {
    double hits = 0;
    double trials = 0;
};

/// Latency measures that are compared: first token and whole request, each at the median and at 90%.
inline constexpr size_t latencyMeasures = 4;

/// Comparison of both versions over the same period. It starts when a test rejects while most of the route's traffic is on
/// the new version: with little traffic on the old version, the test cannot tell a bad version from an outage of both.
struct RouteCheck {
    TimeMs until; ///< 0: no check is running.
    TimeMs latest; ///< Extensions do not go past this time.
    uint64_t events = 0; ///< Failures or slow requests of both versions.
    size_t measure = 0; ///< 0 for errors; n for latency measure n - 1.
    double shareBefore = 1;
};

/// Tests of one route. Each consumes one window of evidence per second.
struct RouteTests {
    SequentialTest errors;
    std::array<SequentialTest, latencyMeasures> slow;
    SequentialTest errorsProof; ///< Rejects the hypothesis "fails too often".
    std::array<SequentialTest, 2> slowProof; ///< Reject the hypothesis "too slow": first token and whole request, at the median.
    VersionEvidence oldRecent; ///< Halved every 5 minutes while the old version has traffic.
    VersionEvidence newTotal;
    VersionEvidence pendingOld; ///< Evidence of the current window.
    VersionEvidence pendingNew;
    DecayingRate currentOldErrors; ///< Half-life of 10 s, to detect an outage of both versions.
    std::array<DecayingRate, latencyMeasures> currentOldSlow;
    std::array<double, latencyMeasures> baselineLatency {}; ///< Latency of the old version before the shift, ms.
    double rate = 0; ///< Requests/s of both versions, smoothed.
    double rateWindows = 0; ///< Number of windows in `rate`.
    double share = 0; ///< Current share of the new version.
    TimeMs lastStep;
    bool proven = false;
    RouteCheck check;
    /// Tests of the new version's share in all failures or slow requests, by RouteCheck::measure. They continue over
    /// several checks, so that their evidence adds up.
    std::array<SequentialTest, 1 + latencyMeasures> checkTests;
};

/// Tests of all routes together, run while no route has moved by more than half. They detect a fault that is common to all
/// routes sooner than the tests of single routes.
struct PooledTests {
    SequentialTest errors;
    std::array<SequentialTest, latencyMeasures> slow;
};

struct ActiveMove {
    MoveDirective directive;
    MoveRule rule; ///< Latest version from the rules in force.
    std::map<std::string, RouteTests> routes;
    PooledTests pooled;
    bool sharesChanged = false; ///< A check has started or ended, so a new directive is due.
    TimeMs nextWindow;
    TimeMs nextDecayAt;
    TimeMs observedSince; ///< Time since which this leader has collected evidence.
    TimeMs warmUntil; ///< Latency of the new version is ignored before this time.
    TimeMs nextBurst; ///< Time of the next change between burst and pause of the canary.
    bool bursting = false;
    bool bad = false;
    bool republish = false; ///< Set by a new leader, which has to publish the directive again.
    std::string badReason;
    uint32_t newRunners = 0;
    std::map<MoveOrderKind, uint32_t> ordered; ///< Last target number of runners, by kind of order.
};

/// State on the decision leader. Sequences continue from the restored directives.
struct MoveController {
    MoveSettings settings;
    std::map<std::string, ActiveMove> moves; ///< By rule name; finished moves are kept while their rule exists.
};

/// Resumes the directives of the decision log after an election. Evidence starts from zero, and each further leader gets a
/// smaller fraction of the false-alarm rate, so that the total holds for any number of leaders.
void restoreMoves(MoveController&, std::span<const MoveDirective>, const RuleSet&, TimeMs now);
/// Advances all moves. Must be called at least once a second.
void stepMoves(MoveController&, const MoveInputs&, MoveOutputs&);
/// False-alarm rate that the n-th leader (from 0) of a move may spend: 3/4, 3/16, ... of the total.
double falseAlarmRateOfLeader(double total, uint32_t leader);

}
