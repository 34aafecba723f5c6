#include "emulator/BlockCache.h"

namespace siskinshunt {

uint32_t matchBlocks(BlockCache& cache, std::span<const uint64_t> blocks)
{
    uint32_t matched = 0;
    while (matched < blocks.size() && cache.blocks.contains(blocks[matched]))
        ++matched;
    // Touches the last block first, so that a block is evicted only after the blocks that extend it.
    for (uint32_t n = matched; n-- > 0;) {
        const auto it = cache.blocks.find(blocks[n]);
        cache.order.splice(cache.order.begin(), cache.order, it->second);
    }
    return matched;
}

uint64_t insertBlock(BlockCache& cache, uint64_t block)
{
    if (!cache.capacity)
        return block;
    uint64_t evicted = 0;
    if (cache.blocks.size() >= cache.capacity) {
        evicted = cache.order.back();
        cache.blocks.erase(evicted);
        cache.order.pop_back();
    }
    cache.order.push_front(block);
    cache.blocks[block] = cache.order.begin();
    return evicted;
}

}
