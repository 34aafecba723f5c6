#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Replaces a voter that has had no live node for longer than the configured time: adds a live spare as learner, promotes it
/// once it has caught up, then removes the lost voter. One change at a time; on the group's leader only.
void repairVoters(Node&, Group&);
/// Handles an operator's order: every group replaces voter `remove` with `add`, as if it had been lost.
void replaceVoter(Node&, VoterId remove, VoterId add);
void receiveReplaceVoter(Node&, std::string_view body);
/// Resumes a call that this node has taken over from a dead owner.
void resumeTakenOver(Node&, const Ledger&, CallId);

}
