#include "base/Compression.h"

#include <stdexcept>
#include <zstd.h>

namespace siskinshunt {

static constexpr int fastestLevel = 1;
static constexpr std::string_view frameMagic("\x28\xb5\x2f\xfd", 4);

std::string compress(std::string_view bytes)
{
    std::string out(ZSTD_compressBound(bytes.size()), '\0');
    const size_t n = ZSTD_compress(out.data(), out.size(), bytes.data(), bytes.size(), fastestLevel);
    if (ZSTD_isError(n))
        throw std::runtime_error(std::string("compress: ") + ZSTD_getErrorName(n));
    out.resize(n);
    out.shrink_to_fit();
    return out;
}

bool isCompressed(std::string_view bytes)
{
    return bytes.starts_with(frameMagic);
}

std::optional<std::string> decompress(std::string_view bytes, size_t maxBytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > maxBytes)
        return std::nullopt;
    std::string out(size, '\0');
    const size_t n = ZSTD_decompress(out.data(), out.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(n) || n != size)
        return std::nullopt;
    return out;
}

}
