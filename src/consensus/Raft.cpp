#include "consensus/Raft.h"

#include "base/Invariant.h"
#include "consensus/Internal.h"

#include <algorithm>

namespace siskinshunt {

Raft makeRaft(const RaftOptions& options, const HardState& hardState, const Snapshot& snapshot, std::vector<LogEntry> entries, TimeMs now)
{
    Raft raft { .options = options, .random = Random(options.seed ^ options.self.value ^ options.group.value), .now = now, .hardState = hardState };
    // Before its restart, this voter may have acknowledged a request that a leader's lease still relies on.
    raft.lastLeaderContact = now;
    resetTo(raft.log, snapshot.meta.index, snapshot.meta.term);
    raft.commit = snapshot.meta.index;
    raft.latestSnapshot = snapshot;
    if (snapshot.meta.index)
        raft.memberHistory[snapshot.meta.index] = snapshot.meta.members;
    for (auto& entry : entries) {
        if (entry.kind == EntryKind::Members)
            raft.memberHistory[entry.index] = decodeMembers(entry.data);
        appendTo(raft.log, std::move(entry), 0);
    }
    raft.log.durableIndex = raft.log.writtenIndex = lastIndex(raft.log);
    // After a crash between the write of an installed snapshot and that of the hard state, the stored term is too low.
    if (raft.hardState.term < lastTerm(raft.log))
        setVote(raft, lastTerm(raft.log), {});
    refreshMembers(raft);
    resetElectionTimer(raft);
    return raft;
}

Message makeMessage(const Raft& raft, VoterId to, MessageKind kind)
{
    Message message;
    message.cluster = raft.options.cluster;
    message.group = raft.options.group;
    message.from = raft.options.self;
    message.to = to;
    message.kind = kind;
    message.term = raft.hardState.term;
    message.sentAt = raft.now;
    return message;
}

Message makeReply(const Raft& raft, const Message& request, MessageKind kind)
{
    Message message = makeMessage(raft, request.from, kind);
    message.sentAt = request.sentAt;
    return message;
}

void sendWhenDurable(Raft& raft, Message message, uint64_t requiredSequence)
{
    INVARIANT(requiredSequence >= raft.termSequence, "messages wait until their term is durable", "after", requiredSequence,
        "term_write", raft.termSequence);
    if (requiredSequence <= raft.durableSequence)
        raft.outbox.push_back(std::move(message));
    else
        raft.deferredMessages.push_back({ requiredSequence, std::move(message) });
}

void send(Raft& raft, Message message)
{
    sendWhenDurable(raft, std::move(message), raft.termSequence);
}

void setVote(Raft& raft, uint64_t term, VoterId vote)
{
    INVARIANT(term >= raft.hardState.term, "the term never decreases", "term", term, "current", raft.hardState.term);
    INVARIANT(term > raft.hardState.term || !raft.hardState.vote || raft.hardState.vote == vote, "one vote per term", "term", term,
        "vote", raft.hardState.vote.value, "second", vote.value);
    if (raft.hardState == HardState { term, vote })
        return;
    raft.hardState = { term, vote };
    raft.hardStateDirty = true;
    raft.termSequence = ++raft.writeSequence;
}

void recordLeader(Raft& raft, uint64_t term, VoterId leader)
{
    const auto it = raft.leaderByTerm.emplace(term, leader).first;
    INVARIANT(it->second == leader, "one leader per term", "term", term, "leader", it->second.value, "second", leader.value);
    if (raft.leaderByTerm.size() > 16)
        raft.leaderByTerm.erase(raft.leaderByTerm.begin());
}

void appendLocal(Raft& raft, LogEntry entry)
{
    const uint64_t index = entry.index;
    const bool changesMembers = entry.kind == EntryKind::Members;
    if (changesMembers)
        raft.memberHistory[index] = decodeMembers(entry.data);
    appendTo(raft.log, std::move(entry), ++raft.writeSequence);
    if (changesMembers)
        refreshMembers(raft);
}

void truncateLocal(Raft& raft, uint64_t index)
{
    INVARIANT(index > raft.commit, "committed entries are never truncated", "index", index, "commit", raft.commit);
    truncateFrom(raft.log, index);
    raft.memberHistory.erase(raft.memberHistory.lower_bound(index), raft.memberHistory.end());
    refreshMembers(raft);
}

void setCommit(Raft& raft, uint64_t index)
{
    INVARIANT(index <= lastIndex(raft.log), "only entries in the log are committed", "index", index, "last", lastIndex(raft.log));
    raft.commit = std::max(raft.commit, index);
}

uint64_t appendEntry(Raft& raft, EntryKind kind, std::string data)
{
    if (raft.role != Role::Leader || raft.transferTarget)
        return 0;
    const uint64_t index = lastIndex(raft.log) + 1;
    appendLocal(raft, { .index = index, .term = raft.hardState.term, .kind = kind, .data = std::move(data) });
    return index;
}

std::optional<RaftWrites> collectWrites(Raft& raft)
{
    auto& log = raft.log;
    if (!raft.hardStateDirty && log.writtenIndex == lastIndex(log))
        return std::nullopt;
    RaftWrites writes { .sequence = raft.writeSequence, .hardState = {}, .entries = {} };
    if (raft.hardStateDirty)
        writes.hardState = raft.hardState;
    raft.hardStateDirty = false;
    for (uint64_t index = log.writtenIndex + 1; index <= lastIndex(log); ++index)
        writes.entries.push_back(entryAt(log, index));
    log.writtenIndex = lastIndex(log);
    return writes;
}

void writesDurable(Raft& raft, uint64_t sequence)
{
    INVARIANT(sequence >= raft.durableSequence && sequence <= raft.writeSequence, "writes complete in order", "sequence",
        sequence, "durable", raft.durableSequence, "written", raft.writeSequence);
    raft.durableSequence = sequence;
    advanceDurable(raft.log, sequence);
    for (auto& it : raft.deferredMessages) {
        if (it.requiredSequence <= sequence)
            raft.outbox.push_back(std::move(it.message));
    }
    std::erase_if(raft.deferredMessages, [&](const auto& it) { return it.requiredSequence <= sequence; });
    if (raft.role == Role::Candidate)
        countVotes(raft);
    advanceCommit(raft);
}

TimeMs quorumTime(const Raft& raft, TimeMs now, TimeMs Progress::*member)
{
    std::vector<TimeMs> times;
    for (VoterId voter : raft.members.voters) {
        auto it = raft.progress.find(voter);
        times.push_back(it == raft.progress.end() ? now : it->second.*member);
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times.empty() ? now : times[quorum(raft.members) - 1];
}

bool isLeaseValid(const Raft& raft, TimeMs now)
{
    if (raft.role != Role::Leader || raft.transferSent || raft.commit < raft.termStart)
        return false;
    return now - quorumTime(raft, now, &Progress::ackedSentAt) < raft.options.lease;
}

static void tickLeader(Raft& raft)
{
    const bool quorumReplies = raft.now - quorumTime(raft, raft.now, &Progress::lastReply) < raft.options.electionMin;
    // The target may still act on TimeoutNow, so the lease cannot be resumed in this term.
    const bool transferExpired = raft.transferSent && raft.now >= raft.transferDeadline;
    if (!quorumReplies || transferExpired) {
        becomeFollower(raft, raft.hardState.term, {});
        return;
    }
    if (raft.transferTarget && raft.now >= raft.transferDeadline)
        raft.transferTarget = {};
    if (raft.now >= raft.nextHeartbeat)
        broadcastHeartbeat(raft);
    retryUnacknowledged(raft);
}

void tickRaft(Raft& raft, TimeMs now)
{
    raft.now = std::max(raft.now, now);
    if (raft.role == Role::Leader)
        tickLeader(raft);
    else if (raft.now >= raft.electionDeadline)
        startPreVote(raft);
}

/// Whether the message is from an earlier term. A leader of that term gets a rejection, so that it steps down.
static bool isStale(Raft& raft, const Message& message)
{
    if (message.term >= raft.hardState.term)
        return false;
    const bool fromLeader = message.kind == MessageKind::Append || message.kind == MessageKind::Heartbeat || message.kind == MessageKind::SnapshotPiece;
    if (!fromLeader)
        return true;
    Message reply = makeReply(raft, message, MessageKind::HeartbeatReply);
    reply.reject = true;
    send(raft, std::move(reply));
    return true;
}

static void receiveFromLeader(Raft& raft, const Message& message)
{
    recordLeader(raft, message.term, message.from);
    if (raft.role != Role::Follower || raft.leader != message.from)
        becomeFollower(raft, message.term, message.from);
    raft.lastLeaderContact = raft.now;
    resetElectionTimer(raft);
    if (message.kind == MessageKind::Append)
        receiveAppend(raft, message);
    else if (message.kind == MessageKind::Heartbeat)
        receiveHeartbeat(raft, message);
    else
        receivePiece(raft, message);
}

static void receiveFromMember(Raft& raft, const Message& message)
{
    auto it = raft.progress.find(message.from);
    if (raft.role != Role::Leader || it == raft.progress.end())
        return;
    it->second.lastReply = raft.now;
    it->second.replied = true;
    it->second.ackedSentAt = std::max(it->second.ackedSentAt, message.sentAt);
    if (message.kind == MessageKind::AppendReply)
        receiveAppendReply(raft, message);
    else if (message.kind == MessageKind::HeartbeatReply)
        receiveHeartbeatReply(raft, message);
    else
        receiveSnapshotReply(raft, message);
}

void receiveMessage(Raft& raft, const Message& message, TimeMs now)
{
    raft.now = std::max(raft.now, now);
    switch (message.kind) {
    case MessageKind::PreVote:
    case MessageKind::PreVoteReply:
    case MessageKind::Vote:
    case MessageKind::VoteReply:
        receiveVoteMessage(raft, message);
        return;
    default:
        break;
    }
    if (isStale(raft, message))
        return;
    if (message.term > raft.hardState.term)
        becomeFollower(raft, message.term, {});
    switch (message.kind) {
    case MessageKind::Append:
    case MessageKind::Heartbeat:
    case MessageKind::SnapshotPiece:
        receiveFromLeader(raft, message);
        break;
    case MessageKind::TimeoutNow:
        if (raft.role == Role::Follower && raft.leader == message.from && isVoter(raft.members, raft.options.self))
            startElection(raft, true);
        break;
    default:
        receiveFromMember(raft, message);
    }
}

}
