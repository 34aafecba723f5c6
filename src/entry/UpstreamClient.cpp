#include "entry/UpstreamClient.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <unordered_map>

namespace siskinshunt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

static constexpr size_t readBytes = 16 << 10;
static constexpr uint32_t maxHeaderBytes = 64 << 10;

static std::chrono::milliseconds toChrono(TimeMs time)
{
    return std::chrono::milliseconds(time.value);
}

namespace {

    struct Connection {
        explicit Connection(asio::io_context& context)
            : stream(context)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer;
        Clock::time_point idleSince;
    };
    using ConnectionPtr = std::unique_ptr<Connection>;

    // A dispatch under way.
    struct Running : boost::intrusive_ref_counter<Running, boost::thread_unsafe_counter> {
        ConnectionPtr connection;
        bool cancelled = false;
    };
    using RunningPtr = boost::intrusive_ptr<Running>;

}

struct UpstreamClient::Impl : std::enable_shared_from_this<UpstreamClient::Impl> {
    Impl(asio::io_context& context, UpstreamClientOptions options, std::function<void(UpstreamEvent)> report)
        : context(context)
        , options(options)
        , report(std::move(report))
    {
    }

    asio::io_context& context;
    UpstreamClientOptions options;
    std::function<void(UpstreamEvent)> report;
    std::unordered_map<std::string, std::vector<ConnectionPtr>> idle;
    std::unordered_map<DispatchId, RunningPtr> running;
    uint64_t poolGeneration = 0; ///< Rises when a pool is replaced: a connection checked out before is not pooled again.

    asio::awaitable<void> run(UpstreamDispatch);
    asio::awaitable<bool> obtainConnection(const UpstreamDispatch&, RunningPtr);
    asio::awaitable<bool> takePooled(const UpstreamDispatch&, RunningPtr);
    asio::awaitable<bool> probe(RunningPtr, const std::string& address);
    asio::awaitable<bool> exchange(const UpstreamDispatch&, RunningPtr);
    asio::awaitable<bool> readBody(const UpstreamDispatch&, RunningPtr, http::response_parser<http::buffer_body>&);
    void emit(const RunningPtr&, UpstreamEvent);
    void emitFailure(const RunningPtr&, DispatchId, UpstreamFailure, const std::string& detail);
    void pool(const std::string& address, ConnectionPtr);
};

void UpstreamClient::Impl::emit(const RunningPtr& state, UpstreamEvent event)
{
    if (!state->cancelled)
        report(std::move(event));
}

void UpstreamClient::Impl::emitFailure(const RunningPtr& state, DispatchId dispatch, UpstreamFailure failure, const std::string& detail)
{
    emit(state, { .dispatch = dispatch, .kind = UpstreamEventKind::Failed, .failure = failure, .detail = detail });
}

void UpstreamClient::Impl::pool(const std::string& address, ConnectionPtr connection)
{
    auto& connections = idle[address];
    const auto now = Clock::now();
    std::erase_if(connections, [&](const auto& it) { return now - it->idleSince > toChrono(options.idleClose); });
    if (connections.size() >= options.maxIdlePerAddress)
        return;
    connection->idleSince = now;
    connections.push_back(std::move(connection));
}

static UpstreamFailure failureOf(const beast::error_code& ec)
{
    if (ec == beast::error::timeout)
        return UpstreamFailure::Silent;
    if (ec.category() == asio::error::get_system_category() || ec == http::error::end_of_stream || ec == http::error::partial_message || ec == asio::error::eof)
        return UpstreamFailure::Closed;
    return UpstreamFailure::Malformed;
}

static http::request<http::string_body> requestOf(const HttpRequest& plain, const std::string& host)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(plain.method);
    request.target(plain.target);
    for (const auto& [name, value] : plain.headers)
        request.set(name, value);
    request.set(http::field::host, host);
    request.keep_alive(true);
    request.body() = plain.body;
    request.prepare_payload();
    return request;
}

// Whether a pooled connection still answers. Guards against connections that went silent while they idled.
asio::awaitable<bool> UpstreamClient::Impl::probe(RunningPtr state, const std::string& address)
{
    auto& connection = *state->connection;
    http::request<http::empty_body> request(http::verb::get, "/health", 11);
    request.set(http::field::host, address);
    beast::error_code ec;
    connection.stream.expires_after(toChrono(options.probeTimeout));
    co_await http::async_write(connection.stream, request, asio::redirect_error(asio::use_awaitable, ec));
    http::response<http::string_body> response;
    if (!ec)
        co_await http::async_read(connection.stream, connection.buffer, response, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == beast::error::timeout && !state->cancelled)
        idle.erase(address);
    co_return !ec && response.keep_alive();
}

asio::awaitable<bool> UpstreamClient::Impl::takePooled(const UpstreamDispatch& dispatch, RunningPtr state)
{
    while (!dispatch.freshConnection && !state->cancelled) {
        const auto it = idle.find(dispatch.address);
        if (it == idle.end() || it->second.empty())
            co_return false;
        state->connection = std::move(it->second.back());
        it->second.pop_back();
        const bool stale = Clock::now() - state->connection->idleSince > toChrono(options.idleProbeAfter);
        if (!stale || co_await probe(state, dispatch.address))
            co_return true;
        state->connection.reset();
    }
    co_return false;
}

