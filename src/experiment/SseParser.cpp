#include "experiment/SseParser.h"

#include <utility>

namespace siskinshunt {

std::vector<SseEvent> SseParser::feed(std::string_view piece)
{
    std::vector<SseEvent> out;
    while (!piece.empty()) {
        const auto end = piece.find('\n');
        m_line += piece.substr(0, end);
        if (end == std::string_view::npos)
            break;
        piece.remove_prefix(end + 1);
        if (m_line.ends_with('\r'))
            m_line.pop_back();
        handleLine(std::exchange(m_line, {}), out);
    }
    return out;
}

void SseParser::handleLine(std::string_view line, std::vector<SseEvent>& out)
{
    if (line.empty()) {
        if (m_hasFields)
            out.push_back(std::exchange(m_event, {}));
        m_hasFields = m_hasData = false;
        return;
    }
    if (line.starts_with(':'))
        return;
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view {} : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    m_hasFields = true;
    if (name == "event") {
        m_event.event = value;
    } else if (name == "id") {
        m_event.id = value;
    } else if (name == "data") {
        if (m_hasData)
            m_event.data += '\n';
        m_event.data += value;
        m_hasData = true;
    }
}

}
