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
    ListenerKind listener = ListenerKind::Main; ///< Copied to each request that arrives here.
    ExchangeId firstExchange = 0; ///< Servers of one process count exchanges from different numbers.
    InputLimits limits;
    TlsSettings tls;
};

/// What the server reports. Called on the event loop.
struct HttpServerHandlers {
    std::function<void(RequestArrived)> arrived;
    std::function<void(ExchangeId)> disconnected; ///< The caller closed before its answer was complete.
    std::function<void(LogRecord)> log;
};

/// HTTP/1.1 server for callers, upstreams and operators. Malformed requests and requests over the limits get their
/// refusal here and never reach the node.
class HttpServer {
public:
    /// Throws boost::system::system_error when the address cannot be bound or the TLS files cannot be read.
    HttpServer(boost::asio::io_context&, HttpServerOptions, HttpServerHandlers);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    void start();
    /// Hands a part of an answer to the exchange's connection; parts for closed exchanges are dropped.
    void answer(Answer);
    /// Answers the current requests and then closes each connection.
    void closeWhenIdle();
    /// Limits for requests that have not begun to arrive.
    void setLimits(const InputLimits&);
    size_t connections() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
