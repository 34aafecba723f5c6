#pragma once

#include "experiment/Json.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinshunt {

/// The answers of the stand-ins depend only on the request, so that a client can check each answer completely: token k is a
/// word of five letters and a space, derived from xxh64(prompt) and k. An answer always has `max_tokens` tokens. Prompt tokens
/// and prefix blocks are defined by base/PrefixHash.h, with seed 0.

/// The prompt of a request body: `prompt`, or the contents of `messages` joined by newlines.
std::string promptOf(const Json& body);

uint64_t promptHash(std::string_view prompt);
std::string answerToken(uint64_t promptHash, uint64_t k);
/// Tokens [from, from + count) of the answer.
std::string expectedAnswer(std::string_view prompt, uint64_t from, uint64_t count);

/// Length of an answer token in bytes.
constexpr size_t answerTokenSize = 6;

/// The request target after "/services/NAME"; the whole target when it has no such prefix.
std::string_view serviceTarget(std::string_view target);

/// Value of `confirmation` in the answer of a plain service, as 16 hexadecimal digits.
std::string serviceConfirmation(std::string_view method, std::string_view target, std::string_view body);

}
