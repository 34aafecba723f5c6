#include "routing/Router.h"
#include "routing/Subset.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <set>

using namespace siskinshunt;

static UpstreamId runner(uint32_t n)
{
    return idOfName<UpstreamId>("runner-" + std::to_string(n));
}

static RoutingTarget target(uint32_t n, const std::string& version = "v1")
{
    return { .id = runner(n), .pool = "model", .version = version, .domain = std::to_string(n % 3), .incarnation = 1 };
}

static UpstreamLoad idleLoad()
{
    return { .capacity = 32, .tokensPerSecond = 80, .prefillTokensPerSecond = 14000 };
}

static Router filledRouter(uint32_t upstreams, uint64_t seed = 1)
{
    Router router({ .self = idOfName<NodeId>("a"), .domain = "0", .seed = seed });
    for (uint32_t n = 0; n < upstreams; ++n) {
        updateTarget(router, target(n));
        updateLoad(router, runner(n), idleLoad(), 0_s);
    }
    return router;
}

static std::vector<uint64_t> prompt(uint64_t prefix, uint32_t blocks)
{
    std::vector<uint64_t> out;
    for (uint64_t n = 0; n < blocks; ++n)
        out.push_back(combineHash(prefix, n) | 1);
    return out;
}

static RouteRequest request(std::span<const uint64_t> blocks)
{
    return { .pool = "model", .route = "r", .blocks = blocks, .promptTokens = static_cast<uint32_t>(blocks.size() * 256 + 50), .firstTokenTarget = 2_s };
}

static Choice send(Router& router, const RouteRequest& it, uint64_t call, TimeMs now)
{
    const auto choice = choose(router, it, now);
    if (choice.upstream)
        recordSent(router, { { call }, 1, choice.upstream, it.priority, it.promptTokens, choice.cachedTokens }, now);
    return choice;
}

// Guards against new calls to an upstream that is leaving, even if it is the last one of the pool or caches the prefix.
BOOST_AUTO_TEST_CASE(leavingUpstreamIsNeverChosen)
{
    Router router = filledRouter(4);
    const auto blocks = prompt(1, 20);
    for (uint32_t n = 0; n < 4; ++n) {
        for (uint64_t block : blocks)
            updateCache(router, runner(n), block, true);
        auto it = target(n);
        it.acceptsWork = false;
        updateTarget(router, it);
        for (int i = 0; i < 200; ++i) {
            const auto choice = choose(router, request(blocks), 1_s);
            BOOST_TEST((choice.upstream != runner(n)));
            BOOST_TEST((choice.reason == ChoiceReason::NoUpstream) == (n == 3));
        }
    }
}

// Guards against spreading calls with a common prefix over the pool, which makes every upstream recompute the prefix.
BOOST_AUTO_TEST_CASE(callsFollowTheirPrefix)
{
    Router router = filledRouter(12);
    const auto blocks = prompt(5, 30);
    const auto first = send(router, request(blocks), 1, 1_s);
    recordFirstToken(router, { 1 }, 1, blocks, 0, 1500_ms);
    recordEnd(router, { 1 }, 1, CallEnd::Done, 3_s);
    for (int n = 0; n < 50; ++n) {
        const auto choice = choose(router, request(blocks), 4_s);
        BOOST_TEST((choice.upstream == first.upstream));
        BOOST_TEST(choice.cachedTokens == 30U * 256);
        BOOST_TEST(choice.expectedMs < choice.runnerUpMs);
    }
}

// Guards against herding: several nodes see the same outdated report of an idle upstream and all send their calls to it.
BOOST_AUTO_TEST_CASE(laggedLoadDoesNotHerd)
{
    std::vector<Router> nodes;
    for (uint64_t seed = 1; seed <= 7; ++seed)
        nodes.push_back(filledRouter(10, seed));
    for (auto& node : nodes) {
        for (uint32_t n = 1; n < 10; ++n) {
            auto load = idleLoad();
            load.running = 12;
            updateLoad(node, runner(n), load, 1_s);
        }
    }
    std::map<UpstreamId, int> sent;
    for (uint64_t call = 1; call <= 210; ++call) {
        const auto blocks = prompt(1000 + call, 4);
        ++sent[send(nodes[call % 7], request(blocks), call, 1100_ms).upstream];
    }
    for (const auto& [id, n] : sent)
        BOOST_TEST(n <= 84); // At most 40% go to the upstream that was reported as idle.
    BOOST_TEST(sent.size() >= 8U);
}

