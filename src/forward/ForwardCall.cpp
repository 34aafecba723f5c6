#include "forward/ForwardCall.h"

#include <algorithm>
#include <charconv>

namespace siskinshunt {

template <class T>
static std::optional<T> parseNumberOf(std::string_view text)
{
    T n {};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

static void readTokens(std::string_view text, ForwardFacts& facts)
{
    const auto comma = text.find(',');
    if (comma == std::string_view::npos)
        return;
    const auto in = parseNumberOf<uint32_t>(text.substr(0, comma));
    const auto out = parseNumberOf<uint32_t>(text.substr(comma + 1));
    if (!in || !out)
        return;
    facts.promptTokens = *in;
    facts.tokens = uint64_t { *in } + *out;
}

ForwardFacts readFacts(const HttpHeaders& headers, const HeaderNames& names)
{
    ForwardFacts facts;
    facts.requestId = findHeader(headers, names.requestId);
    if (const auto left = parseNumberOf<int64_t>(findHeader(headers, names.timeLeft)); left && *left >= 0)
        facts.timeLeft = TimeMs { *left };
    readTokens(findHeader(headers, names.tokens), facts);
    facts.parts = parsePromptParts(findHeader(headers, names.promptParts));
    return facts;
}

static bool isOneOf(std::string_view name, const std::vector<std::string>& names)
{
    return std::any_of(names.begin(), names.end(), [&](const auto& it) { return equalHeaderNames(it, name); });
}

// Names that the Connection header lists as concerning only this connection.
static std::vector<std::string> namesOfConnection(const HttpHeaders& headers)
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
            // A caller cannot have the headers removed that decide about its own request.
            if (!equalHeaderNames(item, "Host"))
                out.emplace_back(item);
        }
    }
    return out;
}

HttpRequest requestForUpstreams(HttpRequest request, const HeaderNames& names, const std::string& account, int urgency)
{
    const auto listed = namesOfConnection(request.headers);
    const auto keep = [&](std::string_view name) {
        return equalHeaderNames(name, names.requestId) || equalHeaderNames(name, names.tokens) || equalHeaderNames(name, names.promptParts) || equalHeaderNames(name, names.lastEvent);
    };
    std::erase_if(request.headers, [&](const auto& header) {
        const auto& name = header.first;
        if (equalHeaderNames(name, "Authorization") || equalHeaderNames(name, names.account) || equalHeaderNames(name, names.target)
            || equalHeaderNames(name, names.timeLeft) || equalHeaderNames(name, names.urgency) || isOneOf(name, names.reserved))
            return true;
        return isHopByHopHeader(name) || (!keep(name) && isOneOf(name, listed));
    });
    if (!account.empty())
        request.headers.emplace_back(names.account, account);
    request.headers.emplace_back(names.urgency, std::to_string(urgency));
    return request;
}

void addAttemptHeaders(HttpRequest& request, const HeaderNames& names, const std::string& target, TimeMs left, const std::string& lastEvent)
{
    request.headers.emplace_back(names.target, target);
    request.headers.emplace_back(names.timeLeft, std::to_string(std::max<int64_t>(1, left.value)));
    if (lastEvent.empty())
        return;
    std::erase_if(request.headers, [&](const auto& header) { return equalHeaderNames(header.first, names.lastEvent); });
    request.headers.emplace_back(names.lastEvent, lastEvent);
}

HttpHeaders headersForCaller(const HttpHeaders& headers)
{
    const auto listed = namesOfConnection(headers);
    HttpHeaders out;
    for (const auto& header : headers) {
        if (!isHopByHopHeader(header.first) && !isOneOf(header.first, listed))
            out.push_back(header);
    }
    return out;
}

}
