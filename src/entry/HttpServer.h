#pragma once

#include "node/NodeIo.h"
#include "settings/Settings.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace siskinshunt {

struct HttpServerOptions {
    Endpoint listen;
    ListenerKind listener = ListenerKind::Main; ///< Copied to each request that this server receives.
    ExchangeId firstExchange = 0; ///< Exchange ids count up from here; the servers of one process use separate ranges.
    InputLimits limits;
    TlsSettings tls;
};

/// Callbacks of the server, called on the event loop.
struct HttpServerHandlers {
    std::function<void(RequestArrived)> arrived;
    std::function<void(ExchangeId)> disconnected; ///< The client closed the connection before its response was complete.
    std::function<void(LogRecord)> log;
};

/// HTTP/1.1 server for callers, upstreams and operators. Malformed requests and requests over the limits are rejected here
/// and never reach the node.
class HttpServer {
public:
    /// Throws boost::system::system_error when the address cannot be bound or the TLS files cannot be read.
    HttpServer(boost::asio::io_context&, HttpServerOptions, HttpServerHandlers);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    void start();
    /// Writes a part of a response to the exchange's connection. Parts for closed exchanges are dropped.
    void answer(Answer);
    /// Closes each connection after the response to its current request.
    void closeWhenIdle();
    /// Sets the limits. A request whose head has been received keeps the previous size limits.
    void setLimits(const InputLimits&);
    size_t connections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
