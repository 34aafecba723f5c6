#include "experiment/HttpServer.h"

#include "experiment/SocketAddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdio>
#include <set>

namespace siskinshunt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Code = boost::system::error_code;

namespace {
    class Connection;
}

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(Loop& loop, HttpHandler handler)
        : acceptor(loop.context())
        , handler(std::move(handler))
    {
    }

    void accept();

    Tcp::acceptor acceptor;
    HttpHandler handler;
    std::set<std::shared_ptr<Connection>> open;
};

namespace {

    constexpr uint64_t maxBodyBytes = 64u << 20;

    std::string headText(int status, const HttpHeaders& headers, std::string_view framing)
    {
        std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
        out += std::string(http::obsolete_reason(static_cast<http::status>(status))) + "\r\n";
        for (const auto& [name, value] : headers)
            out.append(name).append(": ").append(value).append("\r\n");
        return out.append(framing).append("\r\n\r\n");
    }

    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(Tcp::socket socket, std::weak_ptr<HttpServer::State> server)
            : m_socket(std::move(socket))
            , m_server(std::move(server))
        {
            Code ec;
            m_socket.set_option(Tcp::no_delay(true), ec);
        }

        void readRequest();
        void freeze();
        void close();
        void send(uint64_t exchange, std::string_view text, bool last);
        void breakOff(uint64_t exchange, std::string_view bytes, bool resets);
        void setOnDisconnect(uint64_t exchange, std::function<void()>);
        bool isCurrent(uint64_t exchange) const { return exchange == m_exchange && m_busy && !m_closed; }

    private:
        void dispatch();
        void write();
        void watchPeer(uint64_t exchange);
        void discardInput();
        void finishExchange();

