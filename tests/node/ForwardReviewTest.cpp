#include "ForwardFixture.h"

#include <algorithm>

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(ForwardReview)

static void announceAt(ForwardNode& entry, const std::string& name, const std::string& address, uint64_t incarnation)
{
    Announcement announced;
    announced.name = name;
    announced.address = address;
    announced.domain = "a";
    announced.model = "desk";
    announced.version = "v1";
    announced.incarnation = incarnation;
    announced.sequence = ++entry.announcements;
    announced.load.capacity = 4;
    announce(entry.node->membership, entry.now, announced, entry.node->membershipOutputs);
    entry.run({});
}

// Guards against two concurrent runs of a stream when this node has closed the first one itself and has no permit for the next one
// at that moment.
BOOST_AUTO_TEST_CASE(WaitForAPermitIncludesTheTimeToStop)
{
    ForwardNode entry;
    entry.addUpstream("r1", "lm");
    entry.addUpstream("r2", "lm");
    entry.allowRetries(0);
    entry.post("/plan/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    entry.fail(UpstreamFailure::Malformed);
    entry.allowRetries(2);
    entry.advance(400_ms);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
    entry.advance(100_ms);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 2U);
}

// Guards against requests on pooled connections to an upstream that is gone: another upstream holds its address now.
BOOST_AUTO_TEST_CASE(NewHolderOfAnAddressDiscardsItsPool)
{
    ForwardNode entry;
    announceAt(entry, "d1", "127.0.0.2:9500", 1);
    entry.discardedPools.clear();
    announceAt(entry, "d2", "127.0.0.2:9500", 2);
    BOOST_CHECK_EQUAL(std::count(entry.discardedPools.begin(), entry.discardedPools.end(), "127.0.0.2:9500"), 1);
}

// Guards against an upstream that is seen but gets no work because a silent one with a later incarnation had the same address.
BOOST_AUTO_TEST_CASE(SilentUpstreamDoesNotHoldAnAddress)
{
    ForwardNode entry;
    announceAt(entry, "d1", "127.0.0.2:9500", 5);
    entry.advance(4_s);
    size_t sentToLive = 0;
    for (int n = 0; n < 8; ++n) {
        announceAt(entry, "d2", "127.0.0.2:9500", 1);
        announceAt(entry, "d3", "127.0.0.2:9501", 1);
        entry.post("/book/1");
        sentToLive += findHeader(entry.last().request.headers, entry.names.target) == "d2" ? 1 : 0;
    }
    BOOST_CHECK_GT(sentToLive, 0U);
}

// Guards against sending request after request to an upstream that does not answer: its silence counts against it although no
// retry is possible.
BOOST_AUTO_TEST_CASE(SilenceCountsWithoutARetry)
{
    for (const std::string path : { "/look/1", "/book/1" }) {
        ForwardNode entry;
        entry.allowRetries(0);
        size_t sentToSilent = 0;
        size_t sentAtTheEnd = 0;
        for (int n = 0; n < 60; ++n) {
            announceAt(entry, "d1", "127.0.0.2:9500", 1);
            announceAt(entry, "d2", "127.0.0.2:9501", 1);
            entry.post(path);
            const bool toSilent = findHeader(entry.last().request.headers, entry.names.target) == "d1";
            entry.sending();
            if (!toSilent) {
                entry.head(200);
                entry.end();
            }
            sentToSilent += toSilent ? 1 : 0;
            sentAtTheEnd += toSilent && n >= 40 ? 1 : 0;
            entry.advance(1200_ms);
        }
        BOOST_REQUIRE_GE(sentToSilent, 8U);
        BOOST_CHECK_LT(sentAtTheEnd, 6U);
    }
}

// Guards against excluding a restarted upstream for an answer that was given at the address of its former incarnation.
BOOST_AUTO_TEST_CASE(MisdirectedAnswerConcernsTheIncarnationThatWasSentTo)
{
    ForwardNode entry;
    announceAt(entry, "d1", "127.0.0.2:9500", 1);
    entry.post("/book/1");
    entry.sending();
    announceAt(entry, "d1", "127.0.0.2:9501", 2);
    entry.head(421, {}, false);
    entry.advance(100_ms);
    const size_t before = entry.dispatches.size();
    entry.post("/book/2");
    BOOST_CHECK_EQUAL(entry.dispatches.size(), before + 1);
}

