#include "FleetFixture.h"

#include "api/ModelRequest.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

namespace json = boost::json;

// Text of a streamed or whole answer; checks that event numbers are consecutive.
static std::string textOf(const NodeFleet::Caller& caller)
{
    if (!findHeader(caller.headers, headers::contentType).starts_with("text/event-stream"))
        return NodeFleet::member(caller, "text");
    EventReader reader;
    reader.feed(caller.body);
    std::string out;
    bool ended = false;
    uint64_t last = 0;
    while (const auto event = reader.next()) {
        if (event->data == "[DONE]") {
            ended = true;
            continue;
        }
        BOOST_REQUIRE(!ended && event->id);
        BOOST_CHECK_EQUAL(*event->id, ++last);
        out += extractEventText(event->data);
    }
    BOOST_CHECK_MESSAGE(ended, "the stream has no end mark");
    return out;
}

static void checkAnswer(NodeFleet& fleet, uint64_t number, int tokens)
{
    const auto& caller = fleet.caller(number);
    BOOST_REQUIRE(caller.done);
    BOOST_CHECK_EQUAL(caller.status, 200);
    BOOST_CHECK_EQUAL(textOf(caller), NodeFleet::expectedText("question " + std::to_string(number), tokens));
}

BOOST_AUTO_TEST_SUITE(Stream)

// Guards against missing or duplicate events where a stream is resumed.
BOOST_AUTO_TEST_CASE(BrokenAtAnyTokenIsResumedWhole)
{
    const auto fleet = makeFleet();
    for (int at = 0; at < 8; ++at) {
        int dispatches = 0;
        fleet->streamFaultAfter = at;
        fleet->fault = [&](const UpstreamDispatch&) { return ++dispatches == 1 ? DispatchFault::BreakStream : DispatchFault::None; };
        const auto caller = fleet->postCompletion(3, true, 8);
        BOOST_REQUIRE(waitFor(*fleet, caller, 10_s));
        checkAnswer(*fleet, caller, 8);
        BOOST_CHECK_EQUAL(dispatches, 2);
    }
    checkFleet(*fleet);
}

// Guards against waiting for a silent connection, and against reusing other pooled connections to the same address.
BOOST_AUTO_TEST_CASE(SilentStreamReplacesThePool)
{
    const auto fleet = makeFleet();
    std::vector<UpstreamDispatch> sent;
    fleet->fault = [&](const UpstreamDispatch& it) { sent.push_back(it); return sent.size() == 1 ? DispatchFault::SilentStream : DispatchFault::None; };
    const auto caller = fleet->postCompletion(3, true, 6);
    BOOST_REQUIRE(waitFor(*fleet, caller, 10_s));
    checkAnswer(*fleet, caller, 6);
    BOOST_REQUIRE_EQUAL(sent.size(), 2U);
    BOOST_REQUIRE_EQUAL(fleet->discardedPools.size(), 1U);
    BOOST_CHECK_EQUAL(fleet->discardedPools.front(), sent[0].address);
    if (sent[1].address == sent[0].address)
        BOOST_CHECK(sent[1].freshConnection);
    checkFleet(*fleet);
}

// Guards against forwarding the answer of another call or of an earlier attempt.
BOOST_AUTO_TEST_CASE(CrossedAnswerNeverReachesACaller)
{
    const auto fleet = makeFleet();
    for (const bool stream : { false, true }) {
        int dispatches = 0;
        fleet->fault = [&](const UpstreamDispatch&) { return ++dispatches == 1 ? DispatchFault::Crossed : DispatchFault::None; };
        const auto caller = fleet->postCompletion(3, stream, 5);
        BOOST_REQUIRE(waitFor(*fleet, caller, 10_s));
        checkAnswer(*fleet, caller, 5);
        BOOST_CHECK_EQUAL(dispatches, 2);
    }
    checkFleet(*fleet);
}

