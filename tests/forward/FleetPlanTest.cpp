#include "forward/FleetPlan.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static BackendRule backendOf()
{
    BackendRule backend;
    backend.name = "lm";
    backend.slots = 64;
    backend.minInstances = 1;
    backend.maxInstances = 6;
    backend.reclaimablePrice = 0.2;
    backend.prices = { { "a", 0.85 }, { "b", 1.2 }, { "c", 1.0 } };
    return backend;
}

static const std::map<std::string, DomainFleet> present { { "a", { 3, 0 } }, { "b", { 3, 0 } }, { "c", { 3, 0 } } };

static DomainPlan sumOf(const std::map<std::string, DomainPlan>& plan)
{
    DomainPlan sum;
    for (const auto& [domain, it] : plan) {
        sum.onDemand += it.onDemand;
        sum.reclaimable += it.reclaimable;
    }
    return sum;
}

// Load pattern: all reclaimable instances are reclaimed in waves. Guards against a plan whose on-demand instances cannot
// carry the load alone.
BOOST_AUTO_TEST_CASE(onDemandInstancesCarryTheLoadAlone)
{
    for (double busy = 0.5; busy <= 9; busy += 0.5) {
        const auto sum = sumOf(planFleet({}, backendOf(), busy, present, true));
        BOOST_TEST(sum.onDemand >= std::min(18.0, busy));
        BOOST_TEST(sum.onDemand + sum.reclaimable >= std::min(18.0, busy * 2));
    }
}

// Guards against domains above their maximum or below their minimum, and against preferring the expensive domain.
BOOST_AUTO_TEST_CASE(limitsAndPricesOfDomainsHold)
{
    for (const bool supply : { true, false }) {
        for (double busy = 0; busy < 20; busy += 0.7) {
            for (const auto& [domain, it] : planFleet({}, backendOf(), busy, present, supply)) {
                BOOST_TEST(it.onDemand + it.reclaimable <= 6U);
                BOOST_TEST(it.onDemand >= 1U);
            }
        }
    }
    const auto plan = planFleet({}, backendOf(), 3.0, present, true);
    BOOST_TEST(plan.at("a").onDemand >= plan.at("b").onDemand);
    BOOST_TEST(plan.at("c").onDemand >= plan.at("b").onDemand);
}

// Load pattern: no reclaimable instances are available. Guards against a fleet that waits for them.
BOOST_AUTO_TEST_CASE(onDemandInstancesReplaceUnavailableReclaimableOnes)
{
    const auto usual = sumOf(planFleet({}, backendOf(), 3.0, present, true));
    const auto dry = sumOf(planFleet({}, backendOf(), 3.0, present, false));
    BOOST_TEST(dry.onDemand > usual.onDemand);
    auto held = present;
    held["a"].reclaimable = 3;
    BOOST_TEST(sumOf(planFleet({}, backendOf(), 3.0, held, false)).onDemand < dry.onDemand);
}

// Guards against a load that omits the slots of running requests or the prompt tokens.
BOOST_AUTO_TEST_CASE(busyEnginesCountPromptsAndSlots)
{
    const auto backend = backendOf();
    BOOST_TEST(busyEngines({}, backend, { 80000, 0, 40 }) == 2.0);
    BOOST_TEST(busyEngines({}, backend, { 80000, 64, 40 }) == 2.5);
    BOOST_TEST(busyEngines({}, backend, {}) == 0.0);
}

// Load pattern: engines are overloaded, so that nodes estimate a prefill rate far below that of an idle engine. Guards
// against a plan that orders several times the instances that the load needs, as happened with 140 engines.
BOOST_AUTO_TEST_CASE(overloadedEnginesDoNotInflateThePlan)
{
    DemandEstimate estimate;
    BOOST_TEST(planningTokensPerMs(estimate) == 40);
    estimate.tokensPerMs = 39;
    for (int second = 0; second < 10; ++second)
        updateEstimate(estimate, 1800000, 1);
    BOOST_TEST(planningTokensPerMs(estimate) == 39);
    estimate.tokensPerMs = 11;
    updateEstimate(estimate, 1800000, 1);
    BOOST_TEST(planningTokensPerMs(estimate) > 20);
    // A rate that stays low for longer is accepted: the engines are slower.
    for (int second = 0; second < 120; ++second)
        updateEstimate(estimate, 1800000, 1);
    BOOST_TEST(planningTokensPerMs(estimate) == 11);
}

// Load pattern: the load starts. Guards against releasing the fleet because the moving average of the load starts at zero.
BOOST_AUTO_TEST_CASE(startingLoadIsNotUnderestimated)
{
    DemandEstimate estimate;
    for (int second = 1; second <= 5; ++second) {
        updateEstimate(estimate, 100000, 1);
        BOOST_TEST(promptTokensPerSecond(estimate) == 100000, boost::test_tools::tolerance(0.001));
    }
}

// Load pattern: a load of 100 busy engines. Guards against a fleet three times as large, although the bursts of so many
// callers average out, and against one that cannot carry the load without its reclaimable instances.
BOOST_AUTO_TEST_CASE(largeLoadNeedsLessHeadroomInProportion)
{
    auto backend = backendOf();
    backend.maxInstances = 400;
    const auto sum = sumOf(planFleet({}, backend, 100, present, true));
    BOOST_TEST(sum.onDemand >= 100U);
    BOOST_TEST(sum.onDemand + sum.reclaimable >= 190U);
    BOOST_TEST(sum.onDemand + sum.reclaimable <= 230U);
    const auto small = sumOf(planFleet({}, backend, 3, present, true));
    BOOST_TEST(small.onDemand + small.reclaimable == 10U);
}
