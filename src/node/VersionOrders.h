#pragma once

#include "node/NodeState.h"

#include <functional>

namespace siskinshunt {

/// Applies the version orders of the view.
void followVersionOrders(Node&);
/// Returns a filter for the upstreams that a request can use by their version; null if all are allowed.
std::function<bool(const ForwardTarget&)> versionFilter(Node&, const ForwardCall&);
/// Whether requests are not routed to the upstream's version.
bool isVersionExcluded(const Node&, const ForwardTarget&);
/// Records the result of an attempt for the version of its upstream.
void recordVersionResult(Node&, const ForwardCall&, bool failed);
/// Reports evidence to the decision leader; as the leader, steps the orders.
void tickVersionOrders(Node&);
void receiveVersionEvidence(Node&, NodeId from, std::string_view body);

}
