#pragma once

#include "base/EnumNames.h"

#include <array>
#include <boost/leaf.hpp>
#include <string>

namespace siskinshunt {

enum class ErrorCode : uint8_t {
    Invalid, ///< Input that breaks its grammar or its bounds.
    NotFound,
    Conflict, ///< A compare-and-set lost, or an identity does not match.
    Refused, ///< The peer answered with a refusal.
    Unavailable, ///< No peer, no quorum or no capacity.
    Timeout,
    Corrupt, ///< Stored or received bytes fail their checksum or MAC.
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

/// The step of the work at which an error arose.
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

/// What went wrong, at which step, and with which peer (a node, upstream, file or address).
struct Error {
    ErrorCode code = ErrorCode::Invalid;
    Step step = Step::Command;
    std::string peer;
    std::string detail;
};

template <class T>
using Result = boost::leaf::result<T>;

/// Makes a failed Result.
inline auto fail(ErrorCode code, Step step, std::string peer, std::string detail)
{
    return boost::leaf::new_error(Error { code, step, std::move(peer), std::move(detail) });
}

/// One line for people: step, peer, code and detail.
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

/// Runs `body`, which returns a Result<T>; on failure returns `handler(error)`, which returns a T.
template <class Body, class Handler>
auto handle(Body&& body, Handler&& handler)
{
    return boost::leaf::try_handle_all(
        std::forward<Body>(body),
        [&](const Error& error) { return handler(error); },
        [&] { return handler(Error { ErrorCode::Invalid, Step::Command, {}, "unknown error" }); });
}

}
