#include "emulator/Engine.h"
#include "base/PrefixHash.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace siskinshunt;

static EngineRequest request(uint64_t call, uint32_t prompt, uint32_t output, int priority = 5, uint64_t prefix = 0)
{
    EngineRequest out { .call = { call }, .priority = priority, .promptTokens = prompt, .outputTokens = output };
    for (uint64_t n = 1; n <= prompt / prefixBlockTokens; ++n)
        out.blocks.push_back((prefix ? prefix : call) * 1000 + n);
    return out;
}

static std::map<uint64_t, TimeMs> firstTokens(const std::vector<EngineEvent>& events)
{
    std::map<uint64_t, TimeMs> out;
    for (const auto& it : events) {
        if (it.kind == EngineEventKind::FirstToken)
            out[it.call.value] = it.at;
    }
    return out;
}

static const EngineEvent& lastOf(const std::vector<EngineEvent>& events, uint64_t call)
{
    return *std::find_if(events.rbegin(), events.rend(), [&](const auto& it) { return it.call.value == call; });
}

// Guards against answers of a wrong length: every token is reported once and in order.
BOOST_AUTO_TEST_CASE(tokensArriveOnceInOrder)
{
    Engine engine({});
    BOOST_TEST((submit(engine, request(1, 700, 20), 0_ms) == SubmitResult::Accepted));
    BOOST_TEST((submit(engine, request(1, 700, 20), 0_ms) == SubmitResult::Duplicate));
    uint32_t offset = 0;
    bool done = false;
    for (TimeMs now; now < 5_s; now += 7_ms) {
        for (const auto& event : advance(engine, now)) {
            BOOST_TEST((event.at <= now));
            done = event.kind == EngineEventKind::Done;
            offset += done ? 0 : 1;
            BOOST_TEST(event.offset == offset);
        }
    }
    BOOST_TEST(done);
    BOOST_TEST(offset == 20U);
    BOOST_TEST((nextEventAt(engine) == farFuture));
}

// Guards against a step time that ignores the batch, which would make a full engine as fast as an idle one.
BOOST_AUTO_TEST_CASE(largerBatchesDecodeSlower)
{
    TimeMs ends[2];
    for (uint64_t n : { 0, 1 }) {
        Engine engine({});
        for (uint64_t call = 1; call <= (n ? 32 : 1); ++call)
            submit(engine, request(call, 10, 100), 0_ms);
        ends[n] = lastOf(advance(engine, 60_s), 1).at;
    }
    BOOST_TEST(ends[1].value > ends[0].value * 3 / 2);
}

// Guards against a prefix cache that never evicts or never hits.
BOOST_AUTO_TEST_CASE(prefixCacheHitsAndEvicts)
{
    Engine engine({ .cacheBlocks = 16 });
    const auto run = [&](uint64_t call, uint64_t prefix, TimeMs now) {
        submit(engine, request(call, 2600, 2, 5, prefix), now);
        return lastOf(advance(engine, now + 2_s), call).cachedTokens;
    };
    BOOST_TEST(run(1, 7, 0_s) == 0U);
    BOOST_TEST(run(2, 7, 2_s) == 2560U);
    BOOST_TEST(run(3, 8, 4_s) == 0U);
    BOOST_TEST(run(4, 7, 6_s) < 2560U);
    BOOST_TEST(engine.cache.blocks.size() <= 16U);
}

// Guards against high-priority calls that wait behind long prompts of a lower priority.
BOOST_AUTO_TEST_CASE(highPriorityCallsRunBeforeWaitingCalls)
{
    Engine engine({ .maxBatch = 2 });
    for (uint64_t call = 1; call <= 6; ++call)
        submit(engine, request(call, 4000, 50, 7), 0_ms);
    submit(engine, request(9, 100, 5, 0), 1_ms);
    const auto first = firstTokens(advance(engine, 60_s));
    for (uint64_t call = 3; call <= 6; ++call)
        BOOST_TEST((first.at(9) < first.at(call)));
}

// Guards against load samples that are reported before their lag has passed, and against cache events without lag, loss or
// eviction.
BOOST_AUTO_TEST_CASE(loadAndCacheEventsLag)
{
    Engine engine({ .cacheBlocks = 4, .cacheEventLag = 1_s, .cacheEventLoss = 0.2 });
    for (uint64_t call = 1; call <= 10; ++call)
        submit(engine, request(call, 2048, 500), 1000_ms);
    advance(engine, 1200_ms);
    BOOST_TEST(load(engine, 1200_ms).running == 0U);
    BOOST_TEST(cacheEvents(engine, 0).empty());
    advance(engine, 2500_ms);
    BOOST_TEST(load(engine, 2500_ms).running == 10U);
    advance(engine, 60_s);
    const auto events = cacheEvents(engine, 0);
    BOOST_TEST(events.size() < engine.cacheSequence);
    BOOST_TEST(std::any_of(events.begin(), events.end(), [](const auto& it) { return !it.added; }));
    BOOST_TEST(cacheEvents(engine, events.back().sequence).empty());
}

