#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// One server-sent event.
struct ServerEvent {
    std::optional<uint64_t> id; ///< Count of tokens generated up to and including this event, if the engine gives it.
    std::string data; ///< Data lines joined by newlines.
};

/// Cuts the bytes of an event stream into events, wherever the bytes are split.
class EventReader {
public:
    /// Appends bytes; false once a single event exceeds 1 MiB.
    bool feed(std::string_view bytes);
    /// The next complete event that has data.
    std::optional<ServerEvent> next();

private:
    std::string m_bytes;
    size_t m_start = 0;
};

/// The event as bytes of an event stream.
std::string toBytes(const ServerEvent&);

}
