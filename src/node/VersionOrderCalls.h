#pragma once

#include "control/ControlCommand.h"
#include "node/NodeIo.h"

#include <string>

namespace siskinshunt {

struct Node;

/// An operator's order for a version, until it is proposed to the decision log.
struct PendingVersionOrder {
    ExchangeId exchange = 0;
    StartVersionOrder order;
    uint64_t knownSequence = 0; ///< As in OrderVersion.
    TimeMs arrivedAt;
};

/// Proposes the order as soon as all nodes with a data folder have told that they read it, unless its caller disconnects first, and answers
/// the call: 200 if it is committed or repeats the order in force, 503 if it is older than the order in force or not known to be committed.
void orderVersion(Node&, ExchangeId, StartVersionOrder);
/// Forgets the order of a caller that has disconnected.
void dropVersionOrder(Node&, ExchangeId);
/// Proposes the waiting orders. Called when all received bytes have been processed.
void proposeVersionOrders(Node&);

}
