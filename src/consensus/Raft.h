#pragma once

#include "base/Random.h"
#include "consensus/Message.h"
#include "consensus/RaftLog.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace siskinshunt {

enum class Role : uint8_t {
    Follower,
    PreCandidate, ///< Checks whether it could win an election, without incrementing its term.
    Candidate,
    Leader,
};

template <>
inline constexpr auto enumNames<Role> = std::to_array<EnumName<Role>>({
    { Role::Follower, "follower" },
    { Role::PreCandidate, "pre_candidate" },
    { Role::Candidate, "candidate" },
    { Role::Leader, "leader" },
});

enum class MemberChange : uint8_t {
    AddLearner,
    Promote, ///< Turns a learner that has caught up into a voter.
    Remove,
};

struct RaftOptions {
    uint64_t cluster = 0;
    GroupId group;
    VoterId self;
    uint64_t seed = 1;
    TimeMs heartbeat = 100_ms;
    TimeMs electionMin = 500_ms;
    TimeMs electionMax = 1000_ms;
    TimeMs lease = 450_ms;
    size_t maxInflight = 16; ///< Unacknowledged Appends per member.
    size_t maxInflightBytes = 1 << 20; ///< Their entry data; a further Append waits until there is less.
    TimeMs resendTimeout = 500_ms; ///< An unacknowledged Append or snapshot piece is sent again after this time.
    uint64_t maxPromotionLag = 64; ///< A learner that lags by more entries is not promoted.
};

enum class SendState : uint8_t {
    Probe, ///< One Append at a time until the match index is known.
    Pipeline, ///< Up to maxInflight Appends without waiting for replies.
    Snapshot, ///< The member needs entries that were compacted.
};

/// An Append that the member has not acknowledged yet.
struct InflightAppend {
    uint64_t lastIndex = 0;
    size_t bytes = 0; ///< Entry data.
};

/// Replication state of another member, kept by the leader.
struct Progress {
    SendState state = SendState::Probe;
    uint64_t match = 0; ///< Highest index known to be durable on the member.
    uint64_t next = 1;
    std::deque<InflightAppend> inflight;
    TimeMs lastSend;
    bool awaitingReply = false; ///< A probe or snapshot piece is unacknowledged.
    TimeMs lastReply; ///< Initially the start of the leadership or of the membership.
    bool replied = false; ///< Whether it has replied since this leadership began.
    TimeMs ackedSentAt { -farFuture.value }; ///< Send time of the latest request acknowledged in this term.
    uint64_t offset = 0; ///< Offset of the next snapshot piece.
    SnapshotMeta snapshotMeta;
    std::shared_ptr<const std::string> snapshotBytes;
    uint64_t snapshotChecksum = 0;
};

/// Message that must not be sent before the writes up to `requiredSequence` are durable.
struct DeferredMessage {
    uint64_t requiredSequence = 0;
    Message message;
};

/// Snapshot that is being received in pieces.
struct IncomingSnapshot {
    SnapshotMeta meta;
    uint64_t total = 0;
    uint64_t checksum = 0;
    std::string bytes;
};

/// Raft state of one member of a group. Messages and ticks are the inputs; messages, writes and committed entries are
/// the outputs.
struct Raft {
    RaftOptions options;
    Random random { 1 };
    TimeMs now;

    HardState hardState;
    RaftLog log;
    Role role = Role::Follower;
    VoterId leader;
    uint64_t commit = 0;
    Members members; ///< Latest configuration in the log, committed or not.
    uint64_t membersIndex = 0; ///< Index of the entry that holds `members`.
    std::map<uint64_t, Members> memberHistory; ///< Configurations by log index, starting with the one in force at the log's base.

    TimeMs electionDeadline;
    TimeMs lastLeaderContact; ///< No vote is granted for electionMin after it.
    std::set<VoterId> votes;
    std::set<VoterId> rejections;
    uint64_t termStart = 0; ///< Index of the Noop that this leader appended when its term began.
    std::map<VoterId, Progress> progress;
    TimeMs nextHeartbeat;
    VoterId transferTarget;
    TimeMs transferDeadline;
    bool transferSent = false; ///< TimeoutNow has been sent to the target.

    uint64_t writeSequence = 0; ///< Incremented by each change that has to become durable.
    uint64_t termSequence = 0; ///< Write that contains the current term and vote.
    uint64_t durableSequence = 0;
    bool hardStateDirty = false; ///< The hard state has changed since the last collectWrites().
    std::deque<DeferredMessage> deferredMessages;
    std::vector<Message> outbox;

    Snapshot latestSnapshot; ///< Sent to members that need compacted entries.
    std::optional<IncomingSnapshot> incomingSnapshot;
    std::optional<Snapshot> receivedSnapshot; ///< Complete snapshot that the caller has to install.
    std::map<uint64_t, VoterId> leaderByTerm; ///< For the invariant of one leader per term; the latest terms only.
};

/// State to be written; the caller confirms it with writesDurable(sequence).
struct RaftWrites {
    uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries;
};

Raft makeRaft(const RaftOptions&, const HardState&, const Snapshot&, std::vector<LogEntry> entries, TimeMs now);

void tickRaft(Raft&, TimeMs now);
void receiveMessage(Raft&, const Message&, TimeMs now);

/// Appends the first entry of the group, which holds its voters. The member must never have had any state.
void appendInitialMembers(Raft&, const Members&);
/// Appends an entry as the leader and returns its index; 0 if this member is not the leader or transfers its leadership.
uint64_t appendEntry(Raft&, EntryKind, std::string data);
/// Appends a membership change as the leader and returns its index; 0 and a reason if it is rejected.
uint64_t appendMemberChange(Raft&, MemberChange, VoterId, std::string& reason);
/// Starts a leadership transfer to the most up-to-date voter that replies; false if there is none.
bool startLeadershipTransfer(Raft&);

/// Sends new entries and snapshot pieces to the members that are ready for them. Call it once per step, so that entries
/// are sent in batches.
void sendAppends(Raft&);
/// Returns the writes since the last call, if any.
std::optional<RaftWrites> collectWrites(Raft&);
void writesDurable(Raft&, uint64_t sequence);

/// Replaces the log by the received snapshot, after the caller has restored the state from it. The caller writes the
/// snapshot before any further writes and discards the stored log.
void installSnapshot(Raft&, const Snapshot&);
/// Discards a received snapshot that could not be restored and tells the leader.
void rejectSnapshot(Raft&);
/// Registers a snapshot of the local state and compacts the log in memory, except for the last `trailing` entries before
/// the snapshot, as far as they hold at most `trailingBytes`. The log has to be durable up to the snapshot.
void compactLog(Raft&, const Snapshot&, uint64_t trailing, size_t trailingBytes);

/// Whether the leader lease is valid: a quorum has acknowledged requests that were sent less than a lease before `now`.
bool isLeaseValid(const Raft&, TimeMs now);

/// The configuration in force at the index, which must not be below the log's base.
const Members& membersAt(const Raft&, uint64_t index);
bool isVoter(const Members&, VoterId);
bool isLearner(const Members&, VoterId);
std::string encodeMembers(const Members&);
/// Returns empty members if the bytes are malformed.
Members decodeMembers(std::string_view);

}
