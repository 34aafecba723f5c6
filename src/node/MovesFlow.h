#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Applies the directives and version rules of the view: sets the version shares of the router.
void followMoves(Node&);
/// Records the outcome of a model call in the evidence and the circuit breaker of the move that concerns it.
void recordMoveOutcome(Node&, const NodeCall&, bool failed);
/// Sends the pending evidence to the decision leader once a second.
void tickEvidence(Node&);
void receiveEvidence(Node&, NodeId from, std::string_view body);
/// Runs one step of the move controller; called on the decision leader only.
void runMoveController(Node&);

}
