#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace siskinshunt {

/// Slot of an upstream in the routing table combined with the generation of its cache, so that entries of an earlier
/// incarnation never match. Zero means no holder.
struct CacheHolder {
    uint32_t value = 0;

    bool operator==(const CacheHolder&) const = default;
};

CacheHolder cacheHolder(uint32_t slot, uint8_t generation);
uint32_t slotOf(CacheHolder);

/// Bounded index from the chained hash of a prompt block to the upstreams that are expected to cache it. Entries are only
/// hints: they come from cache events, which can be delayed or lost, and from replies; the least recently updated entry of
/// a set is replaced.
struct PrefixIndex {
    static constexpr uint32_t holdersPerBlock = 4;

    struct Entry {
        uint64_t block = 0;
        CacheHolder holders[holdersPerBlock] {}; ///< Most recently confirmed first.
        uint32_t lastUsedTick = 0; ///< Value of `ticks` at the last update.
    };

    /// The capacity is rounded up to a power of two; an entry takes 32 bytes.
    explicit PrefixIndex(uint32_t capacity = 1 << 16);

    std::vector<Entry> entries;
    uint32_t ticks = 0;
};

/// Records that the holder caches the block.
void addHolder(PrefixIndex&, uint64_t block, CacheHolder);

/// Records that the holder evicted the block.
void removeHolder(PrefixIndex&, uint64_t block, CacheHolder);

/// Returns the entry of the block, or null.
const PrefixIndex::Entry* findBlock(const PrefixIndex&, uint64_t block);

/// Number of leading blocks that the holder is expected to cache.
uint32_t expectedBlocks(const PrefixIndex&, std::span<const uint64_t> blocks, CacheHolder);

/// Records a reply: the holder has computed the uncached blocks of the prompt and now caches all of them.
void recordCachedBlocks(PrefixIndex&, std::span<const uint64_t> blocks, CacheHolder);

}
