#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace siskinshunt {

struct SubsetMember {
    uint32_t slot = 0;
    uint64_t hash = 0; ///< Of the upstream's id.
    bool ownDomain = false;
};

/// Slots of the upstreams that a node uses: all if there are at most `size`, else `size` by rendezvous hash, those of the
/// own failure domain first but for a quarter. Nodes with equal `hash % groups` choose alike, so that prefixes they share stay together.
std::vector<uint32_t> chooseSubset(std::span<const SubsetMember>, uint32_t size, uint64_t nodeHash);

}
