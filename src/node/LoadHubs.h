#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// Load reporting through hubs. With few entry nodes, each reports its load to all others. With many, the nodes of a failure
// domain report to one of them, the hub, which adds up their load. Hubs exchange these sums and send the total to their nodes,
// so that a node sends and receives a few frames per second, however many nodes there are. Between these complete reports, updates carry
// the loads alone: nodes send one when their load has changed, and hubs several sums for each complete one.

/// Whether there are enough entry nodes to report through hubs.
bool usesLoadHubs(const Node&);
/// Returns the hub of this node's failure domain; it can be this node.
NodeId domainHub(const Node&);
/// Hubs of all failure domains; this node can be one of them.
std::vector<NodeId> loadHubs(const Node&);
/// Number of other live members in this node's failure domain.
size_t domainNodeCount(const Node&);
/// Reports the load of this node to the hub of its failure domain.
void reportToHub(Node&);
/// Reports the loads alone, if they have changed since the last report or update and the last one is old enough.
void updateHub(Node&);
/// If this node is a hub, sends the sums when they are due.
void tickLoadHub(Node&);

void receiveHubReport(Node&, NodeId from, std::string_view body);
void receiveDomainLoad(Node&, NodeId from, std::string_view body);
void receiveFleetLoad(Node&, NodeId from, std::string_view body);
void receiveLoadUpdate(Node&, NodeId from, std::string_view body);
void receiveDomainUpdate(Node&, NodeId from, std::string_view body);
void receiveFleetUpdate(Node&, NodeId from, std::string_view body);

}
