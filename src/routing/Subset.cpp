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
        bool otherDomain;
        uint64_t rank;
        uint32_t slot;
    };
    std::vector<Ranked> ranked;
    for (const auto& it : members)
        ranked.push_back({ !it.ownDomain, combineHash(it.hash, group), it.slot });
    const auto before = [](const Ranked& a, const Ranked& b) { return a.otherDomain != b.otherDomain ? a.otherDomain < b.otherDomain : a.rank < b.rank; };
    // Up to a quarter always comes from other failure domains, so that upstreams remain after the loss of the own domain.
    const auto otherCount = static_cast<uint32_t>(std::count_if(ranked.begin(), ranked.end(), [](const auto& it) { return it.otherDomain; }));
    const uint32_t otherKept = std::min(otherCount, size / 4);
    std::sort(ranked.begin(), ranked.end(), before);
    const auto ownCount = static_cast<uint32_t>(ranked.size()) - otherCount;
    const uint32_t ownKept = std::min(ownCount, size - otherKept);
    for (uint32_t n = 0; n < ownKept; ++n)
        out.push_back(ranked[n].slot);
    for (uint32_t n = ownCount; n < ranked.size() && out.size() < size; ++n)
        out.push_back(ranked[n].slot);
    return out;
}

}
