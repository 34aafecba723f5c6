#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace siskinshunt {

enum class CallState : uint8_t {
    Reserved, ///< Committed; nothing has been sent to an upstream.
    Dispatched, ///< Bytes may have been sent to an upstream.
    Done, ///< Final; the answer is stored.
    Unknown, ///< Final; bytes may have been sent and the answer is not known.
};

template <>
inline constexpr auto enumNames<CallState> = std::to_array<EnumName<CallState>>({
    { CallState::Reserved, "reserved" },
    { CallState::Dispatched, "dispatched" },
    { CallState::Done, "done" },
    { CallState::Unknown, "unknown" },
});

constexpr bool isFinal(CallState state) { return state == CallState::Done || state == CallState::Unknown; }

/// Answer of a finished call.
struct StoredAnswer {
    uint16_t status = 0; ///< HTTP status.
    bool ran = true; ///< False if the call was refused without being sent to an upstream.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< Empty when only the digest is stored.
    std::string bodyDigest; ///< Hexadecimal SHA-256 of a body that is not stored, else empty.
    uint64_t bodyBytes = 0; ///< Length of the whole body, whether stored or not.

    template <class Archive>
    void serialize(Archive& archive) { archive(status, ran, headers, body, bodyDigest, bodyBytes); }
};

/// Process of a node that owns calls. A restarted node is a different owner, because it has lost the state of its calls.
struct CallOwner {
    NodeId node;
    uint64_t incarnation = 0;

    // Not defaulted, because clang-tidy 14 reports a literal 0 (modernize-use-nullptr) in the body of a defaulted comparison.
    bool operator==(const CallOwner& other) const { return node == other.node && incarnation == other.incarnation; }
    bool operator<(const CallOwner& other) const { return std::tie(node, incarnation) < std::tie(other.node, other.incarnation); }
    template <class Archive>
    void serialize(Archive& archive) { archive(node, incarnation); }
};

/// Record of a call that must not run more than once. Times are UTC since 1970.
struct CallRecord {
    CallId call;
    std::string account;
    std::string key; ///< Idempotency key of the request.
    std::string bodyDigest;
    CallOwner owner;
    uint32_t attempt = 1;
    uint32_t dispatchedAttempt = 0; ///< Last attempt that was dispatched; 0 if none.
    CallState state = CallState::Reserved;
    std::string request; ///< Encoded request; kept for a takeover until the call is final.
    std::string upstream; ///< Target of the last dispatch.
    TimeMs created;
    TimeMs deadline;
    StoredAnswer answer; ///< Valid in state Done.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(call, account, key, bodyDigest, owner, attempt, dispatchedAttempt, state, request, upstream, created, deadline, answer);
    }
};

}
