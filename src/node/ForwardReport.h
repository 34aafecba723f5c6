#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// Load as nodes report it to each other, shared by direct reports and hubs.

bool takesCallers(const Node&);
/// This node's load, with the parts it has placed since the last call.
ForwardLoadFrame takeOwnLoad(Node&);
ReportedLoad reportedLoad(UpstreamId, const TargetLoad&);
std::map<UpstreamId, TargetLoad> loadsOf(const std::vector<ReportedLoad>&);
/// Remembers where other nodes have placed prompt parts.
void notePlaced(Node&, const std::vector<PlacedPart>&);

}