// Guards against counting own calls twice: as part of the load report and as sent since the report.
BOOST_AUTO_TEST_CASE(reportedOwnCallsCountOnce)
{
    Router router = filledRouter(1);
    for (uint64_t call = 1; call <= 6; ++call)
        send(router, request({}), call, call <= 4 ? 1_s : 3_s);
    auto load = idleLoad();
    load.running = 4;
    load.waitingTokens = 200;
    updateLoad(router, runner(0), load, 2_s);
    BOOST_TEST(router.rows[0].othersCalls == 0U);
    BOOST_TEST(router.rows[0].othersTokens == 0U);
    BOOST_TEST(router.rows[0].ownCalls == 6U);
    load.running = 9;
    updateLoad(router, runner(0), load, 4_s);
    BOOST_TEST(router.rows[0].othersCalls == 3U);
    updateLoad(router, runner(0), idleLoad(), 3_s); // An older report that arrives late.
    BOOST_TEST(router.rows[0].othersCalls == 3U);
}

// Guards against relying on cache hints that replies contradict, which would keep routing calls to an empty cache.
BOOST_AUTO_TEST_CASE(contradictedHintsAreDiscounted)
{
    Router router = filledRouter(1);
    for (uint64_t call = 1; call <= 60; ++call) {
        const auto blocks = prompt(call, 20);
        for (uint64_t block : blocks)
            updateCache(router, runner(0), block, true);
        const auto choice = send(router, request(blocks), call, 1_s);
        BOOST_TEST((call > 1 || choice.cachedTokens == 20U * 256));
        recordFirstToken(router, { call }, 1, blocks, 0, 2_s);
        recordEnd(router, { call }, 1, CallEnd::Done, 3_s);
    }
    const auto blocks = prompt(1, 20);
    BOOST_TEST(choose(router, request(blocks), 4_s).cachedTokens < 20U * 256 / 10);
}

// Guards against using cache hints of an earlier incarnation, and against a late announcement of that incarnation
// replacing the current one.
BOOST_AUTO_TEST_CASE(newIncarnationHasAnEmptyCache)
{
    Router router = filledRouter(1);
    const auto blocks = prompt(1, 20);
    for (uint64_t block : blocks)
        updateCache(router, runner(0), block, true);
    BOOST_TEST(choose(router, request(blocks), 1_s).cachedTokens > 0U);
    auto it = target(0);
    it.incarnation = 2;
    updateTarget(router, it);
    BOOST_TEST(choose(router, request(blocks), 1_s).cachedTokens == 0U);
    it.incarnation = 1;
    it.acceptsWork = false;
    updateTarget(router, it);
    BOOST_TEST((choose(router, request(blocks), 1_s).upstream == runner(0)));
}

// Guards against an index that grows without bound or evicts its newest entries first.
BOOST_AUTO_TEST_CASE(prefixIndexStaysBounded)
{
    PrefixIndex index(1024);
    for (uint64_t n = 0; n < 100000; ++n)
        addHolder(index, combineHash(n, 1), cacheHolder(n % 50, 1));
    BOOST_TEST(index.entries.size() == 1024U);
    uint32_t found = 0;
    for (uint64_t n = 99900; n < 100000; ++n)
        found += findBlock(index, combineHash(n, 1)) ? 1 : 0;
    BOOST_TEST(found >= 95U);
    const std::vector<uint64_t> one { combineHash(99999, 1) };
    BOOST_TEST(expectedBlocks(index, one, cacheHolder(49, 1)) == 1U);
    removeHolder(index, one[0], cacheHolder(49, 1));
    BOOST_TEST(expectedBlocks(index, one, cacheHolder(49, 1)) == 0U);
}

static void failCalls(Router& router, TimeMs now, int count, uint64_t firstCall, const std::function<bool(UpstreamId)>& fails)
{
    for (int n = 0; n < count; ++n) {
        const uint64_t call = firstCall + static_cast<uint64_t>(n);
        const auto choice = send(router, request({}), call, now);
        BOOST_REQUIRE(bool(choice.upstream));
        recordEnd(router, { call }, 1, fails(choice.upstream) ? CallEnd::Failed : CallEnd::Done, now);
    }
}

static uint32_t ejectedCount(const Router& router, uint32_t upstreams, TimeMs now)
{
    uint32_t out = 0;
    for (uint32_t n = 0; n < upstreams; ++n)
        out += healthOf(router, runner(n), now) != Health::Healthy ? 1 : 0;
    return out;
}

