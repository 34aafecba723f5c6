#include "rules/RuleKinds.h"

#include "rules/RuleValues.h"

#include <algorithm>
#include <functional>

namespace siskinshunt {

bool isRuleNameOrStar(std::string_view text)
{
    return text == "*" || isRuleName(text);
}

template <class Rule>
struct FieldSpec {
    std::string_view key;
    bool required;
    std::string_view expected;
    /// Stores the value in the rule; returns false if the value is malformed or out of range.
    bool (*set)(Rule&, std::string_view);
};

template <class Rule>
struct KindSpec {
    std::string_view kind;
    std::vector<Rule> RuleSet::*rows;
    std::string Rule::*name;
    std::vector<FieldSpec<Rule>> fields;
};

template <class T, class U>
static bool assign(T& target, const std::optional<U>& value, U low, U high)
{
    if (!value || *value < low || *value > high)
        return false;
    target = static_cast<T>(*value);
    return true;
}

static bool assignName(std::string& target, std::string_view value)
{
    if (!isRuleName(value))
        return false;
    target = value;
    return true;
}

static bool assignNameOrStar(std::string& target, std::string_view value)
{
    if (!isRuleNameOrStar(value))
        return false;
    target = value;
    return true;
}

static bool assignDuration(TimeMs& target, std::string_view value, TimeMs low, TimeMs high)
{
    return assign(target, parseDuration(value), low, high);
}

template <class Target, class E>
static bool assignEnum(Target& target, const std::optional<E>& value)
{
    if (!value)
        return false;
    target = *value;
    return true;
}

static bool isHexDigest(std::string_view text)
{
    return text.size() == 64 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

static constexpr std::string_view nameExpected = "a name";
static constexpr std::string_view nameOrStarExpected = "a name or *";

static const KindSpec<AccountRule>& accountSpec()
{
    static const KindSpec<AccountRule> s_spec { "account", &RuleSet::accounts, &AccountRule::name, {
                                                                                                       { "token-sha256", true, "64 lower-case hex digits", [](AccountRule& rule, std::string_view v) { rule.tokenSha256 = v; return isHexDigest(v); } },
                                                                                                       { "weight", false, "a number from 1 to 1000", [](AccountRule& rule, std::string_view v) { return assign(rule.weight, parseNumber(v), 1.0, 1000.0); } },
                                                                                                   } };
    return s_spec;
}

static const KindSpec<ClassRule>& classSpec()
{
    static const KindSpec<ClassRule> s_spec { "class", &RuleSet::classes, &ClassRule::name, {
                                                                                                { "priority", true, "a whole number from 0 (first) to 9 (last)", [](ClassRule& rule, std::string_view v) { return assign<int, uint64_t>(rule.priority, parseCount(v), 0, 9); } },
                                                                                                { "deadline", true, "a duration from 100ms to 1h", [](ClassRule& rule, std::string_view v) { return assignDuration(rule.deadline, v, 100_ms, 60_min); } },
                                                                                                { "queue", false, "a whole number of requests from 0 to 100000", [](ClassRule& rule, std::string_view v) { return assign<uint32_t, uint64_t>(rule.queueRequests, parseCount(v), 0, 100000); } },
                                                                                                { "queue-bytes", false, "a size from 0 to 1024MB", [](ClassRule& rule, std::string_view v) { return assign<uint64_t, uint64_t>(rule.queueBytes, parseBytes(v), 0, uint64_t { 1 } << 30); } },
                                                                                            } };
    return s_spec;
}

static const KindSpec<TargetRule>& targetSpec()
{
    static const KindSpec<TargetRule> s_spec { "target", &RuleSet::targets, &TargetRule::className, {
                                                                                                        { "first-token", true, "a duration from 1ms to 10m", [](TargetRule& rule, std::string_view v) { return assignDuration(rule.firstToken, v, 1_ms, 10_min); } },
                                                                                                        { "between-tokens", false, "a duration from 1ms to 1m", [](TargetRule& rule, std::string_view v) { return assignDuration(rule.betweenTokens, v, 1_ms, 1_min); } },
                                                                                                        { "percentile", false, "a percentage from 50% to 99.9%", [](TargetRule& rule, std::string_view v) { return assign(rule.percentile, parsePercent(v), 0.5, 0.999); } },
                                                                                                    } };
    return s_spec;
}

static const KindSpec<RouteRule>& routeSpec()
{
    static const KindSpec<RouteRule> s_spec { "route", &RuleSet::routes, &RouteRule::name, {
                                                                                               { "account", false, nameOrStarExpected, [](RouteRule& rule, std::string_view v) { return assignNameOrStar(rule.account, v); } },
                                                                                               { "class", false, nameExpected, [](RouteRule& rule, std::string_view v) { return assignName(rule.className, v); } },
                                                                                               { "model", false, nameExpected, [](RouteRule& rule, std::string_view v) { return assignName(rule.model, v); } },
                                                                                               { "service", false, nameExpected, [](RouteRule& rule, std::string_view v) { return assignName(rule.service, v); } },
                                                                                               { "path", false, "a path that starts with /", [](RouteRule& rule, std::string_view v) { rule.path = v; return v.starts_with('/'); } },
                                                                                               { "method", false, "GET, POST, PUT, PATCH or DELETE", [](RouteRule& rule, std::string_view v) { rule.method = v; return v == "GET" || v == "POST" || v == "PUT" || v == "PATCH" || v == "DELETE"; } },
                                                                                               { "repeat", true, "yes or once", [](RouteRule& rule, std::string_view v) { return assignEnum(rule.repeat, parseEnum<Repeat>(v)); } },
                                                                                           } };
    return s_spec;
}

static const KindSpec<LimitRule>& limitSpec()
{
    static const KindSpec<LimitRule> s_spec { "limit", &RuleSet::limits, &LimitRule::name, {
                                                                                               { "account", false, nameOrStarExpected, [](LimitRule& rule, std::string_view v) { return assignNameOrStar(rule.account, v); } },
                                                                                               { "class", false, nameOrStarExpected, [](LimitRule& rule, std::string_view v) { return assignNameOrStar(rule.className, v); } },
                                                                                               { "rate", false, "a rate such as 50/s, above 0", [](LimitRule& rule, std::string_view v) { return assign(rule.rate, parseRate(v), 0.001, 1e6); } },
                                                                                               { "burst", false, "a whole number of requests from 1 to 1000000", [](LimitRule& rule, std::string_view v) { return assign<double, uint64_t>(rule.burst, parseCount(v), 1, 1000000); } },
                                                                                               { "concurrent", false, "a whole number of calls from 1 to 1000000", [](LimitRule& rule, std::string_view v) { return assign<uint32_t, uint64_t>(rule.concurrent, parseCount(v), 1, 1000000); } },
                                                                                               { "tokens", false, "a rate of tokens such as 20000/s, above 0", [](LimitRule& rule, std::string_view v) { return assign(rule.tokensPerSecond, parseRate(v), 0.001, 1e9); } },
                                                                                           } };
    return s_spec;
}

static const KindSpec<RetryRule>& retrySpec()
{
    static const KindSpec<RetryRule> s_spec { "retry", &RuleSet::retries, &RetryRule::name, {
                                                                                                { "route", false, nameOrStarExpected, [](RetryRule& rule, std::string_view v) { return assignNameOrStar(rule.route, v); } },
                                                                                                { "budget", true, "a percentage from 0% to 100%", [](RetryRule& rule, std::string_view v) { return assign(rule.budget, parsePercent(v), 0.0, 1.0); } },
                                                                                                { "attempts", false, "a whole number from 1 to 10", [](RetryRule& rule, std::string_view v) { return assign<int, uint64_t>(rule.attempts, parseCount(v), 1, 10); } },
                                                                                                { "base", false, "a duration from 1ms to 1m", [](RetryRule& rule, std::string_view v) { return assignDuration(rule.base, v, 1_ms, 1_min); } },
                                                                                                { "cap", false, "a duration from 1ms to 10m", [](RetryRule& rule, std::string_view v) { return assignDuration(rule.cap, v, 1_ms, 10_min); } },
                                                                                                // limits/Retry decides on hedging but the node does not implement it yet, so rules that enable it are rejected.
                                                                                                { "hedge", false, "no (hedged requests are not available yet)", [](RetryRule& rule, std::string_view v) { rule.hedge = false; return v == "no"; } },
                                                                                            } };
    return s_spec;
}

static const KindSpec<VersionRule>& versionSpec()
{
    static const KindSpec<VersionRule> s_spec { "version", &RuleSet::versions, &VersionRule::name, {
                                                                                                       { "model", true, nameExpected, [](VersionRule& rule, std::string_view v) { return assignName(rule.model, v); } },
                                                                                                       { "version", true, nameExpected, [](VersionRule& rule, std::string_view v) { return assignName(rule.version, v); } },
                                                                                                       { "share", false, "a percentage from 0% to 100%", [](VersionRule& rule, std::string_view v) { return assign(rule.share, parsePercent(v), 0.0, 1.0); } },
                                                                                                   } };
    return s_spec;
}

static const KindSpec<MoveRule>& moveSpec()
{
    static constexpr std::string_view utc = "a UTC time such as 2026-12-03T22:00Z";
    static const KindSpec<MoveRule> s_spec { "move", &RuleSet::moves, &MoveRule::name, {
                                                                                           { "model", true, nameExpected, [](MoveRule& rule, std::string_view v) { return assignName(rule.model, v); } },
                                                                                           { "from", true, nameExpected, [](MoveRule& rule, std::string_view v) { return assignName(rule.from, v); } },
                                                                                           { "to", true, nameExpected, [](MoveRule& rule, std::string_view v) { return assignName(rule.to, v); } },
                                                                                           { "start", false, utc, [](MoveRule& rule, std::string_view v) { rule.start = parseUtc(v); return rule.start.has_value(); } },
                                                                                           { "by", true, utc, [](MoveRule& rule, std::string_view v) { return assign(rule.by, parseUtc(v), 0_ms, farFuture); } },
                                                                                           { "max-share", false, "a percentage from 0.1% to 50%", [](MoveRule& rule, std::string_view v) { return assign(rule.maxShare, parsePercent(v), 0.001, 0.5); } },
                                                                                           { "errors", false, "a percentage from 0.1% to 50%", [](MoveRule& rule, std::string_view v) { return assign(rule.errors, parsePercent(v), 0.001, 0.5); } },
                                                                                           { "slower", false, "a factor from 1.05x to 10x", [](MoveRule& rule, std::string_view v) { return assign(rule.slower, parseFactor(v), 1.05, 10.0); } },
                                                                                           { "watch", false, "a duration from 0s to 24h", [](MoveRule& rule, std::string_view v) { return assignDuration(rule.watch, v, 0_ms, 1440_min); } },
                                                                                       } };
    return s_spec;
}

static const KindSpec<PriceRule>& priceSpec()
{
    static const KindSpec<PriceRule> s_spec { "price", &RuleSet::prices, &PriceRule::name, {
                                                                                               { "domain", true, nameExpected, [](PriceRule& rule, std::string_view v) { return assignName(rule.domain, v); } },
                                                                                               { "machine", true, nameExpected, [](PriceRule& rule, std::string_view v) { return assignName(rule.machine, v); } },
                                                                                               { "kind", true, "reclaimable or on-demand", [](PriceRule& rule, std::string_view v) { return assignEnum(rule.kind, parseEnum<InstanceKind>(v)); } },
                                                                                               { "per-hour", true, "a number from 0 to 100000", [](PriceRule& rule, std::string_view v) { return assign(rule.perHour, parseNumber(v), 0.0, 100000.0); } },
                                                                                           } };
    return s_spec;
}

static const KindSpec<InstancesRule>& instancesSpec()
{
    static const KindSpec<InstancesRule> s_spec { "instances", &RuleSet::instances, &InstancesRule::name, {
                                                                                                              { "domain", true, nameExpected, [](InstancesRule& rule, std::string_view v) { return assignName(rule.domain, v); } },
                                                                                                              { "machine", true, nameExpected, [](InstancesRule& rule, std::string_view v) { return assignName(rule.machine, v); } },
                                                                                                              { "model", true, nameExpected, [](InstancesRule& rule, std::string_view v) { return assignName(rule.model, v); } },
                                                                                                              { "min", true, "a whole number from 0 to 10000", [](InstancesRule& rule, std::string_view v) { return assign<uint32_t, uint64_t>(rule.min, parseCount(v), 0, 10000); } },
                                                                                                              { "max", true, "a whole number from 0 to 10000", [](InstancesRule& rule, std::string_view v) { return assign<uint32_t, uint64_t>(rule.max, parseCount(v), 0, 10000); } },
                                                                                                              { "kind", false, "reclaimable or on-demand", [](InstancesRule& rule, std::string_view v) { return assignEnum(rule.kind, parseEnum<InstanceKind>(v)); } },
                                                                                                          } };
    return s_spec;
}

static const KindSpec<DrainRule>& drainSpec()
{
    static const KindSpec<DrainRule> s_spec { "drain", &RuleSet::drains, &DrainRule::name, {
                                                                                               { "within", true, "a duration from 100ms to 1m", [](DrainRule& rule, std::string_view v) { return assignDuration(rule.within, v, 100_ms, 1_min); } },
                                                                                               { "notice", false, "a duration from 1s to 1h", [](DrainRule& rule, std::string_view v) { return assignDuration(rule.notice, v, 1_s, 60_min); } },
                                                                                           } };
    return s_spec;
}

// Parses "a:1,b:2" and passes each name and value to `visit`; returns false if the text is malformed or `visit` fails.
template <class Visit>
static bool readPairs(std::string_view text, Visit&& visit)
{
    while (!text.empty()) {
        const auto pair = text.substr(0, text.find(','));
        const auto colon = pair.rfind(':');
        if (colon == std::string_view::npos || !isRuleName(pair.substr(0, colon)) || !visit(std::string(pair.substr(0, colon)), pair.substr(colon + 1)))
            return false;
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
    }
    return true;
}

static bool readShares(ForwardRule& rule, std::string_view text)
{
    const bool valid = readPairs(text, [&](std::string backend, std::string_view value) {
        const auto weight = parseCount(value);
        rule.to.push_back({ std::move(backend), static_cast<uint32_t>(weight.value_or(0)) });
        return weight && *weight <= 1000000;
    });
    return valid && !rule.to.empty();
}

static bool readPrices(BackendRule& rule, std::string_view text)
{
    return readPairs(text, [&](std::string domain, std::string_view value) {
        const auto factor = parseNumber(value);
        rule.prices.push_back({ std::move(domain), factor.value_or(1) });
        return factor.has_value();
    });
}

static bool assignFlag(bool& target, std::string_view value)
{
    target = value == "yes";
    return target || value == "no";
}

static bool assignPrefix(std::string& target, std::string_view value)
{
    target = value;
    return value.starts_with('/') && value.ends_with('/');
}

static constexpr std::string_view yesNoExpected = "yes or no";
static constexpr std::string_view durationExpected = "a duration from 1ms to 1h";

static const KindSpec<BackendRule>& backendSpec()
{
    static const KindSpec<BackendRule> s_spec { "backend", &RuleSet::backends, &BackendRule::name, {
                                                                                                       { "health", false, "a path that starts with /", [](BackendRule& rule, std::string_view v) { rule.health = v; return v.starts_with('/'); } },
                                                                                                       { "connections", false, "a whole number from 0 to 1000000", [](BackendRule& rule, std::string_view v) { return assign<uint32_t, uint64_t>(rule.connections, parseCount(v), 0, 1000000); } },
                                                                                                       { "slots", false, "a whole number from 0 to 100000", [](BackendRule& rule, std::string_view v) { return assign<uint32_t, uint64_t>(rule.slots, parseCount(v), 0, 100000); } },
                                                                                                       { "memory-tokens", false, "a whole number", [](BackendRule& rule, std::string_view v) { return assign<uint64_t, uint64_t>(rule.memoryTokens, parseCount(v), 0, uint64_t { 1 } << 40); } },
                                                                                                       { "min", false, "a whole number from 0 to 10000", [](BackendRule& rule, std::string_view v) { return assign<uint32_t, uint64_t>(rule.minInstances, parseCount(v), 0, 10000); } },
                                                                                                       { "max", false, "a whole number from 0 to 10000", [](BackendRule& rule, std::string_view v) { return assign<uint32_t, uint64_t>(rule.maxInstances, parseCount(v), 0, 10000); } },
                                                                                                       { "boot", false, "a duration from 0ms to 1h", [](BackendRule& rule, std::string_view v) { return assignDuration(rule.boot, v, 0_ms, 60_min); } },
                                                                                                       { "reclaimable-price", false, "a number from 0 to 1000", [](BackendRule& rule, std::string_view v) { return assign(rule.reclaimablePrice, parseNumber(v), 0.0, 1000.0); } },
                                                                                                       { "prices", false, "DOMAIN:FACTOR, separated by commas", readPrices },
                                                                                                   } };
    return s_spec;
}

static const KindSpec<ColdStartRule>& coldStartSpec()
{
    static const KindSpec<ColdStartRule> s_spec { "cold-start", &RuleSet::coldStarts, &ColdStartRule::name, {
                                                                                                                { "duration", true, "a duration from 1ms to 10m", [](ColdStartRule& rule, std::string_view v) { return assignDuration(rule.duration, v, 1_ms, 10_min); } },
                                                                                                                { "rate", true, "a number from 0.01 to 1000000", [](ColdStartRule& rule, std::string_view v) { return assign(rule.perSecond, parseNumber(v), 0.01, 1e6); } },
                                                                                                            } };
    return s_spec;
}

static bool readRegions(RegionsRule& rule, std::string_view value)
{
    for (bool more = true; more;) {
        const auto comma = value.find(',');
        const auto name = value.substr(0, comma);
        if (!isRuleName(name) || std::find(rule.allowed.begin(), rule.allowed.end(), name) != rule.allowed.end())
            return false;
        rule.allowed.emplace_back(name);
        more = comma != std::string_view::npos;
        value = more ? value.substr(comma + 1) : std::string_view {};
    }
    return true;
}

static FieldSpec<RegionsRule> allowedRegionsField()
{
    return { "allowed", true, "names of regions, separated by commas, each once", readRegions };
}

static const KindSpec<RegionsRule>& routeRegionsSpec()
{
    static const KindSpec<RegionsRule> s_spec { "regions route", &RuleSet::routeRegions, &RegionsRule::name, { allowedRegionsField() } };
    return s_spec;
}

static const KindSpec<RegionsRule>& accountRegionsSpec()
{
    static const KindSpec<RegionsRule> s_spec { "regions account", &RuleSet::accountRegions, &RegionsRule::name, { allowedRegionsField() } };
    return s_spec;
}

static const KindSpec<ForwardRule>& forwardSpec()
{
    static const KindSpec<ForwardRule> s_spec { "forward", &RuleSet::forwards, &ForwardRule::name, {
                                                                                                       { "host", true, "a host name", [](ForwardRule& rule, std::string_view v) { rule.host = v; return !v.empty(); } },
                                                                                                       { "prefix", true, "a path that starts and ends with /", [](ForwardRule& rule, std::string_view v) { return assignPrefix(rule.prefix, v); } },
                                                                                                       { "kind", true, "repeatable, once or stream", [](ForwardRule& rule, std::string_view v) { return assignEnum(rule.kind, parseEnum<ForwardKind>(v)); } },
                                                                                                       { "timeout", true, durationExpected, [](ForwardRule& rule, std::string_view v) { return assignDuration(rule.timeout, v, 1_ms, 60_min); } },
                                                                                                       { "target", false, durationExpected, [](ForwardRule& rule, std::string_view v) { return assignDuration(rule.target, v, 1_ms, 60_min); } },
                                                                                                       { "gap", false, "a duration from 0ms to 1h", [](ForwardRule& rule, std::string_view v) { return assignDuration(rule.gap, v, 0_ms, 60_min); } },
                                                                                                       { "priority", false, "a whole number from 0 (first) to 9 (last)", [](ForwardRule& rule, std::string_view v) { return assign<int, uint64_t>(rule.priority, parseCount(v), 0, 9); } },
                                                                                                       { "attempts", false, "a whole number from 1 to 10", [](ForwardRule& rule, std::string_view v) { return assign<int, uint64_t>(rule.attempts, parseCount(v), 1, 10); } },
                                                                                                       { "anonymous", false, yesNoExpected, [](ForwardRule& rule, std::string_view v) { return assignFlag(rule.anonymous, v); } },
                                                                                                       { "affinity", false, yesNoExpected, [](ForwardRule& rule, std::string_view v) { return assignFlag(rule.affinity, v); } },
                                                                                                       { "resume", false, yesNoExpected, [](ForwardRule& rule, std::string_view v) { return assignFlag(rule.resume, v); } },
                                                                                                       { "to", true, "BACKEND:WEIGHT, separated by commas", readShares },
                                                                                                   } };
    return s_spec;
}

static const KindSpec<AllowanceRule>& allowanceSpec()
{
    static const KindSpec<AllowanceRule> s_spec { "allowance", &RuleSet::allowances, &AllowanceRule::name, {
                                                                                                               { "priority", false, "a whole number from 0 (first) to 9 (last)", [](AllowanceRule& rule, std::string_view v) { return assign<int, uint64_t>(rule.priority, parseCount(v), 0, 9); } },
                                                                                                               { "rate", false, "a number from 0", [](AllowanceRule& rule, std::string_view v) { return assign(rule.rate, parseNumber(v), 0.0, 1e12); } },
                                                                                                               { "burst", false, "a number from 0", [](AllowanceRule& rule, std::string_view v) { return assign(rule.burst, parseNumber(v), 0.0, 1e12); } },
                                                                                                               { "tokens", false, yesNoExpected, [](AllowanceRule& rule, std::string_view v) { return assignFlag(rule.tokens, v); } },
                                                                                                               { "plain-tokens", false, "a number from 0", [](AllowanceRule& rule, std::string_view v) { return assign(rule.plainTokens, parseNumber(v), 0.0, 1e9); } },
                                                                                                           } };
    return s_spec;
}

static const KindSpec<CallerKeyRule>& callerKeySpec()
{
    static const KindSpec<CallerKeyRule> s_spec { "caller-key", &RuleSet::callerKeys, &CallerKeyRule::name, {
                                                                                                                { "account", true, nameExpected, [](CallerKeyRule& rule, std::string_view v) { return assignName(rule.account, v); } },
                                                                                                                { "token-sha256", true, "64 lower-case hex digits", [](CallerKeyRule& rule, std::string_view v) { rule.tokenSha256 = v; return isHexDigest(v); } },
                                                                                                            } };
    return s_spec;
}

static const KindSpec<IntakeRule>& intakeSpec()
{
    static const KindSpec<IntakeRule> s_spec { "intake", &RuleSet::intakes, &IntakeRule::name, {
                                                                                                   { "header-bytes", false, "a size from 1KB to 1MB", [](IntakeRule& rule, std::string_view v) { return assign<uint32_t, uint64_t>(rule.headerBytes, parseBytes(v), 1024, 1 << 20); } },
                                                                                                   { "body-bytes", false, "a size from 1KB to 256MB", [](IntakeRule& rule, std::string_view v) { return assign<uint64_t, uint64_t>(rule.bodyBytes, parseBytes(v), 1024, 256 << 20); } },
                                                                                                   { "header-timeout", false, durationExpected, [](IntakeRule& rule, std::string_view v) { return assignDuration(rule.headerTimeout, v, 1_ms, 60_min); } },
                                                                                                   { "idle-timeout", false, durationExpected, [](IntakeRule& rule, std::string_view v) { return assignDuration(rule.idleTimeout, v, 1_ms, 60_min); } },
                                                                                               } };
    return s_spec;
}

template <class Rule>
static std::string keyList(const KindSpec<Rule>& spec)
{
    std::string out;
    for (const auto& field : spec.fields)
        out += (out.empty() ? "" : ", ") + std::string(field.key);
    return out;
}

template <class Rule>
static bool addRuleOfKind(const KindSpec<Rule>& spec, const RuleInput& input, ParsedRules& out)
{
    if (spec.kind != input.kind)
        return false;
    Rule rule;
    rule.*spec.name = input.name;
    rule.origin = input.origin;
    const int line = input.origin.line;
    for (const auto& field : input.fields) {
        const auto it = std::find_if(spec.fields.begin(), spec.fields.end(), [&](const auto& known) { return known.key == field.key; });
        if (it == spec.fields.end())
            out.problems.push_back({ line, field.column, "unknown key '" + field.key + "' for " + input.kind + "; expected one of: " + keyList(spec) });
        else if (!it->set(rule, field.value))
            out.problems.push_back({ line, field.valueColumn, field.key + "='" + field.value + "': expected " + std::string(it->expected) });
    }
    for (const auto& known : spec.fields) {
        const bool given = std::any_of(input.fields.begin(), input.fields.end(), [&](const auto& field) { return field.key == known.key; });
        if (known.required && !given)
            out.problems.push_back({ line, input.nameColumn, input.kind + " '" + input.name + "' lacks " + std::string(known.key) + "=; expected " + std::string(known.expected) });
    }
    const auto [existing, inserted] = out.lineOfRule.try_emplace(input.kind + " " + input.name, line);
    if (!inserted)
        out.problems.push_back({ line, input.nameColumn, input.kind + " '" + input.name + "' is already defined on line " + std::to_string(existing->second) });
    else {
        (out.rules.*spec.rows).push_back(std::move(rule));
        out.rules.lines.push_back({ input.kind, input.name, input.origin });
    }
    return true;
}

size_t kindWordCount(std::string_view first, std::string_view second)
{
    return first == "regions" && (second == "route" || second == "account") ? 2 : 1;
}

std::vector<std::string_view> ruleKindNames()
{
    return { "account", "class", "target", "route", "limit", "retry", "version", "move", "price", "instances", "drain", "backend", "cold-start", "regions route", "regions account", "forward", "allowance", "caller-key", "intake" };
}

void addRule(const RuleInput& input, ParsedRules& out)
{
    const bool known = addRuleOfKind(accountSpec(), input, out) || addRuleOfKind(classSpec(), input, out) || addRuleOfKind(targetSpec(), input, out)
        || addRuleOfKind(routeSpec(), input, out) || addRuleOfKind(limitSpec(), input, out) || addRuleOfKind(retrySpec(), input, out)
        || addRuleOfKind(versionSpec(), input, out) || addRuleOfKind(moveSpec(), input, out) || addRuleOfKind(priceSpec(), input, out)
        || addRuleOfKind(instancesSpec(), input, out) || addRuleOfKind(drainSpec(), input, out)
        || addRuleOfKind(backendSpec(), input, out) || addRuleOfKind(forwardSpec(), input, out) || addRuleOfKind(allowanceSpec(), input, out)
        || addRuleOfKind(callerKeySpec(), input, out) || addRuleOfKind(intakeSpec(), input, out) || addRuleOfKind(coldStartSpec(), input, out)
        || addRuleOfKind(routeRegionsSpec(), input, out) || addRuleOfKind(accountRegionsSpec(), input, out);
    if (known)
        return;
    std::string kinds;
    for (const auto& kind : ruleKindNames())
        kinds += (kinds.empty() ? "" : ", ") + std::string(kind);
    out.problems.push_back({ input.origin.line, input.kindColumn, "unknown rule kind '" + input.kind + "'; expected one of: " + kinds });
}

}
