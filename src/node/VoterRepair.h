#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Counts for how long voters of the group have been missing, and replaces lost ones as the group's leader, one change at a time: a voter
/// whose node is back without its data at once, any other one when it has had no live node for longer than the configured time and a live spare
/// is there. Also reports a group without a majority.
void repairVoters(Node&, Group&);
/// Number of the voters that belong to a live node.
size_t countLiveVoters(const Node&, const std::vector<VoterId>&);
/// Handles an operator's order: every group replaces voter `remove` with `add`, as if it had been lost.
void replaceVoter(Node&, VoterId remove, VoterId add);
void receiveReplaceVoter(Node&, std::string_view body);
/// Resumes a call that this node has taken over from a dead owner.
void resumeTakenOver(Node&, const Ledger&, CallId);

}
