#pragma once

#include "node/NodeState.h"

#include <optional>

namespace siskinshunt {

/// Records the load of the backends that an entry node reports.
void recordBackendDemand(Node&, NodeId from, const ForwardLoadFrame&);
/// Returns the next scale order that the load of the backends requires, if any.
std::optional<ScaleOrder> dueScaleOrder(Node&);
/// Records the platform's response to the scale order in flight.
void handleScaleResponse(Node&, uint16_t status);

}
