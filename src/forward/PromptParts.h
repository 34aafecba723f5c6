#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

/// One part of a prompt. Engines cache parts that they have prefilled and do not prefill them again.
struct PromptPart {
    uint64_t hash = 0;
    uint32_t tokens = 0;

    bool operator==(const PromptPart&) const = default;
};

/// Parses "HEX:TOKENS,HEX:TOKENS". Empty on any error, so that the request counts as one without shared parts.
std::vector<PromptPart> parsePromptParts(std::string_view text);

/// Records which parts were sent to which upstreams, by this node or others.
struct PromptPartIndex {
    struct Holder {
        UpstreamId upstream;
        TimeMs lastUsed;
    };

    /// Engines evict the least recently used parts; a part that was not used for this long counts as evicted.
    TimeMs retention { 30000 };
    size_t maxParts = 20000; ///< When it is reached, entries older than half of `retention` are removed.
    std::unordered_map<uint64_t, std::vector<Holder>> holders;
};

/// Records that the upstream caches the part.
void recordPart(PromptPartIndex&, TimeMs now, uint64_t part, UpstreamId);
/// Removes all entries of an upstream that has restarted or left.
void forgetUpstream(PromptPartIndex&, UpstreamId);
/// Number of tokens in the leading parts that the upstream caches. A part counts only if all parts before it are cached.
uint32_t cachedPrefixTokens(const PromptPartIndex&, TimeMs now, const std::vector<PromptPart>&, UpstreamId);
/// Removes entries that were not used within `retention`.
void expireParts(PromptPartIndex&, TimeMs now);

}
