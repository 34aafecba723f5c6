#pragma once

#include "consensus/Raft.h"

// Functions shared by the source files of this package.
namespace siskinshunt {

/// Sends a message once the writes up to `requiredSequence` are durable.
void sendWhenDurable(Raft&, Message, uint64_t requiredSequence);
/// Sends a message once the current term and vote are durable.
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
void recordLeader(Raft&, uint64_t term, VoterId);

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
/// Updates `progress` after a change of the members: keeps the state of remaining peers and adds new ones.
void refreshProgress(Raft&);
/// Sets the current members from the member history.
void refreshMembers(Raft&);
void broadcastHeartbeat(Raft&);
/// Allows another probe or snapshot piece to peers that did not acknowledge the last message within the resend timeout.
void retryUnacknowledged(Raft&);
/// Sends TimeoutNow to the transfer target once it has the whole log.
void continueLeadershipTransfer(Raft&);
size_t quorum(const Members&);
/// The latest time that a quorum of the voters has reached; this member counts as `now`.
TimeMs quorumTime(const Raft&, TimeMs now, TimeMs Progress::*member);

}