// Guards against calls that run while the instance is still loading weights.
BOOST_AUTO_TEST_CASE(startTakesTime)
{
    Engine engine({ .startDuration = 20_s, .startedAt = 5_s });
    submit(engine, request(1, 100, 1), 6_s);
    BOOST_TEST(advance(engine, 24_s).empty());
    BOOST_TEST((lastOf(advance(engine, 26_s), 1).kind == EngineEventKind::Done));
}

// Guards against calls that end without an event when the platform reclaims the instance.
BOOST_AUTO_TEST_CASE(reclaimFailsRemainingCalls)
{
    Engine engine({ .maxBatch = 1 });
    submit(engine, request(1, 100, 100000), 0_s);
    submit(engine, request(2, 100, 10), 0_s);
    advance(engine, 1_s);
    reclaim(engine, 3_s);
    BOOST_TEST((submit(engine, request(3, 100, 10), 2_s) == SubmitResult::Leaving));
    const auto events = advance(engine, 10_s);
    for (uint64_t call : { 1, 2 }) {
        BOOST_TEST((lastOf(events, call).failure == EngineFailure::Reclaimed));
        BOOST_TEST((lastOf(events, call).at == 3_s));
    }
    BOOST_TEST((nextEventAt(engine) == farFuture));
}

// Guards against a resume that repeats tokens, and against an import that costs as much as prefill.
BOOST_AUTO_TEST_CASE(resumeStartsAtTheOffset)
{
    TimeMs first[2];
    for (uint32_t imported : { 0U, 1U }) {
        Engine from({});
        submit(from, request(1, 8000, 100), 0_s);
        advance(from, 1_s);
        const auto kv = exportKv(from, { 1 }, 1_s);
        BOOST_REQUIRE(kv.has_value());
        BOOST_TEST((kv->readyAt > 1_s));
        BOOST_TEST(advance(from, 20_s).empty());
        Engine to({});
        auto again = request(1, 8000, 100);
        again.offset = kv->offset;
        again.attempt = 2;
        again.importedTokens = imported * kv->tokens;
        submit(to, again, kv->readyAt);
        const auto events = advance(to, 20_s);
        BOOST_TEST(events.front().offset == kv->offset + 1);
        BOOST_TEST(events.back().offset == 100U);
        BOOST_TEST(events.back().attempt == 2U);
        first[imported] = events.front().at;
    }
    BOOST_TEST((first[1] < first[0]));
}

// Guards against cancelled calls that keep using the engine.
BOOST_AUTO_TEST_CASE(cancelledCallsEnd)
{
    Engine engine({});
    submit(engine, request(1, 100, 1000), 0_s);
    advance(engine, 100_ms);
    BOOST_TEST(cancel(engine, { 1 }, 100_ms));
    BOOST_TEST(!cancel(engine, { 1 }, 100_ms));
    BOOST_TEST(advance(engine, 10_s).empty());
}

// Guards against faults that are active outside their route, time, load or version.
BOOST_AUTO_TEST_CASE(faultsAreActiveOnlyUnderTheirConditions)
{
    const auto failures = [](EngineFault fault, const std::string& route, TimeMs at, uint64_t calls) {
        Engine engine({ .version = "v2", .faults = { fault } });
        for (uint64_t call = 1; call <= calls; ++call) {
            auto it = request(call, 100, 10);
            it.route = route;
            submit(engine, it, at);
        }
        const auto events = advance(engine, at + 20_s);
        return std::count_if(events.begin(), events.end(), [](const auto& it) { return it.failure == EngineFailure::Fault; });
    };
    const EngineFault fault { .version = "v2", .route = "quotes", .minRunning = 4, .from = 10_s, .errorProbability = 1 };
    BOOST_TEST(failures(fault, "quotes", 11_s, 8) >= 4);
    BOOST_TEST(failures(fault, "other", 11_s, 8) == 0);
    BOOST_TEST(failures(fault, "quotes", 1_s, 8) == 0);
    BOOST_TEST(failures(fault, "quotes", 11_s, 3) == 0);
    EngineFault other = fault;
    other.version = "v1";
    BOOST_TEST(failures(other, "quotes", 11_s, 8) == 0);
}

// Guards against a slowdown that has no effect on the duration of an answer.
BOOST_AUTO_TEST_CASE(slowdownStretchesTheAnswer)
{
    TimeMs ends[2];
    for (int n : { 0, 1 }) {
        Engine engine({ .faults = { { .slowdown = n ? 3.0 : 1.0 } } });
        submit(engine, request(1, 2000, 100), 0_s);
        ends[n] = advance(engine, 60_s).back().at;
    }
    BOOST_TEST(ends[1].value > ends[0].value * 5 / 2);
}

// Guards against idle engines that keep reporting their last running call (tools/faults --seed 2), which held back
// low-priority classes on all of these engines.
BOOST_AUTO_TEST_CASE(idleEngineReportsNoRunningCalls)
{
    Engine engine({ .loadInterval = 5_s });
    submit(engine, request(1, 256, 5), 0_ms);
    advance(engine, 2_s);
    // The only sample so far was taken before the call ended.
    const auto before = load(engine, 3_s);
    BOOST_TEST(before.running + before.waiting == 1U);
    advance(engine, 10_s);
    const auto after = load(engine, 10_s + engine.options.loadLag);
    BOOST_TEST(after.running + after.waiting == 0U);
}
