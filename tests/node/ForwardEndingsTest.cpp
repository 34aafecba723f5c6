#include "ForwardFixture.h"

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(ForwardEndings)

static std::string longRule(const std::string& rest)
{
    return "forward long host=h prefix=/long/ timeout=15s target=400ms gap=250ms anonymous=yes " + rest + " # Asma: test\n";
}

// Guards against an answer that joins the bytes of two runs: a response whose start the caller already has can't be taken from
// another upstream, unless it is a stream that can be resumed.
BOOST_AUTO_TEST_CASE(LargeAnswerIsNeverJoinedFromTwoRuns)
{
    const std::string part((1 << 20) + 1, 'a');
    for (const bool silent : { false, true }) {
        ForwardNode entry(longRule("kind=repeatable attempts=2 to=desk:1"));
        entry.addUpstream("d1", "desk");
        entry.addUpstream("d2", "desk");
        entry.post("/long/1", { { entry.names.timeLeft, "5000" } });
        entry.sending();
        entry.head(200);
        entry.body(part);
        BOOST_REQUIRE_EQUAL(entry.answer().first, 200);
        if (silent)
            entry.advance(5_s);
        else
            entry.fail(UpstreamFailure::Closed);
        BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
        BOOST_CHECK_EQUAL(entry.answer().first, 1);
    }
}

// Guards against counting the silence of an upstream's predecessor: a run that was just resumed would be closed before its first
// byte can arrive.
BOOST_AUTO_TEST_CASE(ResumedRunIsNotSilentFromItsStart)
{
    ForwardNode entry(longRule("kind=stream resume=yes attempts=3 to=lm:1"));
    for (const std::string name : { "r1", "r2", "r3" })
        entry.addUpstream(name, "lm");
    entry.post("/long/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    entry.advance(1600_ms);
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
    BOOST_REQUIRE_EQUAL(entry.cancels.size(), 1U);
    entry.sending();
    entry.advance(500_ms);
    BOOST_CHECK_EQUAL(entry.cancels.size(), 1U);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 2U);
}

// Guards against losing a repeated attempt on a stale pooled connection: it often is the last one that the route allows, so that
// a stream in progress would be cut.
BOOST_AUTO_TEST_CASE(RepeatedAttemptUsesAFreshConnection)
{
    for (const std::string path : { "/plan/1", "/look/1" }) {
        ForwardNode entry;
        for (const std::string name : { "1", "2" }) {
            entry.addUpstream("r" + name, "lm");
            entry.addUpstream("d" + name, "desk");
        }
        entry.post(path);
        BOOST_CHECK(!entry.last().freshConnection);
        entry.sending();
        entry.fail(UpstreamFailure::Closed);
        BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
        BOOST_CHECK(entry.last().freshConnection);
    }
}

// Guards against an unreadable answer that callers get, that ends a request which another upstream can answer, or that is told as not run. The line
// of the attempt names the step, the upstream and what was wrong.
BOOST_AUTO_TEST_CASE(UnreadableAnswerIsReplacedOrOfUnknownRun)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk");
    entry.addUpstream("d2", "desk");
    const auto failUnreadable = [&] {
        entry.sending();
        entry.event({ .kind = UpstreamEventKind::Failed, .failure = UpstreamFailure::Malformed, .detail = "status 0" });
    };
    entry.post("/book/1");
    failUnreadable();
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
    BOOST_CHECK_EQUAL(entry.answer().first, 502);
    BOOST_CHECK(entry.answer().second.find("\"run\":\"unknown\"") != std::string::npos);
    const auto line = std::find_if(entry.logs.begin(), entry.logs.end(), [](const auto& it) { return it.code == "forward_attempt_failed"; });
    BOOST_REQUIRE(line != entry.logs.end());
    BOOST_CHECK(line->step == Step::Receive);
    BOOST_CHECK(line->peer == "d1" || line->peer == "d2");
    BOOST_CHECK_EQUAL(line->text, "malformed: status 0");
    entry.post("/look/1");
    failUnreadable();
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 3U);
    BOOST_CHECK(entry.dispatches[1].address != entry.dispatches[2].address);
    entry.sending();
    entry.head(200);
    entry.body("done");
    entry.end();
    BOOST_CHECK(entry.answer() == std::pair(200, std::string("done")));
}

// Guards against two concurrent runs of a stream after this node has closed the connection of the first one itself.
BOOST_AUTO_TEST_CASE(StreamWaitsForTheEngineAfterAnUnreadableAnswer)
{
    for (const auto failure : { UpstreamFailure::Malformed, UpstreamFailure::Silent }) {
        ForwardNode entry;
        entry.addUpstream("r1", "lm");
        entry.addUpstream("r2", "lm");
        entry.post("/plan/1");
        entry.sending();
        entry.head(200);
        entry.body("id: 1\ndata: a\n\n");
        entry.fail(failure);
        entry.advance(400_ms);
        BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
        entry.advance(100_ms);
        BOOST_CHECK_EQUAL(entry.dispatches.size(), 2U);
    }
}

// Guards against dropping an upstream's error answer for a refusal of this node when no other upstream is left to try.
BOOST_AUTO_TEST_CASE(ErrorAnswerIsKeptWhenNothingElseIsLeft)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk");
    entry.post("/look/1");
    entry.sending();
    entry.head(500);
    entry.body("sorry");
    entry.end();
    BOOST_CHECK(entry.answer() == std::pair(500, std::string("sorry")));
}

// Guards against requests on pooled connections to a process that has ended: a later incarnation at the same address resets them.
BOOST_AUTO_TEST_CASE(NewIncarnationDiscardsThePoolOfItsAddress)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk", 1);
    --entry.announcements;
    entry.discardedPools.clear();
    entry.addUpstream("d1", "desk", 2);
    BOOST_REQUIRE_EQUAL(entry.discardedPools.size(), 1U);
    entry.post("/book/1");
    BOOST_CHECK_EQUAL(entry.discardedPools.front(), entry.last().address);
}

// Guards against closing callers' connections without an answer when the drain limit ends their requests.
BOOST_AUTO_TEST_CASE(DrainLimitAnswersOpenRequests)
{
    ForwardNode entry(longRule("kind=stream resume=no attempts=1 to=lm:1"));
    entry.addUpstream("r1", "lm");
    entry.addUpstream("d1", "desk");
    Inputs inputs;
    inputs.drain = true;
    entry.run(std::move(inputs));
    entry.advance(2_s);
    const ExchangeId unanswered = entry.post("/long/1");
    entry.sending();
    const ExchangeId started = entry.post("/long/2");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    for (int n = 2; !entry.stopped && n < 40; ++n) {
        entry.body("id: " + std::to_string(n) + "\ndata: a\n\n");
        entry.advance(200_ms);
    }
    BOOST_REQUIRE(entry.stopped);
    BOOST_CHECK(entry.now >= entry.node->drainSince + 7_s);
    BOOST_CHECK_EQUAL(entry.answerTo(unanswered).first, 504);
    BOOST_CHECK_EQUAL(entry.answerTo(started).first, 1);
    BOOST_CHECK_EQUAL(entry.cancels.size(), 2U);
    BOOST_CHECK(entry.node->forward.calls.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}
