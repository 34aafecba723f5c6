#include "forward/RequestCost.h"

#include "base/Random.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace siskinshunt;

BOOST_AUTO_TEST_SUITE(RequestCost)

static constexpr double tokensPerMs = 40;
static constexpr double baseMs = 30;

static double lognormal(Random& random, double median, double spread)
{
    return median * std::exp(random.normal(0, spread));
}

// Prompts of 1,000 to 40,000 tokens, some with a cached prefix, at engines with other requests before them that reports tell only in part.
static PairCost learnPairs(double msPerMillionPairs, double noise, int count, uint64_t seed)
{
    Random random(seed);
    PairCost cost;
    for (int n = 0; n < count; ++n) {
        const PrefillWork work { .newTokens = 1000 * std::exp(random.uniform() * std::log(40)), .cachedTokens = random.chance(0.5) ? random.uniform() * 10000 : 0 };
        const double queued = random.chance(0.5) ? random.exponential(8000) : 0;
        const double known = queued * random.uniform() * 1.2;
        const double late = random.exponential(noise);
        recordPrefill(cost, { .work = work, .queuedTokens = known, .milliseconds = baseMs + (work.newTokens + queued) / tokensPerMs + work.millionPairs() * msPerMillionPairs + late });
    }
    return cost;
}

// Failure: the attention of long prompts is not learned, so that 40,000 tokens count as four times 10,000.
BOOST_AUTO_TEST_CASE(learnsTheCostOfPairs)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        const PairCost cost = learnPairs(0.74, 30, 600, seed);
        const double target = 0.74 * tokensPerMs;
        BOOST_TEST_MESSAGE("seed " << seed << ": " << cost.tokensPerMillionPairs << " tokens per million pairs, target " << target);
        BOOST_TEST(cost.tokensPerMillionPairs > 0.6 * target);
        BOOST_TEST(cost.tokensPerMillionPairs < 1.3 * target);
        BOOST_TEST(equivalentTokens(cost, { .newTokens = 40000 }) > 4.5 * equivalentTokens(cost, { .newTokens = 10000 }));
    }
}

// Failure: noise of engines whose prefill has no cost of pairs makes long prompts look expensive.
BOOST_AUTO_TEST_CASE(noiseAddsLittleCostOfPairs)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        const PairCost cost = learnPairs(0, 60, 600, seed);
        BOOST_TEST(cost.tokensPerMillionPairs >= 0);
        BOOST_TEST(equivalentTokens(cost, { .newTokens = 40000 }) < 1.1 * 40000);
    }
}

// Failure: nodes whose knowledge of other nodes' work is late all choose the same engine, or a node that predicts exactly chooses at random.
BOOST_AUTO_TEST_CASE(jitterFollowsTheDeviations)
{
    BOOST_TEST(unknownWorkJitterMs({}) == 0);
    PairCost exact;
    for (int n = 0; n < 400; ++n)
        recordPrefill(exact, { .work = { .newTokens = 100.0 * (1 + n % 37) }, .milliseconds = 30 + 2.5 * (1 + n % 37) });
    BOOST_TEST(unknownWorkJitterMs(exact) < 1);
    const PairCost late = learnPairs(0.74, 30, 600, 1);
    BOOST_TEST(unknownWorkJitterMs(late) > 20);
    BOOST_TEST(unknownWorkJitterMs(late) <= 150);
}

