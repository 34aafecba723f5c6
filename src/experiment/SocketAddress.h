#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

struct SocketAddress {
    std::string host;
    uint16_t port = 0;
};

/// Parses "IP:port". Returns nothing if the text has another form.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

}
