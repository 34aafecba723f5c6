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
    PreCandidate, ///< Asks whether an election could be won, without raising its term.
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
    Promote, ///< Learner to voter, only after catch-up.
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
    size_t maxInflight = 16; ///< Appends sent to one member without a reply.
    TimeMs resendTimeout = 500_ms; ///< An Append or snapshot piece without a reply is sent again after this time.
    uint64_t maxPromotionLag = 64; ///< A learner that lacks more entries than this is not promoted.
};

enum class SendState : uint8_t {
    Probe, ///< One Append at a time, until the match index is known.
    Pipeline,
    Snapshot,
};

/// What the leader knows about one other member.
struct Progress {
    SendState state = SendState::Probe;
    uint64_t match = 0; ///< Highest index known to be durable there.
    uint64_t next = 1;
    std::deque<uint64_t> inflight; ///< Last index of each Append without a reply.
    TimeMs lastSend;
    bool awaitingReply = false; ///< Probe or snapshot piece sent, reply outstanding.
    TimeMs lastReply; ///< Or the start of the leadership or membership.
    bool replied = false; ///< In this leadership.
    TimeMs ackedSentAt { -farFuture.value }; ///< Send time of the latest request that was answered in this term.
    uint64_t offset = 0; ///< Of the next snapshot piece.
    SnapshotMeta snapshotMeta;
    std::shared_ptr<const std::string> snapshotBytes;
    uint64_t snapshotChecksum = 0;
};

/// A message that must not leave before the writes up to `requiredSequence` are durable.
struct DeferredMessage {
    uint64_t requiredSequence = 0;
    Message message;
};

/// A snapshot that arrives in pieces.
struct IncomingSnapshot {
    SnapshotMeta meta;
    uint64_t total = 0;
    uint64_t checksum = 0;
    std::string bytes;
};

/// Raft for one member of one group: messages and ticks in; messages, writes and committed entries out.
struct Raft {
    RaftOptions options;
    Random random { 1 };
    TimeMs now;

    HardState hardState;
    RaftLog log;
    Role role = Role::Follower;
    VoterId leader;
    uint64_t commit = 0;
    Members members; ///< The latest in the log, committed or not.
    uint64_t membersIndex = 0;
    std::map<uint64_t, Members> memberHistory; ///< By index, from the last one at or below the log's base.

    TimeMs electionDeadline;
    TimeMs lastLeaderContact; ///< Last contact with a leader; votes are withheld for electionMin after it.
    std::set<VoterId> votes;
    std::set<VoterId> rejections;
    uint64_t termStart = 0; ///< Index of this leader's Noop.
    std::map<VoterId, Progress> progress;
    TimeMs nextHeartbeat;
    VoterId transferTarget;
    TimeMs transferDeadline;
    bool transferSent = false;

    uint64_t writeSequence = 0; ///< Rises with each change that has to become durable.
    uint64_t termSequence = 0; ///< The write that carries the current term and vote.
    uint64_t durableSequence = 0;
    bool hardStateDirty = false; ///< The hard state changed since the last collectWrites().
    std::deque<DeferredMessage> deferredMessages;
    std::vector<Message> outbox;

    Snapshot latestSnapshot; ///< Sent to members that lack dropped entries.
    std::optional<IncomingSnapshot> incomingSnapshot;
    std::optional<Snapshot> receivedSnapshot; ///< Complete snapshot for the caller to install.
    std::map<uint64_t, VoterId> leaderByTerm; ///< By term, for the invariant; the latest few.
};

/// What has to be written; all of it is durable when writesDurable(sequence) is called.
struct RaftWrites {
    uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries;
};

Raft makeRaft(const RaftOptions&, const HardState&, const Snapshot&, std::vector<LogEntry> entries, TimeMs now);

void tickRaft(Raft&, TimeMs now);
void receiveMessage(Raft&, const Message&, TimeMs now);

/// Appends the first entry, which names the voters. The member must never have held any state.
void appendInitialMembers(Raft&, const Members&);
/// Appends an entry as leader; 0 if this member does not lead or is handing over.
uint64_t appendEntry(Raft&, EntryKind, std::string data);
/// Index of the appended change, or 0 and a reason.
uint64_t appendMemberChange(Raft&, MemberChange, VoterId, std::string& reason);
/// Starts the hand-over to a voter; false if it is not possible.
bool startLeadershipTransfer(Raft&);

/// Sends gathered entries to the members that can take them; call it once per step.
void sendAppends(Raft&);
/// The writes since the last call; nothing if there are none.
std::optional<RaftWrites> collectWrites(Raft&);
void writesDurable(Raft&, uint64_t sequence);

/// Replaces the log by the received snapshot, after the caller has restored it. The caller writes the snapshot before
/// the next writes and discards the stored log.
void installSnapshot(Raft&, const Snapshot&);
/// Declares a received snapshot unusable.
void rejectSnapshot(Raft&);
/// Notes a snapshot taken here and drops entries from memory, but for `trailing` ones. The log has to be durable up to
/// the snapshot.
void compactLog(Raft&, const Snapshot&, uint64_t trailing);

/// Whether a quorum answered requests that were sent within the lease before `now`.
bool isLeaseValid(const Raft&, TimeMs now);

/// The members in force at the index, which is not below the log's base.
const Members& membersAt(const Raft&, uint64_t index);
bool isVoter(const Members&, VoterId);
bool isLearner(const Members&, VoterId);
std::string encodeMembers(const Members&);
/// Empty members if the bytes are not valid.
Members decodeMembers(std::string_view);

}
