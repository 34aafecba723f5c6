#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Sends a request from outside to the part that answers it.
void takeRequest(Node&, RequestArrived&&);

}
