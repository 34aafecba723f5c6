#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Replaces a voter that no live node has held for a while: adds a live spare as learner, promotes it once it has caught
/// up, then removes the lost one. One change at a time; only on the group's leader.
void repairVoters(Node&, Group&);
/// An operator's order: every group replaces this voter by the other one, as if it had been lost.
void replaceVoter(Node&, VoterId remove, VoterId add);
void receiveReplaceVoter(Node&, std::string_view body);
/// Goes on with a call that this node has taken over from a dead owner.
void resumeTakenOver(Node&, const Ledger&, CallId);

}
