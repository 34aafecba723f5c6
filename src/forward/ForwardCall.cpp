#include "forward/ForwardCall.h"

#include "base/Hash.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace siskinshunt {

template <class T>
static std::optional<T> parseNumber(std::string_view text)
{
    T n {};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

std::optional<double> parseDecimal(std::string_view text)
{
    const auto rate = parseNumber<double>(text);
    return rate && std::isfinite(*rate) && *rate >= 0 ? rate : std::nullopt;
}

static void parseTokenCounts(std::string_view text, ForwardMetadata& metadata)
{
    const auto comma = text.find(',');
    if (comma == std::string_view::npos)
        return;
    const auto in = parseNumber<uint32_t>(text.substr(0, comma));
    const auto out = parseNumber<uint32_t>(text.substr(comma + 1));
    if (!in || !out)
        return;
    metadata.promptTokens = *in;
    metadata.tokens = uint64_t { *in } + *out;
    metadata.outputLimit = *out;
}

ForwardMetadata parseForwardMetadata(const HttpHeaders& headers, const HeaderNames& names)
{
    ForwardMetadata metadata;
    metadata.requestId = findHeader(headers, names.requestId);
    if (const auto left = parseNumber<int64_t>(findHeader(headers, names.timeLeft)); left && *left >= 0)
        metadata.timeLeft = TimeMs { *left };
    parseTokenCounts(findHeader(headers, names.tokens), metadata);
    metadata.lengthHint = parseDecimal(findHeader(headers, names.lengthHint)).value_or(0);
    metadata.parts = parsePromptParts(findHeader(headers, names.promptParts));
    return metadata;
}

static bool isOneOf(std::string_view name, const std::vector<std::string>& names)
{
    return std::any_of(names.begin(), names.end(), [&](const auto& it) { return equalHeaderNames(it, name); });
}

// Names of hop-by-hop headers that the Connection header lists.
static std::vector<std::string> connectionHeaderNames(const HttpHeaders& headers)
{
    std::vector<std::string> out;
    for (const auto& [name, value] : headers) {
        if (!equalHeaderNames(name, "Connection"))
            continue;
        std::string_view rest = value;
        while (!rest.empty()) {
            auto item = rest.substr(0, rest.find(','));
            rest.remove_prefix(std::min(rest.size(), item.size() + 1));
            const auto first = item.find_first_not_of(" \t");
            if (first == std::string_view::npos)
                continue;
            item = item.substr(first, item.find_last_not_of(" \t") - first + 1);
            // Host selects the route, so a caller must not have it removed.
            if (!equalHeaderNames(item, "Host"))
                out.emplace_back(item);
        }
    }
    return out;
}

uint64_t fingerprintOf(const HttpRequest& request, std::string_view account)
{
    return combineHash(combineHash(hash64(account), hash64(request.method)), combineHash(hash64(request.target), hash64(request.body)));
}

HttpRequest requestForUpstreams(HttpRequest request, const HeaderNames& names, const std::string& account, int urgency)
{
    const auto listed = connectionHeaderNames(request.headers);
    const auto isProtected = [&](std::string_view name) {
        return equalHeaderNames(name, names.requestId) || equalHeaderNames(name, names.tokens) || equalHeaderNames(name, names.lengthHint) || equalHeaderNames(name, names.promptParts) || equalHeaderNames(name, names.lastEvent);
    };
    std::erase_if(request.headers, [&](const auto& header) {
        const auto& name = header.first;
        if (equalHeaderNames(name, "Authorization") || equalHeaderNames(name, names.account) || equalHeaderNames(name, names.target)
            || equalHeaderNames(name, names.timeLeft) || equalHeaderNames(name, names.urgency) || equalHeaderNames(name, names.relayed) || isOneOf(name, names.reserved))
            return true;
        return isHopByHopHeader(name) || (!isProtected(name) && isOneOf(name, listed));
    });
    if (!account.empty())
        request.headers.emplace_back(names.account, account);
    request.headers.emplace_back(names.urgency, std::to_string(urgency));
    return request;
}

void addTimeLeft(HttpRequest& request, const HeaderNames& names, TimeMs left)
{
    request.headers.emplace_back(names.timeLeft, std::to_string(std::max<int64_t>(1, left.value)));
}

void addLastEvent(HttpRequest& request, const HeaderNames& names, const std::string& lastEvent)
{
    if (lastEvent.empty())
        return;
    std::erase_if(request.headers, [&](const auto& header) { return equalHeaderNames(header.first, names.lastEvent); });
    request.headers.emplace_back(names.lastEvent, lastEvent);
}

void addAttemptHeaders(HttpRequest& request, const HeaderNames& names, const std::string& target, TimeMs left, const std::string& lastEvent)
{
    request.headers.emplace_back(names.target, target);
    addTimeLeft(request, names, left);
    addLastEvent(request, names, lastEvent);
}

HttpHeaders headersForCaller(const HttpHeaders& headers)
{
    const auto listed = connectionHeaderNames(headers);
    HttpHeaders out;
    for (const auto& header : headers) {
        if (!isHopByHopHeader(header.first) && !isOneOf(header.first, listed))
            out.push_back(header);
    }
    return out;
}

}
