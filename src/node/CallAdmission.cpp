#include "api/ModelRequest.h"
#include "base/Hash.h"
#include "base/PrefixHash.h"
#include "node/Answers.h"
#include "node/CallFlow.h"
#include "node/OnceFlow.h"
#include "rules/RuleMatch.h"

#include <algorithm>

namespace siskinshunt {

static constexpr std::string_view servicesPrefix = "/services/";
static constexpr size_t maxCalls = 20000;

static std::string serviceOfPath(std::string_view path)
{
    path.remove_prefix(servicesPrefix.size());
    return std::string(path.substr(0, path.find('/')));
}

// Headers that are forwarded to the upstream. Credentials and connection headers are not.
static HttpHeaders forwardedHeaders(const HttpHeaders& headers)
{
    static constexpr std::array<std::string_view, 5> forwardedNames { "Content-Type", "Accept", "Accept-Language", "Idempotency-Key", "User-Agent" };
    HttpHeaders out;
    for (const auto& header : headers) {
        const bool keep = std::any_of(forwardedNames.begin(), forwardedNames.end(), [&](std::string_view it) { return equalHeaderNames(it, header.first); });
        if (keep)
            out.push_back(header);
    }
    return out;
}

namespace {

    // Result of the checks that precede the limits.
    struct CheckedRequest {
        const AccountRule* account = nullptr;
        const RouteRule* route = nullptr;
        std::string pool;
        std::string className;
        bool isModel = false;
        ModelRequest model;
    };

}

static bool parseTarget(Node& node, const RequestArrived& arrived, CheckedRequest& out)
{
    const auto path = pathOf(arrived.request.target);
    if (path.starts_with(servicesPrefix)) {
        out.pool = serviceOfPath(path);
        return true;
    }
    if (path != "/v1/chat/completions" && path != "/v1/completions") {
        refuseRequest(node, arrived.exchange, RefusalCode::UnknownRoute, "no such path");
        return false;
    }
    if (arrived.request.method != "POST") {
        refuseRequest(node, arrived.exchange, RefusalCode::MethodNotAllowed, "model calls are sent by POST");
        return false;
    }
    out.isModel = true;
    std::string problem;
    out.model = handle([&] { return parseModelRequest(path, arrived.request.body, node.options.settings.limits.jsonDepth); },
        [&](const Error& error) { problem = error.detail; return ModelRequest {}; });
    if (!problem.empty()) {
        refuseRequest(node, arrived.exchange, RefusalCode::MalformedRequest, problem);
        return false;
    }
    out.pool = out.model.model;
    return true;
}

static bool checkRequest(Node& node, const RequestArrived& arrived, CheckedRequest& out)
{
    const auto& request = arrived.request;
    if (!node.rules) {
        refuseRequest(node, arrived.exchange, RefusalCode::NoRules, "this node has no rules yet", drainRetryAfter);
        return false;
    }
    const auto token = bearerToken(request);
    out.account = token.empty() ? nullptr : findAccountByToken(*node.rules, sha256Hex(token));
    if (!out.account) {
        refuseRequest(node, arrived.exchange, RefusalCode::Unauthorized, "the bearer token is missing or unknown");
        return false;
    }
    if (!parseTarget(node, arrived, out))
        return false;
    const RouteQuery query {
        .account = out.account->name,
        .className = findHeader(request.headers, headers::className),
        .model = out.isModel ? std::string_view(out.pool) : std::string_view {},
        .service = out.isModel ? std::string_view {} : std::string_view(out.pool),
        .path = pathOf(request.target),
        .method = request.method,
    };
    out.route = matchRoute(*node.rules, query);
    if (!out.route) {
        refuseRequest(node, arrived.exchange, RefusalCode::UnknownRoute, "no route rule matches the request");
        return false;
    }
    out.className = classOfRequest(*out.route, query);
    if (out.route->repeat == Repeat::Once && !isUsableKey(findHeader(request.headers, headers::idempotencyKey))) {
        refuseRequest(node, arrived.exchange, RefusalCode::IdempotencyKeyRequired, "this call runs at most once; send an Idempotency-Key header of 1 to 256 bytes");
        return false;
    }
    return true;
}

static NodeCall& makeCall(Node& node, const RequestArrived& arrived, CheckedRequest& checked)
{
    const bool once = checked.route->repeat == Repeat::Once;
    const std::string key(findHeader(arrived.request.headers, headers::idempotencyKey));
    const uint32_t groups = node.options.settings.ledgerGroups;
    const GroupId group = once ? groupOfKey(checked.account->name, key, groups) : GroupId { 2 };
    NodeCall& call = addCall(node, makeCallId(node.random.next(), group, groups));
    const auto& classRule = findClass(*node.rules, checked.className);
    call.exchange = arrived.exchange;
    call.account = checked.account->name;
    call.weight = checked.account->weight;
    call.className = checked.className;
    call.priority = classRule.priority;
    call.route = checked.route->name;
    call.origin = checked.route->origin;
    call.repeat = checked.route->repeat;
    call.pool = checked.pool;
    call.isModel = checked.isModel;
    call.request = { arrived.request.method, arrived.request.target, forwardedHeaders(arrived.request.headers), arrived.request.body };
    call.arrived = node.now;
    call.deadline = node.now + classRule.deadline;
    if (const auto* target = findTarget(*node.rules, checked.className))
        call.firstTokenTarget = target->firstToken;
    call.model = std::move(checked.model);
    if (call.isModel) {
        call.blocks = prefixHashes(call.model.prompt);
        call.model.prompt.clear();
        call.model.prompt.shrink_to_fit();
    }
    if (once) {
        call.key = key;
        call.group = group;
        call.owner = node.owner;
    }
    node.byExchange[arrived.exchange] = call.id;
    return call;
}

void acceptCall(Node& node, const RequestArrived& arrived)
{
    CheckedRequest checked;
    if (!checkRequest(node, arrived, checked))
        return;
    const bool full = node.calls.size() >= maxCalls || node.queuedBytes > node.options.settings.queueBytes;
    if (full)
        return refuseRequest(node, arrived.exchange, RefusalCode::QueueFull, "this node holds as many calls as it may", minimumRetryAfter);
    if (node.left)
        return refuseRequest(node, arrived.exchange, RefusalCode::Draining, "this node has left; ask for the entry addresses again", drainRetryAfter);
    NodeCall& call = makeCall(node, arrived, checked);
    node.counters.add("calls_accepted");
    const auto decision = admitCall(node.limiter, call.account, call.className, static_cast<uint32_t>(call.model.promptTokens), node.now);
    if (decision.verdict != LimitVerdict::Admitted) {
        const auto& rule = node.limiter.rules[decision.rule];
        return refuseCall(node, call, RefusalCode::LimitExceeded, "over the limit '" + rule.name + "' (" + std::string(nameOf(decision.verdict)) + ")",
            std::max(minimumRetryAfter, decision.retryAfter));
    }
    call.admitted = true;
    recordArrival(node, call);
    creditRetryBudget(node.retryBudgets[call.route], findRetry(*node.rules, call.route));
    if (call.repeat == Repeat::Once)
        return startOnceCall(node, call);
    enqueueCall(node, call);
}

}
