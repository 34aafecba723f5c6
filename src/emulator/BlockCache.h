#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace siskinshunt {

/// Prefix cache of an emulated engine: block hashes in least-recently-used order within a bounded count of blocks.
struct BlockCache {
    size_t capacity = 0; ///< Blocks.
    std::list<uint64_t> order; ///< Most recently used first.
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> blocks;
};

/// Count of leading blocks that the cache holds; marks them as used.
uint32_t matchBlocks(BlockCache&, std::span<const uint64_t> blocks);

/// Inserts a block. Returns the hash that was evicted for it, or 0.
uint64_t insertBlock(BlockCache&, uint64_t block);

}
