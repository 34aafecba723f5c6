#pragma once

#include "entry/ByteStream.h"
#include "node/NodeIo.h"

#include <array>
#include <chrono>
#include <functional>
#include <memory>

namespace siskinshunt {

/// What the connections of one server share.
struct HttpConnectionContext {
    InputLimits limits;
    bool closing = false; ///< Answers end their connection.
    std::function<ExchangeId(class HttpConnection&)> open; ///< Registers a new exchange of the connection.
    std::function<void(ExchangeId)> close; ///< Forgets an exchange.
    std::function<void(RequestArrived)> arrived;
    std::function<void(ExchangeId)> disconnected;
    std::function<void(LogRecord)> log;
};

/// One caller's connection: reads requests one after the other and writes the parts of their answers.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    using Clock = std::chrono::steady_clock;

    HttpConnection(std::unique_ptr<ByteStream>, std::string peer, HttpConnectionContext&);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    void start();
    /// Writes a part of the answer to the current exchange.
    void answer(Answer);
    /// Closes the connection when the caller has taken longer than the limits allow.
    void checkTimeout(Clock::time_point now);
    /// Closes at once. The current exchange is reported as gone.
    void close();
    bool isClosed() const { return m_phase == Phase::Closed; }
    bool isIdle() const { return m_phase == Phase::Idle && m_in.empty(); }

private:
    enum class Phase : uint8_t {
        Idle, ///< Between requests.
        Header,
        Body,
        Answering,
        Flushing, ///< The last answer is being written; the connection closes afterwards.
        Lingering, ///< Reads on for a moment: closing with unread bytes would reset the connection before the caller reads the answer.
        Closed,
    };
    struct Parser;

    void read();
    void readDone(const boost::system::error_code&, size_t);
    void parse();
    bool startParser();
    bool feedParser();
    void deliver();
    void refuse(uint16_t status, const std::string& message);
    void appendHead(const Answer&, bool hasBody);
    void finishExchange();
    void flush();
    void setPhase(Phase);

    std::unique_ptr<ByteStream> m_stream;
    std::string m_peer;
    HttpConnectionContext& m_context;
    std::string m_in; ///< Received and not yet parsed.
    std::array<char, 8192> m_buffer {};
    std::string m_out; ///< Gathers while a write is under way.
    std::string m_writing;
    std::unique_ptr<Parser> m_parser;
    Phase m_phase = Phase::Idle;
    Clock::time_point m_phaseSince;
    Clock::time_point m_writeSince;
    ExchangeId m_exchange = 0;
    bool m_reading = false;
    bool m_writeActive = false;
    bool m_parsing = false;
    bool m_keepAlive = true; ///< As the caller wants it.
    bool m_oldVersion = false; ///< HTTP/1.0: no chunks.
    bool m_headOnly = false; ///< HEAD request.
    bool m_chunked = false; ///< The answer under way.
};

}
