#pragma once

#include "consensus/Raft.h"

// Functions that the source files of the package share.
namespace siskinshunt {

/// Queues a message to the peer until the writes up to `requiredSequence` are durable.
void sendAfter(Raft&, Message, uint64_t requiredSequence);
/// Queues a message that depends on the current term only.
void send(Raft&, Message);
Message makeMessage(const Raft&, VoterId to, MessageKind);
Message makeReply(const Raft&, const Message&, MessageKind);

void becomeFollower(Raft&, uint64_t term, VoterId leader);
void becomeLeader(Raft&);
void startPreVote(Raft&);
void startElection(Raft&, bool transfer);
void countVotes(Raft&);
void setVote(Raft&, uint64_t term, VoterId);
void resetElectionTimer(Raft&);
void noteLeader(Raft&, uint64_t term, VoterId);

void receiveVoteMessage(Raft&, const Message&);

void receiveAppend(Raft&, const Message&);
void receiveHeartbeat(Raft&, const Message&);
void receiveAppendReply(Raft&, const Message&);
void receiveHeartbeatReply(Raft&, const Message&);
void receivePiece(Raft&, const Message&);
void receiveSnapshotReply(Raft&, const Message&);

void appendLocal(Raft&, LogEntry);
void truncateLocal(Raft&, uint64_t index);
void setCommit(Raft&, uint64_t index);
void advanceCommit(Raft&);
/// Rebuilds `progress` after the members changed.
void refreshProgress(Raft&);
void refreshMembers(Raft&);
void broadcastHeartbeat(Raft&);
void resendLost(Raft&);
void continueTransfer(Raft&);
size_t quorum(const Members&);
/// The latest time such that a quorum has one at least as late; `self` counts as `now`.
TimeMs quorumTime(const Raft&, TimeMs now, TimeMs Progress::*member);

}
