#include "RolloutModel.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace siskinshunt;

static constexpr int seeds = 200;

static void check(const char* name, const RolloutRates& rates)
{
    BOOST_TEST_MESSAGE(name << ": completed " << rates.completed << ", rolled back " << rates.rolledBack << ", over the exposure limit " << rates.overExposed << " of " << rates.runs
                            << "; bad answers " << static_cast<double>(rates.bad) / rates.runs << " a run, at most " << rates.most << " requests to the new version");
}

static void checkGood(const char* name, const RolloutScenario& scenario)
{
    const auto rates = runRollouts(scenario, seeds);
    check(name, rates);
    // 1 in 100 may be taken back, as for the moves of the product's own rules.
    BOOST_TEST(rates.rolledBack <= seeds / 100, name);
    BOOST_TEST(rates.completed >= seeds - seeds / 100, name);
}

static void checkBad(const char* name, const RolloutScenario& scenario)
{
    const auto rates = runRollouts(scenario, seeds);
    check(name, rates);
    BOOST_TEST(rates.rolledBack >= seeds - seeds / 100, name);
    BOOST_TEST(rates.overExposed == 0, name);
}

// For time limits in which a version that is not found goes over the exposure limit by its completion alone.
static void checkBadIsFound(const char* name, const RolloutScenario& scenario)
{
    const auto rates = runRollouts(scenario, seeds);
    check(name, rates);
    BOOST_TEST(rates.rolledBack >= seeds - seeds / 100, name);
    BOOST_TEST(rates.overExposed <= rates.completed, name);
}

BOOST_AUTO_TEST_SUITE(Rollouts)

// Guards against a sound version that is taken back, or completed after its time limit.
BOOST_AUTO_TEST_CASE(SoundVersionIsCompletedInTime)
{
    checkGood("sound", {});
    checkGood("sound, 12 s", { .within = 12_s });
    checkGood("sound, 500 a second", { .perSecond = 500, .oldInstances = 12, .newInstances = 12 });
    checkGood("sound, 6 a second", { .perSecond = 6 });
    checkGood("sound, 1 a second", { .perSecond = 1 });
    checkGood("sound, one instance", { .oldInstances = 1, .newInstances = 1 });
    checkGood("sound, fewer new instances", { .oldInstances = 6, .newInstances = 2 });
}

// Guards against a sound version that is taken back for what hits the others as well, or the path of one node only.
BOOST_AUTO_TEST_CASE(SoundVersionIsCompletedInSpiteOfTrouble)
{
    checkGood("sound, outages", { .trouble = RolloutTrouble::Outage });
    checkGood("sound, lossy path", { .trouble = RolloutTrouble::LossyPath });
    checkGood("sound, failing backend", { .trouble = RolloutTrouble::BusyBackend });
}

// Guards against a bad version that is completed, or that gets more than a tenth of the requests and 50 before the time limit.
BOOST_AUTO_TEST_CASE(BadVersionIsTakenBackWithinTheExposureLimit)
{
    checkBad("fails at once", { .fault = RolloutFault::AtOnce });
    checkBad("fails at once, 3 of 10", { .fault = RolloutFault::AtOnce, .failureRate = 0.3 });
    checkBad("fails late", { .fault = RolloutFault::Late });
    checkBad("fails under load", { .fault = RolloutFault::UnderLoad });
    checkBad("fails under load, 12 s", { .fault = RolloutFault::UnderLoad, .within = 12_s });
    checkBad("fails under load, 500 a second", { .fault = RolloutFault::UnderLoad, .perSecond = 500, .oldInstances = 12, .newInstances = 12 });
    checkBad("slow", { .fault = RolloutFault::Slow });
    checkBad("slower than callers wait", { .fault = RolloutFault::Silent });
    checkBad("slow streams", { .fault = RolloutFault::SlowStreams });
}

// Guards against a fault of one route that the results of the others hide.
BOOST_AUTO_TEST_CASE(BadRouteIsFound)
{
    checkBad("fails on one route of ten", { .fault = RolloutFault::OneRoute, .perSecond = 200, .oldInstances = 4, .newInstances = 4 });
}

