#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinshunt {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// HTTP request in a form that does not depend on the HTTP library.
struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query.
    HttpHeaders headers;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive) { archive(method, target, headers, body); }
};

/// Value of the first header with that name, compared case-insensitively; empty if absent.
std::string_view findHeader(const HttpHeaders&, std::string_view name);
/// Compares two header names case-insensitively.
bool equalHeaderNames(std::string_view a, std::string_view b);
/// Whether a header applies to a single connection. Such headers are never forwarded; Content-Length and Transfer-Encoding
/// are among them, since each writer sets its own.
bool isHopByHopHeader(std::string_view name);
/// Path of a request target, without the query.
std::string_view pathOf(std::string_view target);
/// Percent-decoded value of the first query parameter with that name; empty if absent.
std::string queryValue(std::string_view target, std::string_view name);

namespace headers {
    inline constexpr std::string_view call = "Siskinshunt-Call";
    inline constexpr std::string_view run = "Siskinshunt-Run";
    inline constexpr std::string_view attempt = "Siskinshunt-Attempt";
    inline constexpr std::string_view offset = "Siskinshunt-Offset";
    inline constexpr std::string_view priority = "Siskinshunt-Priority";
    inline constexpr std::string_view className = "Siskinshunt-Class";
    inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
    inline constexpr std::string_view authorization = "Authorization";
    inline constexpr std::string_view contentType = "Content-Type";
    inline constexpr std::string_view retryAfter = "Retry-After";
}

}
