#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace siskinshunt {

static_assert(std::endian::native == std::endian::little, "commands and snapshots are stored as little-endian");

/// cereal archive that appends little-endian binary data to a string.
class StateWriter : public cereal::OutputArchive<StateWriter, cereal::AllowEmptyClassElision> {
public:
    explicit StateWriter(std::string& out)
        : cereal::OutputArchive<StateWriter, cereal::AllowEmptyClassElision>(this)
        , m_out(out)
    {
    }
    void saveBinary(const void* data, size_t size) { m_out.append(static_cast<const char*>(data), size); }

private:
    std::string& m_out;
};

/// cereal archive that reads untrusted input. A container with more elements than remaining bytes is rejected, so that
/// memory use is proportional to the input size. Throws cereal::Exception on malformed input.
class StateReader : public cereal::InputArchive<StateReader, cereal::AllowEmptyClassElision> {
public:
    explicit StateReader(std::string_view bytes)
        : cereal::InputArchive<StateReader, cereal::AllowEmptyClassElision>(this)
        , m_bytes(bytes)
    {
    }
    void loadBinary(void* data, size_t size)
    {
        if (size > m_bytes.size())
            throw cereal::Exception("truncated");
        if (size)
            std::memcpy(data, m_bytes.data(), size);
        m_bytes.remove_prefix(size);
    }
    size_t remaining() const { return m_bytes.size(); }

private:
    std::string_view m_bytes;
};

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(StateWriter& archive, const T& value)
{
    archive.saveBinary(&value, sizeof(value));
}

template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(StateReader& archive, T& value)
{
    if constexpr (std::is_same_v<T, bool>) {
        uint8_t byte = 0;
        archive.loadBinary(&byte, 1);
        if (byte > 1)
            throw cereal::Exception("value is not a boolean");
        value = byte != 0;
    } else {
        archive.loadBinary(&value, sizeof(value));
    }
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(StateWriter& archive, const cereal::BinaryData<T>& data)
{
    archive.saveBinary(data.data, static_cast<size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(StateReader& archive, cereal::BinaryData<T>& data)
{
    archive.loadBinary(data.data, static_cast<size_t>(data.size));
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(StateWriter& archive, cereal::SizeTag<T>& tag)
{
    archive(static_cast<uint64_t>(tag.size));
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(StateReader& archive, cereal::SizeTag<T>& tag)
{
    uint64_t size = 0;
    archive(size);
    if (size > archive.remaining())
        throw cereal::Exception("container size exceeds the remaining input");
    tag.size = size;
}

// cereal names the members of optionals and variants; the binary format omits the names.
template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(StateWriter& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(StateReader& archive, cereal::NameValuePair<T>& pair)
{
    archive(pair.value);
}

/// Encodes a value that cereal can serialize.
template <class T>
std::string encodeState(const T& value)
{
    std::string out;
    StateWriter writer(out);
    writer(value);
    return out;
}

/// Decodes a value that occupies exactly the given bytes. Returns false and leaves `value` unspecified on malformed input.
template <class T>
bool decodeState(std::string_view bytes, T& value, size_t maxBytes)
{
    if (bytes.size() > maxBytes)
        return false;
    try {
        StateReader reader(bytes);
        reader(value);
        return reader.remaining() == 0;
    } catch (const std::exception&) {
        return false;
    }
}

}

CEREAL_REGISTER_ARCHIVE(siskinshunt::StateWriter)
CEREAL_REGISTER_ARCHIVE(siskinshunt::StateReader)
CEREAL_SETUP_ARCHIVE_TRAITS(siskinshunt::StateReader, siskinshunt::StateWriter)
