#include "ForwardFixture.h"

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(ForwardSoakCases)

static const std::string author = " # Asma: test\n";

// Guards against closing a resumed stream at once because the upstream before it was silent for long.
BOOST_AUTO_TEST_CASE(ResumedStreamHasItsOwnTimeToAnswer)
{
    ForwardNode entry("forward chat host=h prefix=/chat/ kind=stream timeout=8s target=300ms gap=150ms attempts=4 resume=yes anonymous=yes to=lm:1" + author);
    for (const std::string name : { "r1", "r2", "r3", "r4" })
        entry.addUpstream(name, "lm");
    entry.allowRetries(20);
    entry.post("/chat/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    entry.advance(1600_ms);
    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
    BOOST_REQUIRE_EQUAL(entry.cancels.size(), 1U);
    entry.sending();
    entry.advance(600_ms);
    BOOST_CHECK_EQUAL(entry.cancels.size(), 1U);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 2U);
}

// Guards against joining the bodies of two runs when an answer that is too long to be buffered breaks off or pauses.
BOOST_AUTO_TEST_CASE(PartOfALongAnswerIsNotContinuedByAnotherRun)
{
    for (const bool silent : { false, true }) {
        ForwardNode entry("forward find host=h prefix=/find/ kind=repeatable timeout=3s target=150ms attempts=3 anonymous=yes to=desk:1" + author);
        entry.addUpstream("d1", "desk");
        entry.addUpstream("d2", "desk");
        entry.allowRetries(20);
        entry.post("/find/1");
        entry.sending();
        entry.head(200);
        entry.body(std::string((1 << 20) + 1, 'a'));
        BOOST_REQUIRE_EQUAL(entry.answer().first, 200);
        if (silent)
            entry.advance(1500_ms);
        else
            entry.fail(UpstreamFailure::Closed);
        BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
        BOOST_CHECK_EQUAL(entry.answer().first, silent ? 200 : 1);
    }
}

// Guards against a stream that may not resume and ends as if it were complete when its upstream stops inside an event.
BOOST_AUTO_TEST_CASE(StreamThatStopsInsideAnEventIsNotComplete)
{
    ForwardNode entry;
    entry.addUpstream("r1", "lm");
    entry.post("/ask/1");
    entry.sending();
    entry.head(200, { { "Content-Type", "text/event-stream" } });
    entry.body("id: 1\ndata: a\n\nid: 2\nda");
    BOOST_CHECK(entry.answer() == std::pair(200, std::string("id: 1\ndata: a\n\nid: 2\nda")));
    entry.end();
    BOOST_CHECK_EQUAL(entry.answer().first, 1);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
    for (const auto& it : entry.answers)
        BOOST_CHECK(it.part != AnswerPart::End);
}

BOOST_AUTO_TEST_SUITE_END()

}
