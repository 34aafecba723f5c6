#include "api/HttpMessage.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace siskinshunt {

bool equalHeaderNames(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view findHeader(const HttpHeaders& headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [&](const auto& header) { return equalHeaderNames(header.first, name); });
    return it == headers.end() ? std::string_view {} : std::string_view(it->second);
}

bool isHopByHopHeader(std::string_view name)
{
    for (const std::string_view it : { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade", "Expect" }) {
        if (equalHeaderNames(name, it))
            return true;
    }
    return false;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

static std::string percentDecode(std::string_view text)
{
    std::string out;
    for (size_t n = 0; n < text.size(); ++n) {
        unsigned value = 0;
        if (text[n] == '%' && n + 2 < text.size()) {
            const auto [end, ec] = std::from_chars(text.data() + n + 1, text.data() + n + 3, value, 16);
            if (ec == std::errc {} && end == text.data() + n + 3) {
                out.push_back(static_cast<char>(value));
                n += 2;
                continue;
            }
        }
        out.push_back(text[n] == '+' ? ' ' : text[n]);
    }
    return out;
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos)
        return {};
    auto query = target.substr(question + 1);
    while (!query.empty()) {
        const auto pair = query.substr(0, query.find('&'));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string {} : percentDecode(pair.substr(equals + 1));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
    }
    return {};
}

}
