#include "base/Hash.h"
#include "base/Invariant.h"
#include "consensus/Internal.h"

#include <algorithm>

namespace siskinshunt {

static void sendAppend(Raft& raft, VoterId peer, Progress& progress)
{
    Message message = makeMessage(raft, peer, MessageKind::Append);
    message.index = progress.next - 1;
    message.logTerm = termAt(raft.log, message.index);
    message.commit = raft.commit;
    size_t bytes = 0;
    size_t sentBytes = 0;
    for (uint64_t index = progress.next; index <= lastIndex(raft.log); ++index) {
        const LogEntry& entry = entryAt(raft.log, index);
        bytes += entry.data.size();
        if (message.entries.size() == maxMessageEntries || (bytes > maxAppendBytes && !message.entries.empty()))
            break;
        message.entries.push_back(entry);
        sentBytes = bytes;
    }
    progress.lastSend = raft.now;
    if (progress.state == SendState::Probe) {
        progress.awaitingReply = true;
    } else {
        progress.next += message.entries.size();
        progress.inflight.push_back({ progress.next - 1, sentBytes });
    }
    send(raft, std::move(message));
}

static void sendPiece(Raft& raft, VoterId peer, Progress& progress)
{
    Message message = makeMessage(raft, peer, MessageKind::SnapshotPiece);
    const std::string& bytes = *progress.snapshotBytes;
    progress.offset = std::min<uint64_t>(progress.offset, bytes.size());
    message.piece.meta = progress.snapshotMeta;
    message.piece.total = bytes.size();
    message.piece.checksum = progress.snapshotChecksum;
    message.piece.offset = progress.offset;
    message.piece.bytes = bytes.substr(progress.offset, snapshotPieceBytes);
    progress.lastSend = raft.now;
    progress.awaitingReply = true;
    send(raft, std::move(message));
}

static void startSnapshot(Raft& raft, Progress& progress)
{
    INVARIANT(raft.latestSnapshot.bytes && raft.latestSnapshot.meta.index >= raft.log.baseIndex,
        "the snapshot covers the compacted entries", "snapshot", raft.latestSnapshot.meta.index, "base", raft.log.baseIndex);
    progress.state = SendState::Snapshot;
    progress.awaitingReply = false;
    progress.inflight.clear();
    progress.offset = 0;
    progress.snapshotMeta = raft.latestSnapshot.meta;
    progress.snapshotBytes = raft.latestSnapshot.bytes;
    progress.snapshotChecksum = hash64(*raft.latestSnapshot.bytes);
}

static bool canPipeline(const Raft& raft, const Progress& progress)
{
    size_t bytes = 0;
    for (const auto& append : progress.inflight)
        bytes += append.bytes;
    return progress.inflight.size() < raft.options.maxInflight && bytes < raft.options.maxInflightBytes;
}

static void sendToPeer(Raft& raft, VoterId peer, Progress& progress)
{
    if (progress.state != SendState::Snapshot && progress.next <= raft.log.baseIndex)
        startSnapshot(raft, progress);
    if (progress.state == SendState::Snapshot) {
        if (!progress.awaitingReply)
            sendPiece(raft, peer, progress);
        return;
    }
    if (progress.state == SendState::Probe) {
        if (!progress.awaitingReply && progress.match < lastIndex(raft.log))
            sendAppend(raft, peer, progress);
        return;
    }
    while (canPipeline(raft, progress) && progress.next <= lastIndex(raft.log))
        sendAppend(raft, peer, progress);
}

void sendAppends(Raft& raft)
{
    if (raft.role != Role::Leader)
        return;
    for (auto& [peer, progress] : raft.progress)
        sendToPeer(raft, peer, progress);
    continueLeadershipTransfer(raft);
}

void retryUnacknowledged(Raft& raft)
{
    for (auto& [peer, progress] : raft.progress) {
        if ((!progress.awaitingReply && progress.inflight.empty()) || raft.now - progress.lastSend < raft.options.resendTimeout)
            continue;
        progress.awaitingReply = false;
        if (progress.state == SendState::Snapshot)
            continue;
        progress.state = SendState::Probe;
        progress.next = progress.match + 1;
        progress.inflight.clear();
    }
}

void broadcastHeartbeat(Raft& raft)
{
    raft.nextHeartbeat = raft.now + raft.options.heartbeat;
    for (auto& [peer, progress] : raft.progress) {
        Message message = makeMessage(raft, peer, MessageKind::Heartbeat);
        message.commit = std::min(raft.commit, progress.match);
        send(raft, std::move(message));
    }
}

void receiveHeartbeat(Raft& raft, const Message& message)
{
    setCommit(raft, message.commit);
    send(raft, makeReply(raft, message, MessageKind::HeartbeatReply));
}

/// Highest index at which this log may match the log of a leader whose entry at `index` has the given term.
static uint64_t matchHint(const Raft& raft, uint64_t index, uint64_t term)
{
    uint64_t hint = std::min(index, lastIndex(raft.log));
    while (hint > raft.commit && termAt(raft.log, hint) > term)
        --hint;
    return std::max(std::min(hint, index - 1), raft.commit);
}

static void mergeEntries(Raft& raft, const Message& message)
{
    for (const LogEntry& entry : message.entries) {
        if (entry.index <= raft.log.baseIndex)
            continue;
        if (entry.index <= lastIndex(raft.log)) {
            const LogEntry& local = entryAt(raft.log, entry.index);
            INVARIANT(local.term != entry.term || local == entry, "entries with the same index and term are equal", "index",
                entry.index, "term", entry.term);
            if (local.term == entry.term)
                continue;
            truncateLocal(raft, entry.index);
        }
        appendLocal(raft, entry);
    }
}

void receiveAppend(Raft& raft, const Message& message)
{
    Message reply = makeReply(raft, message, MessageKind::AppendReply);
    const bool compacted = message.index < raft.log.baseIndex;
    if (!compacted && (!hasTerm(raft.log, message.index) || termAt(raft.log, message.index) != message.logTerm)) {
        reply.reject = true;
        reply.index = message.index;
        reply.hint = matchHint(raft, message.index, message.logTerm);
        send(raft, std::move(reply));
        return;
    }
    mergeEntries(raft, message);
    reply.index = std::max(message.index + message.entries.size(), compacted ? raft.log.baseIndex : 0);
    setCommit(raft, std::min(message.commit, reply.index));
    sendWhenDurable(raft, std::move(reply), raft.writeSequence);
}

void receiveAppendReply(Raft& raft, const Message& reply)
{
    Progress& progress = raft.progress.at(reply.from);
    if (progress.state == SendState::Snapshot && reply.index < progress.snapshotMeta.index)
        return;
    if (reply.reject) {
        if (reply.index <= progress.match || reply.index >= progress.next || (progress.state == SendState::Probe && reply.index != progress.next - 1))
            return;
        progress.state = SendState::Probe;
        progress.next = std::max(progress.match, reply.hint) + 1;
        progress.inflight.clear();
        progress.awaitingReply = false;
        return;
    }
    INVARIANT(reply.index <= lastIndex(raft.log), "a member acknowledges only entries of the leader", "index", reply.index,
        "last", lastIndex(raft.log), "member", reply.from.value);
    progress.match = std::max(progress.match, reply.index);
    progress.next = std::max(progress.next, progress.match + 1);
    progress.state = SendState::Pipeline;
    progress.awaitingReply = false;
    while (!progress.inflight.empty() && progress.inflight.front().lastIndex <= progress.match)
        progress.inflight.pop_front();
    advanceCommit(raft);
}

void receiveHeartbeatReply(Raft& raft, const Message& reply)
{
    Progress& progress = raft.progress.at(reply.from);
    if (progress.state == SendState::Probe && raft.now - progress.lastSend >= raft.options.heartbeat)
        progress.awaitingReply = false;
}

void advanceCommit(Raft& raft)
{
    if (raft.role != Role::Leader)
        return;
    std::vector<uint64_t> matches;
    for (VoterId voter : raft.members.voters) {
        auto it = raft.progress.find(voter);
        if (it != raft.progress.end())
            matches.push_back(it->second.match);
        else
            matches.push_back(voter == raft.options.self ? raft.log.durableIndex : 0);
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const uint64_t index = matches[quorum(raft.members) - 1];
    if (index > raft.commit && termAt(raft.log, index) == raft.hardState.term)
        setCommit(raft, index);
    if (raft.membersIndex <= raft.commit && !isVoter(raft.members, raft.options.self)) {
        broadcastHeartbeat(raft);
        becomeFollower(raft, raft.hardState.term, {});
    }
}

bool startLeadershipTransfer(Raft& raft)
{
    if (raft.role != Role::Leader || raft.transferTarget)
        return false;
    const Progress* best = nullptr;
    for (const auto& [peer, progress] : raft.progress) {
        const bool responsive = progress.replied && raft.now - progress.lastReply < raft.options.electionMin;
        if (!isVoter(raft.members, peer) || !responsive || (best && progress.match <= best->match))
            continue;
        best = &progress;
        raft.transferTarget = peer;
    }
    raft.transferDeadline = raft.now + raft.options.electionMax;
    return best != nullptr;
}

void continueLeadershipTransfer(Raft& raft)
{
    if (!raft.transferTarget || raft.transferSent)
        return;
    auto it = raft.progress.find(raft.transferTarget);
    if (it == raft.progress.end() || it->second.match < lastIndex(raft.log))
        return;
    raft.transferSent = true;
    send(raft, makeMessage(raft, raft.transferTarget, MessageKind::TimeoutNow));
}

}