// Guards against ejecting a whole pool when all upstreams fail at once, and against a pool that never recovers.
BOOST_AUTO_TEST_CASE(ejectionKeepsHalfOfThePool)
{
    Router router = filledRouter(9);
    failCalls(router, 1_s, 500, 1, [](UpstreamId) { return true; });
    BOOST_TEST(ejectedCount(router, 9, 1_s) == 4U);
    failCalls(router, 7_s, 300, 1000, [](UpstreamId) { return false; });
    failCalls(router, 9_s, 300, 2000, [](UpstreamId) { return false; });
    BOOST_TEST(ejectedCount(router, 9, 9_s) == 0U);
}

// Guards against a failing upstream that keeps receiving calls, or receives its full share right after its ejection.
BOOST_AUTO_TEST_CASE(failingUpstreamIsEjectedAndProbed)
{
    Router router = filledRouter(6);
    int toBad = 0;
    const auto isBad = [&](UpstreamId id) { toBad += id == runner(2) ? 1 : 0; return id == runner(2); };
    failCalls(router, 1_s, 300, 1, isBad);
    BOOST_TEST(toBad == 5);
    BOOST_TEST((healthOf(router, runner(2), 2_s) == Health::Ejected));
    BOOST_TEST((healthOf(router, runner(2), 7_s) == Health::Probing));
    failCalls(router, 7_s, 100, 1000, isBad);
    BOOST_TEST(toBad == 6);
    BOOST_TEST((healthOf(router, runner(2), 13_s) == Health::Ejected)); // The second ejection lasts twice as long.
    auto once = request({});
    once.repeatable = false;
    for (int n = 0; n < 100; ++n)
        BOOST_TEST((choose(router, once, 30_s).upstream != runner(2)));
}

// Guards against ejections that leave too few upstreams after the loss of a whole failure domain.
BOOST_AUTO_TEST_CASE(lostDomainReleasesEjections)
{
    Router router = filledRouter(9);
    failCalls(router, 1_s, 500, 1, [](UpstreamId id) { return id == runner(0) || id == runner(3) || id == runner(1) || id == runner(4); });
    BOOST_TEST(ejectedCount(router, 9, 1_s) == 4U);
    for (uint32_t n : { 2U, 5U, 8U, 7U }) {
        auto it = target(n);
        it.acceptsWork = false;
        updateTarget(router, it);
    }
    BOOST_TEST(bool(choose(router, request({}), 1_s).upstream));
    BOOST_TEST(ejectedCount(router, 9, 1_s) == 2U);
    const std::vector<UpstreamId> tried { runner(6) };
    auto retry = request({});
    retry.avoid = tried;
    BOOST_TEST(bool(choose(router, retry, 1_s).upstream));
}

static std::map<std::string, int> countVersions(Router& router, int calls, std::string_view route, TimeMs step)
{
    std::map<std::string, int> out;
    TimeMs now;
    for (int n = 0; n < calls; ++n, now += step) {
        auto it = request({});
        it.route = route;
        const auto choice = choose(router, it, now);
        ++out[choice.upstream ? router.rows[router.slots.at(choice.upstream)].target.version : "none"];
    }
    return out;
}

// Guards against versions that receive more than their share, also per route and after the old version was removed.
BOOST_AUTO_TEST_CASE(versionsKeepTheirShares)
{
    Router router = filledRouter(8);
    for (uint32_t n = 8; n < 12; ++n)
        updateTarget(router, target(n, "v2"));
    setShares(router.split, { { "model", "v1", "", 0.9 }, { "model", "v2", "", 0.1 }, { "model", "v1", "safe", 1 } });
    auto counts = countVersions(router, 10000, "r", 1_ms);
    BOOST_TEST(counts["v2"] > 850);
    BOOST_TEST(counts["v2"] < 1150);
    BOOST_TEST(countVersions(router, 1000, "safe", 1_ms)["v1"] == 1000);
    setShares(router.split, { { "model", "v1", "", 1 } });
    for (uint32_t n = 0; n < 8; ++n)
        removeTarget(router, runner(n));
    BOOST_TEST(countVersions(router, 100, "r", 1_ms)["none"] == 100);
}

