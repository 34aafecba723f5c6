#include "forward/TargetChoice.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace siskinshunt;

namespace {

struct Engines {
    explicit Engines(int count)
    {
        for (int n = 0; n < count; ++n) {
            ForwardTarget target;
            target.id = UpstreamId { static_cast<uint64_t>(n + 1) };
            target.backend = "lm";
            target.domain = "a";
            target.engine = true;
            target.slots = 64;
            target.lastSeen = now;
            target.incarnation = 1;
            upsertTarget(table, target);
        }
        options.domain = "a";
        options.prefillEstimator = { .tokensPerMs = 40, .baseMs = 40 };
    }

    std::optional<TargetChoice> choose(ChoiceRequest request)
    {
        request.backend = "lm";
        return chooseTarget(table, parts, options, request, now, random);
    }

    ForwardTarget& at(uint64_t id) { return *findTarget(table, UpstreamId { id }); }

    TimeMs now { 100000 };
    ForwardTargets table;
    PromptPartIndex parts;
    ChoiceOptions options;
    Random random { 1 };
};

}

static std::vector<PromptPart> partsOf(uint64_t session)
{
    return { { 1, 2500 }, { 1000 + session, 3700 }, { 5000 + session, 2900 } };
}

// Load pattern: sessions that share long prompts. Guards against nodes that send one session to several engines, and
// against sending all sessions to one engine.
BOOST_AUTO_TEST_CASE(allNodesChooseTheSameEngineForASession)
{
    std::set<uint64_t> homes;
    for (uint64_t session = 0; session < 60; ++session) {
        Engines one(9);
        Engines two(9);
        two.random = Random(99);
        const auto a = one.choose({ .parts = partsOf(session), .promptTokens = 9100 });
        const auto b = two.choose({ .parts = partsOf(session), .promptTokens = 9100 });
        BOOST_REQUIRE(a && b);
        BOOST_TEST((a->target == b->target));
        homes.insert(a->target.value);
    }
    BOOST_TEST(homes.size() >= 8U);
}

// Guards against choosing an engine for a cached part when its backlog costs more than prefilling the part again.
BOOST_AUTO_TEST_CASE(cachedPartsAreWeighedAgainstTheBacklog)
{
    Engines engines(3);
    const auto parts = partsOf(7);
    for (const auto& part : parts)
        recordPart(engines.parts, engines.now, part.hash, UpstreamId { 2 });
    const auto cached = engines.choose({ .parts = parts, .promptTokens = 9100 });
    BOOST_TEST((cached->target == UpstreamId { 2 }));
    BOOST_TEST(cached->prefillTokens == 0);
    engines.at(2).others.prefillTokens[9] = 60000;
    const auto moved = engines.choose({ .parts = parts, .promptTokens = 9100 });
    BOOST_TEST((moved->target != UpstreamId { 2 }));
    BOOST_TEST(moved->prefillTokens == 9100);
}

// Load pattern: many requests of low urgency wait. Guards against counting them as backlog of urgent requests.
BOOST_AUTO_TEST_CASE(backlogOfLessUrgentRequestsDoesNotCount)
{
    Engines engines(1);
    engines.at(1).own.prefillTokens[8] = 100000;
    BOOST_TEST(engines.choose({ .promptTokens = 400, .urgency = 2 })->backlogMs == 0);
    BOOST_TEST(engines.choose({ .promptTokens = 400, .urgency = 8 })->backlogMs == 2500);
}

// Guards against sending requests to upstreams that are leaving, backed off, stale or already tried.
BOOST_AUTO_TEST_CASE(unhealthyTargetsAreChosenLast)
{
    Engines engines(4);
    engines.at(1).leaving = true;
    recordOutcome(engines.at(2), engines.now, TargetOutcome::Unreachable);
    engines.at(3).lastSeen = engines.now - 60_s;
    for (uint64_t session = 0; session < 20; ++session)
        BOOST_TEST((engines.choose({ .parts = partsOf(session), .promptTokens = 100 })->target == UpstreamId { 4 }));
    const auto doubtful = engines.choose({ .promptTokens = 100, .tried = { UpstreamId { 4 } } });
    BOOST_REQUIRE(doubtful);
    BOOST_TEST((doubtful->target != UpstreamId { 1 }));
    BOOST_TEST(!engines.choose({ .promptTokens = 100, .tried = { UpstreamId { 2 }, UpstreamId { 3 }, UpstreamId { 4 } } }));
}

// Guards against an upstream with a high failure rate that keeps its share of the requests, and against one with the usual
// failure rate of its service that loses its share.
BOOST_AUTO_TEST_CASE(upstreamWithHighFailureRateIsBackedOff)
{
    Engines engines(2);
    for (int n = 0; n < 20; ++n) {
        recordOutcome(engines.at(1), engines.now, n % 5 < 2 ? TargetOutcome::Failed : TargetOutcome::Answered);
        recordOutcome(engines.at(2), engines.now, n % 7 == 0 ? TargetOutcome::Failed : TargetOutcome::Answered);
    }
    recordOutcome(engines.at(1), engines.now, TargetOutcome::Failed);
    BOOST_TEST((engines.at(1).backoffUntil > engines.now));
    BOOST_TEST((engines.at(2).backoffUntil <= engines.now));
}

