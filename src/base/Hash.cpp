#include "base/Hash.h"

#include <array>
#include <cstdio>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace siskinshunt {

uint64_t hash64(std::string_view text, uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

uint64_t combineHash(uint64_t a, uint64_t b)
{
    const std::array<uint64_t, 2> pair { a, b };
    return XXH64(pair.data(), sizeof(pair), 0);
}

std::string formatHash(uint64_t hash)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(hash));
    return text;
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(digest.size() * 2);
    for (unsigned char byte : digest) {
        out.push_back(digits[byte >> 4]);
        out.push_back(digits[byte & 15]);
    }
    return out;
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}
