#include "forward/FairAdmission.h"

#include "FairFleet.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace siskinshunt;

BOOST_AUTO_TEST_SUITE(FairAdmission)

static std::map<std::string, double> equalWeights() { return {}; }

BOOST_AUTO_TEST_CASE(waterLevelIsInfiniteWhileAllDemandsFit)
{
    BOOST_CHECK(std::isinf(waterLevel({ { "a", 10 }, { "b", 20 } }, equalWeights(), 30)));
    BOOST_CHECK(std::isinf(waterLevel({}, equalWeights(), 0)));
}

// Guards against shares by demand: the room that a small account leaves is divided among the others, not wasted.
BOOST_AUTO_TEST_CASE(waterLevelDividesWhatSmallAccountsLeave)
{
    BOOST_CHECK_CLOSE(waterLevel({ { "a", 10 }, { "b", 100 }, { "c", 400 } }, equalWeights(), 100), 45, 1e-6);
    BOOST_CHECK_CLOSE(waterLevel({ { "a", 10 }, { "b", 100 }, { "c", 400 } }, { { "c", 2 } }, 100), 30, 1e-6);
}

// Guards against strict order of urgency, which would leave the last level nothing as long as the others use up the share.
BOOST_AUTO_TEST_CASE(shareIsDividedByUrgencyWithoutStarvingAnyLevel)
{
    WorkByUrgency offered {};
    offered[0] = 60;
    offered[4] = 60;
    offered[9] = 60;
    const auto parts = divideShare(offered, 90);
    BOOST_CHECK_CLOSE(parts[0], 1, 1e-6);
    BOOST_CHECK_GT(parts[4], parts[9]);
    BOOST_CHECK_CLOSE(parts[9], 3.0 / 60, 1e-6);
    BOOST_CHECK_CLOSE(parts[0] * 60 + parts[4] * 60 + parts[9] * 60, 90, 1e-6);
}

static BackendWork workOf(double offered, double served)
{
    BackendWork out;
    out.offered["a"][1] = offered;
    out.served[1] = served;
    out.targets[1] = offered * 1000;
    return out;
}

// Ten engines at which a request waits so long, with a target of 1 s.
static BackendEngines enginesOf(double backlogMs)
{
    BackendEngines out { .count = 10, .busy = std::min(10.0, backlogMs / 50) };
    out.backlogMs.fill(backlogMs);
    return out;
}

// Guards against limits on backends whose upstreams have room: more demand than usual alone is no pressure.
BOOST_AUTO_TEST_CASE(noPressureWithoutBacklog)
{
    BackendPressure pressure;
    for (TimeMs now { 1000 }; now < 10_s; now += 100_ms) {
        updatePressure(pressure, now, workOf(30000, 10000), enginesOf(200));
        BOOST_CHECK(computeShares(pressure, now, workOf(30000, 10000), enginesOf(200), {}).empty());
    }
}

// Guards against a capacity estimate that follows the demand down, so that the next burst would be refused.
BOOST_AUTO_TEST_CASE(capacityDoesNotFallWhileLittleIsSent)
{
    BackendPressure pressure;
    for (TimeMs now { 1000 }; now < 60_s; now += 100_ms)
        updatePressure(pressure, now, workOf(500, 500), enginesOf(20));
    BOOST_CHECK_EQUAL(pressure.workPerEngine, 1000);
}

// Guards against pressure that switches on and off with each report.
BOOST_AUTO_TEST_CASE(pressureEndsOnlyAfterACalmTime)
{
    BackendPressure pressure;
    TimeMs now { 1000 };
    const auto update = [&](TimeMs step, double offered, double backlogMs) {
        now += step;
        updatePressure(pressure, now, workOf(offered, std::min(offered, 10000.0)), enginesOf(backlogMs));
        return pressure.underPressure;
    };
    BOOST_CHECK(update(100_ms, 20000, 700));
    BOOST_CHECK(update(100_ms, 8000, 100));
    BOOST_CHECK(update(200_ms, 8000, 500));
    BOOST_CHECK(update(400_ms, 8000, 100));
    BOOST_CHECK(!update(500_ms, 8000, 100));
}

