#pragma once

#include "base/LogEntry.h"

#include <deque>

namespace siskinshunt {

/// The log entries above the last compaction, in memory, with the write that makes each of them durable.
struct RaftLog {
    uint64_t baseIndex = 0; ///< Index of the last compacted entry.
    uint64_t baseTerm = 0; ///< Term of that entry.
    std::deque<LogEntry> entries;
    std::deque<uint64_t> sequences; ///< Write sequence of each entry.
    uint64_t durableIndex = 0; ///< Entries up to here are durable.
    uint64_t writtenIndex = 0; ///< Entries up to here have been passed to the caller for writing.
};

uint64_t lastIndex(const RaftLog&);
uint64_t lastTerm(const RaftLog&);
/// Whether the term at the index is known: the index is the base or in memory.
bool hasTerm(const RaftLog&, uint64_t index);
/// Term of the entry at the index; 0 if unknown.
uint64_t termAt(const RaftLog&, uint64_t index);
const LogEntry& entryAt(const RaftLog&, uint64_t index);
void appendTo(RaftLog&, LogEntry, uint64_t sequence);
/// Removes the entry at the index and all later ones.
void truncateFrom(RaftLog&, uint64_t index);
/// Compacts the entries up to the index.
void dropUpTo(RaftLog&, uint64_t index);
/// Empties the log and sets its base.
void resetTo(RaftLog&, uint64_t index, uint64_t term);
/// Advances the durable index after the writes up to the sequence have become durable.
void advanceDurable(RaftLog&, uint64_t sequence);

}
