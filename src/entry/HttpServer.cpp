#include "entry/HttpServer.h"

#include "api/Refusal.h"

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <deque>
#include <sys/socket.h>
#include <unordered_map>

namespace siskinshunt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using PlainStream = beast::tcp_stream;
using TlsStream = beast::ssl_stream<beast::tcp_stream>;

// Answers that a caller does not read are held up to this size, then its connection is closed.
static constexpr size_t maxUnsentBytes = 8 << 20;
static constexpr auto writeTimeout = std::chrono::seconds(30);

namespace {

    // One request and the parts of its answer that wait to be written.
    struct Exchange : boost::intrusive_ref_counter<Exchange, boost::thread_unsafe_counter> {
        explicit Exchange(asio::io_context& context)
            : wake(context)
        {
        }

        ExchangeId id = 0;
        std::deque<Answer> parts;
        size_t unsentBytes = 0;
        bool callerGone = false;
        bool ended = false;
        asio::steady_timer wake; ///< Cancelled when a part arrives or the caller goes away.
    };
    using ExchangePtr = boost::intrusive_ptr<Exchange>;

    void wakeUp(Exchange& exchange)
    {
        exchange.wake.cancel();
    }

}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
    Impl(asio::io_context& context, HttpServerOptions options, HttpServerHandlers handlers)
        : context(context)
        , options(std::move(options))
        , handlers(std::move(handlers))
        , acceptor(context)
        , tls(asio::ssl::context::tls_server)
    {
    }

    asio::io_context& context;
    HttpServerOptions options;
    HttpServerHandlers handlers;
    tcp::acceptor acceptor;
    asio::ssl::context tls;
    std::unordered_map<ExchangeId, ExchangePtr> exchanges;
    ExchangeId lastExchange = 0;
    size_t connections = 0;
    bool closing = false;

    void bind();
    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> serveConnection(tcp::socket);
    template <class Stream>
    asio::awaitable<void> serveStream(Stream&, std::string peer);
    template <class Stream>
    asio::awaitable<bool> readRequest(Stream&, beast::flat_buffer&, http::request_parser<http::string_body>&);
    template <class Stream>
    asio::awaitable<bool> serveRequest(Stream&, HttpRequest, bool keepAlive, bool head, const std::string& peer);
    template <class Stream>
    asio::awaitable<bool> writeAnswer(Stream&, Exchange&, bool keepAlive, bool head);
    template <class Stream>
    asio::awaitable<void> watchCaller(Stream&, ExchangePtr);
};

static tcp::endpoint endpointOf(const Endpoint& endpoint)
{
    return { asio::ip::make_address(endpoint.ip), endpoint.port };
}

void HttpServer::Impl::bind()
{
    const auto endpoint = endpointOf(options.listen);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(1024);
    if (options.tls.certificateFile.empty())
        return;
    tls.use_certificate_chain_file(options.tls.certificateFile);
    tls.use_private_key_file(options.tls.keyFile, asio::ssl::context::pem);
}

