#include "entry/UpstreamConnection.h"

#include "api/HttpHeadCheck.h"
#include "base/StreamEnd.h"
#include "entry/HttpText.h"
#include "entry/ToChrono.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace siskinshunt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

static constexpr size_t readBytes = 16 << 10;
static constexpr uint32_t maxHeaderBytes = 64 << 10;
// Idle limit for an upstream that sends no Keep-Alive timeout. Its real one may be below a second, since the header holds
// whole seconds only.
static constexpr std::chrono::milliseconds defaultIdleLimit { 60000 };
// Covers the time that a request takes to reach an upstream that is about to close the idle connection.
static constexpr std::chrono::milliseconds idleMargin { 500 };
// TCP closes the connection when sent bytes stay unacknowledged for this long, as after a network failure.
static constexpr unsigned unackedTimeoutMs = 2000;

struct UpstreamConnection::Parser : http::response_parser<http::buffer_body> { };

UpstreamConnection::UpstreamConnection(asio::io_context& context, std::string address, uint64_t maxResponseBytes, Handlers handlers)
    : m_socket(context)
    , m_address(std::move(address))
    , m_maxAnswerBytes(maxResponseBytes)
    , m_handlers(std::move(handlers))
    , m_buffer(readBytes)
    , m_idleLimit(defaultIdleLimit)
{
}

UpstreamConnection::~UpstreamConnection() = default;

void UpstreamConnection::renewDeadline(TimeMs timeout)
{
    m_deadline = Clock::now() + toChrono(timeout);
}

static std::string serializeRequest(const HttpRequest& request, const std::string& address)
{
    std::string out;
    out.reserve(512 + request.body.size());
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    if (findHeader(request.headers, "Host").empty())
        appendField(out, "Host", address);
    for (const auto& [name, value] : request.headers) {
        if (!isHopByHopHeader(name))
            appendField(out, name, value);
    }
    const bool hasContentLength = !request.body.empty() || (request.method != "GET" && request.method != "HEAD" && request.method != "DELETE");
    if (hasContentLength)
        appendField(out, "Content-Length", std::to_string(request.body.size()));
    out += "\r\n";
    out += request.body;
    return out;
}

void UpstreamConnection::connect(const UpstreamDispatch& dispatch)
{
    m_phase = Phase::Connecting;
    m_dispatch = dispatch.dispatch;
    renewDeadline(dispatch.connectTimeout);
    const auto endpoint = parseEndpoint(m_address);
    error_code addressError;
    const auto ip = asio::ip::make_address(endpoint ? endpoint->ip : std::string {}, addressError);
    if (addressError)
        return fail(UpstreamFailure::ConnectFailed, "not an IP:PORT address: " + m_address);
    m_socket.async_connect({ ip, endpoint->port }, [self = shared_from_this(), dispatch](const error_code& ec) {
        if (self->m_phase != Phase::Connecting)
            return;
        if (ec)
            return self->fail(UpstreamFailure::ConnectFailed, ec.message());
        error_code ignored;
        self->m_socket.set_option(tcp::no_delay(true), ignored);
        // Without this option only the response timeouts would detect a broken network path.
        ::setsockopt(self->m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unackedTimeoutMs, sizeof(unackedTimeoutMs));
        self->serve(dispatch);
    });
}

void UpstreamConnection::serve(const UpstreamDispatch& dispatch)
{
    m_phase = Phase::Head;
    m_dispatch = dispatch.dispatch;
    m_firstByteTimeout = dispatch.firstByteTimeout;
    m_progressTimeout = dispatch.progressTimeout;
    m_idHeader = dispatch.idHeader;
    m_idValue = dispatch.idValue;
    m_isHeadRequest = dispatch.request.method == "HEAD";
    m_skipping = false;
    m_out = serializeRequest(dispatch.request, m_address);
    m_handlers.report({ .dispatch = m_dispatch, .kind = UpstreamEventKind::Sending });
    if (m_phase != Phase::Head)
        return;
    renewDeadline(m_firstByteTimeout);
    write();
    read();
}

