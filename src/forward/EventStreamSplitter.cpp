#include "forward/EventStreamSplitter.h"

#include <algorithm>

namespace siskinshunt {

void EventStreamSplitter::noteEvent(std::string_view event)
{
    ++m_events;
    while (!event.empty()) {
        auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        m_lastId = line;
    }
}

std::string EventStreamSplitter::push(std::string_view bytes)
{
    m_held.append(bytes);
    size_t at = 0;
    while (true) {
        const auto plain = m_held.find("\n\n", at);
        const auto windows = m_held.find("\n\r\n", at);
        if (plain == std::string::npos && windows == std::string::npos)
            break;
        const size_t end = plain < windows ? plain + 2 : windows + 3;
        noteEvent(std::string_view(m_held).substr(at, end - at));
        at = end;
    }
    std::string out = m_held.substr(0, at);
    m_held.erase(0, at);
    return out;
}

}
