#pragma once

#include "api/HttpMessage.h"
#include "base/EnumNames.h"
#include "experiment/Loop.h"

#include <array>
#include <functional>
#include <memory>

namespace siskinshunt {

/// Outcome of an HTTP exchange.
enum class HttpEnd : uint8_t {
    Complete, ///< The whole response arrived.
    NotConnected, ///< The connection failed; the request was not sent.
    Cut, ///< The connection ended after it was established and before the end of the response, or the response was malformed.
    Timeout,
    Cancelled,
};

template <>
inline constexpr auto enumNames<HttpEnd> = std::to_array<EnumName<HttpEnd>>({
    { HttpEnd::Complete, "complete" },
    { HttpEnd::NotConnected, "not_connected" },
    { HttpEnd::Cut, "cut" },
    { HttpEnd::Timeout, "timeout" },
    { HttpEnd::Cancelled, "cancelled" },
});

struct HttpCall {
    std::string address; ///< "IP:port".
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;
    TimeMs timeout { 10000 }; ///< For the whole exchange.
};

struct HttpAnswer {
    HttpEnd end = HttpEnd::NotConnected;
    int status = 0; ///< 0 if no valid response header arrived.
    HttpHeaders headers;
    std::string body;
};

/// An HTTP exchange in progress. cancel() closes its connection and ends it with Cancelled.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    virtual void cancel() = 0;
};

using HttpDataHandler = std::function<void(const HttpAnswer& soFar, std::string_view data)>;
using HttpDoneHandler = std::function<void(const HttpAnswer&)>;

/// Starts a call on a new connection. `onData`, which can be empty, receives each piece of the body as it arrives. `onDone` is
/// called exactly once with the whole body.
std::shared_ptr<HttpExchange> startHttpCall(Loop&, HttpCall, HttpDataHandler onData, HttpDoneHandler onDone);

/// Makes a blocking call on a separate event loop.
HttpAnswer callHttp(HttpCall);

}
