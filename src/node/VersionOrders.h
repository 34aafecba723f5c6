#pragma once

#include "node/NodeState.h"

#include <functional>

namespace siskinshunt {

/// Takes over the version orders of the view.
void followVersionOrders(Node&);
/// Which upstreams a request may go to by their version; null: all of them.
std::function<bool(const ForwardTarget&)> versionFilter(Node&, const ForwardCall&);
/// Whether no request may go to the upstream's version.
bool isVersionExcluded(const Node&, const ForwardTarget&);
/// Notes how an attempt ended, for the version of its upstream.
void recordVersionResult(Node&, const ForwardCall&, bool failed);
/// Reports evidence to the decision leader; as the leader, steps the orders.
void tickVersionOrders(Node&);
void receiveVersionEvidence(Node&, NodeId from, std::string_view body);

}
