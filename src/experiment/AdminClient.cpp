#include "experiment/AdminClient.h"

#include "experiment/Commands.h"

#include <chrono>
#include <thread>

namespace siskinshunt {

bool canRetryRequest(HttpEnd end, int status)
{
    return end != HttpEnd::Complete || status == 503 || status == 504;
}

AdminAnswer callAdmin(const AdminAccess& access, const std::string& method, const std::string& target, const Json& body)
{
    constexpr std::chrono::milliseconds pause { 300 };
    AdminAnswer out;
    for (uint32_t attempt = 0; attempt < access.attempts; ++attempt) {
        if (attempt >= access.addresses.size())
            std::this_thread::sleep_for(pause);
        const auto& address = access.addresses[attempt % access.addresses.size()];
        HttpCall call { .address = address, .method = method, .target = target, .headers = { { "Authorization", "Bearer " + access.token } }, .body = {}, .timeout = access.timeout };
        if (body.kind != Json::Kind::Null) {
            call.headers.emplace_back("Content-Type", "application/json");
            call.body = toText(body);
        }
        const auto answer = callHttp(std::move(call));
        ++out.attempts;
        out.possiblyExecuted = out.possiblyExecuted || answer.end == HttpEnd::Cut || answer.end == HttpEnd::Timeout;
        if (answer.end == HttpEnd::Complete) {
            out.status = answer.status;
            out.address = address;
            out.body = handle([&] { return parseJson(answer.body, address); }, [&](const Error&) { return Json(answer.body); });
        }
        if (!canRetryRequest(answer.end, answer.status))
            return out;
    }
    return out;
}

int exitCodeOf(const AdminAnswer& answer)
{
    if (answer.status >= 200 && answer.status < 300)
        return exit_codes::ok;
    if (answer.status == 0 || answer.status >= 500)
        return exit_codes::unreachable;
    return answer.status == 404 || answer.status == 409 ? exit_codes::negative : exit_codes::usage;
}

}
