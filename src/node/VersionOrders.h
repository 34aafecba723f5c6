#pragma once

#include "node/NodeState.h"

#include <functional>

namespace siskinshunt {

/// Applies the version orders of the view.
void followVersionOrders(Node&);
/// Returns a filter for the upstreams that a request can use by their version; null if all are allowed.
std::function<bool(const ForwardTarget&)> versionFilter(Node&, const ForwardCall&);
/// Returns a filter for the upstreams of the backend that a request can use if versionFilter() leaves none: not those of a version that was
/// taken back or given up, and those of a version on trial only if there is no upstream of a version in use.
std::function<bool(const ForwardTarget&)> versionFallback(const Node&, const std::string& backend);

// Results of an attempt for the version of its upstream, while an order of its backend is running. Each attempt counts once.

/// The attempt is sent.
void recordVersionSend(Node&, ForwardCall&);
/// The attempt was answered, or its stream has begun; or it failed.
void recordVersionResult(Node&, ForwardCall&, bool failed);
/// The time of the request is over.
void recordVersionOutOfTime(Node&, ForwardCall&);
/// The caller has left: a failure if it had waited for longer than answers take.
void recordVersionCallerGone(Node&, ForwardCall&);
/// Bytes of the stream have arrived.
void recordVersionBody(Node&, ForwardCall&, size_t bytes);
void recordVersionStreamEnd(Node&, ForwardCall&);
/// Counts attempts that are slow before they end.
void recordVersionProgress(Node&, ForwardCall&);

/// Reports results to the decision leader; as the leader, steps the orders.
void tickVersionOrders(Node&);
void receiveVersionResults(Node&, NodeId from, std::string_view body);
void receiveVersionBurst(Node&, std::string_view body);
void receiveVersionSwitch(Node&, std::string_view body);
void receiveVersionShares(Node&, std::string_view body);
void receiveVersionEvidence(Node&, NodeId from, std::string_view body);

}
