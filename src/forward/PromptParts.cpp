#include "forward/PromptParts.h"

#include <algorithm>
#include <charconv>

namespace siskinshunt {

// More parts than this are not looked at.
static constexpr size_t maxPartsOfPrompt = 32;

std::vector<PromptPart> parsePromptParts(std::string_view text)
{
    std::vector<PromptPart> out;
    while (!text.empty() && out.size() < maxPartsOfPrompt) {
        const auto entry = text.substr(0, text.find(','));
        const auto colon = entry.find(':');
        if (colon == std::string_view::npos)
            return {};
        PromptPart part;
        const auto hash = std::from_chars(entry.data(), entry.data() + colon, part.hash, 16);
        const auto tokens = std::from_chars(entry.data() + colon + 1, entry.data() + entry.size(), part.tokens);
        if (hash.ec != std::errc {} || hash.ptr != entry.data() + colon || tokens.ec != std::errc {} || tokens.ptr != entry.data() + entry.size())
            return {};
        out.push_back(part);
        text.remove_prefix(std::min(text.size(), entry.size() + 1));
    }
    return out;
}

static void expireOlder(PromptPartIndex& memory, TimeMs limit)
{
    for (auto it = memory.holders.begin(); it != memory.holders.end();) {
        std::erase_if(it->second, [&](const auto& holder) { return holder.lastUsed < limit; });
        it = it->second.empty() ? memory.holders.erase(it) : std::next(it);
    }
}

void recordPart(PromptPartIndex& memory, TimeMs now, uint64_t part, UpstreamId upstream)
{
    if (memory.holders.size() >= memory.maxParts)
        expireOlder(memory, now - memory.retention / 2);
    auto& holders = memory.holders[part];
    const auto it = std::find_if(holders.begin(), holders.end(), [&](const auto& holder) { return holder.upstream == upstream; });
    if (it == holders.end())
        holders.push_back({ upstream, now });
    else
        it->lastUsed = std::max(it->lastUsed, now);
}

void forgetUpstream(PromptPartIndex& memory, UpstreamId upstream)
{
    for (auto& [part, holders] : memory.holders)
        std::erase_if(holders, [&](const auto& holder) { return holder.upstream == upstream; });
}

uint32_t cachedPrefixTokens(const PromptPartIndex& memory, TimeMs now, const std::vector<PromptPart>& parts, UpstreamId upstream)
{
    uint32_t held = 0;
    for (const auto& part : parts) {
        const auto it = memory.holders.find(part.hash);
        if (it == memory.holders.end())
            return held;
        const bool holds = std::any_of(it->second.begin(), it->second.end(), [&](const auto& holder) { return holder.upstream == upstream && now - holder.lastUsed <= memory.retention; });
        if (!holds)
            return held;
        held += part.tokens;
    }
    return held;
}

void expireParts(PromptPartIndex& memory, TimeMs now)
{
    expireOlder(memory, now - memory.retention);
}

}
