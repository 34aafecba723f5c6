#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Handles a call of an operator, upstream or caller in the dialect of the platform.
void handleControlCall(Node&, const RequestArrived&);
/// Answers calls that have timed out.
void tickControlCalls(Node&);

void receiveLeaving(Node&, NodeId from, std::string_view body);
void receiveLeavingAcknowledged(Node&, std::string_view body);

}
