#include "rules/RuleChecks.h"

#include <algorithm>
#include <map>

namespace siskinshunt {

namespace {

    struct Checker {
        const RuleSet& rules;
        std::vector<RuleProblem>& problems;

        void report(const RuleOrigin& origin, const std::string& message) { problems.push_back({ origin.line, 1, message }); }

        bool hasClass(const std::string& name) const
        {
            return std::any_of(rules.classes.begin(), rules.classes.end(), [&](const auto& it) { return it.name == name; });
        }

        bool hasAccount(const std::string& name) const
        {
            return std::any_of(rules.accounts.begin(), rules.accounts.end(), [&](const auto& it) { return it.name == name; });
        }

        void checkClass(const RuleOrigin& origin, const std::string& name)
        {
            if (!name.empty() && name != "*" && !hasClass(name))
                report(origin, "class '" + name + "' is not defined; expected the name of a class rule");
        }

        void checkAccount(const RuleOrigin& origin, const std::string& name)
        {
            if (name != "*" && !hasAccount(name))
                report(origin, "account '" + name + "' is not defined; expected the name of an account rule or *");
        }
    };

}

static void checkTargets(Checker& checker)
{
    for (const auto& target : checker.rules.targets)
        checker.checkClass(target.origin, target.className);
}

static bool sameConditions(const RouteRule& a, const RouteRule& b)
{
    return a.account == b.account && a.className == b.className && a.model == b.model && a.service == b.service && a.path == b.path && a.method == b.method;
}

static void checkRoutes(Checker& checker)
{
    const auto& routes = checker.rules.routes;
    for (auto it = routes.begin(); it != routes.end(); ++it) {
        checker.checkClass(it->origin, it->className);
        checker.checkAccount(it->origin, it->account);
        if (it->model.empty() == it->service.empty())
            checker.report(it->origin, "route '" + it->name + "' needs either model= or service=");
        const auto hidden = std::find_if(routes.begin(), it, [&](const RouteRule& earlier) { return sameConditions(earlier, *it); });
        if (hidden != it)
            checker.report(it->origin, "route '" + it->name + "' never matches; route '" + hidden->name + "' on line " + std::to_string(hidden->origin.line) + " has the same conditions");
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
    const auto& routes = checker.rules.routes;
    for (const auto& retry : checker.rules.retries) {
        const bool known = retry.route == "*" || std::any_of(routes.begin(), routes.end(), [&](const auto& it) { return it.name == retry.route; });
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

void checkReferences(ParsedRules& parsed)
{
    Checker checker { parsed.rules, parsed.problems };
    checkTargets(checker);
    checkRoutes(checker);
    checkLimits(checker);
    checkRetries(checker);
    checkVersions(checker);
    checkMoves(checker);
    checkInstances(checker);
}

}
