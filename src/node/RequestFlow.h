#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Passes a request from an HTTP listener to its handler.
void handleRequest(Node&, RequestArrived&&);

}
