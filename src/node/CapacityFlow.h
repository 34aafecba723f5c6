#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Called once a second on the decision leader once its epoch is in force: polls the platform, plans, records intents in
/// the decision log, sends orders to the platform and closes completed ones. Does nothing if no platform is configured.
void tickCapacity(Node&);

/// Builds the HTTP request for an order to the platform.
UpstreamDispatch platformDispatch(const Node&, const Order&);
/// Translates the HTTP status of the platform's response into the answer to the order.
OrderAnswer platformAnswer(const Order&, uint16_t status);
/// Handles the answer to a platform order; called after the order table has processed it.
void handlePlatformAnswer(Node&, const std::string& id, OrderAnswer);
/// Whether the instance of a start order has announced itself. A stop is confirmed by the platform's list only.
bool isStarted(const Node&, const Order&);

}
