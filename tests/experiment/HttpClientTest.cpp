#include "experiment/HttpClient.h"
#include "../entry/ScriptedUpstream.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;
using namespace std::chrono_literals;

static std::string call(const ScriptedUpstream::ConnectionScript& script, size_t bodyBytes = 1)
{
    ScriptedUpstream upstream({ script });
    const auto answer = callHttp({ .address = upstream.address(), .method = "POST", .body = std::string(bodyBytes, 'x') });
    return std::to_string(answer.status) + " " + answer.body + " " + std::string(nameOf(answer.end));
}

// Guards against a part of a response that is taken for the whole, when the write of the request gets the error of the reset, and against a whole
// one that is taken for a part.
BOOST_AUTO_TEST_CASE(resetDuringAnUploadCutsAResponseWithoutALength)
{
    // More than the socket buffers of both sides hold.
    constexpr size_t uploadBytes = 32 << 20;
    const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
    BOOST_TEST(call({ .responses = { head + "part" }, .closes = true, .pause = 20ms, .awaitsUnread = true }, uploadBytes) == "200 part cut");
    BOOST_TEST(call({ .responses = { head + "part" }, .resets = true, .pause = 20ms }, uploadBytes) == "200 part cut");
    BOOST_TEST(call({ .responses = { head + "part" }, .resets = true, .pause = 20ms }) == "200 part cut");
    BOOST_TEST(call({ .responses = { head + "whole" }, .resets = true, .finishes = true }, uploadBytes) == "200 whole complete");
    BOOST_TEST(call({ .responses = { head + "whole" }, .finishes = true }) == "200 whole complete");
    BOOST_TEST(call({ .responses = { makeResponse("a", "whole") }, .resets = true, .pause = 20ms }, uploadBytes) == "200 whole complete");
}

// Guards against an invalid status, an interim response, or what follows one with a body, as the result of a call.
BOOST_AUTO_TEST_CASE(onlyAFinalStatusIsAResponse)
{
    const std::string inner = makeResponse("a", "inner");
    for (const std::string status : { "000", "099", "101", "600", "999" })
        BOOST_TEST(call({ { "HTTP/1.1 " + status + " Text\r\nContent-Length: 4\r\n\r\nbody" } }) == "0  cut", status);
    BOOST_TEST(call({ { "HTTP/1.1 000 Text\r\n\r\n" + inner } }) == "0  cut");
    BOOST_TEST(call({ { "HTTP/1.1 100 Continue\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner } }) == "0  cut");
    BOOST_TEST(call({ { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + makeResponse("a", "final") } }) == "200 final complete");
}

// Guards against the bytes of a transfer coding as the body of a response.
BOOST_AUTO_TEST_CASE(unknownTransferCodingIsNoResponse)
{
    BOOST_TEST(call({ { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbytes" }, true }) == "0  cut");
    BOOST_TEST(call({ { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" } }) == "0  cut");
}
