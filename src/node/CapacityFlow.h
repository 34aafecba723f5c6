#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Once a second on the decision leader, with its epoch taken: asks the platform, plans, records intents in the decision
/// log, and gives and closes orders to the platform. Does nothing if the settings name no platform.
void tickCapacity(Node&);

/// An order to the platform as an HTTP request.
UpstreamDispatch platformDispatch(const Node&, const Order&);
/// What the platform's status means for such an order.
OrderAnswer platformAnswer(const Order&, uint16_t status);
/// Takes the answer to an order to the platform after the order table has taken it.
void handlePlatformAnswer(Node&, const std::string& id, OrderAnswer);
/// Whether a start has announced itself. A stop is confirmed by the platform's list only.
bool isStarted(const Node&, const Order&);

}
