#include "base/Hash.h"
#include "base/Invariant.h"
#include "consensus/Internal.h"

#include <algorithm>

namespace siskinshunt {

static Message pieceReply(Raft& raft, const Message& message)
{
    Message reply = makeReply(raft, message, MessageKind::SnapshotReply);
    reply.hint = message.piece.meta.index;
    return reply;
}

static bool isSameSnapshot(const IncomingSnapshot& incomingSnapshot, const SnapshotPiece& piece)
{
    return incomingSnapshot.meta == piece.meta && incomingSnapshot.total == piece.total && incomingSnapshot.checksum == piece.checksum;
}

void receivePiece(Raft& raft, const Message& message)
{
    const SnapshotPiece& piece = message.piece;
    Message reply = pieceReply(raft, message);
    if (piece.meta.index <= raft.commit) {
        reply.commit = raft.commit;
        sendWhenDurable(raft, std::move(reply), raft.writeSequence);
        return;
    }
    if (piece.total > maxSnapshotBytes || piece.bytes.size() > piece.total || raft.receivedSnapshot)
        return;
    if (!raft.incomingSnapshot || !isSameSnapshot(*raft.incomingSnapshot, piece))
        raft.incomingSnapshot = IncomingSnapshot { piece.meta, piece.total, piece.checksum, {} };
    auto& bytes = raft.incomingSnapshot->bytes;
    if (piece.offset == bytes.size() && bytes.size() + piece.bytes.size() <= piece.total)
        bytes += piece.bytes;
    if (bytes.size() == piece.total) {
        if (hash64(bytes) == piece.checksum) {
            raft.receivedSnapshot = Snapshot { piece.meta, std::make_shared<const std::string>(std::move(bytes)) };
            raft.incomingSnapshot.reset();
            return;
        }
        bytes.clear();
        reply.reject = true;
    }
    reply.index = bytes.size();
    send(raft, std::move(reply));
}

void rejectSnapshot(Raft& raft)
{
    raft.receivedSnapshot.reset();
    if (!raft.leader || raft.role != Role::Follower)
        return;
    Message reply = makeMessage(raft, raft.leader, MessageKind::SnapshotReply);
    reply.reject = true;
    reply.sentAt = { -farFuture.value };
    send(raft, std::move(reply));
}

void installSnapshot(Raft& raft, const Snapshot& snapshot)
{
    const auto& meta = snapshot.meta;
    INVARIANT(meta.index > raft.commit, "a snapshot never decreases the commit index", "snapshot", meta.index, "commit", raft.commit);
    raft.receivedSnapshot.reset();
    if (hasTerm(raft.log, meta.index) && termAt(raft.log, meta.index) == meta.term) {
        // Keeps the entries above the snapshot. They are written again, because the stored log is discarded.
        dropUpTo(raft.log, meta.index);
        raft.log.durableIndex = raft.log.writtenIndex = meta.index;
    } else {
        resetTo(raft.log, meta.index, meta.term);
        raft.memberHistory.clear();
    }
    std::fill(raft.log.sequences.begin(), raft.log.sequences.end(), ++raft.writeSequence);
    raft.commit = meta.index;
    raft.latestSnapshot = snapshot;
    raft.memberHistory.erase(raft.memberHistory.begin(), raft.memberHistory.upper_bound(meta.index));
    raft.memberHistory[meta.index] = meta.members;
    refreshMembers(raft);
    if (!raft.leader || raft.role != Role::Follower)
        return;
    Message reply = makeMessage(raft, raft.leader, MessageKind::SnapshotReply);
    reply.hint = meta.index;
    reply.commit = meta.index;
    // This reply acknowledges no particular request, so it must not extend the lease of the leader.
    reply.sentAt = { -farFuture.value };
    sendWhenDurable(raft, std::move(reply), raft.writeSequence);
}

void receiveSnapshotReply(Raft& raft, const Message& reply)
{
    Progress& progress = raft.progress.at(reply.from);
    if (progress.state != SendState::Snapshot || reply.reject)
        return;
    if (!reply.commit && reply.hint == progress.snapshotMeta.index) {
        progress.offset = reply.index;
        progress.awaitingReply = false;
        return;
    }
    if (reply.commit < progress.snapshotMeta.index)
        return;
    progress.match = std::max(progress.match, std::min(reply.commit, lastIndex(raft.log)));
    progress.next = progress.match + 1;
    progress.state = SendState::Probe;
    progress.awaitingReply = false;
    progress.snapshotBytes.reset();
    advanceCommit(raft);
}

void compactLog(Raft& raft, const Snapshot& snapshot, uint64_t trailing, size_t trailingBytes)
{
    const uint64_t index = snapshot.meta.index;
    INVARIANT(index <= raft.commit && index <= raft.log.durableIndex, "a snapshot covers only durable, committed entries", "snapshot",
        index, "commit", raft.commit, "durable", raft.log.durableIndex);
    raft.latestSnapshot = snapshot;
    const uint64_t last = index > trailing ? index - trailing : 0;
    uint64_t first = index;
    for (size_t bytes = 0; first > std::max(last, raft.log.baseIndex); --first) {
        bytes += entryAt(raft.log, first).data.size();
        if (bytes > trailingBytes)
            break;
    }
    dropUpTo(raft.log, first);
    const auto current = raft.memberHistory.upper_bound(raft.log.baseIndex);
    if (current != raft.memberHistory.begin())
        raft.memberHistory.erase(raft.memberHistory.begin(), std::prev(current));
}

}
