#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Largest TCP frame: a snapshot chunk or a rules file with its envelope.
constexpr size_t maxFrame = 4 << 20;

/// Bytes of a frame on a TCP connection: a 4-byte little-endian length, then the sealed envelope.
std::string encodeFrame(std::string_view sealed);

/// Cuts the byte stream of one TCP connection into frames. Memory grows with the bytes received, never with the length
/// field, and holds at most one frame and one fed chunk.
class FrameReader {
public:
    explicit FrameReader(size_t limit = maxFrame)
        : m_limit(limit)
    {
    }

    /// Appends received bytes. Returns false once a length field is zero or above the limit: count BadSize and close.
    /// Take all frames by next() before feeding again.
    bool feed(std::string_view bytes);
    /// The next complete frame without its length field, for open(); none when more bytes are needed.
    std::optional<std::string> next();
    bool broken() const { return m_broken; }

private:
    std::optional<size_t> lengthAhead() const;
    void check();

    size_t m_limit;
    bool m_broken = false;
    size_t m_start = 0; ///< Bytes of m_bytes already handed out.
    std::string m_bytes;
};

}
