#include "forward/Allowance.h"

#include "forward/LoadSum.h"
#include "forward/RetryLimit.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

using namespace siskinshunt;

static AllowanceRule ruleOf(double rate, double burst)
{
    AllowanceRule rule;
    rule.name = "acme";
    rule.rate = rate;
    rule.burst = burst;
    rule.tokens = true;
    return rule;
}

namespace {

// Nodes that share one allowance and report their spending to each other at an interval.
struct Nodes {
    explicit Nodes(size_t count, double slack)
        : states(count)
    {
        for (auto& state : states)
            state.options.slack = slack;
    }

    void exchange(TimeMs now, const std::vector<bool>& cut = {})
    {
        for (size_t from = 0; from < states.size(); ++from) {
            for (size_t to = 0; to < states.size(); ++to) {
                const bool isCut = !cut.empty() && (cut[from] || cut[to]);
                if (from != to && !isCut)
                    applyPeerSpending(states[to], now, NodeId { from + 1 }, localSpending(states[from]));
            }
        }
    }

    std::vector<Allowances> states;
};

// Largest sum of admitted costs in any window.
struct SlidingSum {
    void add(TimeMs now, double cost)
    {
        passed.emplace_back(now, cost);
        sum += cost;
        while (now - passed.front().first > window) {
            sum -= passed.front().second;
            passed.pop_front();
        }
        largest = std::max(largest, sum);
    }

    TimeMs window { 8000 };
    std::deque<std::pair<TimeMs, double>> passed;
    double sum = 0;
    double largest = 0;
};

}

static double limitOf(const AllowanceRule& rule, double slack)
{
    return (rule.rate * 8 + rule.burst) * 1.1 + slack;
}

// Sends `share` times the rate, distributed over the nodes, and returns the fraction that was admitted.
static double flood(Nodes& nodes, const AllowanceRule& rule, double share, SlidingSum& sum, const std::vector<bool>& cut = {})
{
    static constexpr double cost = 5000;
    double asked = 0;
    double passed = 0;
    double due = 0;
    size_t turn = 0;
    for (TimeMs now { 1000 }; now < TimeMs { 41000 }; now += 10_ms) {
        if (now.value % 100 == 0)
            nodes.exchange(now, now > TimeMs { 11000 } ? cut : std::vector<bool> {});
        for (due += rule.rate * share * 0.01; due >= cost; due -= cost) {
            auto& state = nodes.states[turn++ % nodes.states.size()];
            asked += cost;
            if (!consumeAllowance(state, now, rule, cost))
                continue;
            passed += cost;
            sum.add(now, cost);
        }
    }
    return passed / asked;
}

// Load pattern: one account sends six times its usual rate over all nodes. Guards against exceeding the limit in the sum
// over the nodes, and against leaving much of the allowance unused.
BOOST_AUTO_TEST_CASE(oneAccountFloodsAllNodes)
{
    const auto rule = ruleOf(120000, 120000);
    for (const size_t count : { 7, 30 }) {
        Nodes nodes(count, 110000);
        SlidingSum sum;
        const double passed = flood(nodes, rule, 3.3, sum);
        BOOST_TEST(sum.largest <= limitOf(rule, 110000), count << " nodes: " << sum.largest);
        BOOST_TEST(passed * 3.3 >= 0.95, count << " nodes passed " << passed);
    }
}

// Load pattern: the account stays just below its limit. Guards against refusing requests that are within the allowance.
BOOST_AUTO_TEST_CASE(accountBelowItsLimitIsNotRefused)
{
    const auto rule = ruleOf(120000, 120000);
    Nodes nodes(7, 110000);
    SlidingSum sum;
    BOOST_TEST(flood(nodes, rule, 0.9, sum) == 1.0);
}

namespace {

// Many nodes that report through hubs: each learns the sums of the failure domains one interval late.
struct HubNodes {
    explicit HubNodes(size_t count)
        : states(count)
        , hubs(5)
    {
        for (auto& state : states) {
            state.options.slack = 110000;
            state.nodes = count;
        }
    }

