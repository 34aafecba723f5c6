#include "capacity/Capacity.h"

#include "base/Random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <set>

using namespace siskinshunt;

namespace {

const std::vector<std::string> domains { "lhr-depot", "lhr-gulberg", "lhr-shahdara" };

/// Fake platform: lists started instances and lets each announce itself after the start time.
struct Platform {
    CapacityPlanner planner;
    CapacityInputs inputs;
    TimeMs now { 1000000 };
    std::map<std::string, TimeMs> startedAt;
    std::set<std::string> refusedDomains;
    std::set<std::string> silent; ///< Instances that start but never announce themselves.
    std::vector<CapacityNote> notes;
    size_t starts = 0;
    size_t stops = 0;

    Platform()
    {
        inputs.shapes = { { "gpu", "dossier", 1000, 10, 60_s } };
        for (const auto& domain : domains) {
            inputs.prices.push_back({ domain, "gpu", InstanceKind::Reclaimable, 1.0 });
            inputs.prices.push_back({ domain, "gpu", InstanceKind::OnDemand, 3.0 });
            inputs.rules.push_back({ .name = domain, .domain = domain, .machine = "gpu", .model = "dossier", .min = 0, .max = 20 });
        }
        inputs.loadSlots = 100;
        demand(4000);
    }

    void demand(double topTokens) { inputs.demand = { { "dossier", "crew", 0, topTokens, 1 }, { "dossier", "draft", 5, topTokens / 2, 1 } }; }

    void answer(const InstanceIntent& intent)
    {
        if (intent.kind == InstanceAction::Stop) {
            ++stops;
            std::erase_if(inputs.instances, [&](const auto& it) { return it.id == intent.id; });
            return;
        }
        if (startedAt.count(intent.id))
            return;
        if (refusedDomains.count(intent.pool.domain) && intent.pool.kind == InstanceKind::Reclaimable) {
            CapacityOutputs out;
            handleStartRefused(planner, now, intent.id, out);
            notes.insert(notes.end(), out.notes.begin(), out.notes.end());
            return;
        }
        ++starts;
        handleStartAccepted(planner, now, intent.id);
        startedAt[intent.id] = now;
        inputs.instances.push_back({ intent.id, intent.pool.domain, intent.pool.machine, intent.pool.model, intent.pool.kind });
    }

    void run(TimeMs duration)
    {
        for (const TimeMs end = now + duration; now < end; now += 1_s) {
            for (auto& it : inputs.instances) {
                if (now - startedAt[it.id] >= 60_s && !silent.count(it.id))
                    it.phase = InstancePhase::Running;
            }
            const CapacityOutputs out = planCapacity(planner, now, inputs);
            notes.insert(notes.end(), out.notes.begin(), out.notes.end());
            for (const auto& intent : out.intents)
                answer(intent);
        }
    }

    size_t serving(const std::string& without = {}) const
    {
        return static_cast<size_t>(std::count_if(inputs.instances.begin(), inputs.instances.end(),
            [&](const auto& it) { return it.phase == InstancePhase::Running && !it.leaving && it.domain != without; }));
    }

    size_t noted(const std::string& code) const
    {
        return static_cast<size_t>(std::count_if(notes.begin(), notes.end(), [&](const auto& it) { return it.code == code; }));
    }

    bool coversLossOfAnyDomain() const
    {
        return std::all_of(domains.begin(), domains.end(), [&](const auto& it) { return static_cast<double>(serving(it)) * 1000 * 0.8 >= inputs.demand[0].tokensPerSecond - 1; });
    }
};

}

// Guards against a plan without spare capacity: after the loss of any domain, class crew still needs 4000 tokens/s.
BOOST_AUTO_TEST_CASE(highestClassSurvivesLossOfAnyDomain)
{
    Platform platform;
    platform.run(90_s);
    BOOST_TEST(platform.coversLossOfAnyDomain());
    // Class crew needs 4000 / 0.8 / 1000 = 5 instances in any two domains, which gives 3 + 3 + 2. All demand needs
    // 6000 / 0.8 / 1000 = 7.5, which fits in these 8.
    BOOST_TEST(platform.inputs.instances.size() == 8U);
    BOOST_TEST(platform.starts == 8U);
    platform.run(900_s);
    BOOST_TEST(platform.starts == 8U);
    BOOST_TEST(platform.stops == 0U);
}

