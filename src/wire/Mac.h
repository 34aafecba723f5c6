#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Shared secret of the nodes of a cluster; at least 16 bytes.
struct MacKey {
    std::string bytes;
};

/// HMAC-SHA-256 truncated to 16 bytes.
using Mac = std::array<char, 16>;

Mac computeMac(const MacKey&, std::string_view message);

/// Compares in constant time; false if `mac` is not 16 bytes long.
bool verifyMac(const MacKey&, std::string_view message, std::string_view mac);

}
