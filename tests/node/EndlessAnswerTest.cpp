#include "ForwardFixture.h"

namespace siskinshunt {

namespace {

    // Sends the chunk until the node closes the connection of the dispatch; returns the bytes that it took.
    size_t sendUntilClosed(ForwardNode& it, const std::string& chunk, size_t limit)
    {
        const DispatchId dispatch = it.last().dispatch;
        size_t sent = 0;
        while (sent < limit && std::find(it.cancels.begin(), it.cancels.end(), dispatch) == it.cancels.end()) {
            Inputs inputs;
            inputs.events.push_back({ .dispatch = dispatch, .kind = UpstreamEventKind::Body, .bytes = chunk });
            it.run(std::move(inputs));
            sent += chunk.size();
        }
        return sent;
    }

    constexpr size_t limit = 16 << 20;
    // An answer takes at most this much memory before any of it goes to the caller, as entry nodes hold hundreds.
    constexpr size_t memoryOfAnAnswer = 2 << 20;
    const std::string chunk(16 << 10, 'x');

}

BOOST_AUTO_TEST_SUITE(EndlessAnswer)

// Guards against a stream of bytes that are no event, which fill the memory of the node until the deadline of the request.
BOOST_AUTO_TEST_CASE(StreamWithoutAnEventIsClosed)
{
    for (const std::string path : { "/plan/1", "/ask/1" }) {
        ForwardNode it;
        it.addUpstream("r1", "lm");
        it.post(path, { { it.names.timeLeft, "6000" } });
        it.sending();
        it.head(200, { { "Content-Type", "text/event-stream" } });
        BOOST_CHECK_LE(sendUntilClosed(it, chunk, limit), memoryOfAnAnswer);
        BOOST_CHECK_NE(it.answer().first, 200);
    }
}

// Guards against the body of a refusal that is read to its end, which never comes, so that the connection can be reused.
BOOST_AUTO_TEST_CASE(RefusalIsClosed)
{
    ForwardNode it;
    it.addUpstream("d1", "desk");
    it.post("/book/1", { { it.names.timeLeft, "1000" } });
    it.sending();
    it.head(503, { { it.names.notRun, "1" } });
    BOOST_CHECK_EQUAL(it.answer().first, 503);
    BOOST_CHECK_LE(sendUntilClosed(it, chunk, limit), memoryOfAnAnswer);
}

// Guards against an error answer without an end that is passed on to the caller until its deadline.
BOOST_AUTO_TEST_CASE(ErrorIsClosed)
{
    ForwardNode it;
    it.addUpstream("d1", "desk");
    it.post("/book/1", { { it.names.timeLeft, "1000" } });
    it.sending();
    it.head(500);
    BOOST_CHECK_LE(sendUntilClosed(it, chunk, limit), memoryOfAnAnswer);
    BOOST_CHECK_EQUAL(it.answer().first, 502);
}

// Guards against an answer without a length that is cut short because its end is not known in advance.
BOOST_AUTO_TEST_CASE(AnswerWithoutALengthIsComplete)
{
    ForwardNode it;
    it.addUpstream("d1", "desk");
    it.post("/look/1", { { it.names.timeLeft, "5000" } });
    it.sending();
    it.head(200);
    for (int n = 0; n < 200; ++n)
        it.body(chunk);
    it.end();
    BOOST_CHECK_EQUAL(it.answer().first, 200);
    BOOST_CHECK_EQUAL(it.answer().second.size(), 200 * chunk.size());
}

// Guards against a stream without a length that ends inside an event and looks complete.
BOOST_AUTO_TEST_CASE(StreamThatEndsInsideAnEventIsBrokenOff)
{
    ForwardNode it;
    it.addUpstream("r1", "lm");
    it.post("/ask/1", { { it.names.timeLeft, "4000" } });
    it.sending();
    it.head(200, { { "Content-Type", "text/event-stream" } });
    it.body("id: 1\ndata: a\n\nid: 2\nda");
    it.end();
    BOOST_CHECK_EQUAL(it.answer().first, 1);
}

BOOST_AUTO_TEST_SUITE_END()

}
