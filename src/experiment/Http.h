#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinshunt {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Value of the header, compared without case; empty when absent.
std::string_view findHeader(const HttpHeaders&, std::string_view name);

struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query.
    HttpHeaders headers;
    std::string body;
};

/// Path of a target, without the query.
std::string_view pathOf(std::string_view target);

/// Value of a query parameter; empty when absent.
std::string_view queryOf(std::string_view target, std::string_view name);

struct SocketAddress {
    std::string host;
    uint16_t port = 0;
};

/// Splits "IP:port"; none when it is not in this form.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

}
