#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// Requests on routes, or of client accounts, with a `regions` rule use only upstreams and entry nodes in these regions; see docs/design/regions.md.

/// The region of each failure domain that the settings name.
DomainRegions regionsOfSettings(const Settings&);
/// Reports failure domains and regions that the rule set in force needs and the settings do not map.
void checkRegionRules(Node&);
/// The region of a failure domain; empty if it is unknown, which is logged once if rules name regions.
std::string regionOfDomain(Node&, const std::string& domain);
/// Whether the request's body may be sent to the entry node.
bool mayRelayTo(Node&, const ForwardCall&, NodeId);
/// Refuses a request that no region is left for, and returns whether it did.
bool refuseWithoutRegion(Node&, ForwardCall&);
/// Removes the entry nodes that a client of the host is not told because routes of the host are bound to regions.
void keepEntriesInRegions(Node&, const EntriesCall&, std::vector<NodeId>& entries);

}
