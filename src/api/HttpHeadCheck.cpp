#include "api/HttpHeadCheck.h"

#include <algorithm>

namespace siskinshunt {

static constexpr unsigned minStatus = 100;
static constexpr unsigned maxStatus = 599;
static constexpr unsigned switchingProtocols = 101;

static std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

static bool isDigits(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

namespace {

    struct Framing {
        int contentLengths = 0;
        int transferEncodings = 0;
    };

}

static std::optional<std::string> checkField(std::string_view line, Framing& framing)
{
    if (line.front() == ' ' || line.front() == '\t')
        return "a folded header line";
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return "a header line without a name";
    const auto name = line.substr(0, colon);
    if (name.find_first_of(" \t") != std::string_view::npos)
        return "white space in a header name";
    const auto value = trim(line.substr(colon + 1));
    if (equalHeaderNames(name, "Content-Length")) {
        ++framing.contentLengths;
        if (!isDigits(value))
            return "a Content-Length that is not a number";
    }
    if (equalHeaderNames(name, "Transfer-Encoding")) {
        ++framing.transferEncodings;
        if (!equalHeaderNames(value, "chunked"))
            return "a transfer coding other than chunked";
    }
    return std::nullopt;
}

std::optional<std::string> findHeadProblem(std::string_view head)
{
    Framing framing;
    bool isRequestLine = true;
    while (!head.empty()) {
        const auto end = head.find('\n');
        if (end == std::string_view::npos || end == 0 || head[end - 1] != '\r')
            return "a line that does not end with CR LF";
        const auto line = head.substr(0, end - 1);
        head.remove_prefix(end + 1);
        const bool hasControl = std::any_of(line.begin(), line.end(), [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
        if (hasControl)
            return "a control byte";
        if (line.empty())
            break;
        if (!isRequestLine) {
            if (auto problem = checkField(line, framing))
                return problem;
        }
        isRequestLine = false;
    }
    if (framing.contentLengths > 1 || framing.transferEncodings > 1 || (framing.contentLengths && framing.transferEncodings))
        return "more than one statement of the body's length";
    return std::nullopt;
}

bool isInterimStatus(unsigned status)
{
    return status >= minStatus && status < 200;
}

// The library passes the bytes of codings that it does not know on as they are, and reads the chunks around them.
static bool hasUnknownTransferCoding(const HttpHeaders& headers)
{
    bool isChunked = false;
    for (const auto& [name, value] : headers) {
        if (!equalHeaderNames(name, "Transfer-Encoding"))
            continue;
        if (isChunked || !equalHeaderNames(trim(value), "chunked"))
            return true;
        isChunked = true;
    }
    return false;
}

std::optional<std::string> findResponseProblem(unsigned status, const HttpHeaders& headers)
{
    if (status < minStatus || status > maxStatus)
        return "status " + std::to_string(status) + " is not from 100 to 599";
    if (status == switchingProtocols)
        return "a switch of the protocol that was not asked for";
    const auto length = findHeader(headers, "Content-Length");
    if (isInterimStatus(status) && ((!length.empty() && length != "0") || !findHeader(headers, "Transfer-Encoding").empty()))
        return "an interim response with a body";
    if (hasUnknownTransferCoding(headers))
        return "a transfer coding other than chunked";
    return std::nullopt;
}

}
