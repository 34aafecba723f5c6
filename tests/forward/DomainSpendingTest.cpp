#include "forward/DomainSpending.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static constexpr NodeId hubA { 1 };
static constexpr NodeId hubB { 2 };

BOOST_AUTO_TEST_SUITE(DomainSpendings)

// Guards against spending that is counted twice: a hub that was frozen adds up what its nodes have reported to the next hub meanwhile.
BOOST_AUTO_TEST_CASE(ReturnOfAFrozenHubAddsNothing)
{
    DomainSpending it;
    addDomainSum(it, 0_ms, hubA, { { "acme", 1000 } }, nullptr);
    addDomainSum(it, 150_ms, hubA, { { "acme", 1100 } }, nullptr);
    BOOST_TEST((addDomainSum(it, 1800_ms, hubB, { { "acme", 0 } }, nullptr) == SumContinuity::Rebased));
    double spentAtB = 0;
    for (TimeMs now { 1950 }; now < 8_s; now += 150_ms) {
        spentAtB += 100;
        BOOST_TEST((addDomainSum(it, now, hubB, { { "acme", spentAtB } }, nullptr) == SumContinuity::Continued));
    }
    BOOST_TEST((addDomainSum(it, 8_s, hubA, { { "acme", 1100 + spentAtB } }, nullptr) == SumContinuity::Rebased));
    BOOST_TEST((addDomainSum(it, 8150_ms, hubA, { { "acme", 1200 + spentAtB } }, nullptr) == SumContinuity::Continued));
    BOOST_CHECK_CLOSE(it.others.at("acme"), 1200 + spentAtB, 0.001);
}

// Guards against spending that is lost: after a pause of the only hub its sum holds what its nodes have reported since.
BOOST_AUTO_TEST_CASE(SumAfterAPauseOfTheOnlyHubCounts)
{
    DomainSpending it;
    addDomainSum(it, 0_ms, hubA, { { "acme", 0 } }, nullptr);
    BOOST_TEST((addDomainSum(it, 4_s, hubA, { { "acme", 700 } }, nullptr) == SumContinuity::Continued));
    BOOST_CHECK_CLOSE(it.others.at("acme"), 700, 0.001);
}

// Guards against spending of the others that is lost when nodes change to a hub whose sum does not include what this node has spent before.
BOOST_AUTO_TEST_CASE(OwnSpendingIsSubtractedFromTheSumOfANewHub)
{
    DomainSpending it;
    std::map<std::string, double> own { { "acme", 5000 } };
    addDomainSum(it, 0_ms, hubA, { { "acme", 8000 } }, &own);
    addDomainSum(it, 1500_ms, hubB, { { "acme", 0 } }, &own);
    own["acme"] = 5300;
    addDomainSum(it, 1650_ms, hubB, { { "acme", 1000 } }, &own);
    BOOST_CHECK_CLOSE(it.others.at("acme"), 3000 + 700, 0.001);
    // A refund lowers this node's total, but not the sum.
    own["acme"] = 5200;
    addDomainSum(it, 1800_ms, hubB, { { "acme", 1000 } }, &own);
    own["acme"] = 5300;
    addDomainSum(it, 1950_ms, hubB, { { "acme", 1000 } }, &own);
    BOOST_CHECK_CLOSE(it.others.at("acme"), 3000 + 700, 0.001);
}

// Guards against a hub that restarts and whose sum begins at zero again.
BOOST_AUTO_TEST_CASE(RestartedHubAddsNothingTwice)
{
    DomainSpending it;
    addDomainSum(it, 0_ms, hubA, { { "acme", 1000 } }, nullptr);
    for (TimeMs now { 150 }; now <= 1200_ms; now += 150_ms)
        addDomainSum(it, now, hubA, { { "acme", static_cast<double>(now.value) / 150 * 10 } }, nullptr);
    addDomainSum(it, 1350_ms, hubA, { { "acme", 140 } }, nullptr);
    BOOST_CHECK_CLOSE(it.others.at("acme"), 1060, 0.001);
}

// Guards against old sums that a hub which was frozen passes on: the newer ones after them counted as new spending.
BOOST_AUTO_TEST_CASE(OldSumsBetweenNewerOnesAddNothing)
{
    DomainSpending it;
    addDomainSum(it, 0_ms, hubA, { { "acme", 1000 } }, nullptr);
    addDomainSum(it, 50_ms, hubA, { { "acme", 0 } }, nullptr);
    addDomainSum(it, 150_ms, hubA, { { "acme", 1020 } }, nullptr);
    addDomainSum(it, 200_ms, hubA, { { "acme", 400 } }, nullptr);
    addDomainSum(it, 300_ms, hubA, { { "acme", 1040 } }, nullptr);
    BOOST_CHECK_CLOSE(it.others.at("acme"), 1040, 0.001);
}

// Guards against memory that grows with each hub that a domain has ever had.
BOOST_AUTO_TEST_CASE(ManyHubsAreForgotten)
{
    DomainSpending it;
    for (uint64_t n = 1; n <= 100; ++n)
        addDomainSum(it, TimeMs { static_cast<int64_t>(n) * 2000 }, NodeId { n }, { { "acme", 5 } }, nullptr);
    BOOST_CHECK_LE(it.sums.size(), 16U);
}

BOOST_AUTO_TEST_SUITE_END()
