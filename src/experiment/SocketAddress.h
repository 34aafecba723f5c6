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

/// Splits "IP:port"; none when it is not in this form.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

}
