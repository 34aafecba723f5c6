#include "EchoServer.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

// Guards against request smuggling: server and upstream must not disagree on the length of a request body.
BOOST_AUTO_TEST_CASE(smuggledRequestsAreRefusedAndTheConnectionCloses)
{
    EchoServer server;
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const char* fields : { "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 4\r\nContent-Length: 0\r\n", "A: b\r\n c\r\n", "A: b\n" }) {
        const auto answer = server.exchange("POST /outer HTTP/1.1\r\nHost: h\r\n" + std::string(fields) + "\r\n" + hidden);
        BOOST_TEST(answer.starts_with("HTTP/1.1 400"), fields << answer);
        BOOST_TEST(answer.find("/hidden") == std::string::npos, fields);
    }
    BOOST_TEST(server.arrivals == 0);
}

// Guards against bodies that are truncated, joined or parsed as the next request.
BOOST_AUTO_TEST_CASE(bodiesAreReceivedUnchanged)
{
    EchoServer server;
    const auto two = server.exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyzPOST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n", "/b [abc]");
    BOOST_TEST(two.find("POST /a [xyz]") != std::string::npos);
    BOOST_TEST(two.find("POST /b [abc]") != std::string::npos);
    const auto waiting = server.exchange("POST /c HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n", "100 Continue\r\n\r\n", "z", "/c [z]");
    BOOST_TEST(waiting.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"));
}

// Guards against responses with wrong framing and against merged repeated headers.
BOOST_AUTO_TEST_CASE(responsesAreFramed)
{
    EchoServer server;
    const auto stream = server.exchange("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n", "0\r\n\r\n");
    BOOST_TEST(stream.find("X-A: 1\r\nX-A: 2\r\n") != std::string::npos);
    BOOST_TEST(stream.ends_with("\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"));
    const auto head = server.exchange("HEAD /h HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    BOOST_TEST(head.find("Content-Length: 10\r\n") != std::string::npos);
    BOOST_TEST(head.ends_with("\r\n\r\n"));
    const auto old = server.exchange("GET /stream HTTP/1.0\r\n\r\n");
    BOOST_TEST(old.ends_with("\r\n\r\nonetwo"));
}

// Guards against an aborted response that looks complete to the client.
BOOST_AUTO_TEST_CASE(abortedResponseResetsTheConnection)
{
    EchoServer server;
    const auto answer = server.exchange("GET /abort HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(server.wasReset);
    BOOST_TEST(answer.find("0\r\n\r\n") == std::string::npos);
}

// Guards against headers, bodies and header times without limits.
BOOST_AUTO_TEST_CASE(inputLimitsAreEnforced)
{
    InputLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 10;
    limits.headerTimeout = TimeMs { 200 };
    EchoServer server(limits);
    BOOST_TEST(server.exchange("GET /a HTTP/1.1\r\nHost: h\r\nA: " + std::string(2000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
    BOOST_TEST(server.exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n").starts_with("HTTP/1.1 413"));
    BOOST_TEST(server.exchange("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n").starts_with("HTTP/1.1 413"));
    BOOST_TEST(server.exchange("GET /a HTTP/1.1\r\nHost:").empty());
    BOOST_TEST(server.arrivals == 0);
}

// Guards against lowered limits that end a connection while its request is being answered.
BOOST_AUTO_TEST_CASE(LoweredLimitsKeepARequestThatIsBeingAnswered)
{
    EchoServer server;
    const std::string out = server.exchange("POST /limits-lowered HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'b'), "0\r\n\r\n");
    BOOST_CHECK(out.starts_with("HTTP/1.1 200"));
    BOOST_CHECK(out.find(std::string(1024, 'x')) != std::string::npos);
    BOOST_CHECK(out.ends_with("\r\n0\r\n\r\n"));
    BOOST_CHECK(!server.wasReset);
    BOOST_CHECK_EQUAL(server.disconnects.load(), 0);
}

// Guards against taking the time in which a client reads its response for idle time of the connection, which would cut the response.
BOOST_AUTO_TEST_CASE(responseBeingWrittenIsNotIdle)
{
    InputLimits limits;
    limits.idleTimeout = TimeMs { 200 };
    EchoServer server(limits);
    const auto answer = server.exchange("GET /large HTTP/1.1\r\nHost: h\r\n\r\n", {}, {}, {}, std::chrono::milliseconds(700));
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(!server.wasReset);
    BOOST_TEST(answer.size() > largeBodyBytes);
}
