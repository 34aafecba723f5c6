#include "forward/ColdUpstreams.h"

#include "base/Random.h"
#include "forward/TargetChoice.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>

using namespace siskinshunt;

namespace {

constexpr double coldPerSecond = 8.6;
constexpr TimeMs coldTime { 3000 };
constexpr TimeMs start { 1764800000000 };

// Requests that a cold upstream may get in any second, from all nodes together.
double allowedInSecond(double perSecond)
{
    return perSecond * 1.5 + 5;
}

struct Arrivals {
    std::deque<TimeMs> window;
    size_t most = 0;
    size_t count = 0;

    void add(TimeMs at)
    {
        ++count;
        window.push_back(at);
        std::sort(window.begin(), window.end());
        while (window.back() - window.front() >= 1_s)
            window.pop_front();
        most = std::max(most, window.size());
    }
};

// Nodes that all want to send to one cold upstream at every moment.
struct Senders {
    explicit Senders(size_t count, double perSecond = coldPerSecond)
        : perSecond(perSecond)
    {
        for (size_t n = 0; n < count; ++n)
            nodes.push_back({ idOfName<NodeId>("entry-" + std::to_string(n)), {}, {} });
        sees = [](size_t, size_t) { return true; };
        for (auto& node : nodes)
            setColdUntil(node.limit, now, farFuture);
    }

    void updateShare(size_t n)
    {
        std::vector<NodeId> sending;
        for (size_t other = 0; other < nodes.size(); ++other) {
            if (other == n || sees(n, other))
                sending.push_back(nodes[other].id);
        }
        auto& node = nodes[n];
        setColdShare(node.limit, now, UpstreamId { 7 }, perSecond, node.id, recordSenders(node.senders, now, sending, [](NodeId) { return false; }));
    }

    void run(TimeMs duration)
    {
        for (const TimeMs end = now + duration; now < end; now += 10_ms) {
            for (size_t n = 0; n < nodes.size(); ++n) {
                if (paused.contains(n))
                    continue;
                if (now.value % 200 == static_cast<int64_t>(n % 20) * 10)
                    updateShare(n);
                if (!canSend(nodes[n].limit, now))
                    continue;
                recordSend(nodes[n].limit, now);
                arrivals.add(now + TimeMs { random.between(1, 20) });
            }
        }
    }

    void restart(size_t n)
    {
        nodes[n].senders.clear();
        nodes[n].limit = {};
        setColdUntil(nodes[n].limit, now, farFuture);
    }

    void check() const { BOOST_TEST(static_cast<double>(arrivals.most) <= allowedInSecond(perSecond)); }

    struct Node {
        NodeId id;
        TargetLimit limit;
        ColdSenders senders;
    };
    double perSecond;
    TimeMs now = start;
    std::vector<Node> nodes;
    std::function<bool(size_t, size_t)> sees; ///< Whether the first node sees the second as one that sends.
    std::set<size_t> paused;
    Arrivals arrivals;
    Random random { 5 };
};

}

BOOST_AUTO_TEST_SUITE(coldUpstreams)

// Guards against a cold upstream that gets each node's few requests, which are too many together, and against shares that are not used.
BOOST_AUTO_TEST_CASE(boundHoldsOverAllNodesAndRateIsUsed)
{
    for (const size_t count : { 8U, 72U, 200U }) {
        for (const double perSecond : { 0.5, 2.0, 8.6, 40.0 }) {
            BOOST_TEST_CONTEXT(count << " nodes, " << perSecond << " requests/s")
            {
                Senders it(count, perSecond);
                it.run(30_s);
                it.check();
                // Fewer nodes than share the rate use a part of it each.
                const double used = count < 0.35 * perSecond ? 0.3 : 0.6;
                BOOST_TEST(static_cast<double>(it.arrivals.count) >= used * perSecond * 30);
            }
        }
    }
}

// Guards against a node that sees no other one and takes the whole rate.
BOOST_AUTO_TEST_CASE(boundHoldsWithANodeCutOff)
{
    for (const size_t count : { 8U, 72U, 200U }) {
        Senders it(count);
        it.run(5_s);
        it.sees = [](size_t n, size_t other) { return n != 3 && other != 3; };
        it.run(30_s);
        it.check();
    }
}

// Guards against two sides of a network partition that share the whole rate each.
BOOST_AUTO_TEST_CASE(boundHoldsInAPartition)
{
    for (const size_t count : { 8U, 72U, 200U }) {
        Senders it(count);
        it.run(5_s);
        it.sees = [](size_t n, size_t other) { return n % 2 == other % 2; };
        it.run(30_s);
        it.check();
    }
}

