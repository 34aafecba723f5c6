#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Follows the directives and version rules of the view: sets the version shares of the router.
void followMoves(Node&);
/// Records the end of a model call for the evidence and the local trip of the move that concerns it.
void recordMoveOutcome(Node&, const NodeCall&, bool failed);
/// Sends the evidence that is due to the decision leader.
void tickEvidence(Node&);
void receiveEvidence(Node&, NodeId from, std::string_view body);
/// Runs the move controller; only on the decision leader.
void runMoveController(Node&);

}