asio::awaitable<void> HttpServer::Impl::acceptLoop()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        beast::error_code ec;
        tcp::socket socket(context);
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec || connections >= options.limits.connections) {
            // Out of descriptors or over the limit: wait instead of spinning on the same error.
            asio::steady_timer pause(context, std::chrono::milliseconds(ec ? 100 : 1));
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        asio::co_spawn(context, serveConnection(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::Impl::serveConnection(tcp::socket socket)
{
    const auto self = shared_from_this();
    beast::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    const auto remote = socket.remote_endpoint(ec);
    const std::string peer = ec ? "unknown" : remote.address().to_string() + ":" + std::to_string(remote.port());
    ++connections;
    try {
        if (options.tls.certificateFile.empty()) {
            PlainStream stream(std::move(socket));
            co_await serveStream(stream, peer);
        } else {
            TlsStream stream(std::move(socket), tls);
            beast::get_lowest_layer(stream).expires_after(std::chrono::milliseconds(options.limits.headerTimeout.value));
            co_await stream.async_handshake(asio::ssl::stream_base::server, asio::use_awaitable);
            co_await serveStream(stream, peer);
        }
    } catch (const std::exception& error) {
        handlers.log({ LogLevel::Debug, "connection_closed", Step::Accept, peer, error.what(), {} });
    }
    --connections;
}

static HttpRequest toPlain(http::request<http::string_body>&& message)
{
    HttpRequest out;
    out.method = std::string(message.method_string());
    out.target = std::string(message.target());
    for (const auto& field : message)
        out.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    out.body = std::move(message.body());
    return out;
}

static Answer refusalOf(RefusalCode code, std::string message)
{
    const Refusal refusal { code, RunWord::NotRun, std::move(message), {}, {} };
    return { 0, AnswerPart::Whole, statusOf(code), { { "Content-Type", "application/json" }, { std::string(headers::run), std::string(nameOf(RunWord::NotRun)) } }, refusalBody(refusal) };
}

static http::response<http::string_body> responseOf(Answer& part, bool keepAlive)
{
    http::response<http::string_body> response(http::status(part.status), 11);
    for (const auto& [name, value] : part.headers)
        response.set(name, value);
    response.keep_alive(keepAlive);
    response.body() = std::move(part.body);
    response.prepare_payload();
    return response;
}

// Refuses a request that could not be read. The connection is closed afterwards, because its position is unknown.
template <class Stream>
static asio::awaitable<void> refuseUnreadable(Stream& stream, const beast::error_code& ec)
{
    if (ec == http::error::end_of_stream || ec == beast::error::timeout || ec.category() == asio::error::get_system_category())
        co_return;
    const bool tooLarge = ec == http::error::body_limit || ec == http::error::header_limit || ec == http::error::buffer_overflow;
    Answer refusal = tooLarge ? refusalOf(RefusalCode::TooLarge, "the header or the body is over the limit")
                              : refusalOf(RefusalCode::MalformedRequest, "not a valid HTTP/1.1 request: " + ec.message());
    auto response = responseOf(refusal, false);
    beast::error_code writeError;
    beast::get_lowest_layer(stream).expires_after(writeTimeout);
    co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, writeError));
    beast::get_lowest_layer(stream).socket().shutdown(tcp::socket::shutdown_send, writeError);
    // Reads on for a moment: closing with unread bytes would reset the connection before the caller reads the refusal.
    std::array<char, 4096> rest {};
    beast::get_lowest_layer(stream).expires_after(std::chrono::milliseconds(200));
    while (!writeError)
        co_await beast::get_lowest_layer(stream).async_read_some(asio::buffer(rest), asio::redirect_error(asio::use_awaitable, writeError));
}

template <class Stream>
asio::awaitable<bool> HttpServer::Impl::readRequest(Stream& stream, beast::flat_buffer& buffer, http::request_parser<http::string_body>& parser)
{
    const auto& limits = options.limits;
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    beast::error_code ec;
    auto& lowest = beast::get_lowest_layer(stream);
    if (!buffer.size()) {
        lowest.expires_after(std::chrono::milliseconds(limits.idleTimeout.value));
        const size_t n = co_await stream.async_read_some(buffer.prepare(4096), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return false;
        buffer.commit(n);
    }
    lowest.expires_after(std::chrono::milliseconds(limits.headerTimeout.value));
    co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        co_await http::async_write(stream, proceed, asio::redirect_error(asio::use_awaitable, ec));
    }
    lowest.expires_after(std::chrono::milliseconds(limits.bodyTimeout.value));
    if (!ec && !parser.is_done())
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        co_await refuseUnreadable(stream, ec);
    co_return !ec;
}

template <class Stream>
asio::awaitable<void> HttpServer::Impl::serveStream(Stream& stream, std::string peer)
{
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        if (!co_await readRequest(stream, buffer, parser))
            co_return;
        auto message = parser.release();
        const bool keepAlive = message.keep_alive() && !closing;
        const bool head = message.method() == http::verb::head;
        if (!co_await serveRequest(stream, toPlain(std::move(message)), keepAlive, head, peer) || !keepAlive)
            break;
    }
    beast::error_code ec;
    beast::get_lowest_layer(stream).socket().shutdown(tcp::socket::shutdown_send, ec);
}

// Notices that a caller goes away while its answer is being made. Bytes of a next request end the watch.
template <class Stream>
asio::awaitable<void> HttpServer::Impl::watchCaller(Stream& stream, ExchangePtr exchange)
{
    beast::error_code ec;
    auto& socket = beast::get_lowest_layer(stream).socket();
    co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
    if (ec || exchange->ended)
        co_return;
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
        co_return;
    exchange->callerGone = true;
    wakeUp(*exchange);
}

