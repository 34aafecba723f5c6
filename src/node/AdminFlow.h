#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Requests of operators, under /admin/.
void answerAdmin(Node&, const RequestArrived&);
/// Answers the operators whose accepted rules are in force here now.
void tickApplies(Node&);

}
