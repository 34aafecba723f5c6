#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Opens the replicas of all groups from the recovered state.
Result<void> openGroups(Node&);
/// Ticks the replicas and resends pending commands.
void tickGroups(Node&);
/// Processes the pending outputs of the replicas; called after any input.
void flushGroups(Node&);

/// Sends a command to the leader of its group and calls `done` exactly once, at the latest after `timeout`. Commands are
/// idempotent, so unanswered ones are resent.
void proposeCommand(Node&, GroupId, std::string command, TimeMs timeout, ProposalDone done);
/// Queries the leader of the call's group for the state of the call. A call of another account is reported as not found.
void lookUpLedgerCall(Node&, CallId, const std::string& account, TimeMs timeout, ProposalDone done);

void receiveConsensus(Node&, GroupId, std::string_view body);
void receivePropose(Node&, NodeId from, GroupId, std::string_view body);
void receiveProposeReply(Node&, GroupId, std::string_view body);
void receiveLookUp(Node&, NodeId from, GroupId, std::string_view body);
void receiveLookUpReply(Node&, GroupId, std::string_view body);

/// Bootstraps all groups with the named nodes, including this one. Fails if any has no data folder or a group exists.
Result<void> bootstrapGroups(Node&, const std::vector<std::string>& nodes);
bool hasGroups(const Node&);
/// Returns the live node with this voter id according to membership; none if there is no such node.
NodeId nodeOfVoter(const Node&, VoterId);
bool leadsGroup(const Node&, const Group&);

}
