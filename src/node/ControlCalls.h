#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Takes a call of an operator, upstream or caller in the dialect of the platform.
void handleControlCall(Node&, const RequestArrived&);
/// Ends calls whose time is over.
void tickControlCalls(Node&);

void receiveLeaving(Node&, NodeId from, std::string_view body);
void receiveLeavingAcknowledged(Node&, std::string_view body);

}
