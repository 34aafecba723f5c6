#pragma once

#include "api/HttpMessage.h"
#include "base/Error.h"
#include "experiment/Loop.h"

#include <functional>
#include <memory>

namespace siskinshunt {

/// The answer to one request. Calls after the end of the exchange, or after the peer has gone, have no effect.
class HttpReply {
public:
    virtual ~HttpReply() = default;
    virtual void answer(int status, const HttpHeaders&, std::string_view body) = 0;
    /// Starts an answer in chunks.
    virtual void startStream(int status, const HttpHeaders&) = 0;
    virtual void write(std::string_view text) = 0;
    virtual void finish() = 0;
    /// Closes the connection without a further byte.
    virtual void drop() = 0;
    /// Called once when the peer closes the connection before the end of the answer.
    virtual void onDisconnect(std::function<void()>) = 0;
};

using HttpHandler = std::function<void(const HttpRequest&, const std::shared_ptr<HttpReply>&)>;

/// HTTP/1.1 server on one address. Its destructor closes the port and cuts every connection.
class HttpServer {
public:
    /// Fails with Io when the address cannot be bound, with Invalid when it is not "IP:port".
    static Result<std::unique_ptr<HttpServer>> listen(Loop&, const std::string& address, HttpHandler);
    ~HttpServer();

    /// Open connections go on reading but are never written to again; new connections work.
    void freezeOpenConnections();
    size_t connections() const;

    struct State;

private:
    explicit HttpServer(std::shared_ptr<State>);
    std::shared_ptr<State> m_state;
};

}
