#include "routing/Subset.h"

#include "base/Hash.h"

#include <algorithm>

namespace siskinshunt {

std::vector<uint32_t> chooseSubset(std::span<const SubsetMember> members, uint32_t size, uint64_t nodeHash)
{
    std::vector<uint32_t> out;
    if (members.size() <= size) {
        for (const auto& it : members)
            out.push_back(it.slot);
        return out;
    }
    const uint64_t groups = (members.size() + size - 1) / std::max<uint32_t>(size, 1);
    const uint64_t group = nodeHash % groups;
    struct Ranked {
        bool foreign;
        uint64_t rank;
        uint32_t slot;
    };
    std::vector<Ranked> ranked;
    for (const auto& it : members)
        ranked.push_back({ !it.ownDomain, combineHash(it.hash, group), it.slot });
    const auto before = [](const Ranked& a, const Ranked& b) { return a.foreign != b.foreign ? a.foreign < b.foreign : a.rank < b.rank; };
    // A quarter comes from other domains in any case, so that the loss of the own domain leaves upstreams at hand.
    const auto foreignCount = static_cast<uint32_t>(std::count_if(ranked.begin(), ranked.end(), [](const auto& it) { return it.foreign; }));
    const uint32_t foreignKept = std::min(foreignCount, size / 4);
    std::sort(ranked.begin(), ranked.end(), before);
    const auto ownCount = static_cast<uint32_t>(ranked.size()) - foreignCount;
    const uint32_t ownKept = std::min(ownCount, size - foreignKept);
    for (uint32_t n = 0; n < ownKept; ++n)
        out.push_back(ranked[n].slot);
    for (uint32_t n = ownCount; n < ranked.size() && out.size() < size; ++n)
        out.push_back(ranked[n].slot);
    return out;
}

}
