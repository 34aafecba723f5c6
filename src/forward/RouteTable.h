#pragma once

#include "forward/Regions.h"
#include "rules/RuleSet.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace siskinshunt {

/// Forwarding rules of one revision, indexed for lookup.
struct RouteTable {
    std::shared_ptr<const RuleSet> rules;
    std::unordered_map<std::string, size_t> forwards; ///< Index of the forward rule by host and prefix.
    std::unordered_map<std::string, size_t> accountsByKey; ///< Index of the allowance rule by the key's SHA-256.
    std::unordered_map<std::string, size_t> backends; ///< Index of the backend rule by name.
    RegionRules regions;
    std::unordered_map<uint32_t, int> ranks; ///< Urgency, 0 to 9, by account priority * 16 + route priority.
};

std::shared_ptr<const RouteTable> makeRouteTable(std::shared_ptr<const RuleSet>);

/// Returns the forward rule of the host with the longest matching path prefix, or null. The comparison of hosts ignores
/// case and the port.
const ForwardRule* findForward(const RouteTable&, std::string_view host, std::string_view path);

/// Returns the account that owns the key, or null.
const AllowanceRule* findAccountOfKey(const RouteTable&, std::string_view key);

const BackendRule* findBackend(const RouteTable&, std::string_view name);

/// Urgency of a request, 0 (most urgent) to 9, ordered by the account's priority and then by the route's.
int urgencyOf(const RouteTable&, const AllowanceRule*, const ForwardRule&);

}
