#include "ForwardFixture.h"

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(Forward)

// Guards against sending a once request again after part of it may have been sent, and against refusing it as not run.
BOOST_AUTO_TEST_CASE(OnceIsNeverSentAgain)
{
    for (const auto failure : { UpstreamFailure::Closed, UpstreamFailure::Silent, UpstreamFailure::Malformed }) {
        ForwardNode entry;
        entry.addUpstream("d1", "desk");
        entry.addUpstream("d2", "desk");
        entry.post("/book/1");
        BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 1U);
        BOOST_CHECK(entry.last().maxIdle < 2_s);
        entry.sending();
        entry.fail(failure);
        entry.advance(2_s);
        BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
        BOOST_CHECK_EQUAL(entry.answer().first, 502);
    }
}

// Guards against lines of failed attempts that do not tell why no further upstream was tried.
BOOST_AUTO_TEST_CASE(FailedAttemptLogsWhatForbadeAnother)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk");
    entry.addUpstream("d2", "desk");
    entry.allowRetries(1.5);
    entry.post("/book/1");
    entry.sending();
    entry.fail(UpstreamFailure::Closed);
    BOOST_CHECK_EQUAL(entry.logged("forward_attempt_failed", "retry"), "not_repeatable");
    entry.post("/look/1");
    entry.sending();
    entry.fail(UpstreamFailure::Closed);
    BOOST_CHECK_EQUAL(entry.logged("forward_attempt_failed", "retry"), "allowed");
    entry.sending();
    entry.fail(UpstreamFailure::Closed);
    BOOST_CHECK_EQUAL(entry.logged("forward_attempt_failed", "retry"), "attempts_used");
    entry.post("/book/2");
    entry.sending();
    entry.head(421, {}, false);
    BOOST_CHECK_EQUAL(entry.logged("forward_attempt_failed", "retry"), "no_permit");
    BOOST_CHECK_EQUAL(entry.logged("forward_attempt_failed", "address"), entry.last().address);
    BOOST_CHECK_EQUAL(entry.logged("forward_attempt_failed", "announced_ms_ago"), "0");
}

// Guards against a stream that ends as if it were complete because the engine that should resume it answers with an error.
BOOST_AUTO_TEST_CASE(FailureOfTheSecondEngineDoesNotCompleteTheStream)
{
    for (const std::string failure : { "", "failure", "id: 2\ndata: failure\n\n" }) {
        ForwardNode entry;
        entry.addUpstream("r1", "lm");
        entry.addUpstream("r2", "lm");
        entry.post("/plan/1");
        entry.sending();
        entry.head(200);
        entry.body("id: 1\ndata: a\n\n");
        entry.fail(UpstreamFailure::Closed);
        BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
        entry.sending();
        entry.head(500);
        if (!failure.empty())
            entry.body(failure);
        entry.end();
        const auto [status, text] = entry.answer();
        BOOST_CHECK_EQUAL(status, 1);
        BOOST_CHECK(text.find("failure") == std::string::npos);
        for (const auto& it : entry.answers)
            BOOST_CHECK(it.part != AnswerPart::End);
    }
}

// Guards against a stream that runs at two engines at the same time. If the node itself cancels an unusable answer, it waits for
// the engine to stop before it resumes the stream elsewhere.
BOOST_AUTO_TEST_CASE(StreamGoesOnAfterTheEngineHadTimeToStop)
{
    ForwardNode entry;
    entry.addUpstream("r1", "lm");
    entry.addUpstream("r2", "lm");
    entry.post("/plan/1");
    entry.sending();
    entry.head(200, {}, false);
    BOOST_CHECK_EQUAL(entry.cancels.size(), 1U);
    entry.advance(400_ms);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
    entry.advance(100_ms);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 2U);
}