// As above, in a partition that lasts longer than nodes remember each other, or that was there when they started.
BOOST_AUTO_TEST_CASE(boundHoldsInALongPartition)
{
    Senders it(72);
    it.sees = [](size_t n, size_t other) { return n % 2 == other % 2; };
    it.run(30_s);
    it.check();
}

// Guards against nodes that restart during a partition, one after the other, and forget whom they do not see.
BOOST_AUTO_TEST_CASE(boundHoldsWhileNodesRestart)
{
    for (const size_t count : { 8U, 72U, 200U }) {
        Senders it(count);
        it.run(3_s);
        for (size_t n = 0; n < count; n += count / 8) {
            it.restart(n);
            it.run(500_ms);
        }
        it.run(3_s);
        it.check();
    }
}

// Guards against nodes that were paused and go on with the share that others have taken over.
BOOST_AUTO_TEST_CASE(boundHoldsWhileNodesArePaused)
{
    for (const size_t count : { 8U, 72U, 200U }) {
        Senders it(count);
        it.run(3_s);
        for (size_t n = 0; n < count; n += 4)
            it.paused.insert(n);
        it.sees = [](size_t, size_t other) { return other % 4 != 0; };
        it.run(5_s);
        it.paused.clear();
        it.run(300_ms);
        it.sees = [](size_t, size_t) { return true; };
        it.run(5_s);
        it.check();
    }
}

// Guards against nodes that disagree for some seconds on who sends: each misses others, at first for being new, then by turns.
BOOST_AUTO_TEST_CASE(boundHoldsWhileViewsDiffer)
{
    for (const size_t count : { 72U, 200U }) {
        Senders it(count);
        it.sees = [count](size_t n, size_t other) { return (other + count - n - 1) % count >= count / 8; };
        it.run(10_s);
        it.sees = [&it](size_t n, size_t other) { return combineHash(n * 1000 + other, static_cast<uint64_t>(it.now.value / 1000)) % 8 != 0; };
        it.run(10_s);
        it.check();
    }
}

// Guards against nodes without a share that refuse for good, and against a time to come back at which the upstream still takes nothing.
BOOST_AUTO_TEST_CASE(timeUntilSendIsTrueForColdUpstreams)
{
    TargetLimit limit;
    BOOST_TEST(canSend(limit, start));
    setColdUntil(limit, start, start + 3_s);
    BOOST_TEST(!canSend(limit, start));
    BOOST_REQUIRE(timeUntilSend(limit, start));
    BOOST_TEST((*timeUntilSend(limit, start) == 3_s));
    BOOST_TEST(canSend(limit, start + 3_s));
    const NodeId self = idOfName<NodeId>("entry-1");
    setColdShare(limit, start, UpstreamId { 7 }, coldPerSecond, self, { self });
    const TimeMs wait = *timeUntilSend(limit, start);
    BOOST_TEST((wait > TimeMs {} && wait < 1_s));
    BOOST_TEST(!canSend(limit, start + wait - 2_ms));
    BOOST_TEST(canSend(limit, start + wait));
}

// Guards against one of the two limits that is forgotten when an upstream both is cold and names a limit.
BOOST_AUTO_TEST_CASE(namedAndColdLimitApplyTogether)
{
    const NodeId self = idOfName<NodeId>("entry-1");
    TargetLimit limit { .perSecond = 0.3 };
    setShare(limit, start, UpstreamId { 7 }, self, { self });
    setColdUntil(limit, start, start + 60_s);
    setColdShare(limit, start, UpstreamId { 7 }, coldPerSecond, self, { self });
    BOOST_TEST(!canSend(limit, start + 1_s));
    BOOST_TEST((*timeUntilSend(limit, start + 1_s) > 2_s));
    limit.perSecond = 100;
    setShare(limit, start + 1_s, UpstreamId { 7 }, self, { self });
    BOOST_TEST(canSend(limit, start + 2_s));
    recordSend(limit, start + 2_s);
    BOOST_TEST(!canSend(limit, start + 2_s + 100_ms));
}

// Guards against a new share that begins with requests saved up while the upstream was warm.
BOOST_AUTO_TEST_CASE(becomingColdAgainStartsWithoutRequests)
{
    const NodeId self = idOfName<NodeId>("entry-1");
    TargetLimit limit;
    setColdUntil(limit, start, start + 1_s);
    setColdShare(limit, start, UpstreamId { 7 }, coldPerSecond, self, { self });
    setColdUntil(limit, start + 20_s, start + 23_s);
    BOOST_TEST(!canSend(limit, start + 20_s));
    // Nothing without a share, whatever the level.
    TargetLimit unused;
    setColdUntil(unused, start, start + 1_s, 1);
    BOOST_TEST(!canSend(unused, start));
    BOOST_TEST((*timeUntilSend(unused, start) == 1_s));
    setColdShare(limit, start + 20_s, UpstreamId { 7 }, coldPerSecond, self, { self });
    BOOST_TEST(!canSend(limit, start + 20_s));
}