void UpstreamConnection::write()
{
    m_writing = true;
    asio::async_write(m_socket, asio::buffer(m_out), [self = shared_from_this()](const error_code& ec, size_t) {
        self->m_writing = false;
        self->m_writeError = ec;
        if (self->m_endReached && self->m_phase == Phase::Body)
            return self->handleEndOfStream();
        if (ec && self->m_phase == Phase::Head && !self->m_reading)
            self->fail(UpstreamFailure::Closed, ec.message());
    });
}

void UpstreamConnection::read()
{
    if (m_reading || m_phase == Phase::Closed)
        return;
    m_reading = true;
    m_socket.async_read_some(asio::buffer(m_buffer), [self = shared_from_this()](const error_code& ec, size_t n) { self->readDone(ec, n); });
}

void UpstreamConnection::readDone(const error_code& ec, size_t n)
{
    m_reading = false;
    if (m_phase == Phase::Closed)
        return;
    if (m_phase == Phase::Idle) {
        close();
        return m_handlers.lost(*this);
    }
    if (!ec) {
        m_in.append(m_buffer.data(), n);
        if (!m_skipping)
            renewDeadline(m_phase == Phase::Body ? m_progressTimeout : m_firstByteTimeout);
        parseReceived();
        return read();
    }
    if (ec == asio::error::eof && m_phase == Phase::Body && m_parser->need_eof())
        return handleEndOfStream();
    fail(UpstreamFailure::Closed, m_writeError ? m_writeError.message() : ec.message());
}

// The end of the stream completes a response without a length only if the upstream has ended it in order.
void UpstreamConnection::handleEndOfStream()
{
    m_endReached = true;
    switch (findStreamEnd(m_socket.native_handle(), { .active = m_writing, .error = m_writeError.value() })) {
    case StreamEnd::Undecided:
        return;
    case StreamEnd::Aborted:
        return fail(UpstreamFailure::Closed, "response without a length: " + (m_writeError ? m_writeError.message() : "no orderly end"));
    case StreamEnd::Orderly:
        break;
    }
    error_code ec;
    m_parser->put_eof(ec);
    if (ec || !m_parser->is_done())
        return fail(UpstreamFailure::Closed, "response without a length: " + ec.message());
    m_skipping ? fail(UpstreamFailure::Closed, "connection closed after the response to another request") : finish();
}

// Parses the received bytes until more are needed or the response is complete.
void UpstreamConnection::parseReceived()
{
    while (m_phase == Phase::Head || m_phase == Phase::Body) {
        const bool progress = m_phase == Phase::Head ? parseHead() : parseBody();
        if (!progress)
            return;
    }
}

bool UpstreamConnection::parseHead()
{
    if (!m_parser) {
        m_parser = std::make_unique<Parser>();
        m_parser->header_limit(maxHeaderBytes);
        m_parser->body_limit(m_maxAnswerBytes);
        m_parser->skip(m_isHeadRequest);
    }
    error_code ec;
    const size_t used = m_in.empty() ? 0 : m_parser->put(asio::buffer(m_in), ec);
    m_in.erase(0, used);
    if (ec && ec != http::error::need_more) {
        fail(UpstreamFailure::Malformed, ec.message());
        return false;
    }
    if (!m_parser->is_header_done())
        return false;
    const unsigned status = m_parser->get().result_int();
    HttpHeaders headers;
    for (const auto& field : m_parser->get())
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    if (const auto problem = findResponseProblem(status, headers)) {
        fail(UpstreamFailure::Malformed, *problem);
        return false;
    }
    if (isInterimStatus(status)) {
        m_parser.reset();
        return true;
    }
    handleHead(std::move(headers));
    return m_phase == Phase::Body;
}

void UpstreamConnection::handleHead(HttpHeaders headers)
{
    const auto& message = m_parser->get();
    m_phase = Phase::Body;
    applyKeepAlive(message["Keep-Alive"]);
    if (!m_idHeader.empty()) {
        const auto id = message.find(m_idHeader);
        m_skipping = id != message.end() && id->value() != m_idValue;
    }
    if (m_skipping)
        return;
    UpstreamEvent head { .dispatch = m_dispatch, .kind = UpstreamEventKind::Head, .status = static_cast<uint16_t>(message.result_int()), .headers = std::move(headers) };
    if (m_parser->content_length())
        head.contentLength = *m_parser->content_length();
    renewDeadline(m_progressTimeout);
    m_handlers.report(std::move(head));
}