static constexpr std::array<std::pair<double, TimeMs>, 12> fewRequests { {
    { 1, 12_s },
    { 1, 20_s },
    { 1, 30_s },
    { 2.5, 12_s },
    { 2.5, 20_s },
    { 2.5, 30_s },
    { 4.5, 12_s },
    { 4.5, 20_s },
    { 4.5, 30_s },
    { 8, 12_s },
    { 8, 20_s },
    { 8, 30_s },
} };

static std::string describe(const char* what, double perSecond, TimeMs within)
{
    return std::string(what) + ", " + std::to_string(perSecond) + " a second, " + std::to_string(within.value / 1000) + " s";
}

// Guards against a bad version that is completed on hardly any results, since its backend has few requests.
BOOST_AUTO_TEST_CASE(BadVersionOfABackendWithFewRequestsIsTakenBack)
{
    for (const auto& [perSecond, within] : fewRequests) {
        // With 20 requests and fewer in all, the version may answer too few of them to show its fault.
        if (perSecond * within.seconds() <= 20)
            continue;
        const RolloutScenario scenario { .fault = RolloutFault::AtOnce, .failureRate = 0.6, .perSecond = perSecond, .within = within };
        checkBad(describe("3 of 5 fail", perSecond, within).c_str(), scenario);
    }
}

// Guards against a sound version that is taken back, or never completed, since its backend has few requests or none.
BOOST_AUTO_TEST_CASE(SoundVersionOfABackendWithFewRequestsIsCompleted)
{
    for (const auto& [perSecond, within] : fewRequests)
        checkGood(describe("sound", perSecond, within).c_str(), { .perSecond = perSecond, .within = within });
    checkGood("sound, one request", { .perSecond = 0.05, .within = 20_s });
    checkGood("sound, no request", { .perSecond = 0, .within = 20_s });
}

// Guards against a version that is completed although its results after the switch of all requests show that it has turned bad.
BOOST_AUTO_TEST_CASE(VersionThatTurnsBadBeforeItsCompletionIsTakenBack)
{
    for (const TimeMs within : { 40_s, 60_s }) {
        const TimeMs switchAt = within - completionMargin(within);
        for (const TimeMs badFrom : { switchAt - 500_ms, switchAt, switchAt + 100_ms })
            checkBad(describe("3 of 5 fail late", 60, badFrom).c_str(), { .fault = RolloutFault::Late, .failureRate = 0.6, .badFrom = badFrom, .within = within });
    }
}

// Guards against a sound version that is taken back after the switch, since fewer and colder instances than before answer more slowly.
BOOST_AUTO_TEST_CASE(SoundVersionIsCompletedThoughItSlowsDownAfterTheSwitch)
{
    for (const TimeMs within : { 12_s, 24_s, 40_s, 60_s })
        checkGood(describe("sound, slower after the switch", 60, within).c_str(), { .slowdown = 2.5, .within = within });
}

// When the core is gone, in ms after an order of 12 s: before, in and after the last burst, from the switch to its record, and past the limit.
static constexpr std::array<std::pair<TimeMs, TimeMs>, 6> leaderChanges { { { 5_s, 7_s }, { 8800_ms, 10_s }, { 10500_ms, 11500_ms }, { 11300_ms, 12_s }, { 8800_ms, 12800_ms }, { 11_s, 15_s } } };

// Guards against a new decision leader that takes the absence of reports for the absence of requests, and completes a version without evidence.
BOOST_AUTO_TEST_CASE(BadVersionIsTakenBackByANewLeader)
{
    for (const auto& [lostAt, backAt] : leaderChanges) {
        const std::string name = "bad from 8.7 s, no leader from " + std::to_string(lostAt.value) + " to " + std::to_string(backAt.value) + " ms";
        checkBad(name.c_str(), { .fault = RolloutFault::Late, .failureRate = 0.6, .badFrom = 8700_ms, .leaderLostAt = lostAt, .leaderBackAt = backAt, .within = 12_s });
        const std::string loaded = "under load, no leader from " + std::to_string(lostAt.value) + " to " + std::to_string(backAt.value) + " ms";
        checkBad(loaded.c_str(), { .fault = RolloutFault::UnderLoad, .failureRate = 0.6, .leaderLostAt = lostAt, .leaderBackAt = backAt, .within = 12_s });
    }
}

