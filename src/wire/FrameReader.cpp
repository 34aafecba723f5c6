#include "wire/FrameReader.h"

#include "base/Invariant.h"

namespace siskinshunt {

static constexpr size_t lengthBytes = 4;

std::string encodeFrame(std::string_view sealed)
{
    INVARIANT(!sealed.empty() && sealed.size() <= UINT32_MAX, "frame size fits its length field", "size", sealed.size());
    std::string out;
    out.reserve(lengthBytes + sealed.size());
    for (size_t n = 0; n < lengthBytes; ++n)
        out.push_back(static_cast<char>(sealed.size() >> (8 * n)));
    out += sealed;
    return out;
}

std::optional<size_t> FrameReader::peekLength() const
{
    if (m_bytes.size() - m_start < lengthBytes)
        return std::nullopt;
    size_t length = 0;
    for (size_t n = 0; n < lengthBytes; ++n)
        length |= static_cast<size_t>(static_cast<unsigned char>(m_bytes[m_start + n])) << (8 * n);
    return length;
}

void FrameReader::checkLength()
{
    const auto length = peekLength();
    if (length && (*length == 0 || *length > m_limit))
        m_broken = true;
}

bool FrameReader::feed(std::string_view bytes)
{
    if (m_broken)
        return false;
    m_bytes.erase(0, m_start);
    m_start = 0;
    m_bytes += bytes;
    checkLength();
    return !m_broken;
}

std::optional<std::string> FrameReader::next()
{
    const auto length = peekLength();
    if (m_broken || !length || m_bytes.size() - m_start < lengthBytes + *length)
        return std::nullopt;
    std::string frame = m_bytes.substr(m_start + lengthBytes, *length);
    m_start += lengthBytes + *length;
    checkLength();
    return frame;
}

}