    void exchange(TimeMs now)
    {
        for (size_t n = 0; n < states.size(); ++n) {
            for (size_t h = 0; h < hubs.size(); ++h) {
                auto others = told[h];
                if (n % hubs.size() == h) {
                    for (const auto& [account, spent] : toldBy[n])
                        others[account] -= spent;
                }
                applyPeerSpending(states[n], now, NodeId { h + 1 }, others);
            }
        }
        toldBy.assign(states.size(), {});
        for (size_t n = 0; n < states.size(); ++n) {
            toldBy[n] = localSpending(states[n]);
            addTotals(hubs[n % hubs.size()], NodeId { 100 + n }, toldBy[n]);
        }
        for (size_t h = 0; h < hubs.size(); ++h)
            told[h] = hubs[h].sum;
    }

    std::vector<Allowances> states;
    std::vector<MonotonicSum> hubs;
    std::map<size_t, std::map<std::string, double>> told;
    std::vector<std::map<std::string, double>> toldBy = std::vector<std::map<std::string, double>>(200);
};

}

// Sends `share` times the rate at 200 nodes that have run idle for some seconds before, and returns the fraction that was admitted.
static double sendToMany(const AllowanceRule& rule, double share, double cost, SlidingSum& sum)
{
    HubNodes nodes(200);
    double asked = 0;
    double passed = 0;
    double due = 0;
    size_t turn = 0;
    for (TimeMs now { 1000 }; now < TimeMs { 35000 }; now += 10_ms) {
        if (now.value % 300 == 0)
            nodes.exchange(now);
        if (now < TimeMs { 6000 })
            continue;
        for (due += rule.rate * share * 0.01; due >= cost; due -= cost) {
            asked += cost;
            if (!consumeAllowance(nodes.states[(turn += 71) % nodes.states.size()], now, rule, cost))
                continue;
            passed += cost;
            sum.add(now, cost);
        }
    }
    return passed / asked;
}

// Load pattern: an account that stays well below its limit sends a few long prompts a second to 200 nodes, so that each node meets it once
// in a while. Guards against refusing the first requests at every node, whose copy of the bucket started with the node's share of it.
BOOST_AUTO_TEST_CASE(accountBelowItsLimitIsNotRefusedByManyNodes)
{
    SlidingSum sum;
    BOOST_CHECK_GE(sendToMany(ruleOf(60000, 60000), 0.55, 9000, sum), 0.99);
}

// The same account sends six times as much all of a sudden. Guards against copies that start full at each of the nodes.
BOOST_AUTO_TEST_CASE(accountFloodsManyNodes)
{
    for (const double rate : { 30000.0, 120000.0, 300000.0 }) {
        SlidingSum sum;
        const auto rule = ruleOf(rate, rate);
        const double passed = sendToMany(rule, 3.3, 5000, sum);
        BOOST_TEST(sum.largest <= limitOf(rule, 110000), rate << ": " << sum.largest << " of " << limitOf(rule, 110000));
        BOOST_TEST_MESSAGE(rate << ": passed " << passed * 3.3 << ", largest sum " << sum.largest / limitOf(rule, 110000));
    }
}

// Guards against a partitioned node that spends the whole allowance in addition to the other nodes.
BOOST_AUTO_TEST_CASE(partitionedNodeStaysWithinItsShare)
{
    const auto rule = ruleOf(120000, 120000);
    Nodes nodes(7, 110000);
    SlidingSum sum;
    flood(nodes, rule, 3.3, sum, { true, false, false, false, false, false, false });
    BOOST_TEST(sum.largest <= limitOf(rule, 110000), sum.largest);
}

