#include "versions/SequentialTest.h"
#include "base/Random.h"
#include "versions/LatencySketch.h"
#include "versions/VersionCircuitBreaker.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace siskinshunt;

static uint64_t hitsOf(Random& random, uint64_t n, double p)
{
    uint64_t hits = 0;
    for (uint64_t k = 0; k < n; ++k)
        hits += random.chance(p);
    return hits;
}

/// Number of windows until the test rejects; 0 if it does not.
static uint64_t windowsToReject(uint64_t seed, double before, double after, uint64_t changeAt, double p0, double alpha)
{
    Random random(seed);
    SequentialTest test { .horizon = 2000 };
    for (uint64_t n = 1; n <= 2000; ++n) {
        addWindow(test, 10, hitsOf(random, 10, n < changeAt ? before : after), p0);
        if (rejects(test, alpha))
            return n;
    }
    return 0;
}

// Guards against a test that rejects more often than its level because it is evaluated every second.
BOOST_AUTO_TEST_CASE(levelHoldsOverAllLooks)
{
    int rejected = 0;
    for (uint64_t seed = 1; seed <= 500; ++seed)
        rejected += windowsToReject(seed, 0.02, 0.02, 0, 0.02, 0.05) != 0;
    // 500 runs at a level of 5% give at most 25 rejections on average; 40 is three standard deviations above that.
    BOOST_TEST(rejected < 40);
}

// Guards against a good start that delays the detection of a later fault.
BOOST_AUTO_TEST_CASE(lateFaultsAreDetectedQuickly)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        const uint64_t at = windowsToReject(seed, 0.005, 0.3, 1500, 0.02, 0.0005);
        BOOST_TEST((at >= 1500 && at < 1520));
    }
}

// Guards against a gain limit that lets a single extreme window reject.
BOOST_AUTO_TEST_CASE(gainLimitNeedsSeveralWindows)
{
    SequentialTest test { .gainLimit = 1 };
    for (int n = 0; n < 6; ++n)
        addWindow(test, 1000, 1000, 0.1);
    BOOST_TEST(!rejects(test, 0.001));
    for (int n = 0; n < 6; ++n)
        addWindow(test, 1000, 1000, 0.1);
    BOOST_TEST(rejects(test, 0.001));
}

// Guards against quantiles and counts of the sketch that disagree, which would bias the latency tests.
BOOST_AUTO_TEST_CASE(sketchQuantilesAndCountsAgree)
{
    Random random(3);
    LatencySketch a;
    LatencySketch b;
    for (int n = 0; n < 20000; ++n)
        (n % 2 ? a : b).record(200 * std::exp(random.normal(0, 0.5)));
    a.merge(b);
    BOOST_TEST(a.count() == 20000U);
    BOOST_TEST(std::abs(a.quantile(0.5) - 200) < 10);
    BOOST_TEST(a.countOver(a.quantile(0.9)) <= 2000U);
    BOOST_TEST(a.countOver(a.quantile(0.9)) > 1600U);
    a.halve();
    BOOST_TEST(a.count() <= 10000U);
    a.record(std::nan(""));
    a.record(1e12);
    BOOST_TEST(a.quantile(1) < 2e7);
}

// Guards against a node that keeps sending to a failing version while the leader is unreachable.
BOOST_AUTO_TEST_CASE(breakerNeedsFiveConsecutiveFailures)
{
    VersionCircuitBreaker breaker;
    for (int n = 0; n < 4; ++n)
        BOOST_TEST(!breaker.record(1_s, "crew", true, true));
    breaker.record(1_s, "crew", true, false);
    for (int n = 0; n < 4; ++n)
        BOOST_TEST(!breaker.record(2_s, "crew", true, true));
    BOOST_TEST(!breaker.record(2_s, "plans", true, true));
    BOOST_TEST(breaker.record(2_s, "crew", true, true));
    BOOST_TEST(breaker.tripped());
}

// Guards against a breaker that opens during an outage of both versions, or on failures that are far apart.
BOOST_AUTO_TEST_CASE(breakerRespectsOutagesAndTheWindow)
{
    VersionCircuitBreaker outage;
    for (int n = 0; n < 20; ++n) {
        outage.record(1_s, "crew", false, n % 2 == 0);
        BOOST_TEST(!outage.record(1_s, "crew", true, true));
    }
    VersionCircuitBreaker rare;
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(!rare.record(10_s * n, "crew", true, true));
}
