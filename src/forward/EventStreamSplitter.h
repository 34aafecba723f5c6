#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Cuts the bytes of an event stream at the ends of events and passes them on unchanged, so that a stream that breaks off
/// in the middle of an event can go on elsewhere without a torn one.
class EventStreamSplitter {
public:
    /// Appends bytes and returns those that end in a complete event.
    std::string push(std::string_view bytes);
    /// Value of the id line of the last complete event; empty if there was none.
    const std::string& lastEventId() const { return m_lastId; }
    /// Bytes of the event that is not complete yet.
    size_t bufferedBytes() const { return m_held.size(); }
    /// Drops the event that was not completed.
    void discardBuffer() { m_held.clear(); }
    uint64_t events() const { return m_events; }

private:
    void noteEvent(std::string_view event);

    std::string m_held;
    std::string m_lastId;
    uint64_t m_events = 0;
};

}
