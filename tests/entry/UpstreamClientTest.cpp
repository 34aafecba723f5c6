#include "entry/UpstreamClient.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>

using namespace siskinshunt;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Upstream that follows a script: for each connection, the bytes that it sends in reply to each request.
class ScriptedUpstream {
public:
    struct ConnectionScript {
        std::vector<std::string> responses;
        bool closes = false; ///< After the last response.
        bool resets = false; ///< After the last response.
        std::chrono::milliseconds pause { 0 }; ///< Before the unsolicited bytes and the end of the connection.
        std::string unsolicited; ///< Sent after the last response.
    };

    explicit ScriptedUpstream(std::vector<ConnectionScript> scripts)
        : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_scripts(std::move(scripts))
        , m_thread([this] { run(); })
    {
    }

    ~ScriptedUpstream()
    {
        m_stopping = true;
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    void run()
    {
        std::vector<tcp::socket> sockets;
        m_acceptor.non_blocking(true);
        for (const auto& script : m_scripts) {
            tcp::socket socket(m_context);
            if (!wait([&](error_code& ec) { m_acceptor.accept(socket, ec); }))
                return;
            runScript(socket, script);
            if (script.resets)
                socket.set_option(asio::socket_base::linger(true, 0));
            if (!script.closes && !script.resets)
                sockets.push_back(std::move(socket));
        }
        while (!m_stopping)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }

    void runScript(tcp::socket& socket, const ConnectionScript& script)
    {
        socket.non_blocking(true);
        for (const auto& response : script.responses) {
            std::array<char, 65536> buf {};
            if (!wait([&](error_code& ec) { socket.read_some(asio::buffer(buf), ec); }))
                return;
            error_code ec;
            asio::write(socket, asio::buffer(response), ec);
        }
        std::this_thread::sleep_for(script.pause);
        error_code ec;
        asio::write(socket, asio::buffer(script.unsolicited), ec);
    }

    template <class Operation>
    bool wait(Operation&& operation)
    {
        while (!m_stopping) {
            error_code ec;
            operation(ec);
            if (ec != asio::error::would_block && ec != asio::error::try_again)
                return !ec;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return false;
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::vector<ConnectionScript> m_scripts;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

// Runs one dispatch at a time and returns the reported events as text.
struct Client {
    std::string sendRequest(const std::string& address, const std::string& id, TimeMs timeout = TimeMs { 2000 }, const std::string& body = "b")
    {
        std::string events;
        report = [&](const UpstreamEvent& event) {
            if (event.kind == UpstreamEventKind::Head)
                events += std::to_string(event.status) + " ";
            events += event.bytes;
            if (event.kind == UpstreamEventKind::Failed)
                events += " " + std::string(nameOf(event.failure));
            if (event.kind == UpstreamEventKind::End)
                events += " end";
            done = event.kind == UpstreamEventKind::Failed || event.kind == UpstreamEventKind::End;
        };
        done = false;
        UpstreamDispatch dispatch { .dispatch = ++lastDispatch, .address = address, .request = { "POST", "/x", { { "Host", "h" }, { "Id", id } }, body } };
        dispatch.firstByteTimeout = dispatch.progressTimeout = timeout;
        dispatch.idHeader = "Id";
        dispatch.idValue = id;
        client.dispatch(std::move(dispatch));
        // The context stops when it runs out of work.
        context.restart();
        while (!done)
            context.run_one();
        context.poll();
        return events;
    }

    asio::io_context context { 1 };
    std::function<void(const UpstreamEvent&)> report;
    UpstreamClient client { context, {}, [this](const UpstreamEvent& event) { report(event); } };
    DispatchId lastDispatch = 0;
    bool done = false;
};

}

static std::string makeResponse(const std::string& id, const std::string& body, const std::string& more = {})
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against a response that is assigned to the wrong request: a late second response to an earlier request arrives
// first on a reused connection.
BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsSkipped)
{
    ScriptedUpstream upstream({ { { makeResponse("other", "wrong") + makeResponse("a", "right") } } });
    Client client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 right end");
}

// Guards against reuse of a connection on which bytes that belong to no request follow the response.
BOOST_AUTO_TEST_CASE(bytesAfterAResponseCloseTheConnection)
{
    ScriptedUpstream upstream({ { { makeResponse("a", "one") + "junk" } }, { { makeResponse("b", "two"), makeResponse("c", "three") } } });
    Client client;
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
    Client client;
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
    Client client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == " malformed");
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == " malformed");
}

// Guards against requests that wait without limit for an upstream that stopped responding.
BOOST_AUTO_TEST_CASE(silentUpstreamTimesOut)
{
    ScriptedUpstream upstream({ { { "" } } });
    Client client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a", TimeMs { 150 }) == " silent");
}

// Guards against an upstream that is silent for longer than sent bytes may stay unacknowledged, and whose answer is lost although it has
// acknowledged the request.
BOOST_AUTO_TEST_CASE(silentUpstreamThatGoesOnIsAwaited)
{
    ScriptedUpstream upstream({ { .responses = { "" }, .pause = std::chrono::milliseconds(2500), .unsolicited = makeResponse("a", "late") } });
    Client client;
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
    Client client;
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
    Client client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a", TimeMs { 2000 }, std::string(32 << 20, 'x')) == "200 early end");
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == "200 next end");
    BOOST_TEST(client.client.connectionsOpened() == 2U);
}

// Guards against sending a request on an idle connection that the upstream has closed.
BOOST_AUTO_TEST_CASE(closedIdleConnectionIsNotReused)
{
    ScriptedUpstream upstream({ { { makeResponse("a", "one") }, true, false }, { { makeResponse("b", "two") } } });
    Client client;
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
    Client client;
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
    Client client;
    BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 one end");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == "200 two end");
}

// Guards against treating an upstream as silent after a long step although its response waits in the socket: the check of the
// timeouts was queued before the step.
BOOST_AUTO_TEST_CASE(responseThatArrivedDuringALongStepIsRead)
{
    ScriptedUpstream upstream({ { .responses = { "" }, .pause = std::chrono::milliseconds(150), .unsolicited = makeResponse("a", "late") } });
    Client client;
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
    Client client;
    for (const std::string& address : { std::string("127.000.000.001:80"), std::string("127.0.0.1\0.9:80", 15), std::string("desk.example:80"), std::string("127.0.0.1:99999"), std::string() })
        BOOST_TEST(client.sendRequest(address, "a") == " connect_failed");
    BOOST_TEST(client.sendRequest(upstream.address(), "b") == "200 two end");
}

// Guards against an idle limit that overflows: the Keep-Alive timeout of an upstream is any number.
BOOST_AUTO_TEST_CASE(anyKeepAliveTimeoutIsRead)
{
    for (const std::string timeout : { "3000000", "2147483647", "99999999999999999999", "-5", "x", "" }) {
        ScriptedUpstream upstream({ { { makeResponse("a", "one", "Keep-Alive: timeout=" + timeout + "\r\n") } } });
        Client client;
        BOOST_TEST(client.sendRequest(upstream.address(), "a") == "200 one end");
    }
}
