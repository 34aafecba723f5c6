#pragma once

#include "base/LogEntry.h"
#include "base/TimeMs.h"

namespace siskinshunt {

constexpr size_t maxMessageEntries = 256; ///< Entries of one Append.
constexpr size_t maxAppendBytes = 256 << 10; ///< Entry data of one Append, unless a single entry is larger.
constexpr size_t snapshotPieceBytes = 64 << 10; ///< Snapshot bytes of one message.
constexpr uint64_t maxSnapshotBytes = UINT64_C(1) << 30;
/// Upper bound of an encoded message in bytes: entry data, entry headers and fixed fields.
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
    TimeoutNow, ///< Leadership transfer: the receiver campaigns at once.
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

/// A piece of a snapshot that is being transferred to a lagging member.
struct SnapshotPiece {
    SnapshotMeta meta;
    uint64_t total = 0; ///< Bytes of the whole snapshot.
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

/// A consensus message between two members of one group. Decoding throws cereal::Exception when a bound is exceeded.
struct Message {
    uint64_t cluster = 0; ///< hash64 of the cluster id.
    GroupId group;
    VoterId from;
    VoterId to;
    MessageKind kind = MessageKind::Heartbeat;
    uint64_t term = 0;
    uint64_t index = 0; ///< Requests: index before the entries, or last index. Replies: match index or next offset.
    uint64_t logTerm = 0; ///< Term of the entry at `index` in requests.
    uint64_t commit = 0;
    bool reject = false;
    bool transfer = false; ///< A vote request on order of the leader; voters answer it despite the leader's lease.
    uint64_t hint = 0; ///< In a refusing AppendReply: the index up to which the logs may still match.
    TimeMs sentAt; ///< Clock of the sender of a request; its reply repeats it.
    std::vector<LogEntry> entries;
    SnapshotPiece piece; ///< Only in SnapshotPiece.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(cluster, group, from, to, kind, term, index, logTerm, commit, reject, transfer, hint, sentAt);
        serializeList(archive, entries, maxMessageEntries);
        archive(piece);
    }
};

}
