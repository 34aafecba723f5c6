#pragma once

#include "entry/ByteStream.h"
#include "node/NodeIo.h"

#include <array>
#include <chrono>
#include <functional>
#include <memory>

namespace siskinshunt {

/// Limits and callbacks shared by the connections of one server.
struct HttpConnectionContext {
    InputLimits limits;
    bool closing = false; ///< Connections close after the current response.
    std::function<ExchangeId(class HttpConnection&)> openExchange; ///< Registers a new exchange of the connection.
    std::function<void(ExchangeId)> closeExchange; ///< Unregisters an exchange.
    std::function<void(RequestArrived)> arrived;
    std::function<void(ExchangeId)> disconnected;
    std::function<void(LogRecord)> log;
};

/// Server side of one client connection: reads requests one at a time and writes their responses, which may come in parts.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    using Clock = std::chrono::steady_clock;

    HttpConnection(std::unique_ptr<ByteStream>, std::string peer, HttpConnectionContext&);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    void start();
    /// Writes a part of the response of the current exchange.
    void answer(Answer);
    /// Closes the connection if the client has exceeded a timeout.
    void checkTimeout(Clock::time_point now);
    /// Closes immediately and reports the current exchange as disconnected.
    void close();
    bool isClosed() const { return m_phase == Phase::Closed; }
    bool isIdle() const { return m_phase == Phase::Idle && m_in.empty(); }

private:
    enum class Phase : uint8_t {
        Idle, ///< Between requests.
        Header,
        Body,
        Answering,
        Flushing, ///< Writes the last response; the connection closes afterwards.
        Lingering, ///< Discards input for `lingerTime`: closing with unread bytes would reset the connection before the client has read the response.
        Closed,
    };
    struct Parser;

    void read();
    void readDone(const boost::system::error_code&, size_t);
    void parse();
    bool startParser();
    bool feedParser();
    void deliverRequest();
    void rejectRequest(uint16_t status, const std::string& message);
    void appendHead(const Answer&, bool hasBody);
    void finishExchange();
    void flush();
    void setPhase(Phase);
    void setResetOnClose(bool);

    std::unique_ptr<ByteStream> m_stream;
    std::string m_peer;
    HttpConnectionContext& m_context;
    std::string m_in; ///< Received bytes that are not parsed yet.
    std::array<char, 8192> m_readBuffer {};
    std::string m_out; ///< Output that is buffered while a write is in progress.
    std::string m_writeBuffer; ///< Output of the write in progress.
    std::unique_ptr<Parser> m_parser;
    Phase m_phase = Phase::Idle;
    Clock::time_point m_phaseStart;
    Clock::time_point m_writeStart;
    ExchangeId m_exchange = 0;
    bool m_reading = false;
    bool m_writeActive = false;
    bool m_parsing = false;
    bool m_keepAlive = true; ///< Whether the connection stays open after the current response.
    bool m_isHttp10 = false; ///< HTTP/1.0 has no chunked transfer coding.
    bool m_isHeadRequest = false;
    bool m_chunked = false; ///< Whether the current response is chunked.
    bool m_resetsOnClose = false; ///< Whether a close resets the connection.
};

}
