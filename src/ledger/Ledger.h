#pragma once

#include "ledger/LedgerCommand.h"
#include "replica/StateMachine.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

/// Fixed at bootstrap and equal on all voters, because the outcome of commands depends on them.
struct LedgerSettings {
    TimeMs retention { INT64_C(24) * 3600 * 1000 }; ///< Of a key, from its creation.
    TimeMs digestRetention { INT64_C(7) * 24 * 3600 * 1000 }; ///< Of the digest of an expired key.
    TimeMs outcomeGrace { 60000 }; ///< After the deadline, a live owner's outcome is awaited this long.
    size_t maxCalls = 200000; ///< Records.
    size_t maxKeys = 2000000; ///< Records and digests of expired keys together.
    size_t maxBytes = 256 << 20; ///< Requests, answers, keys and names of all records.
    size_t maxRequestBytes = 256 << 10;
    size_t maxAnswerBytes = 64 << 10;
};

/// 16 bytes that stand for (account, key).
struct KeyDigest {
    uint64_t high = 0;
    uint64_t low = 0;

    bool operator==(const KeyDigest&) const = default;
    template <class Archive>
    void serialize(Archive& archive) { archive(high, low); }
};

struct KeyDigestHash {
    size_t operator()(const KeyDigest& digest) const noexcept { return digest.low; }
};

KeyDigest digestOfKey(std::string_view account, std::string_view key);

/// State of one ledger group.
struct Ledger {
    LedgerSettings settings;
    TimeMs clock; ///< UTC, as the group leaders last told it.
    std::map<CallId, CallRecord> calls;
    std::deque<std::pair<TimeMs, KeyDigest>> expiredDigests; ///< Forget time and digest, in order of time.

    // Derived from the above.
    std::unordered_map<KeyDigest, CallId, KeyDigestHash> callsByKey;
    std::set<CallId> openCalls; ///< Calls that are not final.
    std::set<std::pair<TimeMs, CallId>> callsByCreation;
    std::unordered_map<KeyDigest, uint32_t, KeyDigestHash> expiredDigestCounts; ///< Number of entries in `expiredDigests`.
    size_t bytes = 0;
};

/// Applies one command. Never fails: errors are outcomes.
LedgerReply applyLedger(Ledger&, const LedgerCommand&);

/// The record of a key or call, or null. Valid until the next command.
const CallRecord* findByKey(const Ledger&, std::string_view account, std::string_view key);
const CallRecord* findByCall(const Ledger&, CallId);
/// Reply that tells the state of a call to one who asks by id.
LedgerReply lookUpCall(const Ledger&, CallId);

using IsOwnerAlive = std::function<bool(const CallOwner&)>;

/// Reserved calls of dead owners whose deadline has not passed; the group leader proposes TakeOver for each.
std::vector<TakeOver> callsDueForTakeover(const Ledger&, TimeMs now, const CallOwner& self, const IsOwnerAlive&);
/// Dispatched calls after their deadline whose owner is dead, or silent for `outcomeGrace` longer.
std::vector<MarkUnknown> callsDueForUnknown(const Ledger&, TimeMs now, const CallOwner& self, const IsOwnerAlive&);
/// True when the group leader should propose Expire: something is overdue, or the ledger's clock is 10 s behind.
bool isExpireDue(const Ledger&, TimeMs now);

std::string snapshotLedger(const Ledger&);
/// Keeps the settings; false (and an unchanged ledger) on bytes that are not a snapshot.
bool restoreLedger(Ledger&, std::string_view bytes);

/// The ledger must outlive the state machine.
StateMachine ledgerStateMachine(Ledger&);

}
