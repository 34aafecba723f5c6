#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Splits the bytes of a server-sent event stream after complete events and leaves them unchanged, so that a stream that
/// is interrupted within an event can be resumed at another upstream without a partial event.
class EventStreamSplitter {
public:
    /// Appends bytes and returns the buffered bytes up to the end of the last complete event.
    std::string push(std::string_view bytes);
    /// Value of the last id line in a complete event; empty if there was none.
    const std::string& lastEventId() const { return m_lastEventId; }
    /// Number of buffered bytes of the incomplete event.
    size_t bufferedBytes() const { return m_buffer.size(); }
    /// Discards the incomplete event.
    void discardBuffer() { m_buffer.clear(); }
    uint64_t events() const { return m_events; }

private:
    void parseEvent(std::string_view event);

    std::string m_buffer;
    std::string m_lastEventId;
    uint64_t m_events = 0;
};

}