// Guards against an announcement of the same incarnation that resets what has been sent to a cold upstream.
BOOST_AUTO_TEST_CASE(limitSurvivesAnnouncements)
{
    ForwardTargets table;
    ForwardTarget announced { .id = UpstreamId { 7 }, .backend = "lm", .incarnation = 1 };
    setColdUntil(upsertTarget(table, announced).limit, start, start + 3_s);
    announced.sequence = 2;
    BOOST_TEST(isCold(upsertTarget(table, announced).limit, start));
    announced.incarnation = 2;
    BOOST_TEST(!isCold(upsertTarget(table, announced).limit, start));
}

namespace {

uint64_t startedAt(TimeMs time)
{
    return static_cast<uint64_t>(time.value);
}

}

// Guards against an upstream that has just started and counts as warm, with a clock that is behind or ahead, and against a node that counts all
// upstreams as cold when it starts.
BOOST_AUTO_TEST_CASE(startedUpstreamsAreColdFromTheFirstSight)
{
    for (const TimeMs offset : { TimeMs { -8000 }, TimeMs {}, TimeMs { 8000 } }) {
        ColdState state;
        observeIncarnation(state, start, startedAt(start + offset), start - 60_s);
        BOOST_TEST((coldUntil(state, coldTime) >= start + coldTime));
        BOOST_TEST((coldUntil(state, coldTime) <= start + coldTime + 500_ms));
        observeIncarnation(state, start + 1_s, startedAt(start + offset), start - 60_s);
        BOOST_TEST((coldUntil(state, coldTime) <= start + coldTime + 500_ms));
    }
    ColdState old;
    observeIncarnation(old, start, startedAt(start - 60_s), start - 1_s);
    BOOST_TEST((coldUntil(old, coldTime) <= start));
    ColdState recent;
    observeIncarnation(recent, start, startedAt(start - 2_s), start - 1_s);
    BOOST_TEST((coldUntil(recent, coldTime) >= start + coldTime));
    // A later incarnation replaces an earlier one, and not the other way round.
    observeIncarnation(old, start + 90_s, startedAt(start + 89_s), start - 1_s);
    BOOST_TEST((coldUntil(old, coldTime) >= start + 90_s + coldTime));
    observeIncarnation(old, start + 91_s, startedAt(start - 60_s), start - 1_s);
    BOOST_TEST(old.incarnation == startedAt(start + 89_s));
}

// Guards against delayed statements that overtake newer ones, and against state that outlives the cold time.
BOOST_AUTO_TEST_CASE(newestStatementCounts)
{
    ColdState state;
    observeIncarnation(state, start, 5, start - 60_s);
    BOOST_TEST(applyStatement(state, start + 100_ms, { UpstreamId { 7 }, 5, 2000, 0 }));
    BOOST_TEST((coldUntil(state, coldTime) >= start + 2100_ms && coldUntil(state, coldTime) < start + 2600_ms));
    // Made before, and told late.
    BOOST_TEST(!applyStatement(state, start + 200_ms, { UpstreamId { 7 }, 5, 0, 500 }));
    BOOST_TEST((coldUntil(state, coldTime) >= start + 2100_ms));
    // The same, repeated.
    BOOST_TEST(!applyStatement(state, start + 1300_ms, { UpstreamId { 7 }, 5, 800, 0 }));
    BOOST_TEST(!applyStatement(state, start + 2500_ms, { UpstreamId { 7 }, 5, 0, 0 }));
    BOOST_TEST((coldUntil(state, coldTime) <= start + 2500_ms));
    // Cold again without a restart.
    BOOST_TEST(applyStatement(state, start + 9_s, { UpstreamId { 7 }, 5, 3000, 0 }));
    BOOST_TEST((coldUntil(state, coldTime) >= start + 12_s));
    // An earlier incarnation says nothing of this one.
    BOOST_TEST(!applyStatement(state, start + 10_s, { UpstreamId { 7 }, 4, 0, 0 }));
    BOOST_TEST((coldUntil(state, coldTime) >= start + 12_s));
    BOOST_TEST(applyStatement(state, start + 10_s, { UpstreamId { 7 }, 6, 0, 0 }));
    BOOST_TEST((coldUntil(state, coldTime) <= start + 10_s));
}

