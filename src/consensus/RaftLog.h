#pragma once

#include "base/LogEntry.h"

#include <deque>

namespace siskinshunt {

/// The entries above the last compaction, in memory, with the write that makes each durable.
struct RaftLog {
    uint64_t baseIndex = 0; ///< The entry below the first one held.
    uint64_t baseTerm = 0;
    std::deque<LogEntry> entries;
    std::deque<uint64_t> sequences; ///< Write sequence of each entry.
    uint64_t durableIndex = 0; ///< Entries up to here are durable.
    uint64_t writtenIndex = 0; ///< Entries up to here were handed out for writing.
};

uint64_t lastIndex(const RaftLog&);
uint64_t lastTerm(const RaftLog&);
/// Whether the term of the index is known: it is the base or held.
bool hasTerm(const RaftLog&, uint64_t index);
/// Term of the entry; 0 if it is not known.
uint64_t termAt(const RaftLog&, uint64_t index);
const LogEntry& entryAt(const RaftLog&, uint64_t index);
void appendTo(RaftLog&, LogEntry, uint64_t sequence);
/// Removes the entries from the index up.
void truncateFrom(RaftLog&, uint64_t index);
/// Drops the entries up to the index.
void dropUpTo(RaftLog&, uint64_t index);
/// Forgets everything and continues above the index.
void resetTo(RaftLog&, uint64_t index, uint64_t term);
/// Notes that the writes up to the sequence are durable.
void advanceDurable(RaftLog&, uint64_t sequence);

}
