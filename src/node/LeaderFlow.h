#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Runs the tasks of group leaders: epochs, moves, orders, limit leases, ledger sweeps and voter repair.
void tickLeader(Node&);
/// Returns the leader of the decision log as far as this node knows; none if unknown.
NodeId decisionLeader(const Node&);

void receiveLeaseRequests(Node&, NodeId from, std::string_view body);
void receiveLeaseGrants(Node&, std::string_view body);
/// Requests leases on shares of the limits that this node uses.
void tickLeases(Node&);

/// Stores the runner level (target count) that the move controller orders, or removes that of a retired version.
void handleMoveOrder(Node&, const MoveOrder&);
/// Orders upstreams to load the versions that are below their runner level.
void reconcileLevels(Node&);
/// Handles an event of an order's request; returns false if the dispatch is not an order.
bool handleOrderEvent(Node&, const UpstreamEvent&);

}
