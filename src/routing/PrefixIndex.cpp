#include "routing/PrefixIndex.h"

#include "base/Invariant.h"

#include <algorithm>
#include <bit>

namespace siskinshunt {

namespace {
    constexpr uint32_t slotBits = 24;
    constexpr uint64_t ways = 4; ///< Associativity: entries per set.

    uint64_t firstWay(const PrefixIndex& index, uint64_t block)
    {
        // The low bits of the chained hash select the set; they are as well distributed as the others.
        return block & (index.entries.size() - 1) & ~(ways - 1);
    }

    PrefixIndex::Entry* findEntry(PrefixIndex& index, uint64_t block)
    {
        const uint64_t first = firstWay(index, block);
        for (uint64_t n = first; n < first + ways; ++n) {
            if (index.entries[n].block == block)
                return &index.entries[n];
        }
        return nullptr;
    }

    PrefixIndex::Entry& oldestOfSet(PrefixIndex& index, uint64_t block)
    {
        const uint64_t first = firstWay(index, block);
        auto* oldest = &index.entries[first];
        for (uint64_t n = first + 1; n < first + ways; ++n) {
            if (index.ticks - index.entries[n].lastUsedTick > index.ticks - oldest->lastUsedTick)
                oldest = &index.entries[n];
        }
        return *oldest;
    }

    bool holds(const PrefixIndex::Entry& entry, CacheHolder holder)
    {
        return std::find(std::begin(entry.holders), std::end(entry.holders), holder) != std::end(entry.holders);
    }
}

CacheHolder cacheHolder(uint32_t slot, uint8_t generation)
{
    INVARIANT(slot < (1U << slotBits) - 1, "slot fits the prefix index", "slot", slot);
    return { (uint32_t { generation } << slotBits) | (slot + 1) };
}

uint32_t slotOf(CacheHolder holder)
{
    return (holder.value & ((1U << slotBits) - 1)) - 1;
}

PrefixIndex::PrefixIndex(uint32_t capacity)
    : entries(std::bit_ceil(std::max<uint32_t>(capacity, ways)))
{
}

void addHolder(PrefixIndex& index, uint64_t block, CacheHolder holder)
{
    ++index.ticks;
    auto* entry = findEntry(index, block);
    if (!entry) {
        entry = &oldestOfSet(index, block);
        *entry = { .block = block };
    }
    entry->lastUsedTick = index.ticks;
    auto* const begin = std::begin(entry->holders);
    auto* const end = std::end(entry->holders);
    auto* it = std::find(begin, end, holder);
    if (it == end)
        it = end - 1;
    std::move_backward(begin, it, it + 1);
    *begin = holder;
}

void removeHolder(PrefixIndex& index, uint64_t block, CacheHolder holder)
{
    auto* entry = findEntry(index, block);
    if (!entry)
        return;
    auto* const end = std::end(entry->holders);
    auto* const kept = std::remove(std::begin(entry->holders), end, holder);
    std::fill(kept, end, CacheHolder {});
}

const PrefixIndex::Entry* findBlock(const PrefixIndex& index, uint64_t block)
{
    const uint64_t first = firstWay(index, block);
    for (uint64_t n = first; n < first + ways; ++n) {
        if (index.entries[n].block == block)
            return &index.entries[n];
    }
    return nullptr;
}

uint32_t expectedBlocks(const PrefixIndex& index, std::span<const uint64_t> blocks, CacheHolder holder)
{
    // An engine that caches a block also caches all preceding blocks, so the count is found by binary search.
    size_t low = 0;
    size_t high = blocks.size();
    while (low < high) {
        const size_t middle = (low + high + 1) / 2;
        const auto* entry = findBlock(index, blocks[middle - 1]);
        if (entry && holds(*entry, holder))
            low = middle;
        else
            high = middle - 1;
    }
    return static_cast<uint32_t>(low);
}

void recordCachedBlocks(PrefixIndex& index, std::span<const uint64_t> blocks, CacheHolder holder)
{
    for (uint64_t block : blocks)
        addHolder(index, block, holder);
}

}
