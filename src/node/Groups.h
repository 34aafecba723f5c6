#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Opens the replicas of all groups from the recovered state.
Result<void> openGroups(Node&);
/// Ticks the replicas, carries their outputs and resends pending commands.
void tickGroups(Node&);
/// Carries what the replicas want done after any input.
void flushGroups(Node&);

/// Brings a command to the leader of its group and calls `done` once, at the latest after `timeout`. Commands are
/// idempotent, so that one without an answer is sent again.
void proposeCommand(Node&, GroupId, std::string command, TimeMs timeout, ProposalDone done);
/// Asks the leader of the call's group for its state. A call of another account is answered as not found.
void lookUpLedgerCall(Node&, CallId, const std::string& account, TimeMs timeout, ProposalDone done);

void receiveConsensus(Node&, GroupId, std::string_view body);
void receivePropose(Node&, NodeId from, GroupId, std::string_view body);
void receiveProposeReply(Node&, GroupId, std::string_view body);
void receiveLookUp(Node&, NodeId from, GroupId, std::string_view body);
void receiveLookUpReply(Node&, GroupId, std::string_view body);

/// Founds all groups with the named nodes, this one among them. Fails if any has no data folder or a group exists.
Result<void> bootstrapGroups(Node&, const std::vector<std::string>& nodes);
bool hasGroups(const Node&);
/// The node that holds this voter, as membership knows it.
NodeId nodeOfVoter(const Node&, VoterId);
bool leadsGroup(const Node&, const Group&);

}
