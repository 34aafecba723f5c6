#pragma once

#include "rules/RuleSet.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace siskinshunt {

/// The forwarding rules of one revision, indexed for look-ups.
struct RouteTable {
    std::shared_ptr<const RuleSet> rules;
    std::unordered_map<std::string, size_t> forwards; ///< Index of the forward rule by host and prefix.
    std::unordered_map<std::string, size_t> accountsByKey; ///< Index of the allowance rule by the key's SHA-256.
    std::unordered_map<std::string, size_t> backends; ///< Index of the backend rule by name.
    std::unordered_map<uint32_t, int> ranks; ///< Urgency by account priority * 16 + route priority, 0 to 9.
};

std::shared_ptr<const RouteTable> makeRouteTable(std::shared_ptr<const RuleSet>);

/// The forward rule with the longest prefix of the path among those of the host, or null. The host is compared without
/// case and without its port.
const ForwardRule* findForward(const RouteTable&, std::string_view host, std::string_view path);

/// The account that holds the key, or null.
const AllowanceRule* findAccountOfKey(const RouteTable&, std::string_view key);

const BackendRule* findBackend(const RouteTable&, std::string_view name);

/// Urgency of a request, 0 (first) to 9: the account's priority goes before the route's.
int urgencyOf(const RouteTable&, const AllowanceRule*, const ForwardRule&);

}