asio::awaitable<bool> UpstreamClient::Impl::obtainConnection(const UpstreamDispatch& dispatch, RunningPtr state)
{
    if (co_await takePooled(dispatch, state))
        co_return true;
    const auto endpoint = parseEndpoint(dispatch.address);
    if (!endpoint) {
        emitFailure(state, dispatch.dispatch, UpstreamFailure::ConnectFailed, "not an IP:PORT address: " + dispatch.address);
        co_return false;
    }
    state->connection = std::make_unique<Connection>(context);
    auto& stream = state->connection->stream;
    beast::error_code ec;
    stream.expires_after(toChrono(dispatch.connectTimeout));
    co_await stream.async_connect(tcp::endpoint(asio::ip::make_address(endpoint->ip), endpoint->port), asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
        const auto failure = ec == beast::error::timeout ? UpstreamFailure::ConnectTimeout : UpstreamFailure::ConnectFailed;
        emitFailure(state, dispatch.dispatch, failure, ec.message());
        co_return false;
    }
    stream.socket().set_option(tcp::no_delay(true), ec);
    co_return true;
}

asio::awaitable<bool> UpstreamClient::Impl::readBody(const UpstreamDispatch& dispatch, RunningPtr state, http::response_parser<http::buffer_body>& parser)
{
    auto& connection = *state->connection;
    std::vector<char> buf(readBytes);
    while (!parser.is_done()) {
        parser.get().body().data = buf.data();
        parser.get().body().size = buf.size();
        beast::error_code ec;
        connection.stream.expires_after(toChrono(dispatch.progressTimeout));
        co_await http::async_read_some(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == http::error::need_buffer)
            ec = {};
        const size_t n = buf.size() - parser.get().body().size;
        if (n)
            emit(state, { .dispatch = dispatch.dispatch, .kind = UpstreamEventKind::Body, .bytes = std::string(buf.data(), n) });
        if (ec) {
            emitFailure(state, dispatch.dispatch, failureOf(ec), ec.message());
            co_return false;
        }
    }
    co_return true;
}

// Sends the request and reports the answer; true if the connection can be used again.
asio::awaitable<bool> UpstreamClient::Impl::exchange(const UpstreamDispatch& dispatch, RunningPtr state)
{
    auto& connection = *state->connection;
    emit(state, { .dispatch = dispatch.dispatch, .kind = UpstreamEventKind::Sending });
    const auto request = requestOf(dispatch.request, dispatch.address);
    beast::error_code ec;
    connection.stream.expires_after(toChrono(dispatch.progressTimeout));
    co_await http::async_write(connection.stream, request, asio::redirect_error(asio::use_awaitable, ec));
    http::response_parser<http::buffer_body> parser;
    parser.header_limit(maxHeaderBytes);
    parser.body_limit(options.maxAnswerBytes);
    if (dispatch.request.method == "HEAD")
        parser.skip(true);
    if (!ec) {
        connection.stream.expires_after(toChrono(dispatch.firstByteTimeout));
        co_await http::async_read_header(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec) {
        emitFailure(state, dispatch.dispatch, failureOf(ec), ec.message());
        co_return false;
    }
    UpstreamEvent head { .dispatch = dispatch.dispatch, .kind = UpstreamEventKind::Head, .status = static_cast<uint16_t>(parser.get().result_int()) };
    for (const auto& field : parser.get())
        head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    emit(state, std::move(head));
    if (!co_await readBody(dispatch, state, parser))
        co_return false;
    const bool reusable = parser.get().keep_alive() && !parser.get().need_eof();
    emit(state, { .dispatch = dispatch.dispatch, .kind = UpstreamEventKind::End });
    co_return reusable;
}

asio::awaitable<void> UpstreamClient::Impl::run(UpstreamDispatch dispatch)
{
    const auto self = shared_from_this();
    const RunningPtr state(new Running);
    running.emplace(dispatch.dispatch, state);
    const uint64_t generation = poolGeneration;
    const bool connected = co_await obtainConnection(dispatch, state);
    const bool reusable = connected && !state->cancelled && co_await exchange(dispatch, state);
    running.erase(dispatch.dispatch);
    if (reusable && !state->cancelled && generation == poolGeneration) {
        state->connection->stream.expires_never();
        pool(dispatch.address, std::move(state->connection));
    }
}

UpstreamClient::UpstreamClient(asio::io_context& context, UpstreamClientOptions options, std::function<void(UpstreamEvent)> report)
    : m_impl(std::make_shared<Impl>(context, options, std::move(report)))
{
}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::dispatch(UpstreamDispatch dispatch)
{
    const auto impl = m_impl;
    const DispatchId id = dispatch.dispatch;
    asio::co_spawn(impl->context, impl->run(std::move(dispatch)), [impl, id](const std::exception_ptr& error) {
        if (!error)
            return;
        const auto it = impl->running.find(id);
        if (it == impl->running.end())
            return;
        const RunningPtr state = it->second;
        impl->running.erase(it);
        impl->emitFailure(state, id, UpstreamFailure::Malformed, "unexpected error in the client");
    });
}

void UpstreamClient::cancel(DispatchId id)
{
    const auto it = m_impl->running.find(id);
    if (it == m_impl->running.end())
        return;
    it->second->cancelled = true;
    if (it->second->connection)
        it->second->connection->stream.close();
}

void UpstreamClient::replacePool(const std::string& address)
{
    ++m_impl->poolGeneration;
    m_impl->idle.erase(address);
}

}
