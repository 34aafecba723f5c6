#pragma once

#include "ledger/Ledger.h"

namespace siskinshunt {

// Internal operations on the ledger's table that keep its indices and byte count consistent.

/// Accounted memory of the record in bytes.
size_t bytesOf(const CallRecord&);
/// Whether the ledger can hold the record within its limits.
bool hasCapacity(const Ledger&, const CallRecord&);
const CallRecord& insertRecord(Ledger&, CallRecord&&);
/// Removes a final record and its key without keeping a digest.
void eraseRecord(Ledger&, CallId);
/// Moves an open record to a final state.
void finishRecord(Ledger&, CallRecord&, CallState, StoredAnswer&&);

/// Completes Reserved calls after their deadline as not run, with status 504, and marks Dispatched calls as Unknown after
/// the grace period.
void finishOverdueCalls(Ledger&);
/// Replaces final records by their digests after the retention.
void expireKeys(Ledger&);
/// Removes digests after their retention.
void removeExpiredDigests(Ledger&);

}
