#pragma once

#include "ledger/CallRecord.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace siskinshunt {

/// Each command carries `now`, the proposer's UTC clock. The ledger's clock is the maximum over the commands of group
/// leaders: Expire, TakeOver and MarkUnknown by another than the owner. (The first command of all sets it, too.)
struct Reserve {
    std::string account; ///< 1 to 256 bytes.
    std::string key; ///< 1 to 256 bytes.
    std::string bodyDigest; ///< Of method, path and body; at most 64 bytes.
    CallOwner owner;
    CallId call; ///< From makeCallId, so that it tells the group.
    std::string request; ///< Encoded request, at most LedgerSettings::maxRequestBytes.
    TimeMs deadline;
    bool dispatchNow = false; ///< Commits Reserved and Dispatched in one entry.
    std::string upstream; ///< With dispatchNow.
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(account, key, bodyDigest, owner, call, request, deadline, dispatchNow, upstream, now); }
};

/// Reserved to Dispatched, by the owner, under the attempt that it holds.
struct Dispatch {
    CallId call;
    CallOwner owner;
    uint32_t attempt = 0;
    std::string upstream;
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(call, owner, attempt, upstream, now); }
};

/// Dispatched back to Reserved under the next attempt. Only the owner, and only when it knows that no byte has left.
struct ReturnToReserved {
    CallId call;
    CallOwner owner;
    uint32_t attempt = 0;
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(call, owner, attempt, now); }
};

/// Dispatched to Done with the upstream's answer (`answer.ran`), or to Done with a refusal (`!answer.ran`): from Reserved,
/// or from Dispatched when the owner knows that no byte has left. A refused key may be reserved again.
struct Complete {
    CallId call;
    CallOwner owner;
    uint32_t attempt = 0;
    StoredAnswer answer; ///< A body over LedgerSettings::maxAnswerBytes is stored by digest.
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(call, owner, attempt, answer, now); }
};

/// Dispatched to Unknown: by the owner at any time, by others only after the deadline.
struct MarkUnknown {
    CallId call;
    CallOwner by;
    uint32_t attempt = 0;
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(call, by, attempt, now); }
};

/// Gives a Reserved call to another owner under the next attempt, if it still has the expected attempt.
struct TakeOver {
    CallId call;
    uint32_t expectedAttempt = 0;
    CallOwner owner; ///< The new one.
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(call, expectedAttempt, owner, now); }
};

/// Lets time pass: ends Reserved calls after their deadline as not run, and forgets keys after their retention.
struct Expire {
    TimeMs now;

    template <class Archive>
    void serialize(Archive& archive) { archive(now); }
};

using LedgerCommand = std::variant<Reserve, Dispatch, ReturnToReserved, Complete, MarkUnknown, TakeOver, Expire>;

enum class LedgerOutcome : uint8_t {
    Accepted, ///< The command took effect; `attempt` is the one now in force.
    Joined, ///< The key is in flight under `call` and `owner`.
    Stored, ///< The key or call is final; see `state` and `answer`.
    KeyReused, ///< The key came before with another body; this body was not run.
    KeyExpired, ///< The key was used before or is older than the retention; not run.
    Conflict, ///< Owner, attempt or state does not match; nothing changed.
    Full, ///< No room for a new key; not run.
    NotFound, ///< No such call.
    Malformed, ///< The command breaks its format or bounds; nothing changed.
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
/// Empty on malformed bytes.
std::optional<LedgerCommand> decodeLedgerCommand(std::string_view bytes);
std::string encodeLedgerReply(const LedgerReply&);
/// Empty on malformed bytes.
std::optional<LedgerReply> decodeLedgerReply(std::string_view bytes);

/// Consensus group of a key: 2 + xxh64(account, key) mod `groups`. `groups` is fixed at bootstrap and positive.
GroupId groupOfKey(std::string_view account, std::string_view key, uint32_t groups);
/// Consensus group of a call id that makeCallId made with the same number of groups.
GroupId groupOfCall(CallId, uint32_t groups);
/// A call id that tells its group, from a random number. Never zero.
CallId makeCallId(uint64_t random, GroupId, uint32_t groups);
/// Creation time (UTC) that a key in the form of a UUIDv7 carries; empty for other keys.
std::optional<TimeMs> keyCreationTime(std::string_view key);

}