template <class Stream>
asio::awaitable<bool> HttpServer::Impl::serveRequest(Stream& stream, HttpRequest request, bool keepAlive, bool head, const std::string& peer)
{
    const ExchangePtr exchange(new Exchange(context));
    exchange->id = ++lastExchange;
    exchanges.emplace(exchange->id, exchange);
    beast::get_lowest_layer(stream).expires_never();
    // Keeps the stream alive until the watch has ended: it refers to the stream by reference.
    bool watching = true;
    asio::co_spawn(context, watchCaller(stream, exchange), [&watching, exchange](const std::exception_ptr&) {
        watching = false;
        wakeUp(*exchange);
    });
    handlers.arrived({ exchange->id, std::move(request), peer });
    const bool complete = co_await writeAnswer(stream, *exchange, keepAlive, head);
    exchange->ended = true;
    exchanges.erase(exchange->id);
    if (!complete)
        handlers.gone(exchange->id);
    beast::error_code ec;
    while (watching) {
        beast::get_lowest_layer(stream).socket().cancel(ec);
        exchange->wake.expires_after(std::chrono::seconds(1));
        co_await exchange->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return complete;
}

template <class Stream>
static asio::awaitable<bool> writePart(Stream& stream, Answer& part, bool keepAlive, bool head)
{
    beast::error_code ec;
    beast::get_lowest_layer(stream).expires_after(writeTimeout);
    if (part.part == AnswerPart::Whole) {
        auto response = responseOf(part, keepAlive);
        if (head) {
            http::response_serializer<http::string_body> serializer(response);
            co_await http::async_write_header(stream, serializer, asio::redirect_error(asio::use_awaitable, ec));
        } else
            co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, ec));
    } else if (part.part == AnswerPart::Head) {
        http::response<http::empty_body> response(http::status(part.status), 11);
        for (const auto& [name, value] : part.headers)
            response.set(name, value);
        response.keep_alive(keepAlive);
        response.chunked(true);
        http::response_serializer<http::empty_body> serializer(response);
        co_await http::async_write_header(stream, serializer, asio::redirect_error(asio::use_awaitable, ec));
    } else if (part.part == AnswerPart::Body && !part.body.empty())
        co_await asio::async_write(stream, http::make_chunk(asio::buffer(part.body)), asio::redirect_error(asio::use_awaitable, ec));
    else if (part.part == AnswerPart::End)
        co_await asio::async_write(stream, http::make_chunk_last(), asio::redirect_error(asio::use_awaitable, ec));
    beast::get_lowest_layer(stream).expires_never();
    co_return !ec;
}

template <class Stream>
asio::awaitable<bool> HttpServer::Impl::writeAnswer(Stream& stream, Exchange& exchange, bool keepAlive, bool head)
{
    while (!exchange.callerGone) {
        if (exchange.parts.empty()) {
            beast::error_code ec;
            exchange.wake.expires_at(std::chrono::steady_clock::time_point::max());
            co_await exchange.wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        Answer part = std::move(exchange.parts.front());
        exchange.parts.pop_front();
        exchange.unsentBytes -= part.body.size();
        const bool last = part.part == AnswerPart::Whole || part.part == AnswerPart::End;
        if (part.part == AnswerPart::Abort || !co_await writePart(stream, part, keepAlive, head))
            co_return false;
        if (last)
            co_return true;
    }
    co_return false;
}

HttpServer::HttpServer(asio::io_context& context, HttpServerOptions options, HttpServerHandlers handlers)
    : m_impl(std::make_shared<Impl>(context, std::move(options), std::move(handlers)))
{
    m_impl->bind();
}

HttpServer::~HttpServer()
{
    beast::error_code ec;
    m_impl->acceptor.close(ec);
}

void HttpServer::start()
{
    asio::co_spawn(m_impl->context, m_impl->acceptLoop(), asio::detached);
}

void HttpServer::answer(Answer part)
{
    const auto it = m_impl->exchanges.find(part.exchange);
    if (it == m_impl->exchanges.end())
        return;
    Exchange& exchange = *it->second;
    exchange.unsentBytes += part.body.size();
    if (exchange.unsentBytes > maxUnsentBytes + m_impl->options.limits.bodyBytes)
        exchange.callerGone = true;
    exchange.parts.push_back(std::move(part));
    wakeUp(exchange);
}

void HttpServer::closeWhenIdle()
{
    m_impl->closing = true;
}

size_t HttpServer::connections() const
{
    return m_impl->connections;
}

}
