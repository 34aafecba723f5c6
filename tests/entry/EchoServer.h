#pragma once

#include "entry/HttpServer.h"

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <string>
#include <thread>
#include <unistd.h>

namespace siskinshunt {

/// More than the socket buffers of both sides hold.
inline constexpr size_t largeBodyBytes = 11 << 20;

/// Server on the loopback interface that echoes the method, target and body of each request.
class EchoServer {
public:
    explicit EchoServer(InputLimits limits = {})
    {
        boost::asio::ip::tcp::acceptor probe(m_context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        m_port = probe.local_endpoint().port();
        probe.close();
        HttpServerHandlers handlers { .arrived = [this](const RequestArrived& arrived) { answer(arrived); }, .disconnected = [this](ExchangeId) { ++disconnects; }, .log = [](const LogRecord&) {} };
        m_server = std::make_unique<HttpServer>(m_context, HttpServerOptions { .listen = { "127.0.0.1", m_port }, .limits = limits, .tls = {} }, std::move(handlers));
        m_server->start();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~EchoServer()
    {
        end();
        m_work.reset();
        m_thread.join();
    }

    uint16_t port() const { return m_port; }

    /// Destroys the server, as at the end of the process.
    void end()
    {
        boost::asio::post(m_context, [this] { m_server.reset(); });
    }

    // Sends `bytes` and reads until the server closes or `until` has been received; then does the same with `rest` and
    // `restUntil`. Returns everything received.
    std::string exchange(const std::string& bytes, const std::string& until = {}, const std::string& rest = {}, const std::string& restUntil = {}, std::chrono::milliseconds pauseBeforeRead = {})
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), m_port });
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::this_thread::sleep_for(pauseBeforeRead);
        std::string out;
        boost::system::error_code ec;
        const auto readUntil = [&](const std::string& text) {
            while (!ec && (text.empty() || out.find(text) == std::string::npos)) {
                std::array<char, 4096> buf {};
                const size_t n = socket.read_some(boost::asio::buffer(buf), ec);
                out.append(buf.data(), n);
            }
        };
        readUntil(until);
        if (!rest.empty()) {
            boost::asio::write(socket, boost::asio::buffer(rest));
            readUntil(restUntil);
        }
        wasReset = ec == boost::asio::error::connection_reset;
        return out;
    }

    std::atomic<int> disconnects { 0 };
    std::atomic<int> arrivals { 0 };
    bool wasReset = false;

private:
    void sendPart(ExchangeId exchange)
    {
        m_server->answer({ .exchange = exchange, .part = AnswerPart::Head, .status = 200 });
        m_server->answer({ .exchange = exchange, .part = AnswerPart::Body, .body = "part" });
    }

    void answer(const RequestArrived& arrived)
    {
        ++arrivals;
        const auto& request = arrived.request;
        if (request.target == "/abort") {
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Head, .status = 200 });
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Body, .body = "part" });
            return m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Abort });
        }
        if (request.target == "/part")
            return sendPart(arrived.exchange);
        if (request.target == "/part-and-flood") {
            sendPart(arrived.exchange);
            return m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Body, .body = std::string(2 * largeBodyBytes, 'x') });
        }
        if (request.target == "/part-and-exit") {
            sendPart(arrived.exchange);
            m_timer.expires_after(std::chrono::milliseconds(100));
            return m_timer.async_wait([](const boost::system::error_code&) { ::_exit(0); });
        }
        if (request.target == "/large-stream") {
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Head, .status = 200 });
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Body, .body = std::string(largeBodyBytes, 'x') });
            return m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::End });
        }
        if (request.target == "/limits-lowered") {
            m_server->setLimits({ .headerBytes = 256, .bodyBytes = 256, .headerTimeout = TimeMs { 100 }, .bodyTimeout = TimeMs { 100 }, .idleTimeout = TimeMs { 100 } });
            m_server->answer({ .exchange = arrived.exchange, .part = AnswerPart::Head, .status = 200 });
            m_timer.expires_after(std::chrono::milliseconds(500));
            m_timer.async_wait([this, exchange = arrived.exchange](const boost::system::error_code&) {
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

    boost::asio::io_context m_context { 1 };
    boost::asio::steady_timer m_timer { m_context };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_context.get_executor() };
    uint16_t m_port = 0;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

}
