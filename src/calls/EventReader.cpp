#include "calls/EventReader.h"

#include <charconv>

namespace siskinshunt {

static constexpr size_t maxEventBytes = 1 << 20;

bool EventReader::feed(std::string_view bytes)
{
    if (m_start > m_bytes.size() / 2) {
        m_bytes.erase(0, m_start);
        m_start = 0;
    }
    m_bytes.append(bytes);
    return m_bytes.size() - m_start <= maxEventBytes;
}

static void readField(std::string_view line, ServerEvent& event)
{
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view {} : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "data") {
        if (!event.data.empty())
            event.data += '\n';
        event.data += value;
    } else if (name == "id") {
        uint64_t n = 0;
        const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
        if (ec == std::errc {} && end == value.data() + value.size())
            event.id = n;
    }
}

std::optional<ServerEvent> EventReader::next()
{
    ServerEvent event;
    size_t pos = m_start;
    while (true) {
        const auto end = m_bytes.find('\n', pos);
        if (end == std::string::npos)
            return std::nullopt;
        std::string_view line(m_bytes.data() + pos, end - pos);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        pos = end + 1;
        if (!line.empty()) {
            readField(line, event);
            continue;
        }
        m_start = pos;
        if (!event.data.empty())
            return event;
        event = {};
    }
}

std::string toBytes(const ServerEvent& event)
{
    std::string out;
    if (event.id)
        out += "id: " + std::to_string(*event.id) + "\n";
    std::string_view rest = event.data;
    while (true) {
        const auto end = rest.find('\n');
        out += "data: ";
        out += rest.substr(0, end);
        out += '\n';
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
    }
    return out + "\n";
}

}
