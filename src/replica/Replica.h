#pragma once

#include "base/Error.h"
#include "base/LogRecord.h"
#include "consensus/Message.h"
#include "consensus/Raft.h"
#include "replica/StateMachine.h"
#include "storage/GroupState.h"

#include <map>
#include <memory>

namespace siskinshunt {

/// Settings of one replica.
struct ReplicaOptions {
    uint64_t cluster = 0; ///< hash64 of the cluster id.
    GroupId group;
    VoterId self;
    uint64_t seed = 1; ///< Seed of the random election timeouts.
    TimeMs heartbeat = 100_ms;
    TimeMs electionMin = 500_ms;
    TimeMs electionMax = 1000_ms;
    TimeMs lease = 450_ms; ///< electionMin less 10% for clock drift.
    // A snapshot is taken after snapshotEntries applied entries, if they amount to half the size of the last snapshot, or
    // after snapshotBytes of applied entries, but not less than the size of the last snapshot.
    uint64_t snapshotEntries = 1000;
    uint64_t snapshotBytes = 4 << 20;
    uint64_t trailingEntries = 500; ///< Entries before a snapshot that stay in memory for members that lag slightly,
    size_t trailingBytes = 4 << 20; ///< as far as they hold no more data than this.
    size_t maxPending = 1024; ///< Limit of proposals without an outcome; further ones are rejected as not applied.
    TimeMs proposalTimeout = 5_s; ///< A proposal without an outcome after this time ends as Unknown.
};

enum class ProposalStatus : uint8_t {
    Applied, ///< Committed and applied on this voter.
    NotApplied, ///< Will never be applied.
    Unknown, ///< May have been applied or may still be applied.
};

template <>
inline constexpr auto enumNames<ProposalStatus> = std::to_array<EnumName<ProposalStatus>>({
    { ProposalStatus::Applied, "applied" },
    { ProposalStatus::NotApplied, "not_applied" },
    { ProposalStatus::Unknown, "unknown" },
});

/// Outcome of a proposal; there is exactly one per proposal id.
struct ProposalOutcome {
    uint64_t proposal = 0;
    ProposalStatus status = ProposalStatus::Unknown;
    uint64_t index = 0; ///< Log index if applied.
    std::string reply; ///< Reply of the state machine if applied, else the reason.
    VoterId leader; ///< For NotApplied: current leader, if known.
};

/// Work for the caller, which runs the disk requests in order and reports each with diskCompleted().
struct ReplicaOutputs {
    std::vector<Message> messages; ///< To be sent to `Message::to`.
    std::vector<DiskRequest> disk; ///< At most one request is outstanding at a time.
    std::vector<ProposalOutcome> outcomes;
    std::vector<LogRecord> log;
};

/// Replication progress of another member, as known by the leader.
struct FollowerStatus {
    VoterId voter;
    bool learner = false;
    uint64_t match = 0; ///< Highest index known to be durable on the member.
    uint64_t lag = 0; ///< Number of entries of the leader that the member lacks.
    TimeMs sinceReply; ///< Time since its last reply, or since the leadership or the membership began.
    uint64_t snapshotOffset = 0; ///< Bytes of a snapshot in transfer that it has received.
};

/// Status for operators. `members` is set on the leader only.
struct ReplicaStatus {
    GroupId group;
    VoterId self;
    Role role = Role::Follower;
    uint64_t term = 0;
    VoterId leader;
    uint64_t lastIndex = 0;
    uint64_t commit = 0;
    uint64_t applied = 0;
    uint64_t snapshotIndex = 0;
    std::vector<VoterId> voters;
    std::vector<VoterId> learners;
    bool membersCommitted = false; ///< Whether `voters` and `learners` are committed; no further change is accepted before.
    std::vector<FollowerStatus> members;
    uint64_t droppedMessages = 0; ///< Messages of another cluster or group, to another voter, or malformed.
    std::string failure; ///< Reason why the replica has stopped; empty while it runs.
};

/// Replica of one group on one voter: consensus, storage requests and the state machine. It uses no sockets, files,
/// threads or clocks. All functions must be called from one thread; outputs accumulate until collectOutputs().
struct Replica;

struct ReplicaDeleter {
    void operator()(Replica*) const;
};
using ReplicaPtr = std::unique_ptr<Replica, ReplicaDeleter>;

/// Opens a replica with its stored state. Fails with Corrupt if the state machine rejects the stored snapshot.
Result<ReplicaPtr> openReplica(const ReplicaOptions&, StateMachine, GroupState, TimeMs now);

/// Bootstraps the group with these voters, which have to include `self`. Call it only once per group, on one initial voter
/// or on each of them with the same list. Fails with Conflict if the replica has or had any state.
Result<void> bootstrap(Replica&, std::vector<VoterId> voters);

/// Proposes a command of at most maxCommandBytes. Returns the proposal id, which is unique within the process; the
/// outcome is returned by collectOutputs().
uint64_t propose(Replica&, std::string command);

/// Proposes to add a learner, to promote a learner that has caught up, or to remove a member. Rejected (NotApplied) while
/// another change is uncommitted or the learner to promote lags.
uint64_t changeMembers(Replica&, MemberChange, VoterId);

/// Starts a transfer of leadership to the most up-to-date voter, for shutdown. Returns false if this replica is not the
/// leader or no other voter replies.
bool transferLeadership(Replica&);

/// Handles a message from a peer. Messages of another cluster or group, or to another voter, are counted and dropped. The
/// replica stops permanently if the message shows that its disk has lost acknowledged entries.
void receive(Replica&, const Message&, TimeMs now);

/// Advances the clock and runs timers; call it every 20 ms.
void tick(Replica&, TimeMs now);

/// Reports the completion of a disk request. After a failure the replica stops permanently: it neither votes nor replies.
void diskCompleted(Replica&, uint64_t request, bool ok, std::string_view error = {});

/// Whether this replica can serve reads from its applied state without a round trip: it is a leader with a valid lease,
/// and has applied an entry of its own term and all committed entries.
bool canRead(const Replica&, TimeMs now);

/// Takes a snapshot if any entry was applied since the last one. Used to release old log segments that this group pins.
void takeSnapshot(Replica&);

/// Returns the outputs since the last call. Entries proposed since then are sent and written in one batch.
ReplicaOutputs collectOutputs(Replica&);

ReplicaStatus status(const Replica&);

}