// Guards against forwarding events of a failed dispatch: the I/O layer may have queued them before the dispatch ended.
BOOST_AUTO_TEST_CASE(LateEventOfAnEarlierDispatchIsDropped)
{
    const auto fleet = makeFleet();
    int dispatches = 0;
    DispatchId first = 0;
    fleet->fault = [&](const UpstreamDispatch& it) {
        first = first ? first : it.dispatch;
        return ++dispatches == 1 ? DispatchFault::BreakStream : DispatchFault::None;
    };
    const auto caller = fleet->postCompletion(3, true, 6);
    BOOST_REQUIRE(fleet->runUntil([&] { return dispatches == 2; }, 5_s));
    Inputs late;
    late.events.push_back({ .dispatch = first, .kind = UpstreamEventKind::Body, .bytes = "id: 3\ndata: {\"choices\":[{\"text\":\"late\"}]}\n\n" });
    late.events.push_back({ .dispatch = first, .kind = UpstreamEventKind::End });
    Outputs out;
    step(*fleet->nodes[3].node, fleet->now, std::move(late), out);
    BOOST_CHECK(out.answers.empty());
    BOOST_REQUIRE(waitFor(*fleet, caller, 10_s));
    checkAnswer(*fleet, caller, 6);
    checkFleet(*fleet);
}

// Guards against upstreams that continue to generate for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(CallerGoneCancelsARepeatableCall)
{
    const auto fleet = makeFleet();
    const auto caller = fleet->postCompletion(3, true, 50);
    fleet->runFor(200_ms);
    BOOST_REQUIRE_EQUAL(fleet->nodes[3].node->calls.size(), 1U);
    fleet->disconnectCaller(caller);
    BOOST_CHECK(fleet->nodes[3].node->calls.empty());
    BOOST_CHECK(fleet->nodes[3].node->byDispatch.empty());
    checkFleet(*fleet);
}

// Guards against new calls at an upstream after its reclaim notice (promise 6), and against calls broken by an announced reclaim
// (promise 1).
BOOST_AUTO_TEST_CASE(ReclaimNoticeStopsNewWorkAndMovesCalls)
{
    const auto fleet = makeFleet();
    std::vector<uint64_t> callers;
    callers.reserve(36);
    for (int n = 0; n < 6; ++n)
        callers.push_back(fleet->postCompletion(static_cast<size_t>(n) % 4, true, 400));
    fleet->runFor(500_ms);
    const TimeMs noticed = fleet->now;
    for (auto name : { "runner-0", "runner-1" })
        fleet->reclaim(name, 4_s);
    for (int n = 0; n < 30; ++n) {
        fleet->runFor(200_ms);
        callers.push_back(fleet->postCompletion(static_cast<size_t>(n) % 4, n % 2 == 0, 20));
    }
    for (const auto it : callers) {
        BOOST_REQUIRE(waitFor(*fleet, it, 30_s));
        checkAnswer(*fleet, it, it <= callers[5] ? 400 : 20);
    }
    // The upstream announces the notice within a second; gossip then spreads it to all nodes within the limit of the rules.
    for (auto name : { "runner-0", "runner-1" }) {
        for (const auto& [at, call] : fleet->upstream(name).dispatches)
            BOOST_CHECK_MESSAGE(at <= noticed + 3_s, name << " got call " << call << " " << (at - noticed).value << " ms after the notice");
    }
    checkFleet(*fleet);
}

// Guards against losing calls when all upstreams of a failure domain are reclaimed, return and are reclaimed again.
BOOST_AUTO_TEST_CASE(DomainReclaimedTwice)
{
    const auto fleet = makeFleet();
    std::vector<uint64_t> callers;
    for (int wave = 0; wave < 2; ++wave) {
        for (auto name : { "desk-0", "runner-0" })
            fleet->reclaim(name, 2_s);
        for (int n = 0; n < 30; ++n) {
            fleet->runFor(200_ms);
            callers.push_back(fleet->postCompletion(static_cast<size_t>(n) % 4, true, 30));
            callers.push_back(fleet->postBooking(static_cast<size_t>(n) % 4, std::to_string(wave) + "-" + std::to_string(n)));
        }
        for (auto name : { "desk-0", "runner-0" }) {
            auto& it = fleet->upstream(name);
            it.up = true;
            it.reclaimAt.reset();
            ++it.announced.incarnation;
            it.announced.sequence = 0;
        }
        fleet->runFor(3_s);
    }
    for (const auto it : callers) {
        BOOST_REQUIRE(waitFor(*fleet, it, 30_s));
        BOOST_CHECK_EQUAL(fleet->caller(it).status, 200);
    }
    BOOST_CHECK_EQUAL(fleet->runs.size(), 60U);
    checkFleet(*fleet);
}

BOOST_AUTO_TEST_SUITE_END()

}
