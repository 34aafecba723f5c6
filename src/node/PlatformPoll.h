#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Asks the platform for prices, notices and instances every 2 s.
void pollPlatform(Node&);
/// Takes an event of such a request; false if the dispatch is none.
bool handlePlatformEvent(Node&, const UpstreamEvent&);
/// Price per hour that the platform stated within the last 60 s, if this node asks it.
std::optional<double> platformPrice(const Node&, const std::string& domain, const std::string& machine, InstanceKind);
/// Whether the platform's prices replace those of the rules.
bool hasFreshPrices(const Node&);
/// Whether the platform's list of instances is recent enough to plan by.
bool hasFreshInstances(const Node&);

}
