#pragma once

#include "node/NodeState.h"

#include <optional>

namespace siskinshunt {

/// The next order that the instances of the backends call for, if any.
std::optional<ScaleOrder> dueScaleOrder(Node&);
/// Notes the platform's answer to the order under way.
void scaleAnswered(Node&, uint16_t status);

}
