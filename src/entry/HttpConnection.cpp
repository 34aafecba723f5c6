#include "entry/HttpConnection.h"

#include "api/HttpHeadCheck.h"
#include "api/Refusal.h"
#include "entry/HttpText.h"
#include "entry/ToChrono.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace siskinshunt {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// Limit of pipelined input that is buffered while a request is being answered.
static constexpr size_t maxReadAhead = 64 << 10;
// Limit of buffered output, in addition to the body limit, for a client that does not read its response.
static constexpr size_t maxUnsentBytes = 8 << 20;
static constexpr auto writeTimeout = std::chrono::seconds(30);
static constexpr auto lingerTime = std::chrono::milliseconds(200);

struct HttpConnection::Parser : http::request_parser<http::string_body> { };

HttpConnection::HttpConnection(std::unique_ptr<ByteStream> stream, std::string peer, HttpConnectionContext& context)
    : m_stream(std::move(stream))
    , m_peer(std::move(peer))
    , m_context(context)
    , m_phaseStart(Clock::now())
{
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::setPhase(Phase phase)
{
    m_phase = phase;
    m_phaseStart = Clock::now();
}

void HttpConnection::start()
{
    setPhase(Phase::Header);
    m_stream->handshake([self = shared_from_this()](const error_code& ec) {
        if (ec)
            return self->close();
        self->setPhase(Phase::Idle);
        self->read();
    });
}

void HttpConnection::read()
{
    if (m_reading || m_phase == Phase::Closed || (m_phase == Phase::Answering && m_in.size() > maxReadAhead))
        return;
    m_reading = true;
    m_stream->read(asio::buffer(m_readBuffer), [self = shared_from_this()](const error_code& ec, size_t n) { self->readDone(ec, n); });
}

void HttpConnection::readDone(const error_code& ec, size_t n)
{
    m_reading = false;
    if (m_phase == Phase::Closed)
        return;
    if (ec) {
        // A client that has shut down only its sending side still gets the rest of the last response.
        if (m_phase == Phase::Flushing && ec == asio::error::eof)
            return;
        return close();
    }
    if (m_phase == Phase::Flushing || m_phase == Phase::Lingering)
        return read();
    m_in.append(m_readBuffer.data(), n);
    parse();
    read();
}

// Parses the received bytes until a request is complete or more bytes are needed.
void HttpConnection::parse()
{
    if (m_parsing)
        return;
    m_parsing = true;
    while (m_phase == Phase::Idle || m_phase == Phase::Header || m_phase == Phase::Body) {
        if (!m_parser && !startParser())
            break;
        if (!feedParser())
            break;
        deliverRequest();
    }
    m_parsing = false;
}

// Creates the parser once a complete head has been received and its framing is valid.
bool HttpConnection::startParser()
{
    while (m_in.starts_with("\r\n"))
        m_in.erase(0, 2);
    if (m_in.empty())
        return false;
    if (m_phase == Phase::Idle)
        setPhase(Phase::Header);
    const auto end = m_in.find("\r\n\r\n");
    const size_t headBytes = end == std::string::npos ? m_in.size() : end + 4;
    if (headBytes > m_context.limits.headerBytes) {
        rejectRequest(431, "the header is over the limit");
        return false;
    }
    if (end == std::string::npos) {
        // Other parsers take an empty line without CR for the end of the head.
        if (m_in.find("\n\n") != std::string::npos)
            rejectRequest(400, "a line that does not end with CR LF");
        return false;
    }
    if (const auto problem = findHeadProblem(std::string_view(m_in).substr(0, headBytes))) {
        rejectRequest(400, *problem);
        return false;
    }
    m_parser = std::make_unique<Parser>();
    m_parser->eager(true);
    m_parser->header_limit(m_context.limits.headerBytes);
    m_parser->body_limit(m_context.limits.bodyBytes);
    return true;
}

// Returns whether the request is complete.
bool HttpConnection::feedParser()
{
    const bool headWasDone = m_parser->is_header_done();
    error_code ec;
    size_t used = 0;
    while (!m_parser->is_done() && used < m_in.size()) {
        used += m_parser->put(asio::buffer(m_in.data() + used, m_in.size() - used), ec);
        if (ec)
            break;
    }
    m_in.erase(0, used);
    if (ec && ec != http::error::need_more) {
        const bool tooLarge = ec == http::error::body_limit;
        rejectRequest(tooLarge ? 413 : 400, tooLarge ? "the body is over the limit" : "not a valid HTTP/1.1 request: " + ec.message());
        return false;
    }
    if (m_parser->is_done())
        return true;
    if (!headWasDone && m_parser->is_header_done()) {
        setPhase(Phase::Body);
        if (boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
            m_out += "HTTP/1.1 100 Continue\r\n\r\n";
            flush();
        }
    }
    return false;
}

void HttpConnection::deliverRequest()
{
    auto message = m_parser->release();
    m_parser.reset();
    m_keepAlive = message.keep_alive();
    m_isHttp10 = message.version() < 11;
    m_isHeadRequest = message.method() == http::verb::head;
    RequestArrived arrived;
    arrived.request.method = std::string(message.method_string());
    arrived.request.target = std::string(message.target());
    for (const auto& field : message)
        arrived.request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    arrived.request.body = std::move(message.body());
    arrived.peer = m_peer;
    setPhase(Phase::Answering);
    m_exchange = m_context.openExchange(*this);
    arrived.exchange = m_exchange;
    m_context.arrived(std::move(arrived));
}

// Rejects a request that could not be read and closes the connection, since the start of the next request is unknown.
void HttpConnection::rejectRequest(uint16_t status, const std::string& message)
{
    m_parser.reset();
    m_in.clear();
    m_keepAlive = false;
    m_isHeadRequest = false;
    m_isHttp10 = false;
    const auto code = status == 400 ? RefusalCode::MalformedRequest : RefusalCode::TooLarge;
    Answer answer { .status = status, .headers = { { "Content-Type", "application/json" }, { std::string(headers::run), std::string(nameOf(RunStatus::NotRun)) } }, .body = refusalBody({ code, RunStatus::NotRun, message, {}, {} }) };
    m_context.log({ LogLevel::Warning, "request_unreadable", Step::Receive, m_peer, message, { { "status", std::to_string(status) } } });
    appendHead(answer, true);
    m_out += answer.body;
    setPhase(Phase::Flushing);
    flush();
}

void HttpConnection::appendHead(const Answer& answer, bool hasBody)
{
    const bool keepAlive = m_keepAlive && !m_context.closing;
    if (!keepAlive)
        m_keepAlive = false;
    appendStatusLine(m_out, answer.status);
    for (const auto& [name, value] : answer.headers) {
        if (!isHopByHopHeader(name))
            appendField(m_out, name, value);
    }
    m_chunked = false;
    if (isBodiless(answer.status)) {
        // No length header: the status implies that there is no body.
    } else if (answer.contentLength)
        appendField(m_out, "Content-Length", std::to_string(*answer.contentLength));
    else if (answer.part == AnswerPart::Whole)
        appendField(m_out, "Content-Length", std::to_string(answer.body.size()));
    else if (m_isHttp10) {
        // The end of the connection is that of the body. Until all of it is written, every other end has to be a reset, also that by the kernel
        // when the process is gone.
        m_keepAlive = false;
        if (hasBody && !m_isHeadRequest)
            setResetOnClose(true);
    } else if (hasBody || m_isHeadRequest) {
        m_chunked = true;
        appendField(m_out, "Transfer-Encoding", "chunked");
    }
    if (!m_keepAlive)
        appendField(m_out, "Connection", "close");
    else if (m_isHttp10)
        appendField(m_out, "Connection", "keep-alive");
    m_out += "\r\n";
}

void HttpConnection::answer(Answer part)
{
    if (m_phase != Phase::Answering)
        return;
    const auto appendBody = [&] {
        if (m_isHeadRequest)
            return;
        if (m_chunked)
            appendChunk(m_out, part.body);
        else
            m_out += part.body;
    };
    switch (part.part) {
    case AnswerPart::Whole:
        appendHead(part, true);
        if (!m_isHeadRequest && !isBodiless(part.status))
            m_out += part.body;
        finishExchange();
        break;
    case AnswerPart::Head:
        appendHead(part, true);
        appendBody();
        break;
    case AnswerPart::Body:
        appendBody();
        break;
    case AnswerPart::End:
        appendBody();
        if (m_chunked && !m_isHeadRequest)
            m_out += "0\r\n\r\n";
        finishExchange();
        break;
    case AnswerPart::Abort:
        // An orderly close would look like the end of a response without a length.
        setResetOnClose(true);
        m_context.closeExchange(std::exchange(m_exchange, 0));
        return close();
    }
    if (m_out.size() > maxUnsentBytes + m_context.limits.bodyBytes) {
        m_context.log({ LogLevel::Warning, "caller_too_slow", Step::Send, m_peer, "the caller does not read its response; the connection is closed", {} });
        return close();
    }
    flush();
}

void HttpConnection::finishExchange()
{
    m_context.closeExchange(std::exchange(m_exchange, 0));
    if (!m_keepAlive)
        return setPhase(Phase::Flushing);
    setPhase(Phase::Idle);
    if (m_in.empty())
        return;
    asio::post(m_stream->socket().get_executor(), [self = shared_from_this()] {
        self->parse();
        self->read();
    });
}

void HttpConnection::flush()
{
    if (m_writeActive || m_phase == Phase::Closed)
        return;
    if (m_out.empty()) {
        // The idle time of the connection starts when its response has been written.
        if (m_phase == Phase::Idle)
            setPhase(Phase::Idle);
        if (m_phase != Phase::Flushing)
            return;
        setResetOnClose(false);
        error_code ec;
        m_stream->socket().shutdown(tcp::socket::shutdown_send, ec);
        setPhase(Phase::Lingering);
        return read();
    }
    m_writeActive = true;
    m_writeStart = Clock::now();
    m_writeBuffer.swap(m_out);
    m_stream->write(asio::buffer(m_writeBuffer), [self = shared_from_this()](const error_code& ec, size_t) {
        self->m_writeActive = false;
        self->m_writeBuffer.clear();
        if (ec)
            return self->close();
        self->flush();
    });
}

// A reset discards what the socket buffer still holds. On a connection that has failed already the option has no effect, so its error is ignored.
void HttpConnection::setResetOnClose(bool enabled)
{
    if (std::exchange(m_resetsOnClose, enabled) == enabled)
        return;
    error_code ec;
    m_stream->socket().set_option(asio::socket_base::linger(enabled, 0), ec);
}

void HttpConnection::checkTimeout(Clock::time_point now)
{
    const auto& limits = m_context.limits;
    const auto age = now - m_phaseStart;
    if (m_writeActive && now - m_writeStart > writeTimeout)
        return close();
    switch (m_phase) {
    case Phase::Idle:
        if (!m_writeActive && age > toChrono(limits.idleTimeout))
            close();
        return;
    case Phase::Header:
        if (age > toChrono(limits.headerTimeout))
            close();
        return;
    case Phase::Body:
        if (age > toChrono(limits.bodyTimeout))
            close();
        return;
    case Phase::Lingering:
        if (age > lingerTime)
            close();
        return;
    case Phase::Answering:
    case Phase::Flushing:
    case Phase::Closed:
        return;
    }
}

void HttpConnection::close()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    error_code ec;
    m_stream->socket().close(ec);
    if (m_exchange) {
        const ExchangeId exchange = std::exchange(m_exchange, 0);
        m_context.closeExchange(exchange);
        m_context.disconnected(exchange);
    }
}

}
