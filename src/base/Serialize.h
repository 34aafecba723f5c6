#pragma once

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinshunt {

/// Serializes a byte string of at most `limit` bytes; throws cereal::Exception above it. Allocates memory as the bytes
/// are read, never for the length field alone.
template <class Archive>
void serializeBytes(Archive& archive, std::string& bytes, size_t limit)
{
    auto n = static_cast<uint32_t>(bytes.size());
    archive(n);
    if (n > limit)
        throw cereal::Exception("byte string of " + std::to_string(n) + " bytes exceeds " + std::to_string(limit));
    if constexpr (Archive::is_saving::value) {
        archive(cereal::binary_data(bytes.data(), bytes.size()));
    } else {
        constexpr size_t chunkBytes = 64 << 10;
        bytes.clear();
        while (bytes.size() < n) {
            const size_t at = bytes.size();
            bytes.resize(std::min<size_t>(n, at + chunkBytes));
            archive(cereal::binary_data(bytes.data() + at, bytes.size() - at));
        }
    }
}

/// Serializes a list of at most `limit` items; throws cereal::Exception above it, before allocating memory.
template <class Archive, class T>
void serializeList(Archive& archive, std::vector<T>& items, size_t limit)
{
    auto n = static_cast<uint32_t>(items.size());
    archive(n);
    if (n > limit)
        throw cereal::Exception("list of " + std::to_string(n) + " items exceeds " + std::to_string(limit));
    items.resize(n);
    for (auto& it : items)
        archive(it);
}

}
