#pragma once

#include "ledger/CallRecord.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace siskinshunt {

// Each command contains `now`, the UTC time of its proposer. The ledger's clock is the maximum of these times in commands
// of group leaders: Expire, TakeOver, and MarkUnknown by a node other than the owner. The first command also sets it.

/// Creates a call under an idempotency key, or returns the existing call of the key.
struct Reserve {
    std::string account; ///< 1 to 256 bytes.
    std::string key; ///< 1 to 256 bytes.
    std::string bodyDigest; ///< Digest of method, path and body; at most 64 bytes.
    CallOwner owner;
    CallId call; ///< From makeCallId(), so that it identifies the group.
    std::string request; ///< Encoded request; at most LedgerSettings::maxRequestBytes.
    TimeMs deadline;
    bool dispatchNow = false; ///< Reserves and dispatches in one log entry.
    std::string upstream; ///< Target of the dispatch, with dispatchNow.
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(account, key, bodyDigest, owner, call, request, deadline, dispatchNow, upstream, now); }
};

/// Reserved to Dispatched, by the owner and for its current attempt.
struct Dispatch {
    CallId call;
    CallOwner owner;
    uint32_t attempt = 0;
    std::string upstream;
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(call, owner, attempt, upstream, now); }
};

/// Dispatched back to Reserved with the next attempt number. Only by the owner, when it knows that nothing has been sent.
struct ReturnToReserved {
    CallId call;
    CallOwner owner;
    uint32_t attempt = 0;
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(call, owner, attempt, now); }
};

/// Dispatched to Done with the answer of the upstream (`answer.ran`), or to Done with a refusal (`!answer.ran`). A refusal
/// is possible from Reserved, and from Dispatched if the owner knows that nothing has been sent. A refused key can be
/// reserved again.
struct Complete {
    CallId call;
    CallOwner owner;
    uint32_t attempt = 0;
    StoredAnswer answer; ///< Of a body over LedgerSettings::maxAnswerBytes, only the digest is stored.
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(call, owner, attempt, answer, now); }
};

/// Dispatched to Unknown; by the owner at any time, by others only after the deadline.
struct MarkUnknown {
    CallId call;
    CallOwner by;
    uint32_t attempt = 0;
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(call, by, attempt, now); }
};

/// Assigns a Reserved call to another owner with the next attempt number, if its attempt is still the expected one.
struct TakeOver {
    CallId call;
    uint32_t expectedAttempt = 0;
    CallOwner owner; ///< New owner.
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(call, expectedAttempt, owner, now); }
};

/// Advances the clock: completes Reserved calls after their deadline as not run, marks Dispatched calls as Unknown after
/// the grace period, and removes keys and digests after their retention.
struct Expire {
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(now); }
};

using LedgerCommand = std::variant<Reserve, Dispatch, ReturnToReserved, Complete, MarkUnknown, TakeOver, Expire>;

enum class LedgerOutcome : uint8_t {
    Accepted, ///< The command took effect; `attempt` is the current attempt.
    Joined, ///< The call of the key is not final; see `call` and `owner`.
    Stored, ///< The key or call is final; see `state` and `answer`.
    KeyReused, ///< The key was used with a different body; this request was not run.
    KeyExpired, ///< The key was used and has expired, or is older than the retention; not run.
    Conflict, ///< Owner, attempt or state does not match, or the call id is in use; nothing changed.
    Full, ///< A limit of the ledger is reached; not run.
    NotFound, ///< No such call.
    Malformed, ///< The command is malformed or exceeds a limit; nothing changed.
};

template <>
inline constexpr auto enumNames<LedgerOutcome> = std::to_array<EnumName<LedgerOutcome>>({
    { LedgerOutcome::Accepted, "accepted" },
    { LedgerOutcome::Joined, "joined" },
    { LedgerOutcome::Stored, "stored" },
    { LedgerOutcome::KeyReused, "key_reused" },
    { LedgerOutcome::KeyExpired, "key_expired" },
    { LedgerOutcome::Conflict, "conflict" },
    { LedgerOutcome::Full, "ledger_full" },
    { LedgerOutcome::NotFound, "not_found" },
    { LedgerOutcome::Malformed, "malformed" },
});

struct LedgerReply {
    LedgerOutcome outcome = LedgerOutcome::Malformed;
    CallId call;
    uint32_t attempt = 0;
    CallState state = CallState::Reserved;
    CallOwner owner;
    std::optional<StoredAnswer> answer; ///< With outcome Stored and state Done.

    template <class Archive>
    void serialize(Archive& archive) { archive(outcome, call, attempt, state, owner, answer); }
};

std::string encodeLedgerCommand(const LedgerCommand&);
/// Returns nothing if the bytes are malformed.
std::optional<LedgerCommand> decodeLedgerCommand(std::string_view bytes);
std::string encodeLedgerReply(const LedgerReply&);
/// Returns nothing if the bytes are malformed.
std::optional<LedgerReply> decodeLedgerReply(std::string_view bytes);

/// Consensus group of a key: 2 + xxh64(account, key) mod `groups`. `groups` is fixed at bootstrap and positive.
GroupId groupOfKey(std::string_view account, std::string_view key, uint32_t groups);
/// Consensus group of a call id from makeCallId() with the same number of groups.
GroupId groupOfCall(CallId, uint32_t groups);
/// Makes a call id that identifies its group from a random number. Never zero.
CallId makeCallId(uint64_t random, GroupId, uint32_t groups);
/// Creation time (UTC) of a key that is a UUIDv7; empty for other keys.
std::optional<TimeMs> keyCreationTime(std::string_view key);

}
