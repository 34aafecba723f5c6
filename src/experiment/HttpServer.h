#pragma once

#include "api/HttpMessage.h"
#include "base/Error.h"
#include "experiment/Loop.h"

#include <functional>
#include <memory>

namespace siskinshunt {

/// Response to a request. Calls after the end of the exchange or after the peer has disconnected have no effect.
class HttpReply {
public:
    virtual ~HttpReply() = default;
    virtual void answer(int status, const HttpHeaders&, std::string_view body) = 0;
    /// Starts a chunked response.
    virtual void startStream(int status, const HttpHeaders&) = 0;
    virtual void write(std::string_view text) = 0;
    virtual void finish() = 0;
    /// Closes the connection without sending anything further.
    virtual void drop() = 0;
    /// Sends the bytes as they are, then closes or resets the connection.
    virtual void breakOff(std::string_view bytes, bool resets) = 0;
    /// Sets a callback that is invoked once if the peer disconnects before the end of the response.
    virtual void onDisconnect(std::function<void()>) = 0;
};

using HttpHandler = std::function<void(const HttpRequest&, const std::shared_ptr<HttpReply>&)>;

/// HTTP/1.1 server on one address. The destructor closes the port and all connections.
class HttpServer {
public:
    /// Fails with Io if the address cannot be bound, and with Invalid if it is not "IP:port".
    static Result<std::unique_ptr<HttpServer>> listen(Loop&, const std::string& address, HttpHandler);
    ~HttpServer();

    /// Stops writing to all open connections, which are still read. New connections are not affected.
    void freezeOpenConnections();
    size_t connections() const;

    struct State;

private:
    explicit HttpServer(std::shared_ptr<State>);
    std::shared_ptr<State> m_state;
};

}
