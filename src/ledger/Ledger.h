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

/// Fixed at bootstrap and equal on all voters, because the outcomes of commands depend on them.
struct LedgerSettings {
    TimeMs retention { INT64_C(24) * 3600 * 1000 }; ///< Lifetime of a key since its creation.
    TimeMs digestRetention { INT64_C(7) * 24 * 3600 * 1000 }; ///< Lifetime of the digest of a key since the key's expiry.
    TimeMs outcomeGrace { 60000 }; ///< Time after the deadline that a live owner has to report the outcome.
    size_t maxCalls = 200000; ///< Limit of call records.
    size_t maxKeys = 2000000; ///< Limit of call records plus digests of expired keys.
    size_t maxBytes = 256 << 20; ///< Limit of the memory of all records: requests, answers, keys and names.
    size_t maxRequestBytes = 256 << 10;
    size_t maxAnswerBytes = 64 << 10;
};

/// 128-bit digest of an account and a key.
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

/// Replicated state of one ledger group.
struct Ledger {
    LedgerSettings settings;
    TimeMs clock; ///< UTC; advanced by commands of the group leader.
    std::map<CallId, CallRecord> calls;
    std::deque<std::pair<TimeMs, KeyDigest>> expiredDigests; ///< Removal time and digest, ordered by time.

    // Derived from the members above.
    std::unordered_map<KeyDigest, CallId, KeyDigestHash> callsByKey;
    std::set<CallId> openCalls; ///< Calls that are not in a final state.
    std::set<std::pair<TimeMs, CallId>> callsByCreation;
    std::unordered_map<KeyDigest, uint32_t, KeyDigestHash> expiredDigestCounts; ///< Number of entries in `expiredDigests`.
    size_t bytes = 0; ///< Memory of all records.
};

/// Applies a command. Errors are returned as outcomes.
LedgerReply applyLedger(Ledger&, const LedgerCommand&);

/// Returns the record of a key or call, or null. The pointer is valid until the next command.
const CallRecord* findByKey(const Ledger&, std::string_view account, std::string_view key);
const CallRecord* findByCall(const Ledger&, CallId);
/// Returns the state of a call by its id.
LedgerReply lookUpCall(const Ledger&, CallId);

using IsOwnerAlive = std::function<bool(const CallOwner&)>;

/// Returns a TakeOver command for each Reserved call of a dead owner whose deadline has not passed. The group leader
/// proposes them.
std::vector<TakeOver> callsDueForTakeover(const Ledger&, TimeMs now, const CallOwner& self, const IsOwnerAlive&);
/// Returns a MarkUnknown command for each Dispatched call after its deadline whose owner is dead, or has not reported an
/// outcome within `outcomeGrace`.
std::vector<MarkUnknown> callsDueForUnknown(const Ledger&, TimeMs now, const CallOwner& self, const IsOwnerAlive&);
/// Whether the group leader should propose Expire: a call, key or digest is due, or the ledger's clock lags by 10 s.
bool isExpireDue(const Ledger&, TimeMs now);

std::string snapshotLedger(const Ledger&);
/// Restores the state, but not the settings. Returns false and leaves the ledger unchanged if the bytes are not a valid
/// snapshot.
bool restoreLedger(Ledger&, std::string_view bytes);

/// The ledger must outlive the state machine.
StateMachine ledgerStateMachine(Ledger&);

}