// Guards against starting and stopping instances on demand and price changes of a few per cent.
BOOST_AUTO_TEST_CASE(smallSwingsChangeNothing)
{
    Platform platform;
    Random random(3);
    platform.run(90_s);
    const size_t before = platform.starts + platform.stops;
    for (int n = 0; n < 60; ++n) {
        platform.demand(3900 + 100 * random.uniform());
        platform.inputs.prices[random.below(6)].perHour *= 0.98 + 0.04 * random.uniform();
        platform.run(60_s);
    }
    BOOST_TEST(platform.starts + platform.stops <= before + 2);
    // A lasting decrease does stop instances.
    platform.demand(1000);
    platform.run(1800_s);
    BOOST_TEST(platform.inputs.instances.size() <= 4U);
    BOOST_TEST(platform.coversLossOfAnyDomain());
}

// Guards against a new leader that immediately replaces the more expensive instances of a sufficient fleet, and against
// starts that only save money beside instances that cannot be stopped.
BOOST_AUTO_TEST_CASE(sufficientFleetIsNotReplacedImmediately)
{
    for (const bool canStop : { true, false }) {
        Platform platform;
        platform.planner.options.savingsDelay = 300_s;
        for (size_t n = 0; n < 8; ++n) {
            const std::string id = "old-" + std::to_string(n);
            platform.inputs.instances.push_back({ id, domains[n % 3], "gpu", "dossier", InstanceKind::OnDemand, InstancePhase::Running, false, canStop });
            platform.startedAt[id] = platform.now - 60_s;
        }
        platform.run(295_s);
        BOOST_TEST(platform.starts + platform.stops == 0U);
        platform.run(1800_s);
        BOOST_TEST((platform.starts > 0) == canStop);
        BOOST_TEST((platform.stops > 0) == canStop);
        BOOST_TEST(platform.coversLossOfAnyDomain());
    }
}

// Guards against a loss of capacity when a whole domain is reclaimed and a second one follows during the replacement.
BOOST_AUTO_TEST_CASE(domainReclaimedTwiceIsReplaced)
{
    Platform platform;
    platform.run(90_s);
    for (const std::string domain : { "lhr-depot", "lhr-gulberg" }) {
        for (auto& it : platform.inputs.instances)
            it.leaving = it.leaving || it.domain == domain;
        recordReclaim(platform.planner, platform.now, domain, "gpu");
        platform.refusedDomains = { domain };
        BOOST_TEST(static_cast<double>(platform.serving()) * 1000 >= 4000);
        platform.run(30_s);
        std::erase_if(platform.inputs.instances, [](const auto& it) { return it.leaving; });
        platform.run(45_s);
        BOOST_TEST(platform.coversLossOfAnyDomain());
    }
    BOOST_TEST(platform.noted("start_refused") > 0U);
}

// Guards against retrying refused starts without backoff, and against waiting for a domain that refuses them.
BOOST_AUTO_TEST_CASE(refusedStartsBackOffToOthers)
{
    Platform platform;
    platform.refusedDomains = { "lhr-depot" };
    platform.run(120_s);
    BOOST_TEST(platform.coversLossOfAnyDomain());
    const size_t refused = platform.noted("start_refused");
    BOOST_TEST(refused <= 8U);
    platform.refusedDomains = { domains.begin(), domains.end() };
    platform.demand(8000);
    platform.run(240_s);
    // Only on-demand instances are available in all domains.
    BOOST_TEST(platform.coversLossOfAnyDomain());
    BOOST_TEST(std::any_of(platform.inputs.instances.begin(), platform.inputs.instances.end(), [](const auto& it) { return it.kind == InstanceKind::OnDemand; }));
}

// Guards against a late or failed start that is replaced twice or never.
BOOST_AUTO_TEST_CASE(failedStartsAreReplacedNotDoubled)
{
    Platform platform;
    platform.run(2_s);
    BOOST_REQUIRE(platform.inputs.instances.size() == 8U);
    const std::string late = platform.inputs.instances[0].id;
    const std::string dies = platform.inputs.instances[1].id;
    platform.silent.insert(late);
    std::erase_if(platform.inputs.instances, [&](const auto& it) { return it.id == dies; });
    platform.run(5_s);
    BOOST_TEST(platform.starts == 8U);
    platform.run(100_s);
    BOOST_TEST(platform.noted("start_died") == 1U);
    BOOST_TEST(platform.starts == 9U);
    platform.run(120_s);
    BOOST_TEST(platform.noted("start_late") == 1U);
    BOOST_TEST(platform.starts == 10U);
    BOOST_TEST(platform.serving() == 8U);
    BOOST_TEST(platform.inputs.instances.size() == 8U);
    BOOST_TEST(std::none_of(platform.inputs.instances.begin(), platform.inputs.instances.end(), [&](const auto& it) { return it.id == late; }));
}

