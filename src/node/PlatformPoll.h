#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Polls the platform for prices, notices and instances every 2 s.
void pollPlatform(Node&);
/// Handles an event of a poll request; returns false if the dispatch is not a poll.
bool handlePlatformEvent(Node&, const UpstreamEvent&);
/// Returns the price per hour that the platform reported within the last 60 s, if this node polls it.
std::optional<double> platformPrice(const Node&, const std::string& domain, const std::string& machine, InstanceKind);
/// Whether the platform's prices are recent enough to replace those of the rules.
bool hasFreshPrices(const Node&);
/// Whether the platform's list of instances is recent enough to plan by.
bool hasFreshInstances(const Node&);

}
