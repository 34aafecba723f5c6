#include "forward/EventStreamSplitter.h"

#include <algorithm>

namespace siskinshunt {

void EventStreamSplitter::parseEvent(std::string_view event)
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
        m_lastEventId = line;
    }
}

std::string EventStreamSplitter::push(std::string_view bytes)
{
    m_buffer.append(bytes);
    size_t begin = 0;
    while (true) {
        const auto lf = m_buffer.find("\n\n", begin);
        const auto crlf = m_buffer.find("\n\r\n", begin);
        if (lf == std::string::npos && crlf == std::string::npos)
            break;
        const size_t end = lf < crlf ? lf + 2 : crlf + 3;
        parseEvent(std::string_view(m_buffer).substr(begin, end - begin));
        begin = end;
    }
    std::string out = m_buffer.substr(0, begin);
    m_buffer.erase(0, begin);
    return out;
}

}
