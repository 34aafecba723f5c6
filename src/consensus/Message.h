#pragma once

#include "base/LogEntry.h"
#include "base/TimeMs.h"

namespace siskinshunt {

constexpr size_t maxMessageEntries = 256; ///< Entries per Append.
constexpr size_t maxAppendBytes = 256 << 10; ///< Entry data per Append, unless a single entry is larger.
constexpr size_t snapshotPieceBytes = 64 << 10; ///< Snapshot bytes per message.
constexpr uint64_t maxSnapshotBytes = UINT64_C(1) << 30;
/// Upper bound of the encoded message size: entry data, entry headers and fixed fields.
constexpr size_t maxMessageBytes = maxAppendBytes + maxCommandBytes + maxMessageEntries * 32 + 4096;

enum class MessageKind : uint8_t {
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    SnapshotPiece,
    SnapshotReply,
    TimeoutNow, ///< Leadership transfer: the receiver starts an election at once.
};

template <>
inline constexpr auto enumNames<MessageKind> = std::to_array<EnumName<MessageKind>>({
    { MessageKind::PreVote, "pre_vote" },
    { MessageKind::PreVoteReply, "pre_vote_reply" },
    { MessageKind::Vote, "vote" },
    { MessageKind::VoteReply, "vote_reply" },
    { MessageKind::Append, "append" },
    { MessageKind::AppendReply, "append_reply" },
    { MessageKind::Heartbeat, "heartbeat" },
    { MessageKind::HeartbeatReply, "heartbeat_reply" },
    { MessageKind::SnapshotPiece, "snapshot_piece" },
    { MessageKind::SnapshotReply, "snapshot_reply" },
    { MessageKind::TimeoutNow, "timeout_now" },
});

/// Part of a snapshot that is sent to a lagging member.
struct SnapshotPiece {
    SnapshotMeta meta;
    uint64_t total = 0; ///< Size of the whole snapshot in bytes.
    uint64_t checksum = 0; ///< hash64 of the whole snapshot.
    uint64_t offset = 0;
    std::string bytes; ///< At most snapshotPieceBytes.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(meta, total, checksum, offset);
        serializeBytes(archive, bytes, snapshotPieceBytes);
    }
};

/// Consensus message between two members of a group. Decoding throws cereal::Exception if a size limit is exceeded.
struct Message {
    uint64_t cluster = 0; ///< hash64 of the cluster id.
    GroupId group;
    VoterId from;
    VoterId to;
    MessageKind kind = MessageKind::Heartbeat;
    uint64_t term = 0;
    uint64_t index = 0; ///< Requests: index preceding the entries, or last index. Replies: match index or next snapshot offset.
    uint64_t logTerm = 0; ///< Term of the entry at `index` in requests.
    uint64_t commit = 0;
    bool reject = false;
    bool transfer = false; ///< Vote request of a leadership transfer; voters answer it despite the lease of the leader.
    uint64_t hint = 0; ///< Rejecting AppendReply: highest index that may match. SnapshotReply: index of the snapshot.
    TimeMs sentAt; ///< Send time of a request by the clock of its sender; echoed in the reply.
    std::vector<LogEntry> entries;
    SnapshotPiece piece; ///< Only in messages of kind SnapshotPiece.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(cluster, group, from, to, kind, term, index, logTerm, commit, reject, transfer, hint, sentAt);
        serializeList(archive, entries, maxMessageEntries);
        archive(piece);
    }
};

}
