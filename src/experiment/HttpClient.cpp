#include "experiment/HttpClient.h"

#include "api/HttpHeadCheck.h"
#include "base/StreamEnd.h"
#include "experiment/SocketAddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>
#include <optional>

namespace siskinshunt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Code = boost::system::error_code;

namespace {

    std::string requestText(const HttpCall& call)
    {
        std::string out = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + call.address + "\r\nConnection: close\r\n";
        for (const auto& [name, value] : call.headers)
            out.append(name).append(": ").append(value).append("\r\n");
        out += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n";
        return out + call.body;
    }

    class Exchange : public HttpExchange, public std::enable_shared_from_this<Exchange> {
    public:
        Exchange(Loop& loop, HttpCall call, HttpDataHandler onData, HttpDoneHandler onDone)
            : m_socket(loop.context())
            , m_timer(loop.context())
            , m_call(std::move(call))
            , m_onData(std::move(onData))
            , m_onDone(std::move(onDone))
        {
        }

        void start();
        void cancel() override { end(HttpEnd::Cancelled); }

    private:
        void connect(const Tcp::endpoint&);
        void send();
        void readHead();
        void handleHead();
        void readBody();
        void handleBody();
        bool isWhole();
        void end(HttpEnd);

        Tcp::socket m_socket;
        asio::steady_timer m_timer;
        HttpCall m_call;
        HttpDataHandler m_onData;
        HttpDoneHandler m_onDone;
        std::string m_request;
        Code m_writeError;
        boost::beast::flat_buffer m_buffer;
        std::optional<http::response_parser<http::string_body>> m_parser;
        HttpAnswer m_answer;
        bool m_ended = false;
    };

    void Exchange::start()
    {
        m_timer.expires_after(std::chrono::milliseconds(m_call.timeout.value));
        m_timer.async_wait([self = shared_from_this()](Code ec) {
            if (!ec)
                self->end(HttpEnd::Timeout);
        });
        const auto parsed = parseSocketAddress(m_call.address);
        Code ec;
        const auto ip = asio::ip::make_address(parsed ? parsed->host : "", ec);
        if (!parsed || ec) {
            asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->end(HttpEnd::NotConnected); });
            return;
        }
        connect({ ip, parsed->port });
    }

    void Exchange::connect(const Tcp::endpoint& endpoint)
    {
        m_socket.async_connect(endpoint, [self = shared_from_this()](Code ec) {
            if (ec)
                return self->end(HttpEnd::NotConnected);
            self->m_socket.set_option(Tcp::no_delay(true), ec);
            self->send();
        });
    }

    void Exchange::send()
    {
        m_request = requestText(m_call);
        asio::async_write(m_socket, asio::buffer(m_request), [self = shared_from_this()](Code ec, size_t) {
            // A server can respond and close the connection before it has read the whole request, so the response is read even
            // after a write error.
            self->m_writeError = ec;
            self->readHead();
        });
    }

    void Exchange::readHead()
    {
        if (m_ended)
            return;
        m_parser.emplace();
        m_parser->body_limit(std::numeric_limits<uint64_t>::max());
        m_parser->eager(true);
        http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](Code ec, size_t) {
            if (ec)
                return self->end(HttpEnd::Cut);
            self->handleHead();
        });
    }

    void Exchange::handleHead()
    {
        if (m_ended)
            return;
        const unsigned status = m_parser->get().result_int();
        HttpHeaders headers;
        for (const auto& it : m_parser->get())
            headers.emplace_back(it.name_string(), it.value());
        if (findResponseProblem(status, headers))
            return end(HttpEnd::Cut);
        if (isInterimStatus(status))
            return readHead();
        m_answer.status = static_cast<int>(status);
        m_answer.headers = std::move(headers);
        handleBody();
    }

    void Exchange::readBody()
    {
        http::async_read_some(m_socket, m_buffer, *m_parser, [self = shared_from_this()](Code ec, size_t) {
            if (self->m_ended)
                return;
            if (ec) {
                self->m_answer.body += self->m_parser->get().body();
                return self->end(HttpEnd::Cut);
            }
            self->handleBody();
        });
    }

    // Whether the end of the body is proved by its framing or, for a response without a length, by an orderly end of the connection.
    bool Exchange::isWhole()
    {
        return !m_parser->need_eof() || findStreamEnd(m_socket.native_handle(), { .error = m_writeError.value() }) == StreamEnd::Orderly;
    }

    void Exchange::handleBody()
    {
        auto& body = m_parser->get().body();
        const std::string data = std::exchange(body, {});
        m_answer.body += data;
        if (m_onData && !data.empty() && !m_ended)
            m_onData(m_answer, data);
        if (m_ended)
            return;
        if (m_parser->is_done())
            return end(isWhole() ? HttpEnd::Complete : HttpEnd::Cut);
        readBody();
    }

    void Exchange::end(HttpEnd reason)
    {
        if (m_ended)
            return;
        m_ended = true;
        m_answer.end = reason;
        m_timer.cancel();
        Code ec;
        m_socket.close(ec);
        const auto done = std::exchange(m_onDone, nullptr);
        done(m_answer);
        // The data handler may be running and may own this exchange, so it is released from the event loop.
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->m_onData = nullptr; });
    }

}

std::shared_ptr<HttpExchange> startHttpCall(Loop& loop, HttpCall call, HttpDataHandler onData, HttpDoneHandler onDone)
{
    auto exchange = std::make_shared<Exchange>(loop, std::move(call), std::move(onData), std::move(onDone));
    exchange->start();
    return exchange;
}

HttpAnswer callHttp(HttpCall call)
{
    Loop loop;
    HttpAnswer out;
    startHttpCall(loop, std::move(call), {}, [&](const HttpAnswer& answer) { out = answer; });
    loop.run();
    return out;
}

}
