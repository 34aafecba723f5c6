#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

/// One part of a prompt. Engines keep the parts that they have read and need not read them again.
struct PromptPart {
    uint64_t hash = 0;
    uint32_t tokens = 0;

    bool operator==(const PromptPart&) const = default;
};

/// Reads "HEX:TOKENS,HEX:TOKENS"; empty on any other form, so that the request is treated as one that shares nothing.
std::vector<PromptPart> parsePromptParts(std::string_view text);

/// Which upstream was sent which part, by this node or another one.
struct PromptPartIndex {
    struct Holder {
        UpstreamId upstream;
        TimeMs lastUsed;
    };

    /// Engines evict the parts used least recently; a part that was not used for this long counts as evicted.
    TimeMs retention { 30000 };
    size_t maxParts = 20000; ///< Bounds the memory; reaching it drops what is older than half of retention.
    std::unordered_map<uint64_t, std::vector<Holder>> holders;
};

/// Notes that the upstream holds the part.
void recordPart(PromptPartIndex&, TimeMs now, uint64_t part, UpstreamId);
/// Forgets all of an upstream that has restarted or gone.
void forgetUpstream(PromptPartIndex&, UpstreamId);
/// Tokens of the leading parts that the upstream holds: a part counts only if all parts before it are held.
uint32_t cachedPrefixTokens(const PromptPartIndex&, TimeMs now, const std::vector<PromptPart>&, UpstreamId);
/// Drops what has not been used for retention.
void expireParts(PromptPartIndex&, TimeMs now);

}
