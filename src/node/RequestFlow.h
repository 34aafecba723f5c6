#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Sends a request from outside to the part that answers it.
void handleRequest(Node&, RequestArrived&&);

}
