#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Answers the requests of operators under /admin/.
void answerAdmin(Node&, const RequestArrived&);
/// Answers the operators whose accepted rules are now in force on this node.
void tickApplies(Node&);

}
