#pragma once

#include "ledger/Ledger.h"

namespace siskinshunt {

// Changes of the ledger's table that keep its indices and byte count. For use by the ledger only.

/// Bytes of memory that the record counts for.
size_t bytesOf(const CallRecord&);
/// True if the record fits into all bounds.
bool hasRoom(const Ledger&, const CallRecord&);
const CallRecord& insertRecord(Ledger&, CallRecord&&);
/// Removes a record and its key; leaves no digest.
void eraseRecord(Ledger&, CallId);
/// Moves an open record to a final state.
void finishRecord(Ledger&, CallRecord&, CallState, StoredAnswer&&);

/// Ends Reserved calls after their deadline as 504, not run; Dispatched ones long after it as Unknown.
void endOverdueReservations(Ledger&);
/// Replaces final records after the retention by their digests.
void expireKeys(Ledger&);
/// Forgets digests after their retention.
void forgetDigests(Ledger&);

}