bool UpstreamConnection::parseBody()
{
    if (m_parser->is_done()) {
        m_skipping ? finishSkippedResponse() : finish();
        return m_phase != Phase::Idle && m_phase != Phase::Closed;
    }
    if (m_in.empty())
        return false;
    std::string bodyBytes(m_in.size(), '\0');
    size_t used = 0;
    size_t bodySize = 0;
    error_code ec;
    while (used < m_in.size() && !m_parser->is_done()) {
        auto& body = m_parser->get().body();
        body.data = bodyBytes.data() + bodySize;
        body.size = bodyBytes.size() - bodySize;
        const size_t before = body.size;
        used += m_parser->put(asio::buffer(m_in.data() + used, m_in.size() - used), ec);
        bodySize += before - body.size;
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec)
            break;
    }
    m_in.erase(0, used);
    bodyBytes.resize(bodySize);
    if (bodySize && !m_skipping)
        m_handlers.report({ .dispatch = m_dispatch, .kind = UpstreamEventKind::Body, .bytes = std::move(bodyBytes) });
    if (m_phase != Phase::Body)
        return false;
    if (ec && ec != http::error::need_more) {
        fail(UpstreamFailure::Malformed, ec.message());
        return false;
    }
    return m_parser->is_done();
}

void UpstreamConnection::finishSkippedResponse()
{
    m_parser.reset();
    m_skipping = false;
    m_phase = Phase::Head;
}

void UpstreamConnection::applyKeepAlive(std::string_view value)
{
    const auto at = value.find("timeout=");
    if (at == std::string_view::npos)
        return;
    int seconds = 0;
    const auto [end, ec] = std::from_chars(value.data() + at + 8, value.data() + value.size(), seconds);
    if (ec != std::errc {})
        return;
    m_idleLimit = std::max(std::chrono::milliseconds(0), std::chrono::milliseconds(std::chrono::seconds(seconds)) - idleMargin);
}

void UpstreamConnection::finish()
{
    // Not reusable if bytes follow the response, since they belong to no request, or if the request was not sent whole,
    // since the upstream would read its rest as the next request.
    const bool reusable = m_parser->keep_alive() && !m_parser->need_eof() && m_in.empty() && !m_writing && !m_writeError && !m_reuseForbidden;
    const DispatchId dispatch = std::exchange(m_dispatch, 0);
    const auto self = shared_from_this();
    m_parser.reset();
    m_out.clear();
    m_phase = Phase::Idle;
    m_idleSince = Clock::now();
    if (!reusable)
        close();
    m_handlers.finished(*this, reusable);
    m_handlers.report({ .dispatch = dispatch, .kind = UpstreamEventKind::End });
}

void UpstreamConnection::fail(UpstreamFailure failure, const std::string& detail)
{
    if (m_phase == Phase::Closed)
        return;
    const DispatchId dispatch = std::exchange(m_dispatch, 0);
    const auto self = shared_from_this();
    close();
    m_handlers.finished(*this, false);
    m_handlers.report({ .dispatch = dispatch, .kind = UpstreamEventKind::Failed, .failure = failure, .detail = detail });
}

void UpstreamConnection::checkTimeout(Clock::time_point now)
{
    if (m_phase == Phase::Idle || m_phase == Phase::Closed || now < m_deadline)
        return;
    if (m_phase == Phase::Connecting)
        return fail(UpstreamFailure::ConnectTimeout, "no connection within the timeout");
    fail(UpstreamFailure::Silent, "no byte within the timeout");
}

void UpstreamConnection::close()
{
    m_phase = Phase::Closed;
    error_code ec;
    m_socket.close(ec);
}

bool UpstreamConnection::hasUnreadInput()
{
    pollfd socket { .fd = m_socket.native_handle(), .events = POLLIN, .revents = 0 };
    return ::poll(&socket, 1, 0) != 0;
}

}
