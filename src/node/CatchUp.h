#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// A node that has just started does not know all members, and a frame can be lost with its connection, so a broadcast does not
// reach every node. Each node that forwards requests therefore asks another one several times a second for what it has missed:
// the nodes of a large fleet ask the hub of their failure domain, the hubs and the nodes of a small fleet the decision leader.

/// Whether this node acts on what it could miss: it forwards requests or serves control calls.
bool needsNotices(const Node&);
/// Asks for missed notices when it is time.
void tickCatchUp(Node&);
/// Asks this node for missed notices and makes the sender known to it: after a start it may not know all members, and a node that it
/// does not know gets no answer.
void introduceTo(Node&, NodeId);
void receiveCatchUp(Node&, NodeId from, std::string_view body);
void receiveCatchUpReply(Node&, NodeId from, std::string_view body);

}
