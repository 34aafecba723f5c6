#include "consensus/RaftLog.h"

#include "base/Invariant.h"

#include <algorithm>

namespace siskinshunt {

uint64_t lastIndex(const RaftLog& log)
{
    return log.baseIndex + log.entries.size();
}

uint64_t lastTerm(const RaftLog& log)
{
    return log.entries.empty() ? log.baseTerm : log.entries.back().term;
}

bool hasTerm(const RaftLog& log, uint64_t index)
{
    return index >= log.baseIndex && index <= lastIndex(log);
}

uint64_t termAt(const RaftLog& log, uint64_t index)
{
    if (!hasTerm(log, index))
        return 0;
    return index == log.baseIndex ? log.baseTerm : entryAt(log, index).term;
}

const LogEntry& entryAt(const RaftLog& log, uint64_t index)
{
    INVARIANT(index > log.baseIndex && index <= lastIndex(log), "entry is in the log", "index", index, "base", log.baseIndex);
    return log.entries[index - log.baseIndex - 1];
}

void appendTo(RaftLog& log, LogEntry entry, uint64_t sequence)
{
    INVARIANT(entry.index == lastIndex(log) + 1, "log has no gaps", "index", entry.index, "last", lastIndex(log));
    INVARIANT(entry.term >= lastTerm(log), "terms never decrease in the log", "term", entry.term, "last", lastTerm(log));
    log.entries.push_back(std::move(entry));
    log.sequences.push_back(sequence);
}

void truncateFrom(RaftLog& log, uint64_t index)
{
    if (index > lastIndex(log))
        return;
    INVARIANT(index > log.baseIndex, "compacted entries are never truncated", "index", index, "base", log.baseIndex);
    log.entries.resize(index - log.baseIndex - 1);
    log.sequences.resize(log.entries.size());
    log.durableIndex = std::min(log.durableIndex, index - 1);
    log.writtenIndex = std::min(log.writtenIndex, index - 1);
}

void dropUpTo(RaftLog& log, uint64_t index)
{
    if (index <= log.baseIndex)
        return;
    log.baseTerm = termAt(log, index);
    const auto n = static_cast<ptrdiff_t>(index - log.baseIndex);
    log.entries.erase(log.entries.begin(), log.entries.begin() + n);
    log.sequences.erase(log.sequences.begin(), log.sequences.begin() + n);
    log.baseIndex = index;
}

void resetTo(RaftLog& log, uint64_t index, uint64_t term)
{
    log = { .baseIndex = index, .baseTerm = term, .entries = {}, .sequences = {}, .durableIndex = index, .writtenIndex = index };
}

void advanceDurable(RaftLog& log, uint64_t sequence)
{
    log.durableIndex = std::max(log.durableIndex, log.baseIndex);
    while (log.durableIndex < lastIndex(log) && log.sequences[log.durableIndex - log.baseIndex] <= sequence)
        ++log.durableIndex;
    INVARIANT(log.durableIndex <= log.writtenIndex, "only written entries become durable", "durable", log.durableIndex,
        "written", log.writtenIndex);
}

}
