#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Compresses bytes with Zstandard, at its fastest level. Throws std::runtime_error if memory runs out.
std::string compress(std::string_view bytes);

/// Whether the bytes begin as compress() begins its output.
bool isCompressed(std::string_view bytes);

/// Reverses compress(). Returns nothing if the bytes are damaged, or if the result would exceed `maxBytes`; a stated size alone
/// never causes an allocation beyond that.
std::optional<std::string> decompress(std::string_view bytes, size_t maxBytes);

}
