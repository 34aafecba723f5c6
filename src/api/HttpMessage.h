#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinshunt {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// A request as the decision code sees it, without the HTTP library.
struct HttpRequest {
    std::string method;
    std::string target; ///< Path and query.
    HttpHeaders headers;
    std::string body;

    template <class Archive>
    void serialize(Archive& archive) { archive(method, target, headers, body); }
};

/// Value of the first header of that name, compared without case; empty if absent.
std::string_view findHeader(const HttpHeaders&, std::string_view name);
/// Whether two header names are equal without case.
bool equalHeaderNames(std::string_view a, std::string_view b);
/// Whether a header concerns only one connection. Such headers are never passed on; writers set lengths and codings themselves.
bool isHopByHopHeader(std::string_view name);
/// Path of a target, without the query.
std::string_view pathOf(std::string_view target);
/// Value of a query parameter, percent-decoded; empty if absent.
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
