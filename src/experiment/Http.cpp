#include "experiment/Http.h"

#include <algorithm>
#include <charconv>

namespace siskinshunt {

static char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view findHeader(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (std::equal(key.begin(), key.end(), name.begin(), name.end(), [](char a, char b) { return lower(a) == lower(b); }))
            return value;
    }
    return {};
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view queryOf(std::string_view target, std::string_view name)
{
    const auto start = target.find('?');
    auto rest = start == std::string_view::npos ? std::string_view {} : target.substr(start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return pair.substr(equals + 1);
        rest = end == std::string_view::npos ? std::string_view {} : rest.substr(end + 1);
    }
    return {};
}

std::optional<SocketAddress> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    SocketAddress out { .host = std::string(text.substr(0, colon)) };
    const auto digits = text.substr(colon + 1);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), out.port);
    if (ec != std::errc {} || end != digits.data() + digits.size() || out.port == 0)
        return std::nullopt;
    return out;
}

}