// Guards against a mean over all requests, which would hide that engines let the less urgent ones wait.
BOOST_AUTO_TEST_CASE(pressureIsThatOfTheUrgencyThatWaitsLongest)
{
    BackendWork work = workOf(7000, 7000);
    work.offered["a"][7] = 2000;
    work.targets[7] = 2000 * 500;
    BackendEngines engines { .count = 10 };
    engines.backlogMs[1] = 50;
    engines.backlogMs[7] = 120;
    BOOST_CHECK_CLOSE(waitRatio(work, engines, 1000), 120 / 0.3 / 500, 1e-6);
}

// Guards against an account that is never limited because the pressure began while everything still fitted.
BOOST_AUTO_TEST_CASE(accountIsLimitedAlsoIfItsDemandFittedAtFirst)
{
    BackendPressure pressure;
    TimeMs now { 1000 };
    updatePressure(pressure, now, workOf(9000, 9000), enginesOf(800));
    BOOST_CHECK(computeShares(pressure, now, workOf(9000, 9000), enginesOf(800), {}).empty());
    for (int n = 0; n < 10; ++n) {
        now += 100_ms;
        updatePressure(pressure, now, workOf(30000, 10000), enginesOf(800));
        computeShares(pressure, now, workOf(30000, 10000), enginesOf(800), {});
    }
    const auto parts = computeShares(pressure, now, workOf(30000, 10000), enginesOf(800), {});
    BOOST_REQUIRE(parts.contains("a"));
    BOOST_CHECK_LT(parts.at("a")[1], 0.5);
}

// Guards against parts of a hub that has gone: they must not limit anyone for longer than a second.
BOOST_AUTO_TEST_CASE(sharesExpire)
{
    ShareLimiter limiter;
    AdmittedParts parts;
    parts["a"] = {};
    setShares(limiter, 5_s, parts);
    BOOST_CHECK(!admitWork(limiter, 5_s, "a", 1, 100, 1));
    BOOST_CHECK(admitWork(limiter, 5_s, "b", 1, 100, 2));
    BOOST_CHECK(!admitWork(limiter, 6_s, "a", 1, 100, 3));
    BOOST_CHECK(admitWork(limiter, 6_s + 1_ms, "a", 1, 100, 4));
}

// Guards against refusals by chance: of each account, each node admits the part to within one request.
BOOST_AUTO_TEST_CASE(admittedWorkFollowsThePart)
{
    ShareLimiter limiter { .seed = 7 };
    AdmittedParts parts;
    parts["a"].fill(0.37);
    double admitted = 0;
    for (int n = 0; n < 1000; ++n) {
        const TimeMs now = 1_s + TimeMs { n * 10 };
        setShares(limiter, now, parts);
        if (admitWork(limiter, now, "a", 3, 50, static_cast<uint64_t>(n)))
            admitted += 50;
        BOOST_CHECK_LE(std::abs(admitted - 0.37 * 50 * (n + 1)), 50.001);
    }
}

// Guards against large requests that never fit between smaller ones.
BOOST_AUTO_TEST_CASE(largeRequestsAreAdmittedToo)
{
    ShareLimiter limiter;
    AdmittedParts parts;
    parts["a"].fill(0.3);
    int large = 0;
    for (int n = 0; n < 400; ++n) {
        const TimeMs now = 1_s + TimeMs { n * 10 };
        setShares(limiter, now, parts);
        const bool isLarge = n % 20 == 0;
        if (admitWork(limiter, now, "a", 3, isLarge ? 300 : 20, static_cast<uint64_t>(n)) && isLarge)
            ++large;
    }
    BOOST_CHECK_GE(large, 2);
}

