#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Maximum size of a TCP frame: a snapshot chunk or a rules file with its envelope.
constexpr size_t maxFrame = 4 << 20;

/// Encodes a TCP frame: a 4-byte little-endian length, then the sealed envelope.
std::string encodeFrame(std::string_view sealed);

/// Splits the byte stream of one TCP connection into frames. Memory is allocated for received bytes only, never for the
/// length field; it holds at most one frame and one chunk passed to feed().
class FrameReader {
public:
    explicit FrameReader(size_t limit = maxFrame)
        : m_limit(limit)
    {
    }

    /// Appends received bytes. Returns false once a length field is zero or above the limit: the caller then counts
    /// BadSize and closes the connection. All frames have to be read with next() before the next call.
    bool feed(std::string_view bytes);
    /// The next complete frame without its length field, for open(); nullopt if more bytes are needed.
    std::optional<std::string> next();
    bool broken() const { return m_broken; }

private:
    std::optional<size_t> peekLength() const;
    void checkLength();

    size_t m_limit;
    bool m_broken = false;
    size_t m_start = 0; ///< Offset of the first unread byte in m_bytes.
    std::string m_bytes;
};

}
