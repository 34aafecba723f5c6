#include "forward/LoadSum.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static TargetLoad loadOf(double running)
{
    return { .running = running, .prefillTokens = {} };
}

static ForwardTarget targetOf(uint64_t id)
{
    ForwardTarget target;
    target.id = { id };
    target.backend = "lm";
    return target;
}

// Guards against a sum that jumps when a node with high counters appears, or falls when a node restarts.
BOOST_AUTO_TEST_CASE(monotonicSumNeverDecreases)
{
    MonotonicSum sum;
    addTotals(sum, { 1 }, { { "acme", 5000 } });
    BOOST_TEST(sum.sum["acme"] == 0);
    addTotals(sum, { 1 }, { { "acme", 5100 } });
    addTotals(sum, { 2 }, { { "acme", 70 } });
    addTotals(sum, { 2 }, { { "acme", 100 } });
    BOOST_TEST(sum.sum["acme"] == 130);
    addTotals(sum, { 1 }, { { "acme", 20 } });
    BOOST_TEST(sum.sum["acme"] == 150);
}

// Guards against counting a whole total as spent again after a refund has lowered it.
BOOST_AUTO_TEST_CASE(refundedCostsDoNotRaiseTheSum)
{
    MonotonicSum sum;
    addTotals(sum, { 1 }, { { "acme", 0 } });
    addTotals(sum, { 1 }, { { "acme", 1000000 } });
    addTotals(sum, { 1 }, { { "acme", 991000 } });
    BOOST_TEST(sum.sum["acme"] == 1000000);
    addTotals(sum, { 1 }, { { "acme", 1004000 } });
    BOOST_TEST(sum.sum["acme"] == 1004000);
}

// Guards against a node that counts its own load twice: in its table and in the sum over all nodes.
BOOST_AUTO_TEST_CASE(ownReportIsSubtractedFromTheSum)
{
    SentReports sent;
    for (uint64_t n = 1; n <= SentReports::maxReports + 12; ++n)
        addReport(sent, { n, { { UpstreamId { 1 }, loadOf(static_cast<double>(n)) } }, {}, {} });
    BOOST_TEST(!findReport(sent, 1));
    const auto* report = findReport(sent, 18);
    BOOST_REQUIRE(report);
    const auto others = subtractReport({ { UpstreamId { 1 }, loadOf(30) }, { UpstreamId { 2 }, loadOf(4) } }, report);
    BOOST_TEST(others.at({ 1 }).running == 12);
    BOOST_TEST(others.at({ 2 }).running == 4);
    BOOST_TEST(subtractReport({ { UpstreamId { 1 }, loadOf(30) } }, nullptr).at({ 1 }).running == 30);
}

// Guards against load that remains after its report was replaced, or is lost for a target that is announced later.
BOOST_AUTO_TEST_CASE(reportsOfManyNodesAddUp)
{
    ForwardTargets table;
    upsertTarget(table, targetOf(1));
    const auto running = [&](uint64_t id) { return findTarget(table, { id })->others.running; };
    for (int round = 1; round <= 3; ++round) {
        for (uint64_t node = 1; node <= 70; ++node)
            applyLoadReport(table, TimeMs { 1000 * round }, { node }, { { UpstreamId { 1 }, loadOf(round) }, { UpstreamId { 2 }, loadOf(2) } });
        BOOST_TEST(running(1) == 70 * round);
    }
    upsertTarget(table, targetOf(2));
    BOOST_TEST(running(2) == 140);
    applyLoadReport(table, TimeMs { 4000 }, { 1 }, {});
    BOOST_TEST(running(1) == 207);
    BOOST_TEST(running(2) == 138);
    applyFleetLoadReport(table, TimeMs { 4000 }, { 99 }, { { UpstreamId { 1 }, loadOf(9) } });
    BOOST_TEST(running(1) == 9);
    BOOST_TEST(running(2) == 0);
    expireLoadReports(table, TimeMs { 9000 }, TimeMs { 2000 });
    BOOST_TEST(running(1) == 0);
}