// Failure: new tokens after a long cached prefix count as much as the same number without one.
BOOST_AUTO_TEST_CASE(tokensAfterACachedPrefixCostMore)
{
    const PairCost cost { .tokensPerMillionPairs = 30 };
    BOOST_TEST(equivalentTokens(cost, { .newTokens = 1000 }) == 1015, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(equivalentTokens(cost, { .newTokens = 1000, .cachedTokens = 20000 }) == 1615, boost::test_tools::tolerance(1e-9));
}

// Failure: a restarted node, or observations that tell nothing, change costs.
BOOST_AUTO_TEST_CASE(costsStayPlainUntilLearned)
{
    PairCost cost;
    BOOST_TEST(equivalentTokens(cost, { .newTokens = 40000 }) == 40000);
    for (int n = 0; n < 500; ++n)
        recordPrefill(cost, { .work = { .newTokens = 5000 }, .milliseconds = 200 });
    recordPrefill(cost, { .work = { .newTokens = 40000 }, .milliseconds = 60000 });
    recordPrefill(cost, { .work = { .newTokens = 40000 }, .milliseconds = std::nan("") });
    recordPrefill(cost, { .work = { .newTokens = 0 }, .milliseconds = 60 });
    BOOST_TEST(equivalentTokens(cost, { .newTokens = 40000 }) == 40000);
    const RequestCosts costs;
    BOOST_TEST(queueDelayMs(costs, "lm", 64) == 25);
    BOOST_TEST(expectedSlotMs(costs, "lm", 100, { .mean = 100 }) == 0);
}

// Error of estimates: mean of |log(estimate / length)|, over the last requests, for answers whose hints have this factor and spread.
static double hintError(double factor, double spread, bool random)
{
    Random draws(7);
    OutputLengths lengths;
    double sum = 0;
    constexpr int count = 400;
    constexpr int measured = 200;
    for (int n = 0; n < count; ++n) {
        const double length = std::max(1.0, lognormal(draws, 100, 1.2));
        const double hint = factor * lognormal(draws, random ? 100 : length, spread);
        const OutputRequest request { .account = "account-1", .route = "chat", .hint = hint, .limit = 100000 };
        if (n >= count - measured)
            sum += std::abs(std::log(estimateOutput(lengths, request).median / length));
        recordOutput(lengths, request, length);
    }
    return sum / measured;
}

// Failure: good hints are ignored; hints that are wrong by a constant factor or at random make estimates worse than no hint.
BOOST_AUTO_TEST_CASE(hintsCountByTheirAccuracy)
{
    const double none = hintError(0, 0, true);
    const double good = hintError(1, 0.3, false);
    const double tenTimesTooLow = hintError(0.1, 0.3, false);
    const double random = hintError(1, 1.2, true);
    BOOST_TEST_MESSAGE("error without hints " << none << ", good " << good << ", ten times too low " << tenTimesTooLow << ", random " << random);
    BOOST_TEST(good < 0.5 * none);
    BOOST_TEST(tenTimesTooLow < 0.5 * none);
    BOOST_TEST(random < 1.1 * none);
}

// Failure: one account whose hints are ten times too low spoils the estimates of the others on the route.
BOOST_AUTO_TEST_CASE(hintsOfOneAccountDoNotSpoilOthers)
{
    Random random(3);
    OutputLengths lengths;
    for (int n = 0; n < 600; ++n) {
        const bool wrong = n % 4 == 0;
        const double length = lognormal(random, 100, 1);
        recordOutput(lengths, { .account = wrong ? "wrong" : "right", .route = "chat", .hint = length * (wrong ? 0.1 : 1) }, length);
    }
    BOOST_TEST(estimateOutput(lengths, { .account = "right", .route = "chat", .hint = 300 }).median == 300, boost::test_tools::tolerance(0.15));
    BOOST_TEST(estimateOutput(lengths, { .account = "wrong", .route = "chat", .hint = 30 }).median == 300, boost::test_tools::tolerance(0.15));
}

// Failure: the order of the quantiles, or the limit, does not hold.
BOOST_AUTO_TEST_CASE(estimatesKeepToTheLimit)
{
    const OutputLengths lengths;
    const auto free = estimateOutput(lengths, { .route = "chat" });
    BOOST_TEST(free.median < free.upper);
    BOOST_TEST(free.median < free.mean);
    const auto limited = estimateOutput(lengths, { .route = "chat", .hint = 5000, .limit = 20 });
    BOOST_TEST(limited.mean == 20);
    BOOST_TEST(limited.upper == 20);
    const double wrong[] = { std::nan(""), -5, 1e300 };
    for (const double hint : wrong)
        BOOST_TEST(estimateOutput(lengths, { .route = "chat", .hint = hint }).median == free.median);
}

// Failure: accounts and routes without end fill the memory.
BOOST_AUTO_TEST_CASE(leastRecentlyUsedEntriesAreEvicted)
{
    OutputLengths lengths { .maxEntries = 20 };
    for (int n = 0; n < 500; ++n) {
        recordOutput(lengths, { .account = "account-" + std::to_string(n), .route = "chat" }, 50);
        recordOutput(lengths, { .account = "always", .route = "chat" }, 900);
    }
    BOOST_TEST(lengths.entries.size() == 20U);
    BOOST_TEST(lengths.entries.contains({ "always", "chat" }));
    BOOST_TEST(lengths.entries.contains({ "account-499", "chat" }));
    RequestCosts costs;
    for (int n = 0; n < 1000; ++n)
        recordSlotUse(costs, "backend-" + std::to_string(n), 100);
    BOOST_TEST(costs.slotTimes.size() == 256U);
}

static void serve(RequestCosts& costs, double tokens, int count)
{
    const OutputRequest request { .account = "a", .route = "chat", .hint = tokens };
    for (int n = 0; n < count; ++n) {
        const double slotMs = expectedSlotMs(costs, "lm", 50, estimateOutput(costs.output, request));
        recordSlotUse(costs, "lm", slotMs);
        recordOutput(costs.output, request, tokens);
        recordSlotTime(costs, "lm", { .prefillMs = 50, .decodeMs = tokens * 6, .tokens = tokens, .expectedMs = slotMs });
    }
}

// Load: answers of 20 tokens, then of 1,600. Failure: the delay at a full engine stays at 25 ms for both.
BOOST_AUTO_TEST_CASE(queueDelayFollowsTheTimeInASlot)
{
    RequestCosts costs;
    serve(costs, 20, 300);
    BOOST_TEST(queueDelayMs(costs, "lm", 64) == 170.0 / 64, boost::test_tools::tolerance(0.1));
    serve(costs, 1600, 300);
    BOOST_TEST(queueDelayMs(costs, "lm", 64) == 9650.0 / 64, boost::test_tools::tolerance(0.1));
    BOOST_TEST(queueDelayMs(costs, "other", 64) == 25);
}

// Load: an abrupt change from short to long answers, told by hints. Failure: the delay changes only after long answers have ended.
BOOST_AUTO_TEST_CASE(queueDelayChangesBeforeLongAnswersEnd)
{
    RequestCosts costs;
    serve(costs, 20, 100);
    serve(costs, 1600, 50);
    serve(costs, 20, 100);
    const double before = queueDelayMs(costs, "lm", 64);
    for (int n = 0; n < 50; ++n)
        recordSlotUse(costs, "lm", expectedSlotMs(costs, "lm", 50, estimateOutput(costs.output, { .account = "a", .route = "chat", .hint = 1600 })));
    BOOST_TEST(queueDelayMs(costs, "lm", 64) > 5 * before);
}

// Failure: the work of a long answer to a short prompt counts as little.
BOOST_AUTO_TEST_CASE(workIsPrefillOrPartOfTheSlots)
{
    BOOST_TEST(engineWorkMs(200, 1000, 64) == 200);
    BOOST_TEST(engineWorkMs(20, 6400, 64) == 100);
    BOOST_TEST(engineWorkMs(20, 0, 64) == 20);
}

BOOST_AUTO_TEST_SUITE_END()
