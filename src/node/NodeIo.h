#pragma once

#include "api/HttpMessage.h"
#include "base/EnumNames.h"
#include "base/LogRecord.h"
#include "base/TimeMs.h"
#include "settings/Settings.h"
#include "storage/GroupState.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

/// Identifies a request that a caller, upstream or operator sent to this node. Assigned by the adapter, never reused.
using ExchangeId = uint64_t;
/// Identifies an HTTP request of this node to an upstream or to the platform. Assigned by the node, never reused.
using DispatchId = uint64_t;

/// Purpose of a listening address of the daemon.
enum class ListenerKind : uint8_t {
    Main, ///< The node's own interface.
    Forward, ///< Requests that are forwarded by host and path.
    Control, ///< Calls of operators and upstreams in the dialect of the platform.
    Directory, ///< Queries for the entry addresses.
    Ready, ///< Readiness checks.
};

/// A complete request from a client.
struct RequestArrived {
    ExchangeId exchange = 0;
    HttpRequest request;
    std::string peer; ///< "IP:PORT".
    ListenerKind listener = ListenerKind::Main;
};

enum class UpstreamEventKind : uint8_t {
    Sending, ///< Connected and about to write; from now on, bytes may have been sent.
    Head, ///< Status and headers have arrived.
    Body,
    End, ///< The response is complete.
    Failed,
};

enum class UpstreamFailure : uint8_t {
    None,
    ConnectFailed, ///< Connection refused or no route; no byte was sent.
    ConnectTimeout, ///< No byte was sent.
    Closed, ///< The peer closed or reset the connection.
    Silent, ///< No byte was received before the first-byte or progress timeout.
    Malformed, ///< Not valid HTTP, or the limits were exceeded.
};

template <>
inline constexpr auto enumNames<UpstreamFailure> = std::to_array<EnumName<UpstreamFailure>>({
    { UpstreamFailure::None, "none" },
    { UpstreamFailure::ConnectFailed, "connect_failed" },
    { UpstreamFailure::ConnectTimeout, "connect_timeout" },
    { UpstreamFailure::Closed, "closed" },
    { UpstreamFailure::Silent, "silent" },
    { UpstreamFailure::Malformed, "malformed" },
});

/// An event of a dispatch. End and Failed are final.
struct UpstreamEvent {
    DispatchId dispatch = 0;
    UpstreamEventKind kind = UpstreamEventKind::Failed;
    uint16_t status = 0; ///< Set for Head.
    HttpHeaders headers; ///< Set for Head.
    std::optional<uint64_t> contentLength; ///< Set for Head: value of the Content-Length header.
    std::string bytes; ///< Set for Body.
    UpstreamFailure failure = UpstreamFailure::None;
    std::string detail; ///< Details of a failure, for logs.
};

/// A request to an upstream or the platform.
struct UpstreamDispatch {
    DispatchId dispatch = 0;
    std::string address; ///< "IP:PORT".
    HttpRequest request;
    bool freshConnection = false; ///< Never use a pooled connection: a call that must not be repeated could be lost on a stale one.
    TimeMs maxIdle { 60000 }; ///< A pooled connection that was idle for longer is not used.
    std::string idHeader; ///< Header that responses echo; a response with another value belongs to another request and is skipped.
    std::string idValue;
    TimeMs connectTimeout { 500 };
    TimeMs firstByteTimeout { 30000 }; ///< From the end of the request to the first byte of the response.
    TimeMs progressTimeout { 2000 }; ///< Between two bytes of the response.
};

enum class AnswerPart : uint8_t {
    Whole, ///< Status, headers and body at once.
    Head, ///< Status and headers of a streamed response.
    Body,
    End, ///< Completes a streamed response.
    Abort, ///< Closes the connection without completing the response.
};

/// A part of the response to an exchange.
struct Answer {
    ExchangeId exchange = 0;
    AnswerPart part = AnswerPart::Whole;
    uint16_t status = 200;
    HttpHeaders headers;
    std::string body;
    std::optional<uint64_t> contentLength; ///< Head: length of the body, if it is known in advance.
};

/// A sealed datagram.
struct Datagram {
    Endpoint peer;
    std::string bytes;
};

/// A sealed envelope for the TCP transport, which adds the length prefix.
struct PeerFrame {
    Endpoint peer;
    std::string bytes;
};

struct DiskCompletion {
    GroupId group;
    uint64_t request = 0;
    bool ok = false;
    std::string error;
};

/// Actions for the adapter after a step of the node; each list is processed in order.
struct Outputs {
    std::vector<Answer> answers;
    std::vector<UpstreamDispatch> dispatches;
    std::vector<DispatchId> cancels; ///< Dispatches to cancel; no event follows.
    std::vector<std::string> discardedPools; ///< Addresses of which all idle connections are closed.
    std::vector<Datagram> datagrams;
    std::vector<PeerFrame> frames;
    std::vector<DiskRequest> disk;
    std::vector<LogRecord> log;
    std::optional<InputLimits> forwardLimits; ///< New limits of the forwarding address.
    bool closeWhenIdle = false; ///< From now on, close each connection after its response, so that callers go to other nodes.
    bool stop = false; ///< The node has left the fleet; the process can end.
};

}
