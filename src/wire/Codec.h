#pragma once

#include "base/Error.h"
#include "wire/BoundedInput.h"

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Stream buffer that appends to a string.
class StringSink : public std::streambuf {
public:
    explicit StringSink(std::string& out)
        : m_out(out)
    {
    }

protected:
    std::streamsize xsputn(const char* data, std::streamsize size) override
    {
        m_out.append(data, static_cast<size_t>(size));
        return size;
    }
    int_type overflow(int_type byte) override
    {
        m_out.push_back(traits_type::to_char_type(byte));
        return byte;
    }

private:
    std::string& m_out;
};

/// Encodes a value in cereal's portable binary format (one byte-order byte, then little-endian fields). T has
/// `template <class Archive> void serialize(Archive&)`; strings, vectors, maps, sets, optionals, pairs, arrays and
/// enumerations work as members.
template <class T>
std::string encode(const T& value)
{
    std::string out;
    StringSink sink(out);
    std::ostream stream(&sink);
    cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    archive(value);
    return out;
}

/// Decodes a value that encode() produced. Fails with step Decode and the given peer if there are more than
/// `limit` bytes, the message is truncated or has trailing bytes, or a container size exceeds the message. Never throws.
/// Enumeration values are not validated: see isKnownEnumValue().
template <class T>
Result<T> decode(std::string_view bytes, size_t limit, std::string_view peer = {})
{
    if (bytes.size() > limit)
        return fail(ErrorCode::TooLarge, Step::Decode, std::string(peer), std::to_string(bytes.size()) + " bytes exceed the limit of " + std::to_string(limit));
    try {
        BoundedInput archive(bytes);
        T value {};
        archive(value);
        if (archive.remaining())
            return fail(ErrorCode::Invalid, Step::Decode, std::string(peer), std::to_string(archive.remaining()) + " trailing bytes");
        return value;
    } catch (const std::exception& error) {
        return fail(ErrorCode::Invalid, Step::Decode, std::string(peer), error.what());
    }
}

/// Like decode(), but returns the fallback on failure: for messages whose default value has no effect.
template <class T>
T decodeOr(std::string_view bytes, size_t limit, T fallback = {})
{
    return handle([&] { return decode<T>(bytes, limit); }, [&](const Error&) { return std::move(fallback); });
}

/// Whether a received enumeration value is in the name table of its type.
template <class E>
constexpr bool isKnownEnumValue(E value)
{
    for (const auto& it : enumNames<E>) {
        if (it.value == value)
            return true;
    }
    return false;
}

}