        Tcp::socket m_socket;
        std::weak_ptr<HttpServer::State> m_server;
        boost::beast::flat_buffer m_buffer;
        std::optional<http::request_parser<http::string_body>> m_parser;
        std::string m_pending;
        std::string m_writing;
        std::function<void()> m_onDisconnect;
        uint64_t m_exchange = 0;
        bool m_busy = false;
        bool m_last = false;
        bool m_frozen = false;
        bool m_closed = false;
        bool m_keepAlive = true;
        bool m_resets = false; ///< Instead of closing in order.
    };

    class Reply : public HttpReply {
    public:
        Reply(std::shared_ptr<Connection> connection, uint64_t exchange)
            : m_connection(std::move(connection))
            , m_exchange(exchange)
        {
        }

        void answer(int status, const HttpHeaders& headers, std::string_view body) override
        {
            auto text = headText(status, headers, "Content-Length: " + std::to_string(body.size()));
            m_connection->send(m_exchange, text.append(body), true);
        }

        void startStream(int status, const HttpHeaders& headers) override
        {
            m_connection->send(m_exchange, headText(status, headers, "Transfer-Encoding: chunked"), false);
        }

        void write(std::string_view text) override
        {
            if (text.empty())
                return;
            char size[20];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            m_connection->send(m_exchange, std::string(size).append(text).append("\r\n"), false);
        }

        void finish() override { m_connection->send(m_exchange, "0\r\n\r\n", true); }

        void drop() override
        {
            if (m_connection->isCurrent(m_exchange))
                m_connection->close();
        }

        void breakOff(std::string_view bytes, bool resets) override { m_connection->breakOff(m_exchange, bytes, resets); }

        void onDisconnect(std::function<void()> body) override { m_connection->setOnDisconnect(m_exchange, std::move(body)); }

    private:
        std::shared_ptr<Connection> m_connection;
        uint64_t m_exchange;
    };

    void Connection::readRequest()
    {
        m_parser.emplace();
        m_parser->body_limit(maxBodyBytes);
        http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](Code ec, size_t) {
            if (self->m_closed)
                return;
            if (ec)
                self->close();
            else if (self->m_frozen)
                self->discardInput();
            else
                self->dispatch();
        });
    }

    void Connection::dispatch()
    {
        const auto server = m_server.lock();
        if (!server)
            return;
        const auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        HttpRequest request { .method = std::string(message.method_string()), .target = std::string(message.target()), .headers = {}, .body = message.body() };
        for (const auto& it : message)
            request.headers.emplace_back(it.name_string(), it.value());
        m_busy = true;
        m_last = false;
        ++m_exchange;
        watchPeer(m_exchange);
        server->handler(request, std::make_shared<Reply>(shared_from_this(), m_exchange));
    }

    void Connection::watchPeer(uint64_t exchange)
    {
        m_socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), exchange](Code ec) {
            if (ec || !self->isCurrent(exchange))
                return;
            if (self->m_socket.available(ec) == 0 || ec)
                self->close();
        });
    }

    void Connection::send(uint64_t exchange, std::string_view text, bool last)
    {
        if (!isCurrent(exchange) || m_frozen || m_last)
            return;
        m_pending += text;
        m_last = last;
        if (last)
            m_onDisconnect = nullptr;
        if (m_writing.empty())
            write();
    }

    void Connection::breakOff(uint64_t exchange, std::string_view bytes, bool resets)
    {
        if (!isCurrent(exchange))
            return;
        m_keepAlive = false;
        m_resets = resets;
        send(exchange, bytes, true);
    }

    void Connection::write()
    {
        m_writing.swap(m_pending);
        asio::async_write(m_socket, asio::buffer(m_writing), [self = shared_from_this()](Code ec, size_t) {
            self->m_writing.clear();
            if (self->m_closed || self->m_frozen)
                return;
            if (ec)
                self->close();
            else if (!self->m_pending.empty())
                self->write();
            else if (self->m_last)
                self->finishExchange();
        });
    }

    void Connection::finishExchange()
    {
        m_busy = false;
        if (!m_keepAlive)
            return close();
        readRequest();
    }

    void Connection::setOnDisconnect(uint64_t exchange, std::function<void()> body)
    {
        if (isCurrent(exchange))
            m_onDisconnect = std::move(body);
    }

    void Connection::freeze()
    {
        m_frozen = true;
        if (m_busy)
            discardInput();
    }

    void Connection::discardInput()
    {
        m_buffer.clear();
        m_socket.async_read_some(m_buffer.prepare(4096), [self = shared_from_this()](Code ec, size_t) {
            if (self->m_closed)
                return;
            if (ec)
                self->close();
            else
                self->discardInput();
        });
    }

    void Connection::close()
    {
        if (m_closed)
            return;
        m_closed = true;
        Code ec;
        if (m_resets)
            m_socket.set_option(asio::socket_base::linger(true, 0), ec);
        m_socket.close(ec);
        const auto onDisconnectHandler = std::exchange(m_onDisconnect, nullptr);
        if (const auto server = m_server.lock())
            server->open.erase(shared_from_this());
        if (onDisconnectHandler)
            onDisconnectHandler();
    }

}

void HttpServer::State::accept()
{
    acceptor.async_accept([self = shared_from_this()](Code ec, Tcp::socket socket) {
        if (ec == asio::error::operation_aborted || !self->acceptor.is_open())
            return;
        if (!ec) {
            const auto connection = std::make_shared<Connection>(std::move(socket), self);
            self->open.insert(connection);
            connection->readRequest();
        }
        self->accept();
    });
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpServer::~HttpServer()
{
    Code ec;
    m_state->acceptor.close(ec);
    const auto open = m_state->open;
    for (const auto& it : open)
        it->close();
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(Loop& loop, const std::string& address, HttpHandler handler)
{
    const auto parsed = parseSocketAddress(address);
    Code ec;
    const auto ip = asio::ip::make_address(parsed ? parsed->host : "", ec);
    if (!parsed || ec)
        return fail(ErrorCode::Invalid, Step::Accept, address, "the address must be IP:port");
    auto state = std::make_shared<State>(loop, std::move(handler));
    const Tcp::endpoint endpoint(ip, parsed->port);
    auto& acceptor = state->acceptor;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return fail(ErrorCode::Io, Step::Accept, address, ec.message());
    state->accept();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

void HttpServer::freezeOpenConnections()
{
    const auto open = m_state->open;
    for (const auto& it : open)
        it->freeze();
}

size_t HttpServer::connections() const { return m_state->open.size(); }

}