// Guards against retries that can only fail: the holder of an address has just refused the request, and it is sent to the same
// address again in the name of the lost upstream that had it before.
BOOST_AUTO_TEST_CASE(TakenAddressIsNoLastResort)
{
    ForwardNode entry;
    announceAt(entry, "d1", "127.0.0.2:9500", 1);
    announceAt(entry, "d2", "127.0.0.2:9500", 2);
    entry.post("/look/1");
    BOOST_REQUIRE_EQUAL(findHeader(entry.last().request.headers, entry.names.target), "d2");
    entry.sending();
    entry.head(503, { { entry.names.notRun, "1" } }, false);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
}

// Guards against permits that nothing can use: a backend without resumable streams has no answers in progress to reserve them for.
BOOST_AUTO_TEST_CASE(NothingIsReservedWithoutResumableStreams)
{
    ForwardNode entry;
    for (const std::string name : { "d1", "d2", "d3" })
        entry.addUpstream(name, "desk");
    entry.allowRetries(10);
    size_t retries = 0;
    for (int n = 0; n < 14; ++n) {
        entry.post("/look/1");
        entry.sending();
        const size_t before = entry.dispatches.size();
        entry.head(503, { { entry.names.notRun, "1" } }, false);
        if (entry.dispatches.size() == before)
            continue;
        ++retries;
        entry.sending();
        entry.head(200);
        entry.end();
    }
    BOOST_CHECK_EQUAL(retries, 10U);
}

// Guards against withdrawing observations after a stall of the process before the announcements that have arrived are read.
BOOST_AUTO_TEST_CASE(StallOfTheProcessIsNotSilenceOfAnnouncements)
{
    ForwardNode entry;
    announceAt(entry, "d1", "127.0.0.2:9500", 1);
    entry.advance(1_s);
    entry.now += 4_s;
    entry.post("/unknown/1");
    const Upstream* upstream = findUpstream(entry.node->membership.upstreams, idOfName<UpstreamId>("d1"));
    BOOST_REQUIRE(upstream);
    BOOST_CHECK(upstream->local);
}

BOOST_AUTO_TEST_SUITE_END()

/// Callers of the node's own interface.
BOOST_AUTO_TEST_SUITE(CallReview)

// Guards against a second head in the answer to a caller: an engine that refuses to go on must not answer for the whole call.
BOOST_AUTO_TEST_CASE(RefusedResumptionIsNoSecondAnswer)
{
    const auto fleet = makeFleet();
    int dispatches = 0;
    DispatchId second = 0;
    fleet->fault = [&](const UpstreamDispatch& it) {
        if (++dispatches == 1)
            return DispatchFault::BreakStream;
        second = it.dispatch;
        return DispatchFault::Silent;
    };
    const auto caller = fleet->postCompletion(3, true, 6);
    BOOST_REQUIRE(fleet->runUntil([&] { return dispatches == 2; }, 5_s));
    fleet->runFor(20_ms);
    Inputs inputs;
    inputs.events.push_back({ .dispatch = second, .kind = UpstreamEventKind::Head, .status = 400, .headers = {} });
    inputs.events.push_back({ .dispatch = second, .kind = UpstreamEventKind::Body, .bytes = "cannot resume" });
    inputs.events.push_back({ .dispatch = second, .kind = UpstreamEventKind::End });
    Outputs out;
    step(*fleet->nodes[3].node, fleet->now, std::move(inputs), out);
    for (const auto& it : out.answers)
        BOOST_CHECK(it.exchange != caller || it.part != AnswerPart::Whole);
}

