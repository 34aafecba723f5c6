#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Sends this node's usage to the decision leader, and as the leader makes the calls that are the duty of one node.
void tickDuties(Node&);
void receiveUsage(Node&, NodeId from, std::string_view body);
/// False if the dispatch is not a duty's call.
bool handleDutyEvent(Node&, const UpstreamEvent&);

}
