#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// What the planner needs, from the platform's lists, the upstream table, the rules and the reported demand.
CapacityInputs capacityInputs(Node&);
/// Version that a new instance of the model runs: the one with the largest share; empty if unknown.
std::string versionToStart(const Node&, const std::string& model);
/// Measures the start time of an instance that has announced itself.
void recordStartTime(Node&, const std::string& machine, const std::string& model, TimeMs startTime);

}