// Guards against exceeding a version's share while its only upstream carries full load.
BOOST_AUTO_TEST_CASE(fullLoadRunnerKeepsTheShare)
{
    Router router = filledRouter(9);
    updateTarget(router, target(9, "v2"));
    setShares(router.split, { { "model", "v1", "", 0.95 }, { "model", "v2", "", 0.05, runner(9) } });
    int inPhase = 0;
    int all = 0;
    for (int n = 0; n < 60000; ++n) {
        const TimeMs now { n };
        const auto choice = choose(router, request({}), now);
        const bool chosen = choice.upstream == runner(9);
        BOOST_TEST(chosen == (choice.reason == ChoiceReason::FullLoadRunner));
        all += chosen ? 1 : 0;
        inPhase += chosen && now.value % fullLoadPeriod.value < 10000 ? 1 : 0;
    }
    BOOST_TEST(all <= 3000);
    BOOST_TEST(all > 2400); // The first phase has only half the credit of later ones.
    BOOST_TEST(inPhase == all);
    auto it = target(9, "v2");
    it.acceptsWork = false;
    updateTarget(router, it);
    BOOST_TEST(countVersions(router, 1000, "r", 1_ms)["v1"] == 1000);
}

// Guards against a subset that ignores the own failure domain, or lies entirely in it and is lost with it.
BOOST_AUTO_TEST_CASE(subsetPrefersTheOwnDomain)
{
    std::vector<SubsetMember> members;
    for (uint32_t n = 0; n < 800; ++n)
        members.push_back({ n, combineHash(n, 3), n % 8 == 0 });
    const auto subset = chooseSubset(members, 64, 12345);
    BOOST_TEST(subset.size() == 64U);
    BOOST_TEST((std::set<uint32_t>(subset.begin(), subset.end()).size() == 64U));
    BOOST_TEST(std::count_if(subset.begin(), subset.end(), [](uint32_t n) { return n % 8 == 0; }) == 48);
    std::erase_if(members, [](const auto& it) { return it.ownDomain; });
    BOOST_TEST(chooseSubset(members, 64, 12345).size() == 64U);
    std::set<uint32_t> covered;
    for (uint64_t node = 0; node < 400; ++node) {
        for (uint32_t slot : chooseSubset(members, 64, combineHash(node, 1)))
            covered.insert(slot);
    }
    BOOST_TEST(covered.size() > 400U);
}

// Guards against balancing services by prefix or price: a call goes to the least loaded one.
BOOST_AUTO_TEST_CASE(servicesGoToTheLeastLoaded)
{
    Router router({ .domain = "0" });
    for (uint32_t n = 0; n < 3; ++n) {
        updateTarget(router, { .id = runner(n), .pool = "hire-desk", .domain = "0", .kind = UpstreamKind::Service });
        updateLoad(router, runner(n), { .capacity = 10 }, 0_s);
    }
    std::map<UpstreamId, int> sent;
    for (uint64_t call = 1; call <= 30; ++call)
        ++sent[send(router, { .pool = "hire-desk" }, call, 1_s).upstream];
    for (uint32_t n = 0; n < 3; ++n)
        BOOST_TEST(sent[runner(n)] >= 6);
    BOOST_TEST((choose(router, { .pool = "unknown" }, 1_s).reason == ChoiceReason::NoUpstream));
}

// Guards against a call that waits at the busier of two services because both random draws selected it.
BOOST_AUTO_TEST_CASE(bothOfTwoServicesAreCompared)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        Router router({ .domain = "0", .seed = seed });
        for (uint32_t n = 0; n < 2; ++n) {
            updateTarget(router, { .id = runner(n), .pool = "hire-desk", .domain = "0", .kind = UpstreamKind::Service });
            updateLoad(router, runner(n), { .capacity = 10 }, 0_s);
        }
        const auto first = send(router, { .pool = "hire-desk" }, 1, 1_s).upstream;
        BOOST_TEST((choose(router, { .pool = "hire-desk" }, 1_s).upstream != first));
    }
}

// Guards against non-urgent calls that use the last free slots, also when many nodes see the same slots as free.
BOOST_AUTO_TEST_CASE(lastSlotsAreReservedForUrgentCalls)
{
    int sent = 0;
    for (uint64_t node = 1; node <= 7; ++node) {
        Router router = filledRouter(1, node);
        router.options.nodes = 7;
        auto load = idleLoad();
        load.running = 18;
        updateLoad(router, runner(0), load, 1_s);
        auto it = request({});
        it.priority = 5;
        it.canQueue = true;
        for (uint64_t call = 1; call <= 20; ++call)
            sent += send(router, it, call, 2_s).reason == ChoiceReason::HeldBack ? 0 : 1;
        it.priority = 0;
        it.canQueue = false;
        BOOST_TEST(bool(choose(router, it, 2_s).upstream));
    }
    BOOST_TEST(sent <= 14); // Of 32 slots, 18 are in use and 6 reserved, so 8 are free.
    BOOST_TEST(sent >= 4);
}
