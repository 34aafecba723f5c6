#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// At the first start of a cluster: one of the seeds founds the groups with all seeds as voters, once it knows them.
void tickBootstrap(Node&);

}
