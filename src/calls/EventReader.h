#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// One server-sent event.
struct ServerEvent {
    std::optional<uint64_t> id; ///< Number of tokens generated up to and including this event, if the engine sends it.
    std::string data; ///< Data lines joined by newlines.
};

/// Incremental parser that splits an event stream into events, regardless of how its bytes are chunked.
class EventReader {
public:
    /// Appends bytes. Returns false if the unread bytes exceed 1 MiB.
    bool feed(std::string_view bytes);
    /// Returns the next complete event that has data.
    std::optional<ServerEvent> next();

private:
    std::string m_bytes;
    size_t m_start = 0;
};

/// Serializes the event for an event stream.
std::string toBytes(const ServerEvent&);

}
