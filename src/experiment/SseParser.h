#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

struct SseEvent {
    std::string event; ///< Empty when the event has no name.
    std::string id;
    std::string data; ///< Lines of data joined by newlines.
};

/// Parser of server-sent events over pieces of any size. Comments are skipped.
class SseParser {
public:
    /// Events that the piece completes.
    std::vector<SseEvent> feed(std::string_view piece);
    /// True when an event has begun and its blank line is missing.
    bool hasPartialEvent() const { return !m_line.empty() || m_hasFields; }

private:
    void handleLine(std::string_view line, std::vector<SseEvent>& out);

    std::string m_line;
    SseEvent m_event;
    bool m_hasFields = false;
    bool m_hasData = false;
};

}
