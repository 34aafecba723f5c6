#include "experiment/SocketAddress.h"

#include <charconv>

namespace siskinshunt {

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
