#include "DispatchClient.h"
#include "OldCaller.h"
#include "ScriptedUpstream.h"
#include "entry/HttpServer.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Passes requests to an address and the parts of the answers back, as an entry node does.
class Relay {
public:
    explicit Relay(std::string to)
        : m_to(std::move(to))
    {
        tcp::acceptor probe(m_context, { asio::ip::make_address("127.0.0.1"), 0 });
        m_port = probe.local_endpoint().port();
        probe.close();
        InputLimits limits;
        limits.bodyBytes = 64 << 20;
        HttpServerHandlers handlers { .arrived = [this](RequestArrived arrived) { pass(std::move(arrived)); }, .disconnected = [](ExchangeId) {}, .log = [](const LogRecord&) {} };
        m_server = std::make_unique<HttpServer>(m_context, HttpServerOptions { .listen = { "127.0.0.1", m_port }, .limits = limits, .tls = {} }, std::move(handlers));
        m_server->start();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Relay()
    {
        m_context.stop();
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    uint16_t port() const { return m_port; }

private:
    void pass(RequestArrived arrived)
    {
        UpstreamDispatch dispatch { .dispatch = arrived.exchange, .address = m_to, .request = std::move(arrived.request) };
        dispatch.progressTimeout = TimeMs { 5000 };
        m_client.dispatch(std::move(dispatch));
    }

    void report(const UpstreamEvent& event)
    {
        switch (event.kind) {
        case UpstreamEventKind::Sending:
            return;
        case UpstreamEventKind::Head:
            return m_server->answer({ .exchange = event.dispatch, .part = AnswerPart::Head, .status = event.status, .headers = event.headers, .contentLength = event.contentLength });
        case UpstreamEventKind::Body:
            return m_server->answer({ .exchange = event.dispatch, .part = AnswerPart::Body, .body = event.bytes });
        case UpstreamEventKind::End:
            return m_server->answer({ .exchange = event.dispatch, .part = AnswerPart::End });
        case UpstreamEventKind::Failed:
            return m_server->answer({ .exchange = event.dispatch, .part = AnswerPart::Abort });
        }
    }

    std::string m_to;
    asio::io_context m_context { 1 };
    UpstreamClient m_client { m_context, {}, [this](const UpstreamEvent& event) { report(event); } };
    uint16_t m_port = 0;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

// More than the socket buffers of both sides hold.
constexpr size_t uploadBytes = 32 << 20;
const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\n";

}

static std::string uploadThroughTwo(const ScriptedUpstream::ConnectionScript& script)
{
    ScriptedUpstream upstream({ script });
    const Relay inner(upstream.address());
    const Relay outer(inner.address());
    DispatchClient client;
    return client.sendRequest(outer.address(), "a", TimeMs { 5000 }, std::string(uploadBytes, 'x'));
}

// Guards against a part of an answer that a relaying entry node completes, or that the node before it takes for the whole.
BOOST_AUTO_TEST_CASE(cutAnswersStayCutThroughRelays)
{
    BOOST_TEST(uploadThroughTwo({ .responses = { head + "\r\npart" }, .closes = true, .pause = 20ms, .awaitsUnread = true }) == "200 part closed");
    BOOST_TEST(uploadThroughTwo({ .responses = { head + "\r\npart" }, .resets = true, .pause = 20ms }) == "200 part closed");
    BOOST_TEST(uploadThroughTwo({ .responses = { head + "Content-Length: 9\r\n\r\npart" }, .closes = true }) == "200 part closed");
    BOOST_TEST(uploadThroughTwo({ .responses = { head + "\r\nwhole" }, .resets = true, .finishes = true }) == "200 whole end");
}

// Guards against the same for a caller that speaks HTTP/1.0, to which the part comes without chunks.
BOOST_AUTO_TEST_CASE(cutAnswerIsResetForAnOldCaller)
{
    ScriptedUpstream upstream({ { .responses = { head + "\r\npart" }, .resets = true, .pause = 20ms } });
    const Relay relay(upstream.address());
    OldCaller caller(relay.port(), "/", std::string(uploadBytes, 'x'));
    caller.read();
    BOOST_TEST(caller.received.ends_with("\r\n\r\npart"));
    BOOST_TEST(caller.ec == asio::error::connection_reset);
}
