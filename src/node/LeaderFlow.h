#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// What only leaders do: epochs, moves, orders, limit leases, ledger sweeps, voter repair.
void tickLeader(Node&);
/// The node that leads the decision log, as far as this node knows.
NodeId decisionLeader(const Node&);

void receiveLeaseRequests(Node&, NodeId from, std::string_view body);
void receiveLeaseGrants(Node&, std::string_view body);
/// Asks for shares of the limits that are in use here.
void tickLeases(Node&);

/// Keeps a level that the move controller wants reached.
void handleMoveOrder(Node&, const MoveOrder&);
/// Orders what the levels lack from the upstreams that announce themselves now.
void reconcileLevels(Node&);
/// Takes the end of an order's request; false if the dispatch is not an order.
bool handleOrderEvent(Node&, const UpstreamEvent&);

}