// Guards against failing requests that no upstream has run: these can be retried elsewhere, whatever their kind.
BOOST_AUTO_TEST_CASE(UnsentAndUnrunRequestsGoElsewhere)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk");
    entry.addUpstream("d2", "desk");
    entry.addUpstream("d3", "desk");
    entry.post("/book/1");
    entry.fail(UpstreamFailure::ConnectFailed);
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
    entry.sending();
    entry.head(503, { { entry.names.notRun, "1" } });
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 3U);
    BOOST_CHECK(entry.dispatches[0].address != entry.dispatches[1].address);
    entry.sending();
    entry.head(200);
    entry.body("done");
    entry.end();
    BOOST_CHECK(entry.answer() == std::pair(200, std::string("done")));
}

// Guards against a refusal without Retry-After, and against one that does not state that the request was not run.
BOOST_AUTO_TEST_CASE(RequestThatNobodyRanIsRefusedAsNotRun)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk");
    entry.post("/book/1");
    entry.sending();
    entry.head(421, {}, false);
    BOOST_CHECK_EQUAL(entry.answer().first, 503);
    BOOST_CHECK(entry.answer().second.find("not-run") != std::string::npos);
    BOOST_CHECK(!findHeader(entry.answers.back().headers, "Retry-After").empty());
}

// Guards against passing an upstream's error to the caller of a repeatable request before it was retried elsewhere.
BOOST_AUTO_TEST_CASE(RepeatableIsTriedElsewhereOnce)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk");
    entry.addUpstream("d2", "desk");
    entry.post("/look/1");
    entry.sending();
    entry.head(500);
    entry.end();
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
    BOOST_CHECK_EQUAL(entry.answer().first, 0);
    entry.sending();
    entry.head(500);
    entry.body("sorry");
    entry.end();
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 2U);
    BOOST_CHECK(entry.answer() == std::pair(500, std::string("sorry")));
}

// Guards against forwarding a successful answer that lacks the upstream's receipt, is encoded, or is incomplete.
BOOST_AUTO_TEST_CASE(SuccessWithoutReceiptIsNoAnswer)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk");
    entry.addUpstream("d2", "desk");
    entry.post("/book/1");
    entry.sending();
    entry.head(200, {}, false);
    BOOST_CHECK_EQUAL(entry.answer().first, 502);
    BOOST_CHECK_EQUAL(entry.cancels.size(), 1U);
    entry.post("/look/1");
    entry.sending();
    entry.head(200, { { "Content-Encoding", "gzip" } });
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 3U);
    entry.sending();
    entry.head(200);
    entry.body("half");
    entry.fail(UpstreamFailure::Closed);
    BOOST_CHECK_EQUAL(entry.answer().first, 502);
}

