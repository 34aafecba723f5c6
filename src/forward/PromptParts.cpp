#include "forward/PromptParts.h"

#include <algorithm>
#include <charconv>

namespace siskinshunt {

// Further parts of a prompt are ignored.
static constexpr size_t maxPromptParts = 32;

std::vector<PromptPart> parsePromptParts(std::string_view text)
{
    std::vector<PromptPart> out;
    while (!text.empty() && out.size() < maxPromptParts) {
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

static void expireOlderThan(PromptPartIndex& index, TimeMs limit)
{
    for (auto it = index.holders.begin(); it != index.holders.end();) {
        std::erase_if(it->second, [&](const auto& holder) { return holder.lastUsed < limit; });
        it = it->second.empty() ? index.holders.erase(it) : std::next(it);
    }
}

void recordPart(PromptPartIndex& index, TimeMs now, uint64_t part, UpstreamId upstream)
{
    if (index.holders.size() >= index.maxParts)
        expireOlderThan(index, now - index.retention / 2);
    auto& holders = index.holders[part];
    const auto it = std::find_if(holders.begin(), holders.end(), [&](const auto& holder) { return holder.upstream == upstream; });
    if (it == holders.end())
        holders.push_back({ upstream, now });
    else
        it->lastUsed = std::max(it->lastUsed, now);
}

void forgetUpstream(PromptPartIndex& index, UpstreamId upstream)
{
    for (auto& [part, holders] : index.holders)
        std::erase_if(holders, [&](const auto& holder) { return holder.upstream == upstream; });
}

uint32_t cachedPrefixTokens(const PromptPartIndex& index, TimeMs now, const std::vector<PromptPart>& parts, UpstreamId upstream)
{
    uint32_t cached = 0;
    for (const auto& part : parts) {
        const auto it = index.holders.find(part.hash);
        if (it == index.holders.end())
            return cached;
        const bool holds = std::any_of(it->second.begin(), it->second.end(), [&](const auto& holder) { return holder.upstream == upstream && now - holder.lastUsed <= index.retention; });
        if (!holds)
            return cached;
        cached += part.tokens;
    }
    return cached;
}

void expireParts(PromptPartIndex& index, TimeMs now)
{
    expireOlderThan(index, now - index.retention);
}

}
