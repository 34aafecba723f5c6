#include "base/Invariant.h"
#include "consensus/Internal.h"

#include <algorithm>

namespace siskinshunt {

void resetElectionTimer(Raft& raft)
{
    const auto& options = raft.options;
    raft.electionDeadline = raft.now + TimeMs { raft.random.between(options.electionMin.value, options.electionMax.value) };
}

void becomeFollower(Raft& raft, uint64_t term, VoterId leader)
{
    if (term > raft.hardState.term) {
        // Deferred replies are addressed to the leader or candidate of the previous term.
        raft.deferredMessages.clear();
        setVote(raft, term, {});
    }
    if (raft.role == Role::Leader)
        raft.lastLeaderContact = raft.now;
    raft.role = Role::Follower;
    raft.leader = leader;
    raft.progress.clear();
    raft.votes.clear();
    raft.rejections.clear();
    raft.transferTarget = {};
    raft.transferSent = false;
    resetElectionTimer(raft);
}

void becomeLeader(Raft& raft)
{
    INVARIANT(raft.durableSequence >= raft.termSequence, "the vote of a leader for itself is durable", "term", raft.hardState.term);
    recordLeader(raft, raft.hardState.term, raft.options.self);
    raft.role = Role::Leader;
    raft.leader = raft.options.self;
    raft.incomingSnapshot.reset();
    raft.progress.clear();
    refreshProgress(raft);
    raft.termStart = appendEntry(raft, EntryKind::Noop, {});
    broadcastHeartbeat(raft);
}

static void requestVotes(Raft& raft, MessageKind kind, uint64_t term, bool transfer)
{
    for (VoterId voter : raft.members.voters) {
        if (voter == raft.options.self)
            continue;
        Message message = makeMessage(raft, voter, kind);
        message.term = term;
        message.index = lastIndex(raft.log);
        message.logTerm = lastTerm(raft.log);
        message.transfer = transfer;
        send(raft, std::move(message));
    }
}

void startPreVote(Raft& raft)
{
    resetElectionTimer(raft);
    raft.leader = {};
    if (!isVoter(raft.members, raft.options.self))
        return;
    raft.role = Role::PreCandidate;
    raft.votes = { raft.options.self };
    raft.rejections.clear();
    // Retries a rejected or lost pre-vote earlier than after a whole election timeout, to shorten the time without a leader.
    raft.electionDeadline = raft.now + raft.options.heartbeat + TimeMs { raft.random.between(0, raft.options.electionMin.value) };
    requestVotes(raft, MessageKind::PreVote, raft.hardState.term + 1, false);
    countVotes(raft);
}

void startElection(Raft& raft, bool transfer)
{
    raft.deferredMessages.clear();
    setVote(raft, raft.hardState.term + 1, raft.options.self);
    raft.role = Role::Candidate;
    raft.leader = {};
    raft.votes = { raft.options.self };
    raft.rejections.clear();
    resetElectionTimer(raft);
    requestVotes(raft, MessageKind::Vote, raft.hardState.term, transfer);
    countVotes(raft);
}

static size_t countVoters(const Members& members, const std::set<VoterId>& set)
{
    return static_cast<size_t>(std::count_if(set.begin(), set.end(), [&](VoterId it) { return isVoter(members, it); }));
}

void countVotes(Raft& raft)
{
    const size_t needed = quorum(raft.members);
    if (raft.role == Role::Candidate && raft.durableSequence < raft.termSequence)
        return;
    if (countVoters(raft.members, raft.votes) >= needed) {
        if (raft.role == Role::PreCandidate)
            startElection(raft, false);
        else if (raft.role == Role::Candidate)
            becomeLeader(raft);
    } else if (raft.role == Role::Candidate && countVoters(raft.members, raft.rejections) >= needed) {
        becomeFollower(raft, raft.hardState.term, {});
    }
}

/// Whether the log of the sender is at least as up-to-date as this one, so that it has all committed entries.
static bool isUpToDate(const Raft& raft, const Message& request)
{
    const uint64_t term = lastTerm(raft.log);
    return request.logTerm > term || (request.logTerm == term && request.index >= lastIndex(raft.log));
}

/// Whether the lease of a current leader may rely on this voter, which then must not vote for another member.
static bool withholdsVote(const Raft& raft)
{
    return raft.role == Role::Leader || raft.now - raft.lastLeaderContact < raft.options.electionMin;
}

static void receivePreVote(Raft& raft, const Message& request)
{
    const bool granted = request.term > raft.hardState.term && !withholdsVote(raft) && isUpToDate(raft, request);
    Message reply = makeReply(raft, request, MessageKind::PreVoteReply);
    reply.reject = !granted;
    if (granted)
        reply.term = request.term;
    send(raft, std::move(reply));
}

static void receiveVote(Raft& raft, const Message& request)
{
    if (request.term > raft.hardState.term) {
        if (withholdsVote(raft) && !request.transfer)
            return;
        becomeFollower(raft, request.term, {});
    }
    const bool granted = request.term == raft.hardState.term && (!raft.hardState.vote || raft.hardState.vote == request.from) && !raft.leader
        && isUpToDate(raft, request);
    if (granted) {
        becomeFollower(raft, request.term, {});
        setVote(raft, request.term, request.from);
    }
    Message reply = makeReply(raft, request, MessageKind::VoteReply);
    reply.reject = !granted;
    send(raft, std::move(reply));
}

static void receiveVoteReply(Raft& raft, const Message& reply)
{
    const bool pre = reply.kind == MessageKind::PreVoteReply;
    if (reply.reject && reply.term > raft.hardState.term) {
        becomeFollower(raft, reply.term, {});
        return;
    }
    const uint64_t expected = pre && !reply.reject ? raft.hardState.term + 1 : raft.hardState.term;
    if (raft.role != (pre ? Role::PreCandidate : Role::Candidate) || reply.term != expected)
        return;
    (reply.reject ? raft.rejections : raft.votes).insert(reply.from);
    countVotes(raft);
}

void receiveVoteMessage(Raft& raft, const Message& message)
{
    if (message.kind == MessageKind::PreVote)
        receivePreVote(raft, message);
    else if (message.kind == MessageKind::Vote)
        receiveVote(raft, message);
    else
        receiveVoteReply(raft, message);
}

}
