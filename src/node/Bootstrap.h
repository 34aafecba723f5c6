#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Bootstraps the consensus groups at the first start of a cluster: one seed creates them with all seeds as voters once it
/// knows the others.
void tickBootstrap(Node&);

}
