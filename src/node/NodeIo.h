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

/// One exchange with a caller, upstream or operator that connected to this node. Chosen by the adapter, never reused.
using ExchangeId = uint64_t;
/// One HTTP request of this node to an upstream or to the platform. Chosen by the node, never reused.
using DispatchId = uint64_t;

/// What a listening address of the daemon serves.
enum class ListenerKind : uint8_t {
    Main, ///< The node's own interface.
    Forward, ///< Requests that are forwarded by host and path.
    Control, ///< Calls of operators and upstreams in the dialect of the platform.
    Directory, ///< Callers that ask for entry addresses.
    Ready, ///< Readiness checks.
};

/// A complete request from outside.
struct RequestArrived {
    ExchangeId exchange = 0;
    HttpRequest request;
    std::string peer; ///< "IP:PORT".
    ListenerKind listener = ListenerKind::Main;
};

enum class UpstreamEventKind : uint8_t {
    Sending, ///< Connected; the next thing is to write, so from here on bytes may have left.
    Head, ///< Status and headers have arrived.
    Body,
    End, ///< The answer is complete.
    Failed,
};

enum class UpstreamFailure : uint8_t {
    None,
    ConnectFailed, ///< Refused or no route; no byte has left.
    ConnectTimeout, ///< No byte has left.
    Closed, ///< The peer closed or reset the connection.
    Silent, ///< No byte within the progress timeout.
    Malformed, ///< Not HTTP, or over the limits.
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

/// What happened to a dispatch. Nothing follows End or Failed.
struct UpstreamEvent {
    DispatchId dispatch = 0;
    UpstreamEventKind kind = UpstreamEventKind::Failed;
    uint16_t status = 0; ///< Head.
    HttpHeaders headers; ///< Head.
    std::optional<uint64_t> contentLength; ///< Head: as stated by the upstream.
    std::string bytes; ///< Body.
    UpstreamFailure failure = UpstreamFailure::None;
    std::string detail; ///< Of a failure, for logs.
};

/// A request to an upstream or the platform.
struct UpstreamDispatch {
    DispatchId dispatch = 0;
    std::string address; ///< "IP:PORT".
    HttpRequest request;
    bool freshConnection = false; ///< Never use a pooled connection: a call that may not be repeated must not be lost on one that went stale.
    TimeMs maxIdle { 60000 }; ///< A pooled connection that idled longer is left alone.
    std::string idHeader; ///< Header that answers repeat; an answer with another value belongs to another request and is skipped.
    std::string idValue;
    TimeMs connectTimeout { 500 };
    TimeMs firstByteTimeout { 30000 }; ///< From the end of sending to the first byte of the answer.
    TimeMs progressTimeout { 2000 }; ///< Between bytes of the answer.
};

enum class AnswerPart : uint8_t {
    Whole, ///< Status, headers and body at once.
    Head, ///< Status and headers of a streamed answer.
    Body,
    End, ///< Completes a streamed answer.
    Abort, ///< Closes the connection without completing the answer.
};

/// A part of an answer to an exchange.
struct Answer {
    ExchangeId exchange = 0;
    AnswerPart part = AnswerPart::Whole;
    uint16_t status = 200;
    HttpHeaders headers;
    std::string body;
    std::optional<uint64_t> contentLength; ///< Head: the body's length, if it is known before the body.
};

/// A sealed datagram.
struct Datagram {
    Endpoint peer;
    std::string bytes;
};

/// A sealed envelope for the TCP transport, which adds the length.
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

/// What a step of the node wants done by the adapter, in order of each list.
struct Outputs {
    std::vector<Answer> answers;
    std::vector<UpstreamDispatch> dispatches;
    std::vector<DispatchId> cancels; ///< No event follows a cancel.
    std::vector<std::string> discardedPools; ///< Addresses whose idle connections are to be closed.
    std::vector<Datagram> datagrams;
    std::vector<PeerFrame> frames;
    std::vector<DiskRequest> disk;
    std::vector<LogRecord> log;
    std::optional<InputLimits> forwardLimits; ///< In force for the forwarding address from now on.
    bool closeWhenIdle = false; ///< Answers end their connection from now on, so that callers go elsewhere.
    bool stop = false; ///< The node has left; the process may end.
};

}
