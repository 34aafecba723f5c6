#include "entry/HttpServer.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace siskinshunt;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// More than the socket buffers of both sides hold.
constexpr size_t largeBodyBytes = 11 << 20;

// Server on the loopback interface that echoes the method, target and body of each request.
class EchoServer {
public:
    explicit EchoServer(InputLimits limits = {})
    {
        tcp::acceptor probe(m_context, { asio::ip::make_address("127.0.0.1"), 0 });
        m_port = probe.local_endpoint().port();
        probe.close();
        HttpServerHandlers handlers { .arrived = [this](const RequestArrived& arrived) { answer(arrived); }, .disconnected = [this](ExchangeId) { ++disconnects; }, .log = [](const LogRecord&) {} };
        m_server = std::make_unique<HttpServer>(m_context, HttpServerOptions { .listen = { "127.0.0.1", m_port }, .limits = limits, .tls = {} }, std::move(handlers));
        m_server->start();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~EchoServer()
    {
        asio::post(m_context, [this] { m_server.reset(); });
        m_work.reset();
        m_thread.join();
    }

    // Sends `bytes` and reads until the server closes or `until` has been received; then does the same with `rest` and
    // `restUntil`. Returns everything received.
    std::string exchange(const std::string& bytes, const std::string& until = {}, const std::string& rest = {}, const std::string& restUntil = {}, std::chrono::milliseconds pauseBeforeRead = {})
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
        asio::write(socket, asio::buffer(bytes));
        std::this_thread::sleep_for(pauseBeforeRead);
        std::string out;
        error_code ec;
        const auto readUntil = [&](const std::string& text) {
            while (!ec && (text.empty() || out.find(text) == std::string::npos)) {
                std::array<char, 4096> buf {};
                const size_t n = socket.read_some(asio::buffer(buf), ec);
                out.append(buf.data(), n);
            }
        };
        readUntil(until);
        if (!rest.empty()) {
            asio::write(socket, asio::buffer(rest));
            readUntil(restUntil);
        }
        wasReset = ec == asio::error::connection_reset;
        return out;
    }

    std::atomic<int> disconnects { 0 };
    std::atomic<int> arrivals { 0 };
    bool wasReset = false;

private:
    void answer(const RequestArrived& arrived)
    {
        ++arrivals;
        const auto& request = arrived.request;
        if (request.target == "/abort") {
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Head, .status = 200 });
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Body, .body = "part" });
            return m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Abort });
        }
        if (request.target == "/limits-lowered") {
            m_server->setLimits({ .headerBytes = 256, .bodyBytes = 256, .headerTimeout = TimeMs { 100 }, .bodyTimeout = TimeMs { 100 }, .idleTimeout = TimeMs { 100 } });
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Head, .status = 200 });
            m_timer.expires_after(std::chrono::milliseconds(500));
            m_timer.async_wait([this, exchange = arrived.exchange](const error_code&) {
                m_server->answer({ .exchange = exchange, .part = AnswerPart::Body, .body = std::string(1024, 'x') });
                m_server->answer({ .exchange = exchange, .part = AnswerPart::End });
            });
            return;
        }
        if (request.target == "/stream") {
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Head, .status = 200, .headers = { { "X-A", "1" }, { "X-A", "2" } } });
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Body, .body = "one" });
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Body, .body = "two" });
            return m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::End });
        }
        if (request.target == "/large")
            return m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Whole, .status = 200, .body = std::string(largeBodyBytes, 'x') });
        m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Whole, .status = 200, .body = request.method + " " + request.target + " [" + request.body + "]" });
    }

    asio::io_context m_context { 1 };
    asio::steady_timer m_timer { m_context };
    asio::executor_work_guard<asio::io_context::executor_type> m_work { m_context.get_executor() };
    uint16_t m_port = 0;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

}

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
