#include "entry/HttpServer.h"

#include "entry/HttpConnection.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

static constexpr int listenBacklog = 1024;
// Interval of timeout checks. Client timeouts are at least 100 ms, so this is precise enough.
static constexpr auto sweepInterval = std::chrono::milliseconds(100);
// Delay before the next accept when file descriptors are exhausted or the connection limit is reached; accepting again
// immediately would repeat the same error in a busy loop.
static constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(asio::io_context& context, HttpServerOptions given, HttpServerHandlers handlers)
        : context(context)
        , options(std::move(given))
        , handlers(std::move(handlers))
        , acceptor(context)
        , sweepTimer(context)
        , acceptRetryTimer(context)
        , tls(asio::ssl::context::tls_server)
        , lastExchange(options.firstExchange)
    {
    }

    asio::io_context& context;
    HttpServerOptions options;
    HttpServerHandlers handlers;
    tcp::acceptor acceptor;
    asio::steady_timer sweepTimer;
    asio::steady_timer acceptRetryTimer;
    asio::ssl::context tls;
    HttpConnectionContext shared;
    std::vector<std::shared_ptr<HttpConnection>> connections;
    std::unordered_map<ExchangeId, HttpConnection*> exchanges;
    ExchangeId lastExchange;
    bool sweeping = false;

    void bind();
    void connectHandlers();
    void accept();
    void accepted(const error_code&, tcp::socket);
    void sweep();
};

void HttpServer::Impl::bind()
{
    const tcp::endpoint endpoint(asio::ip::make_address(options.listen.ip), options.listen.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(listenBacklog);
    if (options.tls.certificateFile.empty())
        return;
    tls.use_certificate_chain_file(options.tls.certificateFile);
    tls.use_private_key_file(options.tls.keyFile, asio::ssl::context::pem);
}

void HttpServer::Impl::connectHandlers()
{
    shared.limits = options.limits;
    shared.openExchange = [this](HttpConnection& connection) {
        exchanges.emplace(++lastExchange, &connection);
        return lastExchange;
    };
    shared.closeExchange = [this](ExchangeId exchange) { exchanges.erase(exchange); };
    shared.arrived = [this](RequestArrived arrived) {
        arrived.listener = options.listener;
        handlers.arrived(std::move(arrived));
    };
    shared.disconnected = [this](ExchangeId exchange) { handlers.disconnected(exchange); };
    shared.log = [this](LogRecord record) { handlers.log(std::move(record)); };
}

void HttpServer::Impl::accept()
{
    if (!acceptor.is_open())
        return;
    if (connections.size() >= options.limits.connections) {
        acceptRetryTimer.expires_after(acceptRetryDelay);
        acceptRetryTimer.async_wait([self = shared_from_this()](const error_code& ec) {
            if (!ec)
                self->accept();
        });
        return;
    }
    acceptor.async_accept([self = shared_from_this()](const error_code& ec, tcp::socket socket) { self->accepted(ec, std::move(socket)); });
}

void HttpServer::Impl::accepted(const error_code& ec, tcp::socket socket)
{
    if (ec == asio::error::operation_aborted)
        return;
    if (ec) {
        handlers.log({ LogLevel::Warning, "accept_failed", Step::Accept, toString(options.listen), ec.message(), {} });
        acceptRetryTimer.expires_after(acceptRetryDelay);
        acceptRetryTimer.async_wait([self = shared_from_this()](const error_code& waitError) {
            if (!waitError)
                self->accept();
        });
        return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto remote = socket.remote_endpoint(ignored);
    const std::string peer = ignored ? "unknown" : remote.address().to_string() + ":" + std::to_string(remote.port());
    auto stream = options.tls.certificateFile.empty() ? makePlainStream(std::move(socket)) : makeTlsStream(std::move(socket), tls);
    connections.push_back(std::make_shared<HttpConnection>(std::move(stream), peer, shared));
    connections.back()->start();
    if (!sweeping)
        sweep();
    accept();
}

// Closes connections that have exceeded a timeout and removes closed ones. Stops while there are no connections.
void HttpServer::Impl::sweep()
{
    const auto now = HttpConnection::Clock::now();
    // Closing a connection calls the node, which must not change this list.
    for (const auto& connection : connections)
        connection->checkTimeout(now);
    std::erase_if(connections, [](const auto& it) { return it->isClosed(); });
    sweeping = !connections.empty();
    if (!sweeping)
        return;
    sweepTimer.expires_after(sweepInterval);
    sweepTimer.async_wait([self = shared_from_this()](const error_code& ec) {
        if (!ec)
            self->sweep();
    });
}

HttpServer::HttpServer(asio::io_context& context, HttpServerOptions options, HttpServerHandlers handlers)
    : m_impl(std::make_shared<Impl>(context, std::move(options), std::move(handlers)))
{
    m_impl->connectHandlers();
    m_impl->bind();
}

HttpServer::~HttpServer()
{
    error_code ec;
    m_impl->acceptor.close(ec);
    m_impl->sweepTimer.cancel();
    m_impl->acceptRetryTimer.cancel();
    m_impl->handlers.disconnected = [](ExchangeId) {};
    for (const auto& connection : m_impl->connections)
        connection->close();
}

void HttpServer::start()
{
    m_impl->accept();
}

void HttpServer::answer(Answer part)
{
    const auto it = m_impl->exchanges.find(part.exchange);
    if (it == m_impl->exchanges.end())
        return;
    it->second->shared_from_this()->answer(std::move(part));
}

void HttpServer::closeWhenIdle()
{
    m_impl->shared.closing = true;
}

void HttpServer::setLimits(const InputLimits& limits)
{
    m_impl->options.limits = limits;
    m_impl->shared.limits = limits;
}

size_t HttpServer::connections() const
{
    return static_cast<size_t>(std::count_if(m_impl->connections.begin(), m_impl->connections.end(), [](const auto& it) { return !it->isClosed(); }));
}

}