// Guards against ending a stream, of which the caller already has a part, because other calls have used the retry budget up.
BOOST_AUTO_TEST_CASE(StreamWaitsForTheRetryBudget)
{
    const auto fleet = makeFleet();
    int dispatches = 0;
    fleet->fault = [&](const UpstreamDispatch&) { return ++dispatches == 1 ? DispatchFault::BreakStream : DispatchFault::None; };
    const auto caller = fleet->postCompletion(3, true, 6);
    BOOST_REQUIRE(fleet->runUntil([&] { return dispatches == 1; }, 5_s));
    for (auto& [route, budget] : fleet->nodes[3].node->retryBudgets)
        budget.retries = 0;
    fleet->runFor(500_ms);
    BOOST_CHECK(!fleet->caller(caller).done);
    BOOST_CHECK(fleet->caller(caller).body.find("event: error") == std::string::npos);
}

// Guards against ending a stream in progress after a few seconds without an engine, although its time is not up.
BOOST_AUTO_TEST_CASE(StreamWaitsForAnEngine)
{
    const auto fleet = makeFleet();
    const auto caller = fleet->postCompletion(3, true, 200);
    fleet->runFor(500_ms);
    for (auto name : { "runner-0", "runner-1", "runner-2" })
        fleet->reclaim(name, 1500_ms);
    fleet->runFor(6_s);
    BOOST_CHECK(!fleet->caller(caller).done);
    for (auto name : { "runner-0", "runner-1", "runner-2" }) {
        auto& it = fleet->upstream(name);
        it.up = true;
        it.reclaimAt.reset();
        ++it.announced.incarnation;
        it.announced.sequence = 0;
    }
    fleet->runFor(10_s);
    BOOST_CHECK(fleet->caller(caller).body.find("event: error") == std::string::npos);
    BOOST_CHECK(fleet->caller(caller).done);
}

// Guards against cancelling a run before its reclaim while no other engine can take it over.
BOOST_AUTO_TEST_CASE(RunIsKeptBeforeAReclaimWithoutAnotherEngine)
{
    const auto fleet = makeFleet();
    const auto caller = fleet->postCompletion(3, true, 100);
    fleet->runFor(300_ms);
    for (auto name : { "runner-0", "runner-1", "runner-2" })
        fleet->reclaim(name, 2100_ms);
    fleet->runFor(2100_ms);
    BOOST_CHECK(fleet->caller(caller).body.find("event: error") == std::string::npos);
    // 100 tokens at 20 ms are complete 2 s after the start, before the engines stop.
    BOOST_CHECK(fleet->caller(caller).done);
}

// Guards against calls to an address that another upstream has taken over.
BOOST_AUTO_TEST_CASE(AddressOfACallBelongsToTheLatestUpstream)
{
    const auto fleet = makeFleet();
    auto& desk = fleet->upstream("desk-0");
    const std::string address = desk.announced.address;
    desk.announced.name = "other-0";
    desk.announced.model = "other";
    desk.announced.incarnation = 2;
    desk.announced.sequence = 100;
    fleet->runFor(1500_ms);
    size_t sent = 0;
    fleet->fault = [&](const UpstreamDispatch& it) {
        sent += it.address == address ? 1 : 0;
        return DispatchFault::None;
    };
    for (int n = 0; n < 20; ++n)
        fleet->postBooking(3, "k" + std::to_string(n));
    fleet->runFor(500_ms);
    BOOST_CHECK_EQUAL(sent, 0U);
}

// Guards against a refusal of this node in place of the upstream's own error answer when nothing else can be tried.
BOOST_AUTO_TEST_CASE(ErrorAnswerOfACallIsKept)
{
    const auto fleet = makeFleet();
    DispatchId last = 0;
    fleet->fault = [&](const UpstreamDispatch& it) {
        last = it.dispatch;
        return DispatchFault::Silent;
    };
    const auto caller = fleet->postCompletion(3, false, 400);
    BOOST_REQUIRE(fleet->runUntil([&] { return last != 0; }, 5_s));
    fleet->runFor(20_ms);
    for (auto& [route, budget] : fleet->nodes[3].node->retryBudgets)
        budget.retries = 0;
    Inputs inputs;
    inputs.events.push_back({ .dispatch = last, .kind = UpstreamEventKind::Head, .status = 500, .headers = {} });
    inputs.events.push_back({ .dispatch = last, .kind = UpstreamEventKind::Body, .bytes = "sorry" });
    inputs.events.push_back({ .dispatch = last, .kind = UpstreamEventKind::End });
    Outputs out;
    step(*fleet->nodes[3].node, fleet->now, std::move(inputs), out);
    int status = 0;
    for (const auto& it : out.answers)
        status = it.exchange == caller ? it.status : status;
    BOOST_CHECK_EQUAL(status, 500);
}

