#pragma once

#include "node/NodeIo.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace siskinshunt {

struct PeerTransportOptions {
    Endpoint listen; ///< UDP and TCP.
    TimeMs pingInterval { 500 }; ///< Time between pings on a connection.
    TimeMs pingTimeout { 2000 }; ///< A connection without a reply for this long is replaced. Also limits a connection attempt.
    TimeMs reconnectDelay { 200 }; ///< Delay before the next attempt after a connection has failed.
    size_t maxQueuedBytes = 16 << 20; ///< Per peer. Further frames are dropped.
    size_t maxFrameBytes = 4 << 20;
};

/// Callbacks of the transport, called on the event loop. The bytes are sealed envelopes that are not verified yet.
struct PeerTransportHandlers {
    std::function<void(std::string bytes, const Endpoint& from)> datagram;
    std::function<void(std::string bytes)> frame;
    std::function<void(LogRecord)> log;
};

/// Sends datagrams over UDP and frames over TCP between nodes. Frames may be lost when a connection breaks; the protocols
/// on top retransmit where needed. A node sends frames on its outgoing connection to a peer only; on incoming connections
/// it only replies to pings.
class PeerTransport {
public:
    /// Throws boost::system::system_error when the address cannot be bound.
    PeerTransport(boost::asio::io_context&, PeerTransportOptions, PeerTransportHandlers);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    void start();
    void send(const Datagram&);
    void send(PeerFrame);
    uint64_t bytesSent() const;
    uint64_t bytesReceived() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
