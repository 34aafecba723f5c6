#pragma once

#include "base/TimeMs.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace siskinshunt {

// Parsers of the value types of the rule language. Each returns nullopt on malformed text.

/// "400ms", "3s", "10m", "2h".
std::optional<TimeMs> parseDuration(std::string_view text);
/// "5%" or "0.5%" as a fraction, 0 to 1.
std::optional<double> parsePercent(std::string_view text);
/// "50/s" as events per second.
std::optional<double> parseRate(std::string_view text);
/// A non-negative decimal number.
std::optional<double> parseNumber(std::string_view text);
/// A non-negative integer.
std::optional<uint64_t> parseCount(std::string_view text);
/// "512KB", "16MB" or a plain count of bytes; units are powers of 1024.
std::optional<uint64_t> parseBytes(std::string_view text);
/// "1.25x" as a factor.
std::optional<double> parseFactor(std::string_view text);
/// "2026-12-03T22:00Z" or "2026-12-03T22:00:30Z" as milliseconds since 1970.
std::optional<TimeMs> parseUtc(std::string_view text);
/// Whether the text consists of 1 to 64 letters, digits, '.', '_' and '-'.
bool isRuleName(std::string_view text);

}
