#include "node/Answers.h"

#include "base/Hash.h"

#include <boost/json.hpp>

namespace siskinshunt {

void answerJson(Node& node, ExchangeId exchange, uint16_t status, std::string body, HttpHeaders headers)
{
    headers.emplace_back(headers::contentType, "application/json");
    node.out.answers.push_back({ exchange, AnswerPart::Whole, status, std::move(headers), std::move(body) });
}

void answerMessage(Node& node, ExchangeId exchange, uint16_t status, const std::string& message)
{
    answerJson(node, exchange, status, boost::json::serialize(boost::json::object { { "message", message } }));
}

void answerUnavailable(Node& node, ExchangeId exchange, const std::string& message)
{
    static constexpr TimeMs retryAfter { 300 };
    addLog(node, LogLevel::Warning, "control_unavailable", Step::Propose, {}, message);
    answerJson(node, exchange, 503, boost::json::serialize(boost::json::object { { "message", message } }), { { "Retry-After", std::to_string(retryAfter.seconds()) } });
}

void answerControlReply(Node& node, ExchangeId exchange, const ControlReply& reply)
{
    if (reply.outcome == ControlOutcome::Accepted)
        return answerJson(node, exchange, 200, "{}");
    answerMessage(node, exchange, reply.outcome == ControlOutcome::Malformed ? 400 : 409, reply.detail);
}

void answerRefusal(Node& node, ExchangeId exchange, const Refusal& refusal)
{
    HttpHeaders headers { { std::string(headers::run), std::string(nameOf(refusal.run)) } };
    if (!refusal.call.empty())
        headers.emplace_back(headers::call, refusal.call);
    if (refusal.retryAfter.value > 0)
        headers.emplace_back(headers::retryAfter, std::to_string((refusal.retryAfter.value + 999) / 1000));
    node.counters.add("refusals_" + std::string(nameOf(refusal.code)));
    answerJson(node, exchange, statusOf(refusal.code), refusalBody(refusal), std::move(headers));
}

void refuseRequest(Node& node, ExchangeId exchange, RefusalCode code, std::string message, TimeMs retryAfter)
{
    answerRefusal(node, exchange, { code, RunStatus::NotRun, std::move(message), {}, retryAfter });
}

std::string_view bearerToken(const HttpRequest& request)
{
    static constexpr std::string_view scheme = "Bearer ";
    const auto value = findHeader(request.headers, headers::authorization);
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view {};
}

bool tokenMatches(const HttpRequest& request, std::string_view sha256)
{
    const auto token = bearerToken(request);
    return !token.empty() && equalConstantTime(sha256Hex(token), sha256);
}

std::string operatorOf(const Node& node, const HttpRequest& request)
{
    std::string found;
    for (const auto& entry : node.options.settings.operators) {
        if (tokenMatches(request, entry.tokenSha256))
            found = entry.name;
    }
    return found;
}

bool isEventStream(const HttpHeaders& headers)
{
    return findHeader(headers, headers::contentType).starts_with("text/event-stream");
}

}
