#pragma once

#include "node/NodeIo.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace siskinshunt {

/// One connection to an upstream: serves one dispatch at a time and reads all the while, so that an idle connection that
/// the upstream closes, or on which it sends something unasked, is noticed at once.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    using Clock = std::chrono::steady_clock;

    struct Handlers {
        std::function<void(UpstreamEvent)> report;
        /// The dispatch has ended; `reusable` tells whether the connection can take another one.
        std::function<void(UpstreamConnection&, bool reusable)> finished;
        /// An idle connection has closed or received bytes that belong to no request.
        std::function<void(UpstreamConnection&)> lost;
    };

    UpstreamConnection(boost::asio::io_context&, std::string address, uint64_t maxResponseBytes, Handlers);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    /// Connects and then serves the dispatch.
    void connect(const UpstreamDispatch&);
    /// Serves a dispatch on the open connection.
    void serve(const UpstreamDispatch&);
    /// Fails the dispatch that has gone past a timeout.
    void checkTimeout(Clock::time_point now);
    /// Closes after the dispatch under way.
    void forbidReuse() { m_reuseForbidden = true; }
    /// Closes without any further report.
    void close();

    const std::string& address() const { return m_address; }
    DispatchId dispatch() const { return m_dispatch; }
    Clock::time_point deadline() const { return m_deadline; }
    Clock::time_point idleSince() const { return m_idleSince; }
    /// How long the upstream keeps it open while idle, less a margin for what is on its way.
    std::chrono::milliseconds idleLimit() const { return m_idleLimit; }

private:
    enum class Phase : uint8_t {
        Idle,
        Connecting,
        Head, ///< Sending, or waiting for the head of the answer.
        Body,
        Closed,
    };
    struct Parser;

    void read();
    void readDone(const boost::system::error_code&, size_t);
    void write();
    void consume();
    bool consumeHead();
    bool consumeBody();
    void takeHead();
    void skipAnswer();
    void finish();
    void fail(UpstreamFailure, const std::string& detail);
    void noteKeepAlive(std::string_view value);
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
    bool m_headOnly = false;
    bool m_reuseForbidden = false;
    bool m_writing = false;
    bool m_reading = false;
    bool m_skipping = false; ///< The answer that is being read belongs to another request.
    std::string m_out;
    std::string m_in;
    std::vector<char> m_buffer;
    std::unique_ptr<Parser> m_parser;
    Clock::time_point m_deadline;
    Clock::time_point m_idleSince;
    std::chrono::milliseconds m_idleLimit;
};

}
