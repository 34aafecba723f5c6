#include "entry/HttpText.h"

#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <ostream>

namespace siskinshunt {

void appendStatusLine(std::string& out, uint16_t status)
{
    const auto reason = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    out += "HTTP/1.1 ";
    out += std::to_string(status);
    out += ' ';
    out.append(reason.data(), reason.size());
    out += "\r\n";
}

void appendField(std::string& out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

void appendChunk(std::string& out, std::string_view bytes)
{
    if (bytes.empty())
        return;
    std::array<char, 20> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    out.append(size.data(), end);
    out += "\r\n";
    out += bytes;
    out += "\r\n";
}

bool isBodiless(uint16_t status)
{
    return status < 200 || status == 204 || status == 304;
}

}