// Guards against clients that all return at the same time, and against promises that newcomers take.
BOOST_AUTO_TEST_CASE(returnTimesAreInOrderAndKept)
{
    ShareLimiter limiter;
    AdmittedParts parts;
    parts["a"] = {};
    setShares(limiter, 1_s, parts);
    TimeMs last;
    for (uint64_t n = 1; n <= 10; ++n) {
        const TimeMs wait = promiseReturn(limiter, 1_s, "a", 100, 500, n);
        BOOST_CHECK(wait > last);
        last = wait;
    }
    BOOST_CHECK_EQUAL(last.value, 2000);
    setShares(limiter, 1200_ms, parts);
    BOOST_CHECK(!admitWork(limiter, 1200_ms, "a", 1, 100, 99));
    BOOST_CHECK(admitWork(limiter, 1200_ms, "a", 1, 100, 1));
    BOOST_CHECK(!admitWork(limiter, 1200_ms, "a", 1, 100, 1));
    BOOST_CHECK(!admitWork(limiter, 1200_ms, "a", 1, 100, 5));
}

// Results of one load at one fleet size and age of the reports, with all policies.
struct MeasuredLoad {
    std::string text;
    FairResult shares;
    FairResult backlog;
    FairResult queues;
};

static std::vector<MeasuredLoad> measure(const std::string& name, const FairLoad& load)
{
    std::vector<MeasuredLoad> out;
    for (const size_t nodes : { 8, 60, 200 }) {
        for (const int64_t age : { 50, 200, 600 }) {
            const auto run = [&](FairPolicy policy) { return runFairFleet(load, policy, nodes, TimeMs { age }); };
            out.push_back({ name + ", " + std::to_string(nodes) + " nodes, reports " + std::to_string(age) + " ms old: ", run(FairPolicy::Shares), run(FairPolicy::Backlog), run(FairPolicy::NodeQueues) });
        }
    }
    return out;
}

static const std::vector<MeasuredLoad>& measured(const std::string& name, const FairLoad& load)
{
    static std::map<std::string, std::vector<MeasuredLoad>> known;
    const auto it = known.find(name);
    return it == known.end() ? known.emplace(name, measure(name, load)).first->second : it->second;
}

// An account is served what it offers within its share, to within 5%, and no other policy does better.
static void checkShares(const std::string& name, const FairLoad& load)
{
    for (const auto& [text, shares, backlog, queues] : measured(name, load)) {
        BOOST_TEST_MESSAGE(text << "least part of a share " << shares.leastShare << " (" << shares.leastAccount << "), backlog test " << backlog.leastShare << ", queues " << queues.leastShare
                                << "; capacity used " << shares.used << ", " << backlog.used << ", " << queues.used << "; in time " << shares.inTime << ", " << backlog.inTime << ", " << queues.inTime);
        BOOST_CHECK_MESSAGE(shares.leastShare >= 0.95, text << shares.leastAccount << " was served " << shares.leastShare << " of its share");
        BOOST_CHECK_MESSAGE(shares.leastShare >= std::min(0.95, queues.leastShare), text << "queues at each node are fairer: " << queues.leastShare);
    }
}

// The capacity is used, no account and class is starved, and shares are fairer than the backlog test alone.
static void checkUse(const std::string& name, const FairLoad& load)
{
    for (const auto& [text, shares, backlog, queues] : measured(name, load)) {
        BOOST_CHECK_MESSAGE(shares.used >= 0.95, text << "only " << shares.used << " of the capacity was used");
        BOOST_CHECK_MESSAGE(shares.starved.empty(), text << "starved: " << shares.starved);
        BOOST_CHECK_MESSAGE(shares.leastShare >= std::min(0.95, backlog.leastShare), text << "the backlog test alone is fairer: " << backlog.leastShare);
        BOOST_CHECK_MESSAGE(shares.inTime >= backlog.inTime, text << "the backlog test alone serves more in time: " << backlog.inTime);
    }
}

static const FairLoad oneAccountAtSixTimes { .factor = [](int account) { return account == 0 ? 6.0 : 1.0; } };

BOOST_AUTO_TEST_CASE(oneAccountAtSixTimesIsServedByShare)
{
    checkShares("the largest account at 6 times", oneAccountAtSixTimes);
}

BOOST_AUTO_TEST_CASE(oneAccountAtSixTimesUsesTheCapacity)
{
    checkUse("the largest account at 6 times", oneAccountAtSixTimes);
}

