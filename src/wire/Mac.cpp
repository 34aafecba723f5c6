#include "wire/Mac.h"

#include "base/Hash.h"
#include "base/Invariant.h"

#include <algorithm>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace siskinshunt {

Mac computeMac(const MacKey& key, std::string_view message)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    const auto* data = reinterpret_cast<const unsigned char*>(message.data());
    const auto* done = HMAC(EVP_sha256(), key.bytes.data(), static_cast<int>(key.bytes.size()), data, message.size(), digest.data(), &size);
    INVARIANT(done && size == 32, "HMAC-SHA-256 is available", "size", size);
    Mac mac {};
    std::copy_n(digest.begin(), mac.size(), mac.begin());
    return mac;
}

bool verifyMac(const MacKey& key, std::string_view message, std::string_view mac)
{
    const Mac expected = computeMac(key, message);
    return equalConstantTime({ expected.data(), expected.size() }, mac);
}

}
