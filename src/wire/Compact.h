#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

// Compact serialization for datagrams, which avoids cereal's 8-byte sizes. Works with any cereal archive.

/// Unsigned integer as a varint (7-bit groups), 1 to 10 bytes.
template <class Archive>
void serializeVarint(Archive& archive, uint64_t& value)
{
    if constexpr (Archive::is_loading::value) {
        value = 0;
        for (int shift = 0;; shift += 7) {
            uint8_t byte = 0;
            archive(byte);
            if (shift > 63 || (shift == 63 && byte > 1))
                throw cereal::Exception("varint exceeds 64 bits");
            value |= static_cast<uint64_t>(byte & 127) << shift;
            if (!(byte & 128))
                return;
        }
    } else {
        uint64_t rest = value;
        do {
            const auto byte = static_cast<uint8_t>((rest & 127) | (rest > 127 ? 128 : 0));
            archive(byte);
            rest >>= 7;
        } while (rest);
    }
}

/// String of at most 255 bytes; longer ones are truncated.
template <class Archive>
void serializeShortString(Archive& archive, std::string& text)
{
    auto size = static_cast<uint8_t>(std::min<size_t>(text.size(), 255));
    archive(size);
    if constexpr (Archive::is_loading::value)
        text.resize(size);
    archive(cereal::binary_data(text.data(), size));
}

/// Vector of at most 255 elements; longer ones are truncated.
template <class Archive, class T>
void serializeShortVector(Archive& archive, std::vector<T>& values)
{
    auto size = static_cast<uint8_t>(std::min<size_t>(values.size(), 255));
    archive(size);
    if constexpr (Archive::is_loading::value) {
        values.clear();
        for (uint8_t n = 0; n < size; ++n)
            archive(values.emplace_back());
    } else {
        for (uint8_t n = 0; n < size; ++n)
            archive(values[n]);
    }
}

/// Encoded size of serializeVarint() in bytes.
constexpr size_t varintSize(uint64_t value)
{
    size_t n = 1;
    for (; value > 127; value >>= 7)
        ++n;
    return n;
}

}
