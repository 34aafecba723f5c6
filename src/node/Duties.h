#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Reports the usage of this node to the decision leader. On the leader, also runs the duties: calls to the platform that
/// exactly one node makes.
void tickDuties(Node&);
void receiveUsage(Node&, NodeId from, std::string_view body);
/// Handles an event of a duty call; returns false if the dispatch is not a duty call.
bool handleDutyEvent(Node&, const UpstreamEvent&);

}
