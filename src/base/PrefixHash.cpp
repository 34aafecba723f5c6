#include "base/PrefixHash.h"

#include "base/Hash.h"

#include <algorithm>

namespace siskinshunt {

uint32_t estimateTokens(std::string_view text)
{
    return static_cast<uint32_t>(std::max<size_t>(1, (text.size() + bytesPerToken - 1) / bytesPerToken));
}

std::vector<uint64_t> prefixHashes(std::string_view text, uint64_t seed)
{
    constexpr size_t blockBytes = size_t { prefixBlockTokens } * bytesPerToken;
    std::vector<uint64_t> out;
    out.reserve(text.size() / blockBytes);
    for (uint64_t chain = seed; text.size() >= blockBytes; text.remove_prefix(blockBytes)) {
        chain = hash64(text.substr(0, blockBytes), chain);
        out.push_back(chain);
    }
    return out;
}

}
