#include "rules/RuleChecks.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace siskinshunt {

namespace {

    struct Checker {
        ParsedRules& parsed;
        const RuleSet& rules = parsed.rules;

        void report(const RuleOrigin& origin, const std::string& message) { parsed.problems.push_back({ origin.line, 1, message }); }

        bool hasRule(const char* kind, const std::string& name) const { return parsed.lineOfRule.contains(std::string(kind) + " " + name); }

        void checkClass(const RuleOrigin& origin, const std::string& name)
        {
            if (!name.empty() && name != "*" && !hasRule("class", name))
                report(origin, "class '" + name + "' is not defined; expected the name of a class rule");
        }

        void checkAccount(const RuleOrigin& origin, const std::string& name)
        {
            if (name != "*" && !hasRule("account", name))
                report(origin, "account '" + name + "' is not defined; expected the name of an account rule or *");
        }
    };

}

static void checkTargets(Checker& checker)
{
    for (const auto& target : checker.rules.targets)
        checker.checkClass(target.origin, target.className);
}

static void checkRoutes(Checker& checker)
{
    using Conditions = std::tuple<std::string_view, std::string_view, std::string_view, std::string_view, std::string_view, std::string_view>;
    std::map<Conditions, const RouteRule*> seen;
    for (const auto& route : checker.rules.routes) {
        checker.checkClass(route.origin, route.className);
        checker.checkAccount(route.origin, route.account);
        if (route.model.empty() == route.service.empty())
            checker.report(route.origin, "route '" + route.name + "' needs either model= or service=");
        const auto [first, inserted] = seen.try_emplace({ route.account, route.className, route.model, route.service, route.path, route.method }, &route);
        if (!inserted)
            checker.report(route.origin, "route '" + route.name + "' never matches; route '" + first->second->name + "' on line " + std::to_string(first->second->origin.line) + " has the same conditions");
    }
}

static void checkLimits(Checker& checker)
{
    for (const auto& limit : checker.rules.limits) {
        checker.checkClass(limit.origin, limit.className);
        checker.checkAccount(limit.origin, limit.account);
        if (limit.rate == 0 && limit.concurrent == 0 && limit.tokensPerSecond == 0)
            checker.report(limit.origin, "limit '" + limit.name + "' needs at least one of rate=, concurrent=, tokens=");
        if (limit.burst > 0 && limit.rate == 0)
            checker.report(limit.origin, "limit '" + limit.name + "' has burst= without rate=");
    }
}

static void checkRetries(Checker& checker)
{
    for (const auto& retry : checker.rules.retries) {
        const bool known = retry.route == "*" || checker.hasRule("route", retry.route);
        if (!known)
            checker.report(retry.origin, "route '" + retry.route + "' is not defined; expected the name of a route rule or *");
        if (retry.base > retry.cap)
            checker.report(retry.origin, "retry '" + retry.name + "' has base= above cap=");
    }
}

static void checkVersions(Checker& checker)
{
    std::map<std::string, double> shares;
    for (const auto& version : checker.rules.versions) {
        shares[version.model] += version.share;
        if (shares[version.model] > 1.0001)
            checker.report(version.origin, "the shares of model '" + version.model + "' add up to more than 100%");
    }
}

static void checkMoves(Checker& checker)
{
    for (const auto& move : checker.rules.moves) {
        if (move.from == move.to)
            checker.report(move.origin, "move '" + move.name + "' has the same version in from= and to=");
        if (move.start && *move.start >= move.by)
            checker.report(move.origin, "move '" + move.name + "' has start= at or after by=");
        const auto& versions = checker.rules.versions;
        const bool known = std::any_of(versions.begin(), versions.end(), [&](const auto& it) { return it.model == move.model && (it.version == move.from || it.version == move.to); });
        if (!known)
            checker.report(move.origin, "move '" + move.name + "': expected a version rule for model '" + move.model + "' with version '" + move.from + "'");
    }
}

static void checkInstances(Checker& checker)
{
    for (const auto& instances : checker.rules.instances) {
        if (instances.min > instances.max)
            checker.report(instances.origin, "instances '" + instances.name + "' has min= above max=");
    }
    if (checker.rules.drains.size() > 1)
        checker.report(checker.rules.drains[1].origin, "only one drain rule is allowed; the first is on line " + std::to_string(checker.rules.drains[0].origin.line));
}

static void checkForwards(Checker& checker)
{
    std::map<std::pair<std::string_view, std::string_view>, const ForwardRule*> seen;
    for (const auto& forward : checker.rules.forwards) {
        uint64_t sum = 0;
        for (const auto& share : forward.to) {
            sum += share.weight;
            if (!checker.hasRule("backend", share.backend))
                checker.report(forward.origin, "backend '" + share.backend + "' is not defined; expected the name of a backend rule");
        }
        if (!sum)
            checker.report(forward.origin, "forward '" + forward.name + "': the weights in to= add up to 0");
        const auto [first, inserted] = seen.try_emplace({ forward.host, forward.prefix }, &forward);
        if (!inserted)
            checker.report(forward.origin, "forward '" + forward.name + "' has the host and prefix of forward '" + first->second->name + "' on line " + std::to_string(first->second->origin.line));
    }
}

static void checkColdStarts(Checker& checker)
{
    for (const auto& rule : checker.rules.coldStarts) {
        if (!checker.hasRule("backend", rule.name))
            checker.report(rule.origin, "backend '" + rule.name + "' is not defined; expected the name of a backend rule");
    }
}

static void checkRegions(Checker& checker)
{
    for (const auto& rule : checker.rules.routeRegions) {
        if (!checker.hasRule("forward", rule.name))
            checker.report(rule.origin, "route '" + rule.name + "' is not defined; expected the name of a forward rule");
    }
    for (const auto& rule : checker.rules.accountRegions) {
        if (!checker.hasRule("allowance", rule.name))
            checker.report(rule.origin, "account '" + rule.name + "' is not defined; expected the name of an allowance rule");
    }
}

static void checkCallerKeys(Checker& checker)
{
    std::map<std::string_view, const CallerKeyRule*> seen;
    for (const auto& key : checker.rules.callerKeys) {
        if (!checker.hasRule("allowance", key.account))
            checker.report(key.origin, "account '" + key.account + "' is not defined; expected the name of an allowance rule");
        const auto [first, inserted] = seen.try_emplace(key.tokenSha256, &key);
        if (!inserted && first->second->account != key.account)
            checker.report(key.origin, "the key of caller-key '" + key.name + "' belongs to account '" + first->second->account + "' on line " + std::to_string(first->second->origin.line));
    }
    if (checker.rules.intakes.size() > 1)
        checker.report(checker.rules.intakes[1].origin, "only one intake rule is allowed; the first is on line " + std::to_string(checker.rules.intakes[0].origin.line));
}

void checkReferences(ParsedRules& parsed)
{
    Checker checker { parsed };
    checkTargets(checker);
    checkRoutes(checker);
    checkLimits(checker);
    checkRetries(checker);
    checkVersions(checker);
    checkMoves(checker);
    checkInstances(checker);
    checkColdStarts(checker);
    checkRegions(checker);
    checkForwards(checker);
    checkCallerKeys(checker);
}
}