// Guards against counting the load of a node forever after it has left.
BOOST_AUTO_TEST_CASE(reportsOfSilentNodesExpire)
{
    Engines engines(1);
    applyLoadReport(engines.table, engines.now, NodeId { 5 }, { { UpstreamId { 1 }, { .running = 3, .prefillTokens = {} } } });
    applyLoadReport(engines.table, engines.now, NodeId { 6 }, { { UpstreamId { 1 }, { .running = 2, .prefillTokens = {} } } });
    BOOST_TEST(engines.at(1).others.running == 5);
    applyLoadReport(engines.table, engines.now + 1_s, NodeId { 6 }, { { UpstreamId { 1 }, { .running = 1, .prefillTokens = {} } } });
    expireLoadReports(engines.table, engines.now + 2500_ms, 2_s);
    BOOST_TEST(engines.at(1).others.running == 1);
}

// Guards against estimates that attribute the fixed time of an engine to its time per token.
BOOST_AUTO_TEST_CASE(prefillRateIsSeparatedFromTheFixedTime)
{
    PrefillEstimator prefillEstimator;
    Random random(3);
    for (int n = 0; n < 500; ++n) {
        const auto tokens = static_cast<double>(random.below(12000));
        recordPrefillTime(prefillEstimator, tokens, 45 + tokens / 80 + static_cast<double>(random.below(10)));
    }
    BOOST_TEST(prefillEstimator.tokensPerMs > 72);
    BOOST_TEST(prefillEstimator.tokensPerMs < 88);
    BOOST_TEST(prefillEstimator.baseMs > 40);
    BOOST_TEST(prefillEstimator.baseMs < 60);
}

// Load pattern: engines with queues that the reports do not show yet. Guards against a prefill rate estimated so low that
// waiting for a cached part always seems faster than prefilling it elsewhere, which lengthens the queues further.
BOOST_AUTO_TEST_CASE(hiddenQueuesDoNotLowerTheEstimatedRate)
{
    PrefillEstimator prefillEstimator;
    Random random(3);
    const auto observe = [&](double queueMsPerToken) {
        for (int n = 0; n < 400; ++n) {
            const double tokens = 500 + random.uniform() * 8000;
            recordPrefillTime(prefillEstimator, tokens, 40 + tokens / 38 + tokens * queueMsPerToken);
        }
    };
    observe(0);
    BOOST_TEST((prefillEstimator.tokensPerMs > 36 && prefillEstimator.tokensPerMs < 40));
    observe(0.06);
    BOOST_TEST((prefillEstimator.tokensPerMs > 20 && prefillEstimator.tokensPerMs < 28));
}

// Load pattern: 72 entry nodes, each with a request with the same shared prompt, between two load reports. Without the
// random part of the cost, all of them choose the engine with the lowest load in the last report.
BOOST_AUTO_TEST_CASE(nodesDistributeRequestsBetweenReports)
{
    const auto maxRequestsAtOneEngine = [](double jitterMs) {
        std::map<uint64_t, int> sent;
        for (uint64_t node = 0; node < 72; ++node) {
            Engines engines(140);
            engines.random = Random(node);
            engines.options.jitterMs = jitterMs;
            for (uint64_t holder = 1; holder <= 12; ++holder) {
                recordPart(engines.parts, engines.now, 1, UpstreamId { holder });
                recordPart(engines.parts, engines.now, 1007, UpstreamId { holder });
                engines.at(holder).others.prefillTokens[0] = 100.0 * static_cast<double>(holder);
            }
            const auto choice = engines.choose({ .parts = { { 1, 2500 }, { 1007, 3700 }, { 90000 + node, 2900 } }, .promptTokens = 9100 });
            BOOST_REQUIRE(choice);
            ++sent[choice->target.value];
        }
        int most = 0;
        for (const auto& [engine, n] : sent)
            most = std::max(most, n);
        return most;
    };
    BOOST_TEST(costJitterMs(8) == 0);
    BOOST_TEST(maxRequestsAtOneEngine(0) == 72);
    BOOST_TEST(maxRequestsAtOneEngine(costJitterMs(72)) <= 18);
}

// Guards against requests, retries included, that go into an evacuated failure domain, and against callers that are told to wait for it.
BOOST_AUTO_TEST_CASE(evacuatedUpstreamsGetNothing)
{
    Engines engines(3);
    for (const uint64_t id : { 1, 2 })
        engines.at(id).evacuated = true;
    for (int n = 0; n < 50; ++n)
        BOOST_REQUIRE(engines.choose({})->target.value == 3U);
    BOOST_TEST(!engines.choose({ .tried = { UpstreamId { 3 } } }));
    engines.at(3).evacuated = true;
    BOOST_TEST(!engines.choose({}));
    BOOST_TEST(!timeUntilTarget(engines.table, "lm", engines.now).has_value());
    for (const uint64_t id : { 1, 2, 3 })
        engines.at(id).unreached = true;
    BOOST_TEST((reachedShare(engines.table, "lm", engines.now, engines.options.staleAfter) == ReachedShare::Most));
}
