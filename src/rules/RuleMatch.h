#pragma once

#include "rules/RuleSet.h"

#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// Request attributes that route rules match on.
struct RouteQuery {
    std::string_view account;
    std::string_view className; ///< As stated by the request; empty if none.
    std::string_view model; ///< Empty for services.
    std::string_view service; ///< Empty for models.
    std::string_view path;
    std::string_view method;
};

/// First matching route in file order, or null.
const RouteRule* matchRoute(const RuleSet&, const RouteQuery&);

/// Class of the request: that of the route if set, else the one stated by the request, else "default".
std::string_view classOfRequest(const RouteRule&, const RouteQuery&);

/// The class rule of that name, or built-in defaults.
const ClassRule& findClass(const RuleSet&, std::string_view name);

/// The target of the class, or null.
const TargetRule* findTarget(const RuleSet&, std::string_view className);

/// The retry rule for the route, else the one for "*", else built-in defaults.
const RetryRule& findRetry(const RuleSet&, std::string_view route);

/// The account whose token has this digest, or null. Compares in constant time.
const AccountRule* findAccountByToken(const RuleSet&, std::string_view tokenSha256);

/// The drain rule, or built-in defaults.
const DrainRule& findDrain(const RuleSet&);

enum class RuleChangeKind : uint8_t {
    Added,
    Removed,
    Changed,
};

template <>
inline constexpr auto enumNames<RuleChangeKind> = std::to_array<EnumName<RuleChangeKind>>({
    { RuleChangeKind::Added, "added" },
    { RuleChangeKind::Removed, "removed" },
    { RuleChangeKind::Changed, "changed" },
});

struct RuleChange {
    RuleChangeKind change = RuleChangeKind::Added;
    RuleLine before; ///< Empty when added.
    RuleLine after; ///< Empty when removed.
};

/// Rules added, removed or changed, identified by kind and name. A changed comment counts as a change.
std::vector<RuleChange> diffRules(const RuleSet& before, const RuleSet& after);

}
