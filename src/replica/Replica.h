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
    uint64_t seed = 1; ///< Spreads the election timeouts.
    TimeMs heartbeat = 100_ms;
    TimeMs electionMin = 500_ms;
    TimeMs electionMax = 1000_ms;
    TimeMs lease = 450_ms; ///< electionMin less the drift allowance of 10%.
    uint64_t snapshotEntries = 1000; ///< A snapshot is taken after this many applied entries, if they hold half of its size,
    uint64_t snapshotBytes = 4 << 20; ///< or after this many bytes of them (at least the size of the last snapshot).
    uint64_t trailingEntries = 500; ///< Entries kept in memory below a snapshot for members that lag slightly.
    size_t maxPending = 1024; ///< Proposals without an outcome; further ones are refused as not applied.
    TimeMs proposalTimeout = 5_s; ///< A proposal without an outcome after this time ends as Unknown.
};

enum class ProposalStatus : uint8_t {
    Applied, ///< Committed and applied here; `reply` is the state machine's.
    NotApplied, ///< Definitely never applied.
    Unknown, ///< May or may not be applied, now or later.
};

template <>
inline constexpr auto enumNames<ProposalStatus> = std::to_array<EnumName<ProposalStatus>>({
    { ProposalStatus::Applied, "applied" },
    { ProposalStatus::NotApplied, "not_applied" },
    { ProposalStatus::Unknown, "unknown" },
});

/// The end of a proposal; each proposal id gets exactly one.
struct ProposalOutcome {
    uint64_t proposal = 0;
    ProposalStatus status = ProposalStatus::Unknown;
    uint64_t index = 0; ///< Log index when applied.
    std::string reply; ///< The state machine's reply when applied, else the reason.
    VoterId leader; ///< For NotApplied: who leads, if known.
};

/// What a replica wants done. The caller runs the disk requests in order and reports each with diskCompleted().
struct ReplicaOutputs {
    std::vector<Message> messages; ///< To `Message::to`.
    std::vector<DiskRequest> disk; ///< At most one is outstanding at a time.
    std::vector<ProposalOutcome> outcomes;
    std::vector<LogRecord> log;
};

/// Progress of another member as the leader sees it.
struct FollowerStatus {
    VoterId voter;
    bool learner = false;
    uint64_t match = 0; ///< Highest index known to be durable there.
    uint64_t lag = 0; ///< Entries that the leader has and the member does not.
    TimeMs sinceReply; ///< Time since its last reply.
};

/// State for operators. `members` is filled on the leader only.
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
    std::vector<FollowerStatus> members;
    uint64_t droppedMessages = 0; ///< Of another cluster or group, not addressed to this voter, or out of bounds.
    std::string failure; ///< Why the replica has stopped; empty while it works.
};

/// One voter's part in one group: consensus, storage requests and the state machine. Pure: no socket, file, thread or
/// clock. All functions belong to one thread; outputs gather until collectOutputs().
struct Replica;

struct ReplicaDeleter {
    void operator()(Replica*) const;
};
using ReplicaPtr = std::unique_ptr<Replica, ReplicaDeleter>;

/// Starts from what the disk holds. Fails with Corrupt if the state machine refuses the stored snapshot.
Result<ReplicaPtr> openReplica(const ReplicaOptions&, StateMachine, GroupState, TimeMs now);

/// Founds the group with these voters, of which `self` is one. Call it on one initial voter, or on each with the same
/// list, and on no other occasion. Fails with Conflict unless the replica has never held any state.
Result<void> bootstrap(Replica&, std::vector<VoterId> voters);

/// Proposes a command of at most maxCommandBytes. Returns the proposal id, which is unique until the process ends; the
/// outcome comes with collectOutputs().
uint64_t propose(Replica&, std::string command);

/// Proposes to add a learner, to promote a caught-up learner, or to remove a member. One change at a time; refused
/// (NotApplied) while another one is uncommitted or a learner to promote lags.
uint64_t changeMembers(Replica&, MemberChange, VoterId);

/// Hands leadership to the voter that has most of the log, for shutdown. Returns false if this replica does not lead
/// or no other voter replies.
bool transferLeadership(Replica&);

/// Takes a message from a peer. A message of another cluster, group or addressee is counted and dropped. The replica
/// stops for good when the message shows that its disk has lost confirmed entries.
void receive(Replica&, const Message&, TimeMs now);

/// Advances the clock; call it every 20 ms.
void tick(Replica&, TimeMs now);

/// Reports the end of a disk request. After a failure the replica stops for good: it neither votes nor answers.
void diskCompleted(Replica&, uint64_t request, bool ok, std::string_view error = {});

/// Whether the leader may read its applied state without a round trip: its lease holds and it has applied an entry of
/// its own term and everything committed before.
bool canRead(const Replica&, TimeMs now);

/// Takes a snapshot now if anything was applied since the last one; used when this group pins old log segments.
void takeSnapshot(Replica&);

/// Collects the outputs since the last call; entries proposed since then leave in one batch.
ReplicaOutputs collectOutputs(Replica&);

ReplicaStatus status(const Replica&);

}