// Guards against the end of an evacuation after which upstreams that have become cold meanwhile count as warm.
BOOST_AUTO_TEST_CASE(onlyLaterStatementsCountAfterAnEvacuation)
{
    ColdState state;
    applyStatement(state, start, { UpstreamId { 7 }, 5, 0, 0 });
    requireStatement(state, start + 5_s, coldTime);
    BOOST_TEST((coldUntil(state, coldTime) >= start + 8_s));
    BOOST_TEST(!applyStatement(state, start + 5100_ms, { UpstreamId { 7 }, 5, 0, 200 }));
    BOOST_TEST((coldUntil(state, coldTime) >= start + 8_s));
    BOOST_TEST(applyStatement(state, start + 5200_ms, { UpstreamId { 7 }, 5, 0, 0 }));
    BOOST_TEST((coldUntil(state, coldTime) <= start + 5200_ms));
}

namespace {

// The entry nodes and engines of the large deployment, of which those of one failure domain have just become cold, under 2.5 times the usual load.
struct ColdDomain {
    static constexpr size_t nodeCount = 57;
    static constexpr size_t engineCount = 140;
    static constexpr size_t coldCount = 47;
    static constexpr double requestsPerSecond = 832 * 2.5;
    static constexpr TimeMs coldUntil = start + coldTime;

    ColdDomain()
        : tables(nodeCount)
        , running(engineCount)
        , arrivals(engineCount)
    {
        for (size_t n = 0; n < nodeCount; ++n)
            ids.push_back(idOfName<NodeId>("entry-" + std::to_string(n)));
        for (auto& table : tables) {
            for (size_t e = 0; e < engineCount; ++e) {
                auto& target = upsertTarget(table, { .id = engineId(e), .domain = e % 3 ? "b" : "a", .backend = "lm", .slots = 32, .engine = true, .lastSeen = start });
                if (e < coldCount)
                    setColdUntil(target.limit, start, coldUntil, 1);
            }
        }
    }

    static UpstreamId engineId(size_t e) { return UpstreamId { e + 1 }; }

    void update(TimeMs now)
    {
        while (!ends.empty() && ends.begin()->first <= now) {
            --running[ends.begin()->second];
            ends.erase(ends.begin());
        }
        for (size_t n = 0; now.value % 200 == 0 && n < nodeCount; ++n) {
            for (size_t e = 0; e < engineCount; ++e) {
                ForwardTarget& target = *findTarget(tables[n], engineId(e));
                target.lastSeen = now;
                target.others.running = static_cast<double>(running[e]);
                if (e < coldCount)
                    setColdShare(target.limit, now, target.id, coldPerSecond, ids[n], ids);
            }
        }
    }

    void send(TimeMs now)
    {
        const size_t n = random.below(nodeCount);
        const auto choice = chooseTarget(tables[n], parts, options, { .backend = "lm", .promptTokens = 300 }, now, random);
        if (!choice) {
            const auto wait = timeUntilTarget(tables[n], "lm", now);
            unserved += 1;
            BOOST_TEST((wait && *wait > TimeMs {}));
            return;
        }
        ForwardTarget& target = *findTarget(tables[n], choice->target);
        recordSend(target.limit, now);
        const size_t e = choice->target.value - 1;
        ++running[e];
        ends.emplace(now + 900_ms, e);
        if (now < coldUntil)
            arrivals[e].add(now);
    }

    void run(TimeMs duration)
    {
        double due = 0;
        for (TimeMs now = start; now < start + duration; now += 10_ms) {
            update(now);
            for (due += requestsPerSecond / 100; due >= 1; --due)
                send(now);
        }
    }

    std::vector<NodeId> ids;
    std::vector<ForwardTargets> tables;
    PromptPartIndex parts;
    ChoiceOptions options { .domain = "a", .jitterMs = 60 };
    std::multimap<TimeMs, size_t> ends;
    std::vector<int> running;
    std::vector<Arrivals> arrivals;
    Random random { 3 };
    size_t unserved = 0;
};

}

// Guards against the engines of a domain that come back cold all at once, look idle and get the load of a burst.
BOOST_AUTO_TEST_CASE(boundHoldsForAColdDomainDuringABurst)
{
    ColdDomain it;
    it.run(coldTime);
    size_t sentToCold = 0;
    for (size_t e = 0; e < ColdDomain::coldCount; ++e) {
        BOOST_TEST(static_cast<double>(it.arrivals[e].most) <= allowedInSecond(coldPerSecond));
        sentToCold += it.arrivals[e].count;
    }
    BOOST_TEST(it.unserved == 0U);
    // The cold engines are used: at half of what they sustain, or more.
    BOOST_TEST(static_cast<double>(sentToCold) >= static_cast<double>(ColdDomain::coldCount) * coldPerSecond * coldTime.seconds() * 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
