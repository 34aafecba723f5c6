#pragma once

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/unordered_map.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>
#include <vector>

namespace siskinshunt {
class BoundedInput;
}

/// Registers the output archive whose format BoundedInput reads.
template <>
struct cereal::traits::detail::get_output_from_input<siskinshunt::BoundedInput> {
    using type = cereal::PortableBinaryOutputArchive;
};

namespace siskinshunt {

static_assert(std::endian::native == std::endian::little, "the wire format is little-endian and copied without swapping");

/// Input archive over bytes in memory for cereal's portable binary format. It rejects container sizes that exceed
/// the remaining bytes, so a malicious length field never causes a large allocation. Throws cereal::Exception.
class BoundedInput : public cereal::InputArchive<BoundedInput, cereal::AllowEmptyClassElision> {
public:
    explicit BoundedInput(std::string_view bytes)
        : cereal::InputArchive<BoundedInput, cereal::AllowEmptyClassElision>(this)
        , m_bytes(bytes)
    {
        if (loadByte() != littleEndianMark)
            throw cereal::Exception("byte order mark is not little-endian");
    }

    size_t remaining() const { return m_bytes.size(); }

    void loadBytes(void* data, size_t size)
    {
        if (size > m_bytes.size())
            throw cereal::Exception("unexpected end of message");
        if (size)
            std::memcpy(data, m_bytes.data(), size);
        m_bytes.remove_prefix(size);
    }

    uint8_t loadByte()
    {
        uint8_t byte = 0;
        loadBytes(&byte, 1);
        return byte;
    }

    /// Throws if `count` elements of at least `bytesEach` bytes exceed the remaining bytes.
    void checkCount(uint64_t count, size_t bytesEach) const
    {
        if (count > m_bytes.size() / bytesEach)
            throw cereal::Exception("container size exceeds the message");
    }

    static constexpr uint8_t littleEndianMark = 1;

private:
    std::string_view m_bytes;
};

template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(BoundedInput& archive, T& value)
{
    if constexpr (std::is_same_v<T, bool>) {
        const uint8_t byte = archive.loadByte();
        if (byte > 1)
            throw cereal::Exception("boolean is neither 0 nor 1");
        value = byte == 1;
    } else {
        archive.loadBytes(&value, sizeof(value));
    }
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInput& archive, cereal::BinaryData<T>& data)
{
    archive.loadBytes(data.data, static_cast<size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInput& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInput& archive, cereal::SizeTag<T>& tag)
{
    uint64_t size = 0;
    archive.loadBytes(&size, sizeof(size));
    archive.checkCount(size, 1);
    tag.size = static_cast<std::remove_reference_t<T>>(size);
}

/// Grows the vector while elements are decoded instead of resizing it to the untrusted length first.
template <class T, class Allocator>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInput& archive, std::vector<T, Allocator>& values)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    values.clear();
    if constexpr (std::is_arithmetic_v<T> && !std::is_same_v<T, bool>) {
        archive.checkCount(size, sizeof(T));
        values.resize(static_cast<size_t>(size));
        archive.loadBytes(values.data(), values.size() * sizeof(T));
    } else {
        for (cereal::size_type n = 0; n < size; ++n) {
            T value {};
            archive(value);
            values.push_back(std::move(value));
        }
    }
}

}