// Guards against a sound version that is not completed because the leader changed while there was time for its trial.
BOOST_AUTO_TEST_CASE(SoundVersionIsCompletedByANewLeader)
{
    checkGood("sound, no leader from 5 to 7 s", { .leaderLostAt = 5_s, .leaderBackAt = 7_s, .within = 12_s });
    checkGood("sound, no leader from 8 to 12 s", { .leaderLostAt = 8_s, .leaderBackAt = 12_s });
}

// Guards against an order that never ends because the leader came after its limit.
BOOST_AUTO_TEST_CASE(OrderEndsUnderALeaderThatComesLate)
{
    for (const auto& [lostAt, backAt] : leaderChanges) {
        const auto rates = runRollouts({ .leaderLostAt = lostAt, .leaderBackAt = backAt, .within = 12_s }, seeds);
        check(("sound, no leader from " + std::to_string(lostAt.value) + " to " + std::to_string(backAt.value) + " ms").c_str(), rates);
        BOOST_TEST(rates.completed + rates.rolledBack == rates.runs);
    }
}

// Guards against a new leader that knows no entry node yet, or one that has stood still, and takes this for a backend without requests or without
// faults.
BOOST_AUTO_TEST_CASE(NothingIsCompletedWithoutReports)
{
    RolloutReports onlyItsOwn { .nodes = {}, .recent = 1, .missing = 0, .tripped = {}, .oldInstances = 3, .newInstances = 3 };
    auto late = startRollout({}, 12_s);
    RolloutDecision decision;
    for (TimeMs now { 11200 }; now <= 13_s && (decision.action == RolloutAction::Wait || decision.action == RolloutAction::Burst); now += 100_ms)
        decision = stepRollout(late, onlyItsOwn, {}, now);
    BOOST_TEST((decision.action == RolloutAction::RollBack), decision.reason);

    auto still = startRollout({}, 12_s);
    for (TimeMs now; now <= 11200_ms; now += 100_ms)
        decision = stepRollout(still, onlyItsOwn, {}, now);
    BOOST_TEST((decision.action == RolloutAction::Switch), decision.reason);
    const RolloutReports silent { .nodes = {}, .recent = 0, .missing = 12, .tripped = {}, .oldInstances = 3, .newInstances = 3 };
    BOOST_TEST((stepRollout(still, silent, {}, 11900_ms).action == RolloutAction::Switch));
    BOOST_TEST((stepRollout(still, silent, {}, 12100_ms).action == RolloutAction::RollBack));
}

// Guards against an order with a short time limit that never ends, or that is completed without the load of an instance.
BOOST_AUTO_TEST_CASE(OrderWithAShortTimeLimit)
{
    for (const TimeMs within : { 3_s, 4_s, 5_s, 6_s, 7_s, 8_s }) {
        checkGood(describe("sound", 60, within).c_str(), { .within = within });
        checkBad(describe("3 of 5 fail", 60, within).c_str(), { .fault = RolloutFault::AtOnce, .failureRate = 0.6, .within = within });
        checkBadIsFound(describe("3 of 5 fail under load", 60, within).c_str(), { .fault = RolloutFault::UnderLoad, .failureRate = 0.6, .within = within });
    }
    for (const TimeMs within : { 1_s, 2_s }) {
        const auto rates = runRollouts({ .within = within }, seeds);
        check(describe("sound", 60, within).c_str(), rates);
        BOOST_TEST(rates.completed + rates.rolledBack == rates.runs);
    }
}

// Guards against a version that is completed on the results of other routes: its fault is on one with a thirtieth of the requests.
BOOST_AUTO_TEST_CASE(BadRouteWithFewRequestsIsFound)
{
    for (const TimeMs within : { 12_s, 24_s }) {
        RolloutScenario scenario { .fault = RolloutFault::OneRoute, .failureRate = 0.6, .perSecond = 62, .quietShare = 2 / 62.0, .within = within };
        checkBad(describe("3 of 5 fail on a route with 2 of", 62, within).c_str(), scenario);
        scenario.fault = RolloutFault::None;
        checkGood(describe("sound, a route with 2 of", 62, within).c_str(), scenario);
    }
}

