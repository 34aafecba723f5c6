#pragma once

#include "node/NodeState.h"

#include <optional>

namespace siskinshunt {

/// Takes what an entry node reports of the load of the backends.
void recordBackendDemand(Node&, NodeId from, const ForwardLoadFrame&);
/// The next order that the load of the backends calls for, if any.
std::optional<ScaleOrder> dueScaleOrder(Node&);
/// Notes the platform's answer to the order under way.
void handleScaleResponse(Node&, uint16_t status);

}