// Guards against a new leader that repeats all starts although the open intents are in the decision log.
BOOST_AUTO_TEST_CASE(newLeaderKeepsOpenStarts)
{
    Platform platform;
    platform.run(5_s);
    CapacityPlanner next;
    next.options.idPrefix = "epoch2";
    for (const auto& [id, start] : platform.planner.starts)
        restoreStart(next, platform.now, id, start.pool, start.rule);
    platform.planner = next;
    platform.run(300_s);
    BOOST_TEST(platform.starts == 8U);
}

// Guards against more concurrent starts than the weight store can serve, which would delay all of them.
BOOST_AUTO_TEST_CASE(weightStoreLimitsStarts)
{
    Platform platform;
    platform.inputs.loadSlots = 3;
    platform.run(1_s);
    BOOST_TEST(platform.starts == 3U);
    BOOST_TEST(platform.noted("weights_wait") == 1U);
    platform.run(240_s);
    BOOST_TEST(platform.serving() == 8U);
}

// Guards against a missing note when the rules allow too few instances, and against counts outside their range.
BOOST_AUTO_TEST_CASE(shortfallIsReportedAndRangesHold)
{
    Platform platform;
    for (auto& rule : platform.inputs.rules)
        rule.max = 1;
    platform.inputs.rules[2].min = 1;
    platform.run(90_s);
    BOOST_TEST(platform.noted("shortfall") > 0U);
    BOOST_TEST(platform.inputs.instances.size() == 3U);
    platform.inputs.demand.clear();
    platform.run(900_s);
    BOOST_TEST(platform.inputs.instances.size() == 1U);
    BOOST_TEST(platform.inputs.instances[0].domain == "lhr-shahdara");
}

namespace {

bool covers(const ModelNeed& need, const std::vector<PoolCandidate>& pools, const std::vector<uint32_t>& counts)
{
    std::map<std::string, double> byDomain;
    double all = 0;
    for (size_t n = 0; n < pools.size(); ++n) {
        byDomain[pools[n].key.domain] += counts[n] * pools[n].tokensPerSecond;
        all += counts[n] * pools[n].tokensPerSecond;
    }
    return all >= need.allTokens - 1e-6 && std::all_of(byDomain.begin(), byDomain.end(), [&](const auto& it) { return all - it.second >= need.topTokens - 1e-6; });
}

double cheapest(const ModelNeed& need, const std::vector<PoolCandidate>& pools, uint32_t most)
{
    double best = std::numeric_limits<double>::infinity();
    std::vector<uint32_t> counts(pools.size(), 0);
    for (;;) {
        double cost = 0;
        for (size_t n = 0; n < pools.size(); ++n)
            cost += counts[n] * pools[n].cost;
        if (cost < best && covers(need, pools, counts))
            best = cost;
        size_t n = 0;
        while (n < counts.size() && counts[n] == most)
            counts[n++] = 0;
        if (n == counts.size())
            return best;
        ++counts[n];
    }
}

}

// Guards against plans far above the minimum cost, by comparison with an exhaustive search on small random cases.
BOOST_AUTO_TEST_CASE(plansAreCloseToTheCheapest)
{
    Random random(17);
    double sum = 0;
    double optimum = 0;
    for (int round = 0; round < 60; ++round) {
        std::vector<PoolCandidate> pools;
        std::vector<InstancesRule> rules;
        for (size_t n = 0; n < 6; ++n) {
            const bool large = n >= 3;
            pools.push_back({ .key = { "m", domains[n % 3], large ? "large" : "small", InstanceKind::Reclaimable },
                .rule = n,
                .tokensPerSecond = large ? 2500.0 : 1000.0,
                .requestsPerSecond = 1000,
                .cost = (large ? 2.2 : 1.0) * (0.7 + 0.6 * random.uniform()) });
            rules.push_back({ .max = 4 });
        }
        const double top = 1000 + 5000 * random.uniform();
        const ModelNeed need { top, 0, top * (1 + random.uniform()), 0 };
        const PoolPlan plan = solvePools(need, pools, rules);
        BOOST_TEST(plan.shortfall < 1e-9);
        BOOST_TEST(covers(need, pools, plan.counts));
        const double best = cheapest(need, pools, 4);
        BOOST_TEST(plan.cost <= best * 1.25);
        sum += plan.cost;
        optimum += best;
    }
    BOOST_TEST_MESSAGE("cost over the optimum: " << sum / optimum - 1);
    BOOST_TEST(sum <= optimum * 1.03);
}