// Guards against faults that trouble hides.
BOOST_AUTO_TEST_CASE(BadVersionIsTakenBackInSpiteOfTrouble)
{
    checkBad("fails at once, outages", { .fault = RolloutFault::AtOnce, .trouble = RolloutTrouble::Outage });
    checkBad("fails under load, lossy path", { .fault = RolloutFault::UnderLoad, .trouble = RolloutTrouble::LossyPath });
    checkBad("fails at once, failing backend", { .fault = RolloutFault::AtOnce, .trouble = RolloutTrouble::BusyBackend });
}

// Guards against a rate of requests that rests on the moment between the order and the first step: the first requests were too few to show
// anything.
BOOST_AUTO_TEST_CASE(FirstStepSoonAfterTheOrderGivesNoRate)
{
    auto rollout = startRollout({}, 24_s);
    RolloutReports reports { .nodes = {}, .oldInstances = 3, .newInstances = 3 };
    auto& results = reports.nodes[NodeId { 1 }];
    results.push_back({ .route = "busy" });
    RolloutDecision decision;
    for (TimeMs now { 1 }; now < 3_s && decision.action == RolloutAction::Wait; now += 300_ms) {
        results[0].before.started = results[0].before.ended = 1 + static_cast<uint32_t>(now.value * 60 / 1000);
        decision = stepRollout(rollout, reports, {}, now);
    }
    BOOST_TEST((decision.action == RolloutAction::Burst));
    // Ten requests, at a tenth of 60 in a second.
    BOOST_TEST(decision.length.value >= 1500);
    BOOST_TEST(decision.length.value <= 1800);
}

// Guards against first requests that are too few by chance, so that a version that always fails is found only under the load of an instance.
BOOST_AUTO_TEST_CASE(VersionThatAlwaysFailsIsFoundByItsFirstRequests)
{
    for (const int nodes : { 3, 7, 12 }) {
        const RolloutScenario scenario { .fault = RolloutFault::AtOnce, .failureRate = 1, .nodes = nodes };
        int late = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            const auto result = RolloutModel(scenario, static_cast<uint64_t>(seed)).run();
            late += !result.rolledBack || result.endedAt >= scenario.within / 5;
        }
        BOOST_TEST_MESSAGE(nodes << " nodes: found later " << late << " of " << seeds);
        BOOST_TEST(late <= seeds / 100, nodes << " nodes");
    }
}

// Times of the bursts before the last one. Three nodes send 20 requests a second each; the new version gets `sent` in the first burst and none
// after it, of which `failures` fail. The limit allows no burst under load but the last one.
static std::vector<TimeMs> firstBursts(const std::array<uint32_t, 3>& sent, const std::array<uint32_t, 3>& failures)
{
    auto rollout = startRollout({}, 24_s);
    RolloutReports reports { .nodes = {}, .oldInstances = 3, .newInstances = 3 };
    std::vector<TimeMs> bursts;
    for (TimeMs now; now < 12_s; now += 300_ms) {
        for (size_t n = 0; n < sent.size(); ++n) {
            auto& results = reports.nodes[NodeId { n + 1 }];
            results.resize(1);
            results[0].route = "busy";
            results[0].before.started = results[0].before.ended = static_cast<uint32_t>(now.value / 50);
            if (now > 2500_ms) {
                results[0].after.started = results[0].after.ended = sent[n];
                results[0].after.failures = failures[n];
            }
        }
        if (stepRollout(rollout, reports, {}, now).action == RolloutAction::Burst)
            bursts.push_back(now);
    }
    return bursts;
}

// Guards against a trial that waits for its last burst although its first requests show a fault, of the version or of the path of one node.
BOOST_AUTO_TEST_CASE(FirstRequestsGoOnWhileOnePathMayBeAtFault)
{
    BOOST_TEST(firstBursts({ 5, 3, 2 }, { 0, 0, 0 }).size() == 1U);
    BOOST_TEST(firstBursts({ 5, 3, 2 }, { 1, 1, 0 }).size() == 1U);
    BOOST_TEST(firstBursts({ 5, 3, 2 }, { 4, 1, 0 }).size() > 1U);
}

