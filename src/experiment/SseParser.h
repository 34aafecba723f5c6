#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

struct SseEvent {
    std::string event; ///< Empty when the event has no name.
    std::string id;
    std::string data; ///< Data lines joined by newlines.
};

/// Incremental parser of server-sent events. Comments are skipped.
class SseParser {
public:
    /// Returns the events that the piece completes.
    std::vector<SseEvent> feed(std::string_view piece);
    /// Whether an event has started whose terminating blank line has not arrived.
    bool hasPartialEvent() const { return !m_line.empty() || m_hasFields; }

private:
    void handleLine(std::string_view line, std::vector<SseEvent>& out);

    std::string m_line;
    SseEvent m_event;
    bool m_hasFields = false;
    bool m_hasData = false;
};

}
