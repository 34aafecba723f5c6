#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace siskinshunt {

struct SubsetMember {
    uint32_t slot = 0;
    uint64_t hash = 0; ///< Hash of the upstream's id.
    bool ownDomain = false;
};

/// Returns the slots of the upstreams that a node uses: all if there are at most `size`, otherwise `size` chosen by
/// rendezvous hashing. Upstreams of the own failure domain are preferred, but a quarter is reserved for other domains.
/// Nodes with equal `nodeHash % groups` rank the members alike, so that prefixes they share go to the same upstreams.
std::vector<uint32_t> chooseSubset(std::span<const SubsetMember>, uint32_t size, uint64_t nodeHash);

}
