#pragma once

#include "base/EnumNames.h"

#include <array>
#include <boost/leaf.hpp>
#include <string>

namespace siskinshunt {

enum class ErrorCode : uint8_t {
    Invalid, ///< Malformed or out-of-range input.
    NotFound,
    Conflict, ///< Failed compare-and-set or identity mismatch.
    Refused, ///< The peer rejected the request.
    Unavailable, ///< No reachable peer, quorum or capacity.
    Timeout,
    Corrupt, ///< Checksum or MAC mismatch in stored or received bytes.
    Io, ///< The operating system reported a failure.
    TooLarge,
    Unauthorized,
};

template <>
inline constexpr auto enumNames<ErrorCode> = std::to_array<EnumName<ErrorCode>>({
    { ErrorCode::Invalid, "invalid" },
    { ErrorCode::NotFound, "not_found" },
    { ErrorCode::Conflict, "conflict" },
    { ErrorCode::Refused, "refused" },
    { ErrorCode::Unavailable, "unavailable" },
    { ErrorCode::Timeout, "timeout" },
    { ErrorCode::Corrupt, "corrupt" },
    { ErrorCode::Io, "io" },
    { ErrorCode::TooLarge, "too_large" },
    { ErrorCode::Unauthorized, "unauthorized" },
});

/// Operation during which an error occurred.
enum class Step : uint8_t {
    ReadSettings,
    ReadRules,
    Accept,
    Route,
    Connect,
    Send,
    Receive,
    Decode,
    Append,
    Sync,
    Recover,
    Snapshot,
    Propose,
    Announce,
    Order,
    Command,
};

template <>
inline constexpr auto enumNames<Step> = std::to_array<EnumName<Step>>({
    { Step::ReadSettings, "read_settings" },
    { Step::ReadRules, "read_rules" },
    { Step::Accept, "accept" },
    { Step::Route, "route" },
    { Step::Connect, "connect" },
    { Step::Send, "send" },
    { Step::Receive, "receive" },
    { Step::Decode, "decode" },
    { Step::Append, "append" },
    { Step::Sync, "sync" },
    { Step::Recover, "recover" },
    { Step::Snapshot, "snapshot" },
    { Step::Propose, "propose" },
    { Step::Announce, "announce" },
    { Step::Order, "order" },
    { Step::Command, "command" },
});

/// Error code, the step that failed, and the peer involved (a node, upstream, file or address).
struct Error {
    ErrorCode code = ErrorCode::Invalid;
    Step step = Step::Command;
    std::string peer;
    std::string detail;
};

template <class T>
using Result = boost::leaf::result<T>;

/// Returns a failed Result.
inline auto fail(ErrorCode code, Step step, std::string peer, std::string detail)
{
    return boost::leaf::new_error(Error { code, step, std::move(peer), std::move(detail) });
}

/// Human-readable line: step, peer and detail; the code stands in for an empty detail.
inline std::string toString(const Error& error)
{
    std::string out(nameOf(error.step));
    if (!error.peer.empty())
        out += " " + error.peer;
    out += ": ";
    if (error.detail.empty())
        return out + std::string(nameOf(error.code));
    return out + error.detail;
}

/// Returns the value of `body`, which returns a Result<T>, or `handler(error)`, which returns a T, on failure.
template <class Body, class Handler>
auto handle(Body&& body, Handler&& handler)
{
    return boost::leaf::try_handle_all(
        std::forward<Body>(body),
        [&](const Error& error) { return handler(error); },
        [&] { return handler(Error { ErrorCode::Invalid, Step::Command, {}, "unknown error" }); });
}

}
