#include "rules/RuleMatch.h"

#include "base/Hash.h"

#include <algorithm>

namespace siskinshunt {

static bool matches(const RouteRule& route, const RouteQuery& query)
{
    if (route.account != "*" && route.account != query.account)
        return false;
    if (!query.className.empty() && !route.className.empty() && route.className != query.className)
        return false;
    if (route.model != query.model || route.service != query.service)
        return false;
    if (!route.method.empty() && route.method != query.method)
        return false;
    return query.path.starts_with(route.path);
}

const RouteRule* matchRoute(const RuleSet& rules, const RouteQuery& query)
{
    const auto it = std::find_if(rules.routes.begin(), rules.routes.end(), [&](const auto& route) { return matches(route, query); });
    return it == rules.routes.end() ? nullptr : &*it;
}

std::string_view classOfRequest(const RouteRule& route, const RouteQuery& query)
{
    if (!route.className.empty())
        return route.className;
    return query.className.empty() ? std::string_view("default") : query.className;
}

const ClassRule& findClass(const RuleSet& rules, std::string_view name)
{
    static const ClassRule s_default { .name = "default" };
    const auto it = std::find_if(rules.classes.begin(), rules.classes.end(), [&](const auto& rule) { return rule.name == name; });
    return it == rules.classes.end() ? s_default : *it;
}

const TargetRule* findTarget(const RuleSet& rules, std::string_view className)
{
    const auto it = std::find_if(rules.targets.begin(), rules.targets.end(), [&](const auto& rule) { return rule.className == className; });
    return it == rules.targets.end() ? nullptr : &*it;
}

const RetryRule& findRetry(const RuleSet& rules, std::string_view route)
{
    static const RetryRule s_default { .name = "default" };
    for (std::string_view name : { route, std::string_view("*") }) {
        const auto it = std::find_if(rules.retries.begin(), rules.retries.end(), [&](const auto& rule) { return rule.route == name; });
        if (it != rules.retries.end())
            return *it;
    }
    return s_default;
}

const AccountRule* findAccountByToken(const RuleSet& rules, std::string_view tokenSha256)
{
    const AccountRule* found = nullptr;
    for (const auto& account : rules.accounts) {
        if (equalConstantTime(account.tokenSha256, tokenSha256))
            found = &account;
    }
    return found;
}

const DrainRule& findDrain(const RuleSet& rules)
{
    static const DrainRule s_default { .name = "default" };
    return rules.drains.empty() ? s_default : rules.drains.front();
}

static const RuleLine* findLine(const RuleSet& rules, const RuleLine& line)
{
    const auto it = std::find_if(rules.lines.begin(), rules.lines.end(), [&](const auto& other) { return other.kind == line.kind && other.name == line.name; });
    return it == rules.lines.end() ? nullptr : &*it;
}

static bool sameRule(const RuleOrigin& a, const RuleOrigin& b)
{
    return a.text == b.text && a.person == b.person && a.reason == b.reason;
}

std::vector<RuleChange> diffRules(const RuleSet& before, const RuleSet& after)
{
    std::vector<RuleChange> changes;
    for (const auto& line : before.lines) {
        const RuleLine* other = findLine(after, line);
        if (!other)
            changes.push_back({ RuleChangeKind::Removed, line, {} });
        else if (!sameRule(line.origin, other->origin))
            changes.push_back({ RuleChangeKind::Changed, line, *other });
    }
    for (const auto& line : after.lines) {
        if (!findLine(before, line))
            changes.push_back({ RuleChangeKind::Added, {}, line });
    }
    return changes;
}

}
