#include "DispatchClient.h"
#include "ScriptedUpstream.h"

#include <boost/test/unit_test.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace siskinshunt;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Guards against a response that is assigned to the wrong request: a late second response to an earlier request arrives
// first on a reused connection.
BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsSkipped)
{
    ScriptedUpstream upstream({ { { makeResponse("other", "wrong") + makeResponse("a", "right") } } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 right end");
}

// Guards against reuse of a connection on which bytes that belong to no request follow the response.
BOOST_AUTO_TEST_CASE(bytesAfterAResponseCloseTheConnection)
{
    ScriptedUpstream upstream({ { { makeResponse("a", "one") + "junk" } }, { { makeResponse("b", "two"), makeResponse("c", "three") } } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 one end");
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == "200 two end");
    BOOST_TEST(client.sendRequest(upstream.address(), "c") == "200 three end");
    BOOST_TEST(client.client.connectionsOpened() == 2U);
}

// Guards against a truncated response that is reported as complete, and against a complete one without a length that is
// reported as truncated.
BOOST_AUTO_TEST_CASE(endsOfResponsesAreDetected)
{
    ScriptedUpstream upstream({ { { "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole" }, true, false }, { { "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 9\r\n\r\nhalf" }, true, false },
        { { "HTTP/1.1 200 OK\r\nId: c\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" }, true, false }, { { "nonsense\r\n\r\n" }, true, false }, { { makeResponse("e", "x", "Connection: close\r\n") }, true, false } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 whole end");
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == "200 half closed");
    BOOST_TEST(client.sendRequest(upstream.address(), "c") == "200 half closed");
    BOOST_TEST(client.sendRequest(upstream.address(), "d") == " malformed");
    BOOST_TEST(client.sendRequest(upstream.address(), "e") == "200 x end");
}

// Guards against bytes without end where the head of a response is due: they would fill the memory until the deadline.
BOOST_AUTO_TEST_CASE(endlessHeadIsRejected)
{
    const std::string line = "X: " + std::string(1000, 'x') + "\r\n";
    std::string lines = "HTTP/1.1 200 OK\r\n";
    for (int n = 0; n < 200; ++n)
        lines += line;
    ScriptedUpstream upstream({ { { std::string(200000, 'x') } }, { { lines } } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == " malformed");
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == " malformed");
}

// Guards against requests that wait without limit for an upstream that stopped responding.
BOOST_AUTO_TEST_CASE(silentUpstreamTimesOut)
{
    ScriptedUpstream upstream({ { { "" } } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a", TimeMs { 150 }) == " silent");
}

// Guards against an upstream that is silent for longer than sent bytes may stay unacknowledged, and whose answer is lost although it has
// acknowledged the request.
BOOST_AUTO_TEST_CASE(silentUpstreamThatGoesOnIsAwaited)
{
    ScriptedUpstream upstream({ { .responses = { "" }, .pause = std::chrono::milliseconds(2500), .unsolicited = makeResponse("a", "late") } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a", TimeMs { 5000 }) == "200 late end");
}

// The open socket of this process that is connected to the address; -1 if there is none.
static int findSocketTo(const std::string& address)
{
    constexpr int maxDescriptor = 1024;
    for (int fd = 0; fd < maxDescriptor; ++fd) {
        tcp::endpoint peer;
        auto length = static_cast<socklen_t>(peer.capacity());
        if (::getpeername(fd, peer.data(), &length) || length != sizeof(sockaddr_in))
            continue;
        if (peer.address().to_string() + ":" + std::to_string(peer.port()) == address)
            return fd;
    }
    return -1;
}

static int socketOption(int fd, int level, int name)
{
    int value = 0;
    socklen_t length = sizeof(value);
    BOOST_REQUIRE_EQUAL(::getsockopt(fd, level, name, &value, &length), 0);
    return value;
}

// Guards against keep-alive probes that give up on a sound upstream early: with TCP_USER_TIMEOUT set, Linux ignores their count and closes the
// connection as soon as a probe is due and that time has passed without an acknowledgement.
BOOST_AUTO_TEST_CASE(keepAliveProbesHaveTheirTime)
{
    ScriptedUpstream upstream({ { { makeResponse("a", "ok") } } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 ok end");
    const int fd = findSocketTo(upstream.address());
    BOOST_REQUIRE_GE(fd, 0);
    const int userTimeoutMs = socketOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT);
    // A sound upstream may be silent for a second or so.
    BOOST_TEST((userTimeoutMs == 0 || userTimeoutMs >= 2000));
    if (!socketOption(fd, SOL_SOCKET, SO_KEEPALIVE))
        return;
    const int probesMs = (socketOption(fd, IPPROTO_TCP, TCP_KEEPIDLE) + socketOption(fd, IPPROTO_TCP, TCP_KEEPINTVL) * socketOption(fd, IPPROTO_TCP, TCP_KEEPCNT)) * 1000;
    BOOST_TEST((userTimeoutMs == 0 || userTimeoutMs >= probesMs));
}

// Guards against reuse of a connection whose request body is still being sent when the response is complete: the upstream
// would read the next request as the rest of that body.
BOOST_AUTO_TEST_CASE(earlyResponseClosesTheConnection)
{
    ScriptedUpstream upstream({ { { makeResponse("a", "early") } }, { { makeResponse("b", "next") } } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a", TimeMs { 2000 }, std::string(32 << 20, 'x')) == "200 early end");
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == "200 next end");
    BOOST_TEST(client.client.connectionsOpened() == 2U);
}

// Guards against sending a request on an idle connection that the upstream has closed.
BOOST_AUTO_TEST_CASE(closedIdleConnectionIsNotReused)
{
    ScriptedUpstream upstream({ { { makeResponse("a", "one") }, true, false }, { { makeResponse("b", "two") } } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 one end");
    for (int n = 0; n < 50; ++n) {
        client.context.run_for(std::chrono::milliseconds(2));
        client.context.restart();
    }
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == "200 two end");
}

// Guards against sending a request on an idle connection whose end has arrived but was not read yet, as on a busy node: a request
// that must not run twice would be lost.
BOOST_AUTO_TEST_CASE(unreadCloseOfAnIdleConnectionIsDetected)
{
    ScriptedUpstream upstream({ { .responses = { makeResponse("a", "one") }, .closes = true, .pause = std::chrono::milliseconds(50) }, { { makeResponse("b", "two") } } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 one end");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == "200 two end");
    BOOST_TEST(client.client.connectionsOpened() == 2U);
}

// Guards against taking bytes that an upstream sent after a complete response for the response to the next request.
BOOST_AUTO_TEST_CASE(unreadBytesOfAnIdleConnectionAreNoResponse)
{
    const std::string stray = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nstray";
    ScriptedUpstream upstream({ { .responses = { makeResponse("a", "one") }, .pause = std::chrono::milliseconds(50), .unsolicited = stray }, { { makeResponse("b", "two") } } });
    DispatchClient client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 one end");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == "200 two end");
}

// Guards against treating an upstream as silent after a long step although its response waits in the socket: the check of the
// timeouts was queued before the step.
BOOST_AUTO_TEST_CASE(responseThatArrivedDuringALongStepIsRead)
{
    ScriptedUpstream upstream({ { .responses = { "" }, .pause = std::chrono::milliseconds(150), .unsolicited = makeResponse("a", "late") } });
    DispatchClient client;
    asio::steady_timer timer(client.context, std::chrono::milliseconds(30));
    timer.async_wait([&](const error_code&) {
        // The next check becomes due meanwhile, so it is queued behind the long step.
        std::this_thread::sleep_for(std::chrono::milliseconds(60));
        asio::post(client.context, [] { std::this_thread::sleep_for(std::chrono::milliseconds(400)); });
    });
    BOOST_TEST(client.sendRequest(upstream.address(), "a", TimeMs { 250 }) == "200 late end");
}

// Guards against an exception in the event loop when a record names an address that cannot be read: only this request fails.
BOOST_AUTO_TEST_CASE(unreadableAddressFailsTheRequestOnly)
{
    ScriptedUpstream upstream({ { { makeResponse("b", "two") } } });
    DispatchClient client;
    for (const std::string& address : { std::string("127.000.000.001:80"), std::string("127.0.0.1\0.9:80", 15), std::string("desk.example:80"), std::string("127.0.0.1:99999"), std::string() })
        BOOST_TEST(client.sendRequest(address, "a") == " connect_failed");
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == "200 two end");
}

// Guards against an idle limit that overflows: the Keep-Alive timeout of an upstream is any number.
BOOST_AUTO_TEST_CASE(anyKeepAliveTimeoutIsRead)
{
    for (const std::string timeout : { "3000000", "2147483647", "99999999999999999999", "-5", "x", "" }) {
        ScriptedUpstream upstream({ { { makeResponse("a", "one", "Keep-Alive: timeout=" + timeout + "\r\n") } } });
        DispatchClient client;
        BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 one end");
    }
}
