#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// With few entry nodes each tells all others of its load. With many, the nodes of a failure domain report to one of them,
// the hub, which adds up; hubs tell each other their sums, and each tells its nodes the sum of all. A node then sends and
// receives a few frames a second however many there are.

/// Whether there are so many entry nodes that they report to hubs.
bool usesLoadHubs(const Node&);
/// Tells the hub of this node's domain of its load.
void reportToHub(Node&);
/// At a hub: sends the sums when they are due.
void tickLoadHub(Node&);

void receiveHubReport(Node&, NodeId from, std::string_view body);
void receiveDomainLoad(Node&, NodeId from, std::string_view body);
void receiveFleetLoad(Node&, NodeId from, std::string_view body);

}