// Guards against repeated attempts that are lost on a stale pooled connection.
BOOST_AUTO_TEST_CASE(RepeatedAttemptOfACallUsesAFreshConnection)
{
    const auto fleet = makeFleet();
    std::vector<UpstreamDispatch> sent;
    fleet->fault = [&](const UpstreamDispatch& it) { sent.push_back(it); return sent.size() == 1 ? DispatchFault::BreakStream : DispatchFault::None; };
    const auto caller = fleet->postCompletion(3, true, 6);
    BOOST_REQUIRE(waitFor(*fleet, caller, 10_s));
    BOOST_REQUIRE_EQUAL(sent.size(), 2U);
    BOOST_CHECK(sent[1].freshConnection);
}

// Guards against the statement that a call did not run although an upstream may have run it.
BOOST_AUTO_TEST_CASE(RefusalAfterARunDoesNotSayNotRun)
{
    const auto fleet = makeFleet();
    fleet->fault = [&](const UpstreamDispatch&) { return DispatchFault::CloseAfterRun; };
    const auto caller = fleet->postCompletion(3, false, 5);
    fleet->runFor(15_ms);
    for (auto name : { "runner-0", "runner-1", "runner-2" })
        fleet->upstream(name).up = false;
    BOOST_REQUIRE(waitFor(*fleet, caller, 30_s));
    size_t runs = 0;
    for (auto name : { "runner-0", "runner-1", "runner-2" })
        runs += fleet->upstream(name).dispatches.size();
    BOOST_REQUIRE_GT(runs, 0U);
    BOOST_CHECK(runStatusOf(fleet->caller(caller)) != "not-run");
}

// Guards against refusing calls at the deadline after a stall of the process before the answers that have arrived are read.
BOOST_AUTO_TEST_CASE(AnswerOfACallThatArrivedDuringAStallIsForwarded)
{
    const auto fleet = makeFleet();
    DispatchId last = 0;
    fleet->fault = [&](const UpstreamDispatch& it) {
        last = it.dispatch;
        return DispatchFault::Silent;
    };
    const auto caller = fleet->postCompletion(3, false, 10);
    BOOST_REQUIRE(fleet->runUntil([&] { return last != 0; }, 5_s));
    fleet->runFor(20_ms);
    auto& node = *fleet->nodes[3].node;
    const TimeMs later = node.calls.begin()->second->deadline + 500_ms;
    // The first event after the stall belongs to something else; the answer to the call waits in its socket.
    Inputs other;
    other.requests.push_back({ uint64_t { 1 } << 61, { "GET", "/v1/entries", {}, {} }, "127.0.0.1:9" });
    Outputs out;
    step(node, later, std::move(other), out);
    int status = 0;
    for (const auto& it : out.answers)
        status = it.exchange == caller ? it.status : status;
    BOOST_CHECK_EQUAL(status, 0);
}

// Guards against a closed connection without an answer when the drain limit ends a call.
BOOST_AUTO_TEST_CASE(DrainLimitAnswersOpenCalls)
{
    const auto fleet = makeFleet();
    fleet->nodes[3].node->options.settings.timings.drainLimit = TimeMs { 4000 };
    const auto caller = fleet->postCompletion(3, true, 800);
    fleet->runFor(300_ms);
    Inputs inputs;
    inputs.drain = true;
    Outputs out;
    step(*fleet->nodes[3].node, fleet->now, std::move(inputs), out);
    fleet->runFor(5_s);
    BOOST_REQUIRE(fleet->nodes[3].stopped);
    BOOST_CHECK(fleet->caller(caller).done);
    BOOST_CHECK(!fleet->caller(caller).lost);
}

BOOST_AUTO_TEST_SUITE_END()

}