// Guards against missing, duplicate and partial events where a stream is resumed at another upstream, and against a second head.
BOOST_AUTO_TEST_CASE(BrokenStreamGoesOnElsewhere)
{
    ForwardNode entry;
    entry.addUpstream("r1", "lm");
    entry.addUpstream("r2", "lm");
    entry.post("/plan/1");
    const auto first = entry.last().address;
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\nid: 2\nda");
    entry.fail(UpstreamFailure::Closed);
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
    BOOST_CHECK(entry.last().address != first);
    BOOST_CHECK_EQUAL(findHeader(entry.last().request.headers, entry.names.lastEvent), "1");
    entry.sending();
    entry.head(200);
    entry.body("id: 2\ndata: b\n\n");
    entry.end();
    BOOST_CHECK(entry.answer() == std::pair(200, std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")));
}

// Guards against resuming a stream whose route does not allow it, and against a broken stream that looks complete.
BOOST_AUTO_TEST_CASE(StreamThatMustNotRepeatIsBrokenOff)
{
    ForwardNode entry;
    entry.addUpstream("r1", "lm");
    entry.addUpstream("r2", "lm");
    entry.post("/ask/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    entry.fail(UpstreamFailure::Closed);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
    BOOST_CHECK_EQUAL(entry.answer().first, 1);
}

// Guards against two concurrent runs: an upstream can continue for a moment after this node has closed the connection.
BOOST_AUTO_TEST_CASE(SilentStreamIsResumedAfterItsRunHasStopped)
{
    ForwardNode entry;
    entry.addUpstream("r1", "lm");
    entry.addUpstream("r2", "lm");
    entry.post("/plan/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    entry.advance(1040_ms);
    BOOST_REQUIRE_EQUAL(entry.cancels.size(), 1U);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
    entry.advance(380_ms);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
    entry.advance(120_ms);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 2U);
}

// Guards against cutting a stream, of which the caller already has a part, because its resumption was refused at a moment when
// the node's share of the retry limit was used up.
BOOST_AUTO_TEST_CASE(StreamWaitsForAPermitAfterARefusedResumption)
{
    ForwardNode entry;
    for (const std::string name : { "r1", "r2", "r3" })
        entry.addUpstream(name, "lm");
    entry.allowRetries(1);
    entry.post("/plan/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    entry.advance(1500_ms);
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
    entry.sending();
    entry.head(421, {}, false);
    entry.advance(300_ms);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 2U);
    BOOST_REQUIRE_EQUAL(entry.answer().first, 200);
    entry.allowRetries(2);
    entry.advance(200_ms);
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 3U);
    BOOST_CHECK_EQUAL(findHeader(entry.last().request.headers, entry.names.lastEvent), "1");
    entry.sending();
    entry.head(200);
    entry.body("id: 2\ndata: b\n\n");
    entry.end();
    BOOST_CHECK(entry.answer() == std::pair(200, std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")));
}

// Guards against retries of requests without an answer that use up the permits which streams in progress need.
BOOST_AUTO_TEST_CASE(RequestsWithoutAnswerLeavePermitsForStreams)
{
    ForwardNode entry;
    for (const std::string name : { "r1", "r2", "r3", "r4" })
        entry.addUpstream(name, "lm");
    entry.allowRetries(8);
    entry.post("/plan/1");
    const ExchangeId stream = entry.exchange;
    const DispatchId streamRun = entry.last().dispatch;
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    for (int n = 0; n < 6; ++n) {
        entry.post("/ask/1");
        while (entry.node->forward.calls.contains(entry.exchange)) {
            entry.sending();
            entry.head(503, { { entry.names.notRun, "1" } }, false);
        }
        BOOST_CHECK_EQUAL(entry.answer().first, 503);
    }
    const size_t before = entry.dispatches.size();
    Inputs inputs;
    inputs.events.push_back({ .dispatch = streamRun, .kind = UpstreamEventKind::Failed, .failure = UpstreamFailure::Closed });
    entry.run(std::move(inputs));
    BOOST_CHECK_EQUAL(entry.dispatches.size(), before + 1);
    BOOST_CHECK(entry.node->forward.calls.contains(stream));
}

// Guards against partial events and a wrong resumption point where an upstream refuses to resume a stream and a third one does.
BOOST_AUTO_TEST_CASE(EventsStayWholeAfterARefusedResumption)
{
    ForwardNode entry;
    for (const std::string name : { "r1", "r2", "r3" })
        entry.addUpstream(name, "lm");
    entry.post("/plan/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    entry.fail(UpstreamFailure::Closed);
    entry.sending();
    entry.head(503, { { entry.names.notRun, "1" } }, false);
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 3U);
    entry.sending();
    entry.head(200);
    entry.body("id: 2\ndata: b\n\nid: 3\nda");
    BOOST_CHECK(entry.answer() == std::pair(200, std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")));
}

// Guards against closing the run of a silent stream when no other upstream could resume it.
BOOST_AUTO_TEST_CASE(SilentStreamIsKeptWhileNothingElseCanResumeIt)
{
    ForwardNode entry;
    entry.addUpstream("r1", "lm");
    entry.post("/plan/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    entry.advance(2500_ms);
    BOOST_CHECK(entry.cancels.empty());
    entry.body("id: 2\ndata: b\n\n");
    entry.end();
    BOOST_CHECK(entry.answer() == std::pair(200, std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")));
}

// Guards against cutting a broken stream at once when the upstream that can resume it becomes known a moment later.
BOOST_AUTO_TEST_CASE(BrokenStreamWaitsForAnUpstream)
{
    ForwardNode entry;
    entry.addUpstream("r1", "lm");
    entry.post("/plan/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    recordLeaving(*entry.node, idOfName<UpstreamId>("r1"), 1);
    entry.fail(UpstreamFailure::Closed);
    entry.advance(100_ms);
    BOOST_REQUIRE_EQUAL(entry.answer().first, 200);
    entry.addUpstream("r2", "lm");
    entry.advance(200_ms);
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
    BOOST_CHECK_EQUAL(findHeader(entry.last().request.headers, entry.names.target), "r2");
}

// Guards against cutting a stream because several upstreams in a row could not be reached.
BOOST_AUTO_TEST_CASE(UnreachableUpstreamsDoNotEndAStream)
{
    ForwardNode entry;
    for (int n = 1; n <= 9; ++n)
        entry.addUpstream("r" + std::to_string(n), "lm");
    entry.post("/plan/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    entry.fail(UpstreamFailure::Closed);
    for (size_t n = 2; n <= 8; ++n) {
        BOOST_REQUIRE_EQUAL(entry.answer().first, 200);
        BOOST_REQUIRE_EQUAL(entry.dispatches.size(), n);
        entry.fail(UpstreamFailure::ConnectFailed);
        entry.advance(120_ms);
    }
    entry.sending();
    entry.head(200);
    entry.body("id: 2\ndata: b\n\n");
    entry.end();
    BOOST_CHECK(entry.answer() == std::pair(200, std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")));
}

// Guards against sending requests for an upstream that is gone to the address that another one has taken over.
BOOST_AUTO_TEST_CASE(AddressBelongsToTheLatestUpstream)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk", 1);
    --entry.announcements;
    entry.addUpstream("d2", "desk", 2);
    for (int n = 0; n < 8; ++n) {
        entry.post("/book/1");
        BOOST_CHECK_EQUAL(findHeader(entry.last().request.headers, entry.names.target), "d2");
    }
}

// Guards against sending to an upstream again, after another one has answered at its address, before it announces itself again.
BOOST_AUTO_TEST_CASE(MisdirectedUpstreamGetsNoWorkUntilItIsAnnounced)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk", 1);
    entry.post("/book/1");
    entry.sending();
    entry.head(421, {}, false);
    BOOST_CHECK_EQUAL(entry.answer().first, 503);
    entry.advance(2_s);
    entry.post("/book/2");
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
    entry.addUpstream("d1", "desk", 1);
    entry.post("/book/3");
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 2U);
}

// Guards against requests that outlive their deadline, and against telling an upstream more time than is left.
BOOST_AUTO_TEST_CASE(TimeOfTheRequestBoundsEverySend)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk");
    entry.addUpstream("d2", "desk");
    entry.post("/look/1", { { entry.names.timeLeft, "400" } });
    BOOST_CHECK_EQUAL(findHeader(entry.last().request.headers, entry.names.timeLeft), "400");
    entry.sending();
    entry.advance(240_ms);
    entry.fail(UpstreamFailure::Closed);
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
    BOOST_CHECK_EQUAL(findHeader(entry.last().request.headers, entry.names.timeLeft), "160");
    entry.sending();
    entry.advance(180_ms);
    BOOST_CHECK_EQUAL(entry.answer().first, 504);
    BOOST_CHECK_EQUAL(entry.cancels.size(), 1U);
}

// Guards against upstreams that continue to work for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(CallerThatLeavesCancelsTheRun)
{
    ForwardNode entry;
    entry.addUpstream("r1", "lm");
    const auto exchange = entry.post("/plan/1");
    entry.sending();
    Inputs inputs;
    inputs.disconnected.push_back(exchange);
    entry.run(std::move(inputs));
    BOOST_CHECK(entry.cancels == std::vector<DispatchId> { entry.last().dispatch });
    BOOST_CHECK(entry.node->forward.calls.empty());
    BOOST_CHECK_EQUAL(findTarget(entry.node->forward.targets, idOfName<UpstreamId>("r1"))->own.running, 0);
}

// Guards against sending requests to an upstream after its reclaim notice, also when a late announcement shows it as ready, and
// against excluding a new incarnation of the same name.
BOOST_AUTO_TEST_CASE(LeavingUpstreamGetsNoWork)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk", 5);
    recordLeaving(*entry.node, idOfName<UpstreamId>("d1"), 5);
    entry.post("/book/1");
    BOOST_CHECK(entry.dispatches.empty());
    BOOST_CHECK_EQUAL(entry.answer().first, 503);
    entry.addUpstream("d1", "desk", 5);
    entry.post("/book/2");
    BOOST_CHECK(entry.dispatches.empty());
    entry.addUpstream("d1", "desk", 6);
    entry.post("/book/3");
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
}

// Load pattern: engines have a backlog longer than a route's target. Guards against queueing requests that would miss the target,
// and against refusing urgent requests.
BOOST_AUTO_TEST_CASE(BacklogRefusesAtOnceWhatWouldBeLate)
{
    ForwardNode entry("allowance gold priority=0 # Asma: test\nallowance tin priority=3 # Asma: test\ncaller-key g account=gold token-sha256=" + sha256Hex("g") + " # Asma: test\ncaller-key t account=tin token-sha256=" + sha256Hex("t") + " # Asma: test\n");
    entry.addUpstream("r1", "lm");
    findTarget(entry.node->forward.targets, idOfName<UpstreamId>("r1"))->others.prefillTokens[1] = 60000;
    entry.post("/ask/1", { { "Authorization", "Bearer t" }, { entry.names.tokens, "500,50" } });
    BOOST_CHECK_EQUAL(entry.answer().first, 503);
    BOOST_CHECK(!findHeader(entry.answers.back().headers, "Retry-After").empty());
    entry.post("/ask/2", { { "Authorization", "Bearer g" }, { entry.names.tokens, "500,50" } });
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
}

// Guards against forwarding unauthorized requests or requests over their allowance, and against serving without rules.
BOOST_AUTO_TEST_CASE(RightsAreCheckedBeforeAnythingIsSent)
{
    ForwardNode entry("allowance tin rate=100 burst=100 tokens=yes plain-tokens=60 # Asma: test\ncaller-key t account=tin token-sha256=" + sha256Hex("t") + " # Asma: test\nforward shut host=h prefix=/shut/ kind=once timeout=1s to=desk:1 # Asma: test\n");
    entry.addUpstream("d1", "desk");
    entry.post("/shut/1");
    BOOST_CHECK_EQUAL(entry.answer().first, 401);
    entry.post("/book/1", { { "Authorization", "Bearer x" } });
    BOOST_CHECK_EQUAL(entry.answer().first, 401);
    entry.post("/none/1");
    BOOST_CHECK_EQUAL(entry.answer().first, 404);
    BOOST_CHECK(entry.dispatches.empty());
    entry.post("/shut/2", { { "Authorization", "Bearer t" } });
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
    BOOST_CHECK_EQUAL(findHeader(entry.last().request.headers, entry.names.account), "tin");
    BOOST_CHECK(findHeader(entry.last().request.headers, "Authorization").empty());
    for (int n = 0; n < 5; ++n)
        entry.post("/shut/3", { { "Authorization", "Bearer t" } });
    BOOST_CHECK_EQUAL(entry.answer().first, 429);
    entry.node->forward.routes = nullptr;
    entry.post("/book/2");
    BOOST_CHECK_EQUAL(entry.answer().first, 503);
}

// Guards against a draining node that accepts streams it cannot finish, or that stops while it still answers a request.
BOOST_AUTO_TEST_CASE(LeavingNodeAnswersWhatItTakes)
{
    ForwardNode entry;
    entry.node->options.settings.timings.entryValid = TimeMs { 1000 };
    entry.addUpstream("r1", "lm");
    entry.addUpstream("d1", "desk");
    Inputs inputs;
    inputs.drain = true;
    entry.run(std::move(inputs));
    entry.advance(2600_ms);
    entry.post("/plan/1");
    BOOST_CHECK_EQUAL(entry.answer().first, 503);
    entry.post("/book/1");
    entry.sending();
    entry.advance(600_ms);
    BOOST_CHECK(!entry.stopped);
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 1U);
    entry.head(200);
    entry.end();
    BOOST_CHECK_EQUAL(entry.answer().first, 200);
}

static ForwardTarget engineOf(uint64_t id)
{
    ForwardTarget target;
    target.id = { id };
    target.name = "engine-" + std::to_string(id);
    target.backend = "lm";
    target.engine = true;
    return target;
}

// Load pattern: many entry nodes send to the same engines and report through the hubs of three failure domains. Guards against
// nodes that miss the load of others, count it twice, or count their own load again, also after a hub has died.
BOOST_AUTO_TEST_CASE(ManyNodesSeeTheLoadOfAllThroughHubs)
{
    NodeFleet fleet({ .nodes = 24 });
    for (size_t n = 3; n < fleet.nodes.size(); ++n)
        fleet.nodes[n].settings.listeners.forward = { "127.0.0.1", static_cast<uint16_t>(9500 + n) };
    BOOST_REQUIRE(fleet.startCluster());
    BOOST_REQUIRE(fleet.runUntil([&] { return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [](const auto& it) { return it.node->membership.members.size() == 23; }); }, 20_s));
    const auto use = [&](size_t n, double running) {
        auto& targets = fleet.nodes[n].node->forward.targets;
        upsertTarget(targets, engineOf(1)).own.running = running;
    };
    for (size_t n = 0; n < fleet.nodes.size(); ++n)
        use(n, n < 3 ? 0 : static_cast<double>(n));
    const auto check = [&](double sum) {
        for (const auto& process : fleet.nodes) {
            if (process.stopped || !process.node)
                continue;
            const auto& target = *findTarget(process.node->forward.targets, { 1 });
            BOOST_TEST(target.own.running + target.others.running == sum);
        }
    };
    fleet.runFor(3_s);
    check(273);
    use(23, 3);
    fleet.runFor(1_s);
    check(253);
    fleet.kill(0, false);
    fleet.runFor(15_s);
    check(253);
    for (size_t n = 3; n < fleet.nodes.size(); ++n)
        BOOST_TEST(fleet.nodes[n].node->forward.hubs.hub.value != 0);
}

// Guards against requests to an upstream whose address cannot be read: a node of an earlier build accepted and spread such records.
BOOST_AUTO_TEST_CASE(RecordsWithAnUnreadableAddressAreNoTargets)
{
    ForwardNode it;
    Announcement announced;
    announced.name = "other-writer";
    announced.address = "127.032.002.009:8080";
    announced.model = "desk";
    announced.incarnation = 7;
    announced.load.capacity = 100;
    const auto report = [&](const std::string& address) {
        announced.address = address;
        ++announced.sequence;
        announce(it.node->membership, it.now, announced, it.node->membershipOutputs);
        it.run({});
    };
    const auto id = idOfName<UpstreamId>("other-writer");
    report("127.032.002.009:8080");
    report("127.032.002.009:8080");
    BOOST_TEST(!findTarget(it.node->forward.targets, id));
    BOOST_TEST(std::count_if(it.logs.begin(), it.logs.end(), [](const auto& line) { return line.code == "upstream_address_unreadable"; }) == 1);
    it.post("/book/1");
    BOOST_TEST(it.dispatches.empty());
    report("127.0.0.9:8080");
    BOOST_TEST(findTarget(it.node->forward.targets, id));
    report("127.0.0.9");
    BOOST_TEST(!findTarget(it.node->forward.targets, id));
    report("127.0.0.9:8080");
    BOOST_TEST(findTarget(it.node->forward.targets, id));
}

BOOST_AUTO_TEST_SUITE_END()

}
