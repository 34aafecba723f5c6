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
    TimeMs pingInterval { 500 }; ///< Between pings on a connection.
    TimeMs pingTimeout { 2000 }; ///< A connection whose pings stay unanswered this long is replaced.
    TimeMs reconnectDelay { 200 }; ///< Pause before a new connection after a failed one.
    size_t maxQueuedBytes = 16 << 20; ///< Per peer; further frames are dropped.
    size_t maxFrameBytes = 4 << 20;
};

/// What the transport delivers, on the event loop. The bytes are still sealed.
struct PeerTransportHandlers {
    std::function<void(std::string bytes, const Endpoint& from)> datagram;
    std::function<void(std::string bytes)> frame;
    std::function<void(LogRecord)> log;
};

/// Datagrams over UDP and frames over TCP between nodes. Frames may be lost when a connection breaks; the protocols above
/// repeat what matters. Each node sends on its own outgoing connection and only answers pings on incoming ones.
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
