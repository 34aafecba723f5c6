#include "DispatchClient.h"
#include "ScriptedUpstream.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

using Script = ScriptedUpstream::ConnectionScript;

constexpr int rounds = 3;
// More than the socket buffers of both sides hold, so that the write of the request is in progress when the connection ends.
constexpr size_t uploadBytes = 32 << 20;
const std::string unframedHead = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n";

}

static std::string upload(DispatchClient& client, const ScriptedUpstream& upstream, size_t bytes = uploadBytes)
{
    return client.sendRequest(upstream.address(), "a", TimeMs { 5000 }, std::string(bytes, 'x'));
}

// Serves one request from an upstream with the script. `busy`: the event loop of the client does nothing from shortly after the start of the
// request until the upstream has ended the connection.
static std::string uploadOnce(const Script& script, size_t bytes = uploadBytes, bool busy = false)
{
    ScriptedUpstream upstream({ script });
    DispatchClient client;
    asio::steady_timer timer(client.context, 30ms);
    if (busy)
        timer.async_wait([](const boost::system::error_code&) { std::this_thread::sleep_for(300ms); });
    return upload(client, upstream, bytes);
}

// Guards against a part of an answer that is taken for the whole: the write of the request gets the error of the reset, and the read that follows
// sees the end of the stream. The upstream closes with unread bytes of the request, or resets after a while.
BOOST_AUTO_TEST_CASE(resetDuringAnUploadCutsAnAnswerWithoutALength)
{
    for (int n = 0; n < rounds; ++n) {
        BOOST_TEST(uploadOnce({ .responses = { unframedHead + "part" }, .closes = true, .pause = 20ms, .awaitsUnread = true }) == "200 part closed");
        BOOST_TEST(uploadOnce({ .responses = { unframedHead + "part" }, .resets = true, .pause = 20ms }) == "200 part closed");
        // The event loop of the client finds the answer and the reset at once.
        BOOST_TEST(uploadOnce({ .responses = { "" }, .resets = true, .pause = 100ms, .unsolicited = unframedHead + "part" }, uploadBytes, true) == "200 part closed");
    }
}

// Guards against the same with uploads that the socket buffers may hold, of which all, some or no bytes are unsent when the connection ends.
BOOST_AUTO_TEST_CASE(resetAfterAnUploadCutsAnAnswerWithoutALength)
{
    for (const size_t bytes : { size_t { 1 }, size_t { 1 } << 10, size_t { 1 } << 18, size_t { 7 } << 19 }) {
        for (int n = 0; n < rounds; ++n) {
            BOOST_TEST(uploadOnce({ .responses = { unframedHead + "part" }, .resets = true }, bytes) == "200 part closed");
            BOOST_TEST(uploadOnce({ .responses = { unframedHead + "part" }, .resets = true, .pause = 20ms }, bytes) == "200 part closed");
            BOOST_TEST(uploadOnce({ .responses = { "" }, .resets = true, .pause = 100ms, .unsolicited = unframedHead + "part" }, bytes, true) == "200 part closed");
        }
    }
}

// Guards against a part that is taken for the whole when it is read in pieces, after the write has failed.
BOOST_AUTO_TEST_CASE(resetCutsAnAnswerInPieces)
{
    // Together more than the client reads at once, and less than the socket buffers hold when the upstream resets.
    const std::string piece(15000, 'p');
    const std::string pieces(3 * piece.size(), 'p');
    const std::string answer = "200 " + pieces + " closed";
    for (int n = 0; n < rounds; ++n) {
        BOOST_CHECK(uploadOnce({ .responses = { unframedHead + piece, piece, piece }, .closes = true, .pause = 20ms, .awaitsUnread = true }) == answer);
        BOOST_CHECK(uploadOnce({ .responses = { "" }, .resets = true, .pause = 100ms, .unsolicited = unframedHead + pieces }, uploadBytes, true) == answer);
    }
}

// Guards against whole answers that callers do not get: an upstream that refuses a request early may end its answer in order and never read the
// rest of the request.
BOOST_AUTO_TEST_CASE(orderlyEndDuringAnUploadCompletesAnAnswerWithoutALength)
{
    const std::string refusal = "HTTP/1.1 413 Content Too Large\r\nId: a\r\n\r\ntoo large";
    for (int n = 0; n < rounds; ++n) {
        BOOST_TEST(uploadOnce({ .responses = { refusal }, .finishes = true }) == "413 too large end");
        BOOST_TEST(uploadOnce({ .responses = { refusal }, .closes = true, .finishes = true }) == "413 too large end");
        BOOST_TEST(uploadOnce({ .responses = { refusal }, .resets = true, .finishes = true }) == "413 too large end");
        for (const bool closes : { false, true })
            BOOST_TEST(uploadOnce({ .responses = { "" }, .closes = closes, .resets = !closes, .pause = 100ms, .unsolicited = refusal, .finishes = true }, uploadBytes, true) == "413 too large end");
        BOOST_TEST(uploadOnce({ .responses = { "" }, .resets = true, .pause = 100ms, .unsolicited = refusal, .finishes = true }, 1, true) == "413 too large end");
    }
}

// Guards against answers that are given up though their head or length shows that they are whole.
BOOST_AUTO_TEST_CASE(resetAfterAFramedAnswerIsNoFailure)
{
    BOOST_TEST(uploadOnce({ .responses = { makeResponse("a", "whole") }, .closes = true }) == "200 whole end");
    BOOST_TEST(uploadOnce({ .responses = { "" }, .resets = true, .pause = 100ms, .unsolicited = makeResponse("a", "whole") }, uploadBytes, true) == "200 whole end");
    BOOST_TEST(uploadOnce({ .responses = { "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" }, .closes = true }) == "200 whole end");
    BOOST_TEST(uploadOnce({ .responses = { "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n" }, .closes = true }) == "200 whole closed");
    ScriptedUpstream upstream({ { .responses = { unframedHead }, .resets = true } });
    DispatchClient client;
    client.method = "HEAD";
    BOOST_TEST(client.sendRequest(upstream.address(), "a", TimeMs { 2000 }, {}) == "200  end");
}

// Guards against an answer to another request, ended by a reset, that counts as the end of this one.
BOOST_AUTO_TEST_CASE(resetOfASkippedAnswerFailsTheRequest)
{
    BOOST_TEST(uploadOnce({ .responses = { "HTTP/1.1 200 OK\r\nId: other\r\n\r\npart" }, .closes = true }) == " closed");
    BOOST_TEST(uploadOnce({ .responses = { "HTTP/1.1 200 OK\r\nId: other\r\n\r\nwhole" }, .finishes = true }) == " closed");
}

// Guards against requests on a connection whose last write failed.
BOOST_AUTO_TEST_CASE(connectionWithAFailedWriteIsNotReused)
{
    ScriptedUpstream upstream({ { .responses = { makeResponse("a", "one") }, .closes = true }, { .responses = { makeResponse("a", "two") } } });
    DispatchClient client;
    BOOST_TEST(upload(client, upstream) == "200 one end");
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 two end");
}
