#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinshunt {

/// 64-bit xxHash of the text; stable across processes and versions.
uint64_t hash64(std::string_view text, uint64_t seed = 0);

/// Combines two hash values; the result depends on their order.
uint64_t combineHash(uint64_t a, uint64_t b);

/// The value as 16 lower-case hex digits.
std::string formatHash(uint64_t);

/// SHA-256 of the text as 64 lower-case hex digits.
std::string sha256Hex(std::string_view text);

/// Constant-time comparison: the time depends only on the lengths, not on the contents.
bool equalConstantTime(std::string_view a, std::string_view b);

}
