#include "node/RouteExplanation.h"

#include "forward/Overload.h"
#include "node/Answers.h"
#include "node/ForwardReport.h"
#include "node/VersionOrders.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <numeric>

namespace siskinshunt {

namespace json = boost::json;

namespace {

    // The request in question. It is never sent.
    struct ExplainedRequest {
        const ForwardRule* rule = nullptr;
        const AllowanceRule* account = nullptr;
        std::vector<PromptPart> parts;
        uint32_t promptTokens = 0;
        uint32_t outputTokens = 0;
        AllowedRegions regions;
        int urgency = 0;
    };

    // What this node would do with it.
    struct Verdict {
        std::string outcome; ///< "sent", or the code of the refusal.
        TimeMs retryAfter;
    };

}

static std::optional<uint32_t> tokensOf(const std::string& text)
{
    uint32_t value = 0;
    if (text.empty())
        return value;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc {} && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

// Returns the problem, or an empty text.
static std::string readRequest(const Node& node, const std::string& target, ExplainedRequest& out)
{
    const RouteTable& routes = *node.forward.routes;
    out.rule = findForward(routes, queryValue(target, "host"), queryValue(target, "path"));
    if (!out.rule)
        return "no forward rule matches the host and the path";
    const std::string account = queryValue(target, "account");
    const auto& allowances = routes.rules->allowances;
    const auto it = std::find_if(allowances.begin(), allowances.end(), [&](const auto& allowance) { return allowance.name == account; });
    if (!account.empty() && it == allowances.end())
        return "no allowance rule names the account " + account;
    out.account = account.empty() ? nullptr : &*it;
    const std::string parts = queryValue(target, "parts");
    out.parts = parsePromptParts(parts);
    if (!parts.empty() && out.parts.empty())
        return "parts: expected HEX:TOKENS,HEX:TOKENS";
    const auto prompt = tokensOf(queryValue(target, "prompt_tokens"));
    const auto output = tokensOf(queryValue(target, "output_tokens"));
    if (!prompt || !output)
        return "prompt_tokens, output_tokens: expected whole numbers";
    out.promptTokens = *prompt ? *prompt : std::accumulate(out.parts.begin(), out.parts.end(), 0U, [](uint32_t sum, const PromptPart& part) { return sum + part.tokens; });
    out.outputTokens = *output;
    out.regions = allowedRegions(routes.regions, out.rule->name, account);
    out.urgency = urgencyOf(routes, out.account, *out.rule);
    return {};
}

// Rounded, so that tables stay readable.
static double rounded(double value)
{
    return std::round(value * 10) / 10;
}

static json::object originJson(const RuleOrigin& origin)
{
    return { { "rule_line", origin.line }, { "asked_by", origin.person }, { "rule", origin.text } };
}

static const TargetExplanation* chosenOf(const std::vector<TargetExplanation>& targets)
{
    const TargetExplanation* best = nullptr;
    const bool anyHealthy = std::any_of(targets.begin(), targets.end(), [](const auto& it) { return it.exclusion == TargetExclusion::None && it.healthy; });
    for (const auto& it : targets) {
        if (it.exclusion == TargetExclusion::None && it.healthy == anyHealthy && (!best || it.cost < best->cost))
            best = &it;
    }
    return best;
}

static json::object targetJson(const Node& node, const std::string& backend, const TargetExplanation& explained, bool chosen)
{
    const ForwardTarget& target = node.forward.targets.entries.at(explained.choice.target);
    return { { "upstream", target.name }, { "backend", backend }, { "chosen", chosen }, { "excluded", nameOf(explained.exclusion) }, { "healthy", explained.healthy }, { "domain", target.domain }, { "region", target.region }, { "version", target.version },
        { "running", rounded(target.own.running + target.others.running) }, { "slots", target.slots }, { "wait_ms", rounded(explained.choice.waitMs) }, { "backlog_ms", rounded(explained.choice.backlogMs) },
        { "prefill_tokens", rounded(explained.choice.prefillTokens) }, { "cost", rounded(explained.cost) }, { "seen_ms_ago", (node.now - target.lastSeen).value } };
}

static Verdict verdictOf(const Node& node, const ExplainedRequest& request, const std::string& backend, const TargetExplanation* chosen)
{
    if (request.account) {
        const double cost = request.account->tokens ? static_cast<double>(request.promptTokens + request.outputTokens) : 1;
        Allowances copy = node.forward.allowances;
        if (!consumeAllowance(copy, node.now, *request.account, cost))
            return { "over_allowance", timeUntilAllowance(copy, node.now, *request.account, cost) };
    }
    if (!chosen) {
        const auto wait = timeUntilTarget(node.forward.targets, backend, node.now, &request.regions);
        return { wait ? "upstream_limit" : "no_upstream", wait.value_or(TimeMs {}) };
    }
    const ForwardTarget& target = node.forward.targets.entries.at(chosen->choice.target);
    if (target.engine && isOverloaded(chosen->choice, request.rule->target))
        return { "overloaded", { static_cast<int64_t>(chosen->choice.backlogMs) } };
    return { "sent", {} };
}

// Adds the candidates to a list for all backends, and returns what holds for the backend as a whole.
static json::object backendJson(const Node& node, const ExplainedRequest& request, const BackendShare& share, json::array& candidates)
{
    const ChoiceRequest choice { .backend = share.backend, .parts = request.parts, .promptTokens = request.promptTokens, .urgency = request.urgency, .tried = {}, .allowed = versionFallback(node, share.backend), .regions = &request.regions };
    const auto targets = explainTargets(node.forward.targets, node.forward.parts, node.forward.choice, choice, node.now, node.random);
    const TargetExplanation* chosen = chosenOf(targets);
    const Verdict verdict = verdictOf(node, request, share.backend, chosen);
    for (const auto& it : targets)
        candidates.push_back(targetJson(node, share.backend, it, &it == chosen));
    return { { "backend", share.backend }, { "weight", share.weight }, { "outcome", verdict.outcome }, { "retry_after_ms", verdict.retryAfter.value } };
}

void answerRouteExplanation(Node& node, const RequestArrived& arrived)
{
    if (!node.forward.routes)
        return refuseRequest(node, arrived.exchange, RefusalCode::Unavailable, "this node has no rules yet");
    if (!acceptsCallers(node))
        return refuseRequest(node, arrived.exchange, RefusalCode::UnknownRoute, "this node takes no callers' requests; ask an entry node");
    ExplainedRequest request;
    if (const std::string problem = readRequest(node, arrived.request.target, request); !problem.empty())
        return refuseRequest(node, arrived.exchange, RefusalCode::MalformedRequest, problem);
    json::array backends;
    json::array candidates;
    for (const auto& share : request.rule->to)
        backends.push_back(backendJson(node, request, share, candidates));
    json::object body { { "node", node.options.settings.node }, { "route", request.rule->name }, { "account", request.account ? request.account->name : "-" }, { "urgency", request.urgency },
        { "target_ms", request.rule->target.value }, { "prompt_tokens", request.promptTokens }, { "rules_revision", node.rules->revision }, { "route_origin", originJson(request.rule->origin) } };
    if (request.account)
        body["account_origin"] = originJson(request.account->origin);
    if (request.regions.restricted)
        body["allowed_regions"] = json::array(request.regions.names.begin(), request.regions.names.end());
    body["backends"] = backends;
    body["candidates"] = candidates;
    answerJson(node, arrived.exchange, 200, json::serialize(body));
}

}
