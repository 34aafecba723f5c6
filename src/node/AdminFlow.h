#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Requests of operators, under /admin/.
void answerAdmin(Node&, const RequestArrived&);

}
