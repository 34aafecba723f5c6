#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace siskinshunt {

/// An upstream's slot in the routing table together with the generation of its cache, so that entries of an earlier
/// incarnation do not count. Zero means none.
struct CacheHolder {
    uint32_t value = 0;

    bool operator==(const CacheHolder&) const = default;
};

CacheHolder cacheHolder(uint32_t slot, uint8_t generation);
uint32_t slotOf(CacheHolder);

/// Bounded index from the chained hash of a prompt block to the upstreams that are thought to cache it. It is a hint:
/// entries come from events that are late and lossy, from replies and from own dispatches, and old ones are replaced.
struct PrefixIndex {
    static constexpr uint32_t holdersPerBlock = 4;

    struct Entry {
        uint64_t block = 0;
        CacheHolder holders[holdersPerBlock] {}; ///< Most recently confirmed first.
        uint32_t lastUsedTick = 0; ///< Value of `ticks` at the last use.
    };

    /// The capacity is rounded up to a power of two; an entry takes 32 bytes.
    explicit PrefixIndex(uint32_t capacity = 1 << 16);

    std::vector<Entry> entries;
    uint32_t ticks = 0;
};

/// Notes that the holder caches the block.
void addHolder(PrefixIndex&, uint64_t block, CacheHolder);

/// Notes that the holder evicted the block.
void removeHolder(PrefixIndex&, uint64_t block, CacheHolder);

/// Entry of the block, or null.
const PrefixIndex::Entry* findBlock(const PrefixIndex&, uint64_t block);

/// Count of leading blocks that the holder is thought to cache.
uint32_t expectedBlocks(const PrefixIndex&, std::span<const uint64_t> blocks, CacheHolder);

/// Corrects the index by a reply: the holder computed what it lacked of the prompt, so it holds all blocks now.
void recordCachedBlocks(PrefixIndex&, std::span<const uint64_t> blocks, CacheHolder);

}
