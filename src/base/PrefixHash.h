#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// Tokens per block of a prefix cache.
constexpr uint32_t prefixBlockTokens = 256;

/// Bytes of prompt text per token, used where no tokenizer is available.
constexpr uint32_t bytesPerToken = 4;

/// Estimated token count of a text; at least 1.
uint32_t estimateTokens(std::string_view text);

/// Chained hashes of the full blocks of a prompt: entry n covers all bytes up to the end of block n, so equal entries
/// mean equal prefixes. The seed separates models.
std::vector<uint64_t> prefixHashes(std::string_view text, uint64_t seed = 0);

}
