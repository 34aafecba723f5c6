#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace siskinshunt {

/// Prefix cache of an emulated engine: an LRU cache of block hashes with a bounded number of blocks.
struct BlockCache {
    size_t capacity = 0; ///< In blocks.
    std::list<uint64_t> order; ///< Most recently used first.
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> blocks;
};

/// Returns the number of leading blocks that are cached and marks them as recently used.
uint32_t matchBlocks(BlockCache&, std::span<const uint64_t> blocks);

/// Inserts a block. Returns the hash of the evicted block, or 0.
uint64_t insertBlock(BlockCache&, uint64_t block);

}