// Guards against a node that starts during a flood with a full bucket while those of the other nodes are empty.
BOOST_AUTO_TEST_CASE(startedNodeBeginsWithItsShare)
{
    const auto rule = ruleOf(120000, 120000);
    Nodes nodes(7, 110000);
    SlidingSum sum;
    flood(nodes, rule, 3.3, sum);
    Allowances started;
    started.options.slack = 110000;
    for (size_t n = 1; n < nodes.states.size(); ++n)
        applyPeerSpending(started, TimeMs { 41000 }, NodeId { n + 1 }, localSpending(nodes.states[n]));
    double passed = 0;
    while (consumeAllowance(started, TimeMs { 41010 }, rule, 1000))
        passed += 1000;
    BOOST_TEST(passed <= 60000);
}

// Guards against refusing large requests forever because they exceed the capacity of the bucket.
BOOST_AUTO_TEST_CASE(requestLargerThanTheBucketIsAdmitted)
{
    Allowances state;
    const auto rule = ruleOf(1000, 1000);
    BOOST_TEST(consumeAllowance(state, TimeMs { 1000 }, rule, 5000));
    BOOST_TEST(!consumeAllowance(state, TimeMs { 1100 }, rule, 100));
    BOOST_TEST(timeUntilAllowance(state, TimeMs { 1100 }, rule, 100).value > 2000);
    BOOST_TEST(consumeAllowance(state, TimeMs { 9000 }, rule, 5000));
}

// Guards against a bucket that keeps its former level after the limit is lowered.
BOOST_AUTO_TEST_CASE(loweredLimitAppliesAtOnce)
{
    Allowances state;
    BOOST_TEST(consumeAllowance(state, TimeMs { 1000 }, ruleOf(100000, 100000), 10));
    double passed = 0;
    for (int n = 0; n < 100; ++n)
        passed += consumeAllowance(state, TimeMs { 1010 }, ruleOf(1000, 1000), 500) ? 500 : 0;
    BOOST_TEST(passed <= 2000);
}

// Load pattern: every request fails once. Guards against exceeding the platform's limit in the sum over the nodes.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheSharedLimit)
{
    static constexpr size_t count = 7;
    const RetryLimit limit { TimeMs { 10000 }, 0.2, 54 };
    std::vector<RetryUsage> nodes(count);
    std::deque<TimeMs> requests;
    std::deque<TimeMs> retries;
    size_t turn = 0;
    for (TimeMs now { 100000 }; now < TimeMs { 160000 }; now += 20_ms) {
        auto& use = nodes[turn++ % count];
        recordFirstSend(use, limit, now);
        requests.push_back(now);
        for (int n = 0; n < 2; ++n) {
            if (consumeRetry(use, limit, n ? RetryPurpose::Answer : RetryPurpose::Request, now, count))
                retries.push_back(now);
        }
        while (now - requests.front() > limit.window)
            requests.pop_front();
        while (!retries.empty() && now - retries.front() > limit.window)
            retries.pop_front();
        BOOST_REQUIRE(static_cast<double>(retries.size()) <= limit.ratio * static_cast<double>(requests.size()) + limit.extra);
    }
    BOOST_TEST(retries.size() >= 60U);
}

// Load pattern: a node refunds the cost of a request and admits no other one until its next report, so its total falls.
// Guards against peers that deduct its whole total since its start again and refuse the account for seconds.
BOOST_AUTO_TEST_CASE(refundedCostsDoNotBlockTheAccount)
{
    const auto rule = ruleOf(100000, 100000);
    Nodes nodes(2, 110000);
    TimeMs now { 1000 };
    for (int n = 0; n < 200; ++n) {
        now += 100_ms;
        BOOST_TEST(consumeAllowance(nodes.states[0], now, rule, 5000));
        BOOST_TEST(consumeAllowance(nodes.states[1], now, rule, 100));
        nodes.exchange(now);
    }
    refundAllowance(nodes.states[0], "acme", 5000);
    now += 100_ms;
    nodes.exchange(now);
    BOOST_TEST(consumeAllowance(nodes.states[1], now, rule, 20000));
}
