#pragma once

#include "node/NodeIo.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace siskinshunt {

/// Connection to an upstream that serves one dispatch at a time. It keeps reading while idle, so that a close by the
/// upstream or unsolicited bytes are detected immediately.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    using Clock = std::chrono::steady_clock;

    struct Handlers {
        std::function<void(UpstreamEvent)> report;
        /// The dispatch has ended; `reusable` says whether the connection can serve another one.
        std::function<void(UpstreamConnection&, bool reusable)> finished;
        /// The idle connection was closed by the upstream or received unsolicited bytes.
        std::function<void(UpstreamConnection&)> lost;
    };

    UpstreamConnection(boost::asio::io_context&, std::string address, uint64_t maxResponseBytes, Handlers);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    /// Opens the connection, then serves the dispatch.
    void connect(const UpstreamDispatch&);
    /// Serves a dispatch on the open connection.
    void serve(const UpstreamDispatch&);
    /// Fails the dispatch if it has exceeded its timeout.
    void checkTimeout(Clock::time_point now);
    /// Closes the connection after the current dispatch.
    void forbidReuse() { m_reuseForbidden = true; }
    /// Closes the connection without reporting anything.
    void close();
    /// Whether a close by the upstream or unsolicited bytes have arrived on the idle connection and were not read yet.
    bool hasUnreadInput();

    const std::string& address() const { return m_address; }
    DispatchId dispatch() const { return m_dispatch; }
    Clock::time_point deadline() const { return m_deadline; }
    Clock::time_point idleSince() const { return m_idleSince; }
    /// Time for which the upstream keeps an idle connection open, less a margin for a request in transit.
    std::chrono::milliseconds idleLimit() const { return m_idleLimit; }

private:
    enum class Phase : uint8_t {
        Idle,
        Connecting,
        Head, ///< Sending the request or waiting for the response head.
        Body,
        Closed,
    };
    struct Parser;

    void read();
    void readDone(const boost::system::error_code&, size_t);
    void write();
    void handleEndOfStream();
    void parseReceived();
    bool parseHead();
    bool parseBody();
    void handleHead(HttpHeaders);
    void finishSkippedResponse();
    void finish();
    void fail(UpstreamFailure, const std::string& detail);
    void applyKeepAlive(std::string_view value);
    void renewDeadline(TimeMs timeout);

    boost::asio::ip::tcp::socket m_socket;
    std::string m_address;
    uint64_t m_maxAnswerBytes;
    Handlers m_handlers;
    Phase m_phase = Phase::Idle;
    DispatchId m_dispatch = 0;
    TimeMs m_firstByteTimeout;
    TimeMs m_progressTimeout;
    std::string m_idHeader;
    std::string m_idValue;
    bool m_isHeadRequest = false;
    bool m_reuseForbidden = false;
    bool m_writing = false;
    boost::system::error_code m_writeError; ///< Of the last write.
    bool m_reading = false;
    bool m_endReached = false; ///< A read has returned the end of the stream.
    bool m_skipping = false; ///< The response being read belongs to another request.
    std::string m_out;
    std::string m_in;
    std::vector<char> m_buffer;
    std::unique_ptr<Parser> m_parser;
    Clock::time_point m_deadline;
    Clock::time_point m_idleSince;
    std::chrono::milliseconds m_idleLimit;
};

}