// Guards against first requests that end at the time of a burst for which the limit has no room.
BOOST_AUTO_TEST_CASE(FirstRequestsGoOnWithoutRoomForABurst)
{
    BOOST_TEST(firstBursts({ 4, 2, 0 }, { 3, 0, 0 }).back().value > 24000 / 5);
}

// The decision on a version in use that fails `failures` of its 200 results within 24 s, beside another one with `others` results.
static RolloutAction decisionOnVersionInUse(uint32_t failures, uint32_t others, size_t oldInstances)
{
    auto rollout = startRollout({}, 24_s);
    RolloutReports reports { .nodes = {}, .oldInstances = oldInstances, .newInstances = 3 };
    RolloutAction action = RolloutAction::Wait;
    for (TimeMs now; now <= 24_s && (action == RolloutAction::Wait || action == RolloutAction::Switch); now += 300_ms) {
        for (uint64_t n = 1; n <= 4; ++n) {
            auto& results = reports.nodes[NodeId { n }];
            results.resize(1);
            results[0].route = "busy";
            const auto part = static_cast<uint32_t>(now.value);
            results[0].before.started = results[0].before.ended = others / 4 * part / 24000;
            results[0].after.started = results[0].after.ended = 50 * part / 24000;
            results[0].after.failures = failures / 4 * part / 24000;
        }
        action = stepVersionInUse(rollout, reports, now).action;
    }
    return action;
}

// Guards against a version in use that has turned bad and is completed without a look at its results, and against an outage that takes back the only
// version that serves.
BOOST_AUTO_TEST_CASE(VersionInUseIsComparedWithOthersInUse)
{
    BOOST_TEST((decisionOnVersionInUse(0, 200, 3) == RolloutAction::Complete));
    BOOST_TEST((decisionOnVersionInUse(120, 200, 3) == RolloutAction::RollBack));
    BOOST_TEST((decisionOnVersionInUse(120, 0, 0) == RolloutAction::Complete));
}

// Guards against a version that is completed without evidence, since no connection to its instances can be made.
BOOST_AUTO_TEST_CASE(VersionWithoutResultsIsTakenBack)
{
    auto rollout = startRollout({}, 24_s);
    RolloutReports reports { .nodes = {}, .oldInstances = 3, .newInstances = 3 };
    auto& results = reports.nodes[NodeId { 1 }];
    results.push_back({ .route = "busy" });
    RolloutDecision decision;
    for (TimeMs now; now < 30_s && (decision.action == RolloutAction::Wait || decision.action == RolloutAction::Burst); now += 300_ms) {
        results[0].before.started = results[0].before.ended = static_cast<uint32_t>(now.value / 16);
        results[0].before.milliseconds = static_cast<float>(results[0].before.ended) * 100;
        decision = stepRollout(rollout, reports, {}, now);
    }
    BOOST_TEST((decision.action == RolloutAction::RollBack), decision.reason);
}

// Guards against a version that is ordered, given up for the former one and ordered again, also several times: a sound one has to be completed in
// time, a bad one taken back within the exposure limit of each order.
BOOST_AUTO_TEST_CASE(VersionIsOrderedAgain)
{
    const auto again = [](RolloutScenario scenario, int orders, TimeMs givenUpAfter) {
        scenario.orders = orders;
        scenario.givenUpAfter = givenUpAfter;
        scenario.orderInterval = givenUpAfter + 2_s;
        return scenario;
    };
    for (const auto& [orders, givenUpAfter] : { std::pair(2, 2_s), std::pair(2, 6_s), std::pair(2, 15_s), std::pair(4, 6_s) }) {
        checkGood("sound, ordered again", again({}, orders, givenUpAfter));
        checkGood("sound, ordered again, 500 a second", again({ .perSecond = 500, .oldInstances = 12, .newInstances = 12 }, orders, givenUpAfter));
        checkBad("fails at once, ordered again", again({ .fault = RolloutFault::AtOnce }, orders, givenUpAfter));
        checkBad("fails under load, ordered again", again({ .fault = RolloutFault::UnderLoad }, orders, givenUpAfter));
        checkBad("slow, ordered again", again({ .fault = RolloutFault::Slow }, orders, givenUpAfter));
    }
}

BOOST_AUTO_TEST_SUITE_END()
