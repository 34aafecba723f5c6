#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Engine time that the request needs at the chosen engine.
double engineWorkMs(const Node&, const ForwardCall&, const TargetChoice&, double prefillMs);

/// Records what the request is expected to cost at the engine to which it is sent.
void recordCostAtSend(Node&, ForwardCall&, const TargetChoice&, const ForwardTarget&);
/// Learns from the time to the first event. Before the load of the call is taken off.
void recordCostAtFirstEvent(Node&, ForwardCall&);
/// Learns from a complete answer of an engine.
void recordCostAtEnd(Node&, const ForwardCall&);

/// Expected and observed cost, as fields of the log line of an ended request.
std::vector<std::pair<std::string, std::string>> costFields(const Node&, const ForwardCall&);

}
