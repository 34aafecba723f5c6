#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Builds the planner's input from the platform's lists, the upstream table, the rules and the reported demand.
CapacityInputs capacityInputs(Node&);
/// Returns the version for a new instance of the model: the one with the largest traffic share; empty if unknown.
std::string versionToStart(const Node&, const std::string& model);
/// Adds the measured start time of an instance that has announced itself to the mean of its machine and model.
void recordStartTime(Node&, const std::string& machine, const std::string& model, TimeMs startTime);

}