static const FairLoad twoAccountsAtSixTimesWhileAllSendMore { .factor = [](int account) { return account == 0 || account == 2 ? 6 * 2.2 : 2.2; } };

BOOST_AUTO_TEST_CASE(twoAccountsAtSixTimesWhileAllSendMoreIsServedByShare)
{
    checkShares("two accounts at 6 times, all at 2.2 times", twoAccountsAtSixTimesWhileAllSendMore);
}

BOOST_AUTO_TEST_CASE(twoAccountsAtSixTimesWhileAllSendMoreUsesTheCapacity)
{
    checkUse("two accounts at 6 times, all at 2.2 times", twoAccountsAtSixTimesWhileAllSendMore);
}

static const FairLoad allAtTwoAndAHalfTimesForFiveSeconds { .factor = [](int) { return 2.5; }, .duration = 5_s };

BOOST_AUTO_TEST_CASE(allAtTwoAndAHalfTimesForFiveSecondsIsServedByShare)
{
    checkShares("all at 2.5 times for 5 s", allAtTwoAndAHalfTimesForFiveSeconds);
}

BOOST_AUTO_TEST_CASE(allAtTwoAndAHalfTimesForFiveSecondsUsesTheCapacity)
{
    checkUse("all at 2.5 times for 5 s", allAtTwoAndAHalfTimesForFiveSeconds);
}

static const FairLoad allAtTwoAndAHalfTimesForSevenSeconds { .factor = [](int) { return 2.5; }, .duration = 7_s };

BOOST_AUTO_TEST_CASE(allAtTwoAndAHalfTimesForSevenSecondsIsServedByShare)
{
    checkShares("all at 2.5 times for 7 s", allAtTwoAndAHalfTimesForSevenSeconds);
}

BOOST_AUTO_TEST_CASE(allAtTwoAndAHalfTimesForSevenSecondsUsesTheCapacity)
{
    checkUse("all at 2.5 times for 7 s", allAtTwoAndAHalfTimesForSevenSeconds);
}

static const FairLoad enginesOfADomainGone { .factor = [](int account) { return account == 0 ? 6.0 : 1.0; }, .enginesGone = 14 };

BOOST_AUTO_TEST_CASE(enginesOfADomainGoneIsServedByShare)
{
    checkShares("14 of 60 engines gone, the largest account at 6 times", enginesOfADomainGone);
}

BOOST_AUTO_TEST_CASE(enginesOfADomainGoneUsesTheCapacity)
{
    checkUse("14 of 60 engines gone, the largest account at 6 times", enginesOfADomainGone);
}

static const FairLoad callersThatRepeatAtOnce { .factor = [](int account) { return account == 0 ? 6.0 : 1.0; }, .repeats = 3 };

BOOST_AUTO_TEST_CASE(callersThatRepeatAtOnceIsServedByShare)
{
    checkShares("the largest account at 6 times, refused callers repeat at once", callersThatRepeatAtOnce);
}

BOOST_AUTO_TEST_CASE(callersThatRepeatAtOnceUsesTheCapacity)
{
    checkUse("the largest account at 6 times, refused callers repeat at once", callersThatRepeatAtOnce);
}

static const FairLoad idleAccount { .factor = [](int account) { return account == 0 ? 0.0 : 3.0; } };

BOOST_AUTO_TEST_CASE(idleAccountIsServedByShare)
{
    checkShares("the largest account idle, all others at 3 times", idleAccount);
}

BOOST_AUTO_TEST_CASE(idleAccountUsesTheCapacity)
{
    checkUse("the largest account idle, all others at 3 times", idleAccount);
}

// Guards against limits on a fleet that has room.
BOOST_AUTO_TEST_CASE(usualLoadIsNotLimited)
{
    const FairLoad load { .factor = [](int) { return 1.0; } };
    for (const size_t nodes : { 8, 60, 200 }) {
        const auto fair = runFairFleet(load, FairPolicy::Shares, nodes, 300_ms);
        BOOST_CHECK_EQUAL(fair.refusedByShares, 0u);
    }
}

BOOST_AUTO_TEST_SUITE_END()
