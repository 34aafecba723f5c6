#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// Load reporting through hubs. With few entry nodes, each reports its load to all others. With many, the nodes of a failure
// domain report to one of them, the hub, which adds up their load. Hubs exchange these sums and send the total to their nodes,
// so that a node sends and receives a few frames per second, however many nodes there are.

/// Whether there are enough entry nodes to report through hubs.
bool usesLoadHubs(const Node&);
/// Returns the hub of this node's failure domain; it can be this node.
NodeId domainHub(const Node&);
/// Number of other live members in this node's failure domain.
size_t domainNodeCount(const Node&);
/// Reports the load of this node to the hub of its failure domain.
void reportToHub(Node&);
/// If this node is a hub, sends the sums when they are due.
void tickLoadHub(Node&);

void receiveHubReport(Node&, NodeId from, std::string_view body);
void receiveDomainLoad(Node&, NodeId from, std::string_view body);
void receiveFleetLoad(Node&, NodeId from, std::string_view body);

}
