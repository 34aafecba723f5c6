#include "forward/Allowance.h"

#include "base/Random.h"
#include "forward/LoadSum.h"
#include "forward/RetryLimit.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
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

// Guards against a node that follows an account from its start, before it knows what the others have spent, and so begins with a full bucket.
BOOST_AUTO_TEST_CASE(startedNodeFollowsNoAccountBeforeItKnowsTheOthers)
{
    const auto rule = ruleOf(120000, 120000);
    Allowances started;
    started.nodes = 7;
    followAllowance(started, TimeMs { 1000 }, rule);
    applyPeerSpending(started, TimeMs { 1010 }, NodeId { 2 }, { { "acme", 9e6 } });
    followAllowance(started, TimeMs { 1020 }, rule);
    double passed = 0;
    while (consumeAllowance(started, TimeMs { 1030 }, rule, 1000))
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

namespace {

struct HubFleetOptions {
    size_t nodes = 60;
    TimeMs interval { 150 }; ///< Between the reports of a node, and between the sums of a hub.
    TimeMs transit { 100 }; ///< Of a frame, with the time that it waits for the event loop of the receiver.
    double rate = 1800000; ///< Of the account, which is also its burst.
    double share = 3.3; ///< Of its rate that it asks for.
    double unevenShare = 0; ///< Of its requests that go to the first three nodes.
    TimeMs begin { 5000 };
    TimeMs end { 45000 };
    TimeMs faultAt; ///< 0: no fault.
    TimeMs faultEnd;
    bool pauses = false; ///< The first node neither sends nor receives in the time of the fault; otherwise only its frames are lost.
    bool starts = false; ///< The first node starts at `faultAt` with no state.
    uint64_t seed = 1;
};

// Entry nodes in three failure domains that report as in node/LoadHubs.cpp: nodes report to the hub of their domain, and hubs exchange their
// sums and send all of them to their nodes. Intervals have random phases, so sums of other domains are 2 transits and up to 2 intervals old.
struct HubFleet {
    static constexpr size_t domains = 3;
    struct Hub {
        MonotonicSum sum;
        std::map<size_t, uint64_t> included;
        std::map<size_t, std::map<std::string, double>> others;
    };
    struct Frame {
        TimeMs at;
        std::function<void()> deliver;
    };

    explicit HubFleet(const HubFleetOptions& given)
        : options(given)
        , random(given.seed)
        , states(given.nodes)
        , sent(given.nodes)
        , numbers(given.nodes)
        , hubs(domains)
    {
        for (auto& state : states)
            initialise(state);
        for (size_t n = 0; n < given.nodes + domains; ++n)
            due.push_back(TimeMs { random.between(0, given.interval.value) });
    }

    void initialise(Allowances& state) const
    {
        state.options.slack = 110000;
        state.nodes = options.nodes;
    }

    bool hasFault(size_t n, TimeMs now) const { return n == 0 && !options.starts && now >= options.faultAt && now < options.faultEnd; }

    void post(TimeMs now, std::function<void()> deliver) { frames.push_back({ now + options.transit, std::move(deliver) }); }

    void report(size_t n, TimeMs now)
    {
        if (hasFault(n, now))
            return;
        followAllowance(states[n], now, ruleOf(options.rate, options.rate));
        const uint64_t number = ++numbers[n];
        addReport(sent[n], { .number = number, .loads = {}, .spent = localSpending(states[n]), .spentAt = now });
        post(now, [this, n, number, spent = localSpending(states[n])] {
            auto& hub = hubs[n % domains];
            addTotals(hub.sum, NodeId { n + 1 }, spent);
            hub.included[n] = number;
        });
    }

    void receive(size_t n, TimeMs now, size_t hub, const std::map<size_t, std::map<std::string, double>>& totals, const std::map<size_t, uint64_t>& included)
    {
        if (hasFault(n, now))
            return;
        const auto it = included.find(n);
        const SentReport* own = it == included.end() ? nullptr : findReport(sent[n], it->second);
        if (own)
            recordReportDelay(states[n], now - own->spentAt);
        for (const auto& [from, spent] : totals) {
            auto others = spent;
            if (from == hub) {
                if (!own)
                    continue;
                for (const auto& [account, total] : own->spent)
                    others[account] -= total;
            }
            applyPeerSpending(states[n], now, NodeId { 1000 + from }, others);
        }
    }

    void sendSums(size_t h, TimeMs now)
    {
        auto totals = hubs[h].others;
        totals[h] = hubs[h].sum.sum;
        for (size_t other = 0; other < domains; ++other) {
            if (other != h)
                post(now, [this, h, other, sum = hubs[h].sum.sum] { hubs[other].others[h] = sum; });
        }
        for (size_t n = h; n < states.size(); n += domains)
            post(now, [this, n, h, now, totals, included = hubs[h].included] { receive(n, now + options.transit, h, totals, included); });
    }

    void tick(TimeMs now)
    {
        while (!frames.empty() && frames.front().at <= now) {
            const auto deliver = std::move(frames.front().deliver);
            frames.pop_front();
            deliver();
        }
        for (size_t n = 0; n < due.size(); ++n) {
            if (now < due[n])
                continue;
            due[n] += options.interval;
            n < states.size() ? report(n, now) : sendSums(n - states.size(), now);
        }
        if (options.starts && now == options.faultAt) {
            states[0] = Allowances {};
            initialise(states[0]);
            sent[0] = {};
        }
    }

    size_t pickNode() { return random.chance(options.unevenShare) ? random.below(3) : random.below(states.size()); }

    HubFleetOptions options;
    Random random;
    std::vector<Allowances> states;
    std::vector<SentReports> sent;
    std::vector<uint64_t> numbers;
    std::vector<Hub> hubs;
    std::vector<TimeMs> due;
    std::deque<Frame> frames;
};

struct FleetSpending {
    double asked = 0;
    double passed = 0; ///< As a part of what was asked for.
    double ofRate = 0; ///< As a part of the rate over the last 30 s.
    double largest = 0; ///< Largest sum in a window, as a part of the limit.
};

}

// Requests arrive at random and cost 500 to 40,000 tokens.
static FleetSpending spend(const HubFleetOptions& options)
{
    static constexpr double meanCost = 20250;
    HubFleet fleet(options);
    const auto rule = ruleOf(options.rate, options.rate);
    FleetSpending out;
    SlidingSum sum;
    double passed = 0;
    double late = 0;
    double next = static_cast<double>(options.begin.value);
    for (TimeMs now {}; now < options.end; now += 10_ms) {
        fleet.tick(now);
        for (; next < static_cast<double>(now.value); next += fleet.random.exponential(meanCost / (options.rate * options.share) * 1000)) {
            const double cost = static_cast<double>(fleet.random.between(500, 40000));
            const size_t n = fleet.pickNode();
            if (options.pauses && fleet.hasFault(n, now))
                continue;
            out.asked += cost;
            if (!consumeAllowance(fleet.states[n], now, rule, cost))
                continue;
            passed += cost;
            sum.add(now, cost);
            late += now >= options.end - TimeMs { 30000 } ? cost : 0;
        }
    }
    out.passed = passed / out.asked;
    out.ofRate = late / (options.rate * 30);
    out.largest = sum.largest / limitOf(rule, 110000);
    BOOST_TEST_MESSAGE(options.nodes << " nodes, rate " << options.rate << ", share " << options.share << ", seed " << options.seed << ": passed " << out.passed << ", of the rate " << out.ofRate << ", largest sum " << out.largest);
    return out;
}

namespace {

struct FleetShape {
    size_t nodes;
    TimeMs interval;
};

}

static const auto deployedShapes = std::to_array<FleetShape>({ { 8, 100_ms }, { 60, 150_ms }, { 60, 250_ms } });
static const auto largeShapes = std::to_array<FleetShape>({ { 200, 300_ms }, { 400, 300_ms } });

template <class Shapes>
static std::vector<std::pair<std::string, FleetSpending>> floods(const Shapes& shapes, double rate)
{
    std::vector<std::pair<std::string, FleetSpending>> out;
    for (const auto& shape : shapes) {
        for (const auto& [share, seed] : { std::pair { 3.3, 1 }, { 3.3, 2 }, { 7.0, 3 } }) {
            const std::string name = std::to_string(shape.nodes) + " nodes, rate " + std::to_string(rate) + ", share " + std::to_string(share);
            out.emplace_back(name, spend({ .nodes = shape.nodes, .interval = shape.interval, .rate = rate, .share = share, .seed = static_cast<uint64_t>(seed) }));
        }
    }
    return out;
}

static void checkLimit(const std::vector<std::pair<std::string, FleetSpending>>& results)
{
    for (const auto& [name, result] : results)
        BOOST_TEST(result.largest <= 1.0, name << ": largest sum " << result.largest);
}

static void checkUse(const std::vector<std::pair<std::string, FleetSpending>>& results)
{
    for (const auto& [name, result] : results)
        BOOST_TEST(result.ofRate >= 0.95, name << ": used " << result.ofRate);
}

// Load pattern: an account that was idle asks for 3.3 or 7 times its rate at all nodes, with reports of up to 0.9 s. Guards against nodes that
// find tokens at the same moment, overspend together and repeat it after the debt is paid, and against leaving the allowance unused.
BOOST_AUTO_TEST_CASE(floodThroughHubsKeepsToTheLimit)
{
    for (const double rate : { 600000.0, 1800000.0 }) {
        const auto results = floods(deployedShapes, rate);
        checkLimit(results);
        checkUse(results);
    }
}

// The same with more nodes, each of which meets the account seldom, and older reports.
BOOST_AUTO_TEST_CASE(floodOfManyNodesKeepsToTheLimit)
{
    for (const double rate : { 600000.0, 1800000.0 }) {
        const auto results = floods(largeShapes, rate);
        checkLimit(results);
        checkUse(results);
    }
}

// The same with an account for which 6 requests a second are admitted, so that chance weighs more.
BOOST_AUTO_TEST_CASE(floodOfASmallAccountKeepsToTheLimit)
{
    checkLimit(floods(deployedShapes, 120000));
}

// Seeds at which 7 times the rate exceeded the limit.
BOOST_AUTO_TEST_CASE(floodOfASmallAccountAtFoundSeedsKeepsToTheLimit)
{
    for (const TimeMs interval : { 150_ms, 250_ms }) {
        for (const uint64_t seed : { 13, 23 }) {
            const auto result = spend({ .nodes = 60, .interval = interval, .rate = 120000, .share = 7, .seed = seed });
            BOOST_TEST(result.largest <= 1.0, "seed " << seed << ": largest sum " << result.largest);
        }
    }
}

BOOST_AUTO_TEST_CASE(floodOfASmallAccountUsesItsRate)
{
    checkUse(floods(deployedShapes, 120000));
}

BOOST_AUTO_TEST_CASE(floodOfASmallAccountAtManyNodesKeepsToTheLimit)
{
    const auto results = floods(largeShapes, 120000);
    checkLimit(results);
    checkUse(results);
}

// The same flood while a node starts, pauses for 5 s, or is cut off. Guards against a node that spends in addition to the others because it
// has an old or no state, and against one that pays the debt of its pause for the rest of the flood.
BOOST_AUTO_TEST_CASE(floodWithAFaultyNodeKeepsToTheLimit)
{
    for (const int nodes : { 8, 60, 200 }) {
        HubFleetOptions options { .nodes = static_cast<size_t>(nodes), .interval = TimeMs { nodes > 100 ? 300 : 150 }, .faultAt = TimeMs { 15000 } };
        options.starts = true;
        BOOST_TEST(spend(options).largest <= 1.0, nodes << " nodes, one starts");
        options.starts = false;
        options.faultEnd = TimeMs { 20000 };
        options.pauses = true;
        BOOST_TEST(spend(options).largest <= 1.0, nodes << " nodes, one pauses");
        options.pauses = false;
        options.faultEnd = TimeMs { 30000 };
        BOOST_TEST(spend(options).largest <= 1.0, nodes << " nodes, one is cut off");
        options.faultAt = TimeMs { 4000 };
        BOOST_TEST(spend(options).largest <= 1.0, nodes << " nodes, one is cut off when the flood begins");
    }
}

// Load pattern: an account stays below its rate, with large single requests, spread evenly or with half of its callers at three nodes. Guards
// against refusing what the whole fleet has tokens for. Small accounts stay further below, since few large requests vary more.
BOOST_AUTO_TEST_CASE(accountBelowItsRateIsNotRefusedThroughHubs)
{
    for (const auto& [rate, share] : { std::pair { 120000.0, 0.55 }, { 600000.0, 0.8 }, { 1800000.0, 0.9 } }) {
        for (const auto& [nodes, interval] : { std::pair { 8, 100 }, { 60, 150 }, { 200, 300 }, { 400, 300 } }) {
            for (const double uneven : { 0.0, 0.5 }) {
                const auto result = spend({ .nodes = static_cast<size_t>(nodes), .interval = TimeMs { interval }, .rate = rate, .share = share, .unevenShare = uneven });
                BOOST_TEST(result.passed >= 0.999, nodes << " nodes, rate " << rate << ": passed " << result.passed);
            }
        }
    }
}

// Load pattern: twice the rate for half a second in every two, which the burst covers. Guards against limiting an account at the first sign of demand.
BOOST_AUTO_TEST_CASE(burstWithinTheAllowanceIsNotRefused)
{
    HubFleet fleet({});
    const auto rule = ruleOf(1800000, 1800000);
    double asked = 0;
    double passed = 0;
    for (TimeMs now {}; now < TimeMs { 30000 }; now += 10_ms) {
        fleet.tick(now);
        if (now < TimeMs { 5000 } || now.value % 2000 >= 500)
            continue;
        for (int n = 0; n < 2; ++n) {
            asked += 18000;
            passed += consumeAllowance(fleet.states[fleet.pickNode()], now, rule, 18000) ? 18000 : 0;
        }
    }
    BOOST_TEST(passed / asked >= 0.999, passed / asked);
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
