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
    Reserved, ///< Committed, no byte has left.
    Dispatched, ///< A byte may have left.
    Done, ///< Final: the answer is stored.
    Unknown, ///< Final: a byte may have left and no answer is known.
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
    bool ran = true; ///< False: a refusal of a call that was never dispatched.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; ///< Empty when only the digest is stored.
    std::string bodyDigest; ///< SHA-256 in hex of a body that is not stored, else empty.
    uint64_t bodyBytes = 0; ///< Length of the whole body, stored or not.

    template <class Archive>
    void serialize(Archive& archive) { archive(status, ran, headers, body, bodyDigest, bodyBytes); }
};

/// A process of a node: a restarted node is another owner, because it has forgotten its calls.
struct CallOwner {
    NodeId node;
    uint64_t incarnation = 0;

    // Written out: clang-tidy 14 reports a literal 0 (modernize-use-nullptr) in the body of a defaulted comparison.
    bool operator==(const CallOwner& other) const { return node == other.node && incarnation == other.incarnation; }
    bool operator<(const CallOwner& other) const { return std::tie(node, incarnation) < std::tie(other.node, other.incarnation); }
    template <class Archive>
    void serialize(Archive& archive) { archive(node, incarnation); }
};

/// One once call in the ledger. Times are UTC, since 1970.
struct CallRecord {
    CallId call;
    std::string account;
    std::string key;
    std::string bodyDigest;
    CallOwner owner;
    uint32_t attempt = 1;
    uint32_t dispatchedAttempt = 0; ///< Last attempt that was dispatched; 0 if none.
    CallState state = CallState::Reserved;
    std::string request; ///< Kept until the call is final, for a takeover.
    std::string upstream; ///< Of the last dispatch.
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
