#include "replica/Replica.h"

#include "base/Invariant.h"

#include <algorithm>

namespace siskinshunt {

struct PendingProposal {
    uint64_t id = 0;
    uint64_t term = 0;
    TimeMs deadline;
};

/// Write that the caller has not completed yet.
struct OutstandingWrite {
    uint64_t request = 0;
    uint64_t sequence = 0;
};

struct Replica {
    ReplicaOptions options;
    StateMachine machine;
    Raft raft;
    uint64_t applied = 0;
    uint64_t snapshotIndex = 0;
    uint64_t bytesSinceSnapshot = 0;
    uint64_t lastProposal = 0;
    uint64_t lastRequest = 0;
    std::map<uint64_t, PendingProposal> pending; ///< By log index.
    std::optional<OutstandingWrite> outstanding;
    std::optional<Snapshot> snapshotToWrite;
    bool discardLog = false;
    ReplicaOutputs out;
    Role reportedRole = Role::Follower;
    uint64_t dropped = 0;
    std::string failure;
};

void ReplicaDeleter::operator()(Replica* replica) const
{
    delete replica;
}

static std::string groupName(const Replica& replica)
{
    return "group " + std::to_string(replica.options.group.value);
}

static void addLogRecord(Replica& replica, LogLevel level, std::string code, Step step, std::string text)
{
    replica.out.log.push_back({ level, std::move(code), step, groupName(replica), std::move(text),
        { { "term", std::to_string(replica.raft.hardState.term) }, { "commit", std::to_string(replica.raft.commit) } } });
}

static void finishProposal(Replica& replica, uint64_t id, ProposalStatus status, uint64_t index, std::string reply)
{
    const VoterId leader = status == ProposalStatus::NotApplied ? replica.raft.leader : VoterId {};
    replica.out.outcomes.push_back({ id, status, index, std::move(reply), leader });
}

static void finishPendingUpTo(Replica& replica, uint64_t index, const std::string& reason)
{
    auto& pending = replica.pending;
    while (!pending.empty() && pending.begin()->first <= index) {
        finishProposal(replica, pending.begin()->second.id, ProposalStatus::Unknown, 0, reason);
        pending.erase(pending.begin());
    }
}

static void stopPermanently(Replica& replica, const char* code, const std::string& reason)
{
    replica.failure = reason;
    replica.raft.role = Role::Follower;
    replica.raft.leader = {};
    replica.raft.outbox.clear();
    replica.raft.deferredMessages.clear();
    finishPendingUpTo(replica, UINT64_MAX, reason);
    addLogRecord(replica, LogLevel::Error, code, Step::Sync, reason);
}

Result<ReplicaPtr> openReplica(const ReplicaOptions& options, StateMachine machine, GroupState state, TimeMs now)
{
    const uint64_t index = state.snapshot.meta.index;
    if (index && !machine.restore(*state.snapshot.bytes))
        return fail(ErrorCode::Corrupt, Step::Recover, "group " + std::to_string(options.group.value),
            "the state machine refuses the stored snapshot at index " + std::to_string(index));
    const RaftOptions raftOptions {
        .cluster = options.cluster,
        .group = options.group,
        .self = options.self,
        .seed = options.seed,
        .heartbeat = options.heartbeat,
        .electionMin = options.electionMin,
        .electionMax = options.electionMax,
        .lease = options.lease,
    };
    ReplicaPtr replica(new Replica { .options = options, .machine = std::move(machine), .raft = makeRaft(raftOptions, state.hardState, state.snapshot, std::move(state.entries), now) });
    replica->applied = replica->snapshotIndex = index;
    return replica;
}

Result<void> bootstrap(Replica& replica, std::vector<VoterId> voters)
{
    std::sort(voters.begin(), voters.end());
    const bool distinct = std::adjacent_find(voters.begin(), voters.end()) == voters.end();
    if (!distinct || !std::binary_search(voters.begin(), voters.end(), replica.options.self) || voters.size() > 7)
        return fail(ErrorCode::Invalid, Step::Command, groupName(replica),
            "the voter list must hold at most 7 different voters and this voter, " + std::to_string(replica.options.self.value));
    if (!replica.failure.empty() || lastIndex(replica.raft.log) || replica.raft.hardState.term)
        return fail(ErrorCode::Conflict, Step::Command, groupName(replica), "the group has been founded already");
    appendInitialMembers(replica.raft, { .voters = std::move(voters), .learners = {} });
    return {};
}

static void applyEntry(Replica& replica, const LogEntry& entry)
{
    INVARIANT(entry.index == replica.applied + 1, "entries are applied in order", "index", entry.index, "applied", replica.applied);
    std::string reply;
    if (entry.kind == EntryKind::Command)
        reply = replica.machine.apply(entry.index, entry.data);
    replica.applied = entry.index;
    replica.bytesSinceSnapshot += entry.data.size();
    auto it = replica.pending.find(entry.index);
    if (it == replica.pending.end())
        return;
    const auto pending = it->second;
    replica.pending.erase(it);
    if (pending.term == entry.term)
        finishProposal(replica, pending.id, ProposalStatus::Applied, entry.index, std::move(reply));
    else
        finishProposal(replica, pending.id, ProposalStatus::NotApplied, 0, "another leader's entry took its place");
}

static bool snapshotIsDue(const Replica& replica)
{
    const uint64_t lastSize = replica.raft.latestSnapshot.bytes ? replica.raft.latestSnapshot.bytes->size() : 0;
    // A snapshot rewrites the whole state, so enough bytes have to be applied since the last one to justify the write.
    const bool manyEntries = replica.applied - replica.snapshotIndex >= replica.options.snapshotEntries;
    return (manyEntries && replica.bytesSinceSnapshot >= lastSize / 2)
        || replica.bytesSinceSnapshot >= std::max(replica.options.snapshotBytes, lastSize);
}

void takeSnapshot(Replica& replica)
{
    // Entries that are durable on a quorum of other voters may be applied here before the local write of them completes.
    const bool durable = replica.applied <= replica.raft.log.durableIndex;
    if (!replica.failure.empty() || replica.snapshotToWrite || !durable || replica.applied == replica.snapshotIndex)
        return;
    const uint64_t index = replica.applied;
    Snapshot snapshot {
        .meta = { .index = index, .term = termAt(replica.raft.log, index), .members = membersAt(replica.raft, index) },
        .bytes = std::make_shared<const std::string>(replica.machine.snapshot()),
    };
    compactLog(replica.raft, snapshot, replica.options.trailingEntries, replica.options.trailingBytes);
    replica.snapshotIndex = index;
    replica.bytesSinceSnapshot = 0;
    replica.snapshotToWrite = std::move(snapshot);
}

static void installReceivedSnapshot(Replica& replica)
{
    if (!replica.raft.receivedSnapshot)
        return;
    const Snapshot snapshot = *replica.raft.receivedSnapshot;
    if (!replica.machine.restore(*snapshot.bytes)) {
        addLogRecord(replica, LogLevel::Error, "snapshot_refused", Step::Snapshot,
            "the state machine refuses the snapshot at index " + std::to_string(snapshot.meta.index) + " from the leader");
        rejectSnapshot(replica.raft);
        return;
    }
    installSnapshot(replica.raft, snapshot);
    INVARIANT(snapshot.meta.index > replica.applied, "the applied index never decreases", "snapshot", snapshot.meta.index, "applied",
        replica.applied);
    replica.applied = replica.snapshotIndex = snapshot.meta.index;
    replica.bytesSinceSnapshot = 0;
    replica.snapshotToWrite = snapshot;
    replica.discardLog = true;
    finishPendingUpTo(replica, snapshot.meta.index, "a snapshot replaced the entry");
    addLogRecord(replica, LogLevel::Info, "snapshot_installed", Step::Snapshot,
        "installed the snapshot at index " + std::to_string(snapshot.meta.index));
}

static void reportRole(Replica& replica)
{
    if (replica.raft.role == replica.reportedRole)
        return;
    const bool wasLeader = replica.reportedRole == Role::Leader;
    replica.reportedRole = replica.raft.role;
    if (replica.raft.role == Role::Leader)
        addLogRecord(replica, LogLevel::Info, "became_leader", Step::Propose, "this voter became leader of the group");
    else if (wasLeader)
        addLogRecord(replica, LogLevel::Warning, "leadership_lost", Step::Propose, "this voter is no longer leader of the group");
}

static void processRaftOutput(Replica& replica)
{
    installReceivedSnapshot(replica);
    while (replica.applied < replica.raft.commit)
        applyEntry(replica, entryAt(replica.raft.log, replica.applied + 1));
    if (snapshotIsDue(replica))
        takeSnapshot(replica);
    reportRole(replica);
}

static uint64_t trackProposal(Replica& replica, uint64_t index, const std::string& reason)
{
    const uint64_t id = ++replica.lastProposal;
    if (!index) {
        finishProposal(replica, id, ProposalStatus::NotApplied, 0, reason);
        return id;
    }
    auto& pending = replica.pending[index];
    // The entry of the earlier proposal was truncated here, but another voter may still have it.
    if (pending.id)
        finishProposal(replica, pending.id, ProposalStatus::Unknown, 0, "its entry was replaced in this log");
    pending = { id, replica.raft.hardState.term, replica.raft.now + replica.options.proposalTimeout };
    return id;
}

uint64_t propose(Replica& replica, std::string command)
{
    if (!replica.failure.empty())
        return trackProposal(replica, 0, replica.failure);
    if (command.size() > maxCommandBytes)
        return trackProposal(replica, 0, "the command exceeds " + std::to_string(maxCommandBytes) + " bytes");
    if (replica.pending.size() >= replica.options.maxPending)
        return trackProposal(replica, 0, "too many proposals wait");
    return trackProposal(replica, appendEntry(replica.raft, EntryKind::Command, std::move(command)), "not the leader");
}

uint64_t changeMembers(Replica& replica, MemberChange change, VoterId voter)
{
    std::string reason = replica.failure;
    const uint64_t index = reason.empty() ? appendMemberChange(replica.raft, change, voter, reason) : 0;
    return trackProposal(replica, index, reason);
}

bool transferLeadership(Replica& replica)
{
    return replica.failure.empty() && startLeadershipTransfer(replica.raft);
}

static bool isWellFormed(const Message& message)
{
    uint64_t index = message.index;
    uint64_t term = message.logTerm;
    for (const auto& entry : message.entries) {
        if (entry.index != ++index || entry.term < term || entry.term > message.term)
            return false;
        term = entry.term;
    }
    return message.entries.size() <= maxMessageEntries && message.piece.bytes.size() <= snapshotPieceBytes;
}

/// Whether the leader has acknowledgments of this voter for entries that it does not have: its disk lost data, or was
/// emptied while the voter kept its identity.
static bool indicatesLostData(const Replica& replica, const Message& message)
{
    return message.kind == MessageKind::Heartbeat && message.term >= replica.raft.hardState.term && message.commit > lastIndex(replica.raft.log);
}

void receive(Replica& replica, const Message& message, TimeMs now)
{
    if (!replica.failure.empty())
        return;
    const auto& options = replica.options;
    const bool addressed = message.cluster == options.cluster && message.group == options.group && message.to == options.self;
    if (!addressed || !message.from || message.from == options.self || !isWellFormed(message)) {
        ++replica.dropped;
        return;
    }
    if (indicatesLostData(replica, message)) {
        stopPermanently(replica, "disk_lost_data",
            "this voter has stopped because it confirmed entries up to " + std::to_string(message.commit) + " and holds them up to "
                + std::to_string(lastIndex(replica.raft.log)) + "; its disk lost data, so it must be replaced");
        return;
    }
    receiveMessage(replica.raft, message, now);
    processRaftOutput(replica);
}

void tick(Replica& replica, TimeMs now)
{
    if (!replica.failure.empty())
        return;
    tickRaft(replica.raft, now);
    processRaftOutput(replica);
    for (auto it = replica.pending.begin(); it != replica.pending.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        finishProposal(replica, it->second.id, ProposalStatus::Unknown, 0, "no outcome within the proposal timeout");
        it = replica.pending.erase(it);
    }
}

void diskCompleted(Replica& replica, uint64_t request, bool ok, std::string_view error)
{
    if (!replica.failure.empty())
        return;
    INVARIANT(replica.outstanding && replica.outstanding->request == request, "only the outstanding write completes", "request",
        request);
    const uint64_t sequence = replica.outstanding->sequence;
    replica.outstanding.reset();
    if (!ok) {
        stopPermanently(replica, "disk_write_failed", "this voter has stopped because a disk write failed: " + std::string(error));
        return;
    }
    writesDurable(replica.raft, sequence);
    processRaftOutput(replica);
}

bool canRead(const Replica& replica, TimeMs now)
{
    return replica.failure.empty() && replica.applied == replica.raft.commit && isLeaseValid(replica.raft, now);
}

static void issueWrite(Replica& replica)
{
    if (replica.outstanding)
        return;
    auto writes = collectWrites(replica.raft);
    if (!writes && !replica.snapshotToWrite)
        return;
    DiskRequest request { .id = ++replica.lastRequest, .group = replica.options.group };
    if (writes) {
        request.hardState = writes->hardState;
        request.entries = std::move(writes->entries);
    }
    request.snapshot = std::exchange(replica.snapshotToWrite, std::nullopt);
    request.discardLog = std::exchange(replica.discardLog, false);
    replica.outstanding = { request.id, replica.raft.writeSequence };
    replica.out.disk.push_back(std::move(request));
}

ReplicaOutputs collectOutputs(Replica& replica)
{
    if (replica.failure.empty()) {
        sendAppends(replica.raft);
        issueWrite(replica);
        auto& messages = replica.out.messages;
        std::move(replica.raft.outbox.begin(), replica.raft.outbox.end(), std::back_inserter(messages));
    }
    replica.raft.outbox.clear();
    return std::exchange(replica.out, {});
}

ReplicaStatus status(const Replica& replica)
{
    const Raft& raft = replica.raft;
    ReplicaStatus out {
        .group = replica.options.group,
        .self = replica.options.self,
        .role = raft.role,
        .term = raft.hardState.term,
        .leader = raft.leader,
        .lastIndex = lastIndex(raft.log),
        .commit = raft.commit,
        .applied = replica.applied,
        .snapshotIndex = replica.snapshotIndex,
        .voters = raft.members.voters,
        .learners = raft.members.learners,
        .membersCommitted = raft.membersIndex <= raft.commit,
        .members = {},
        .droppedMessages = replica.dropped,
        .failure = replica.failure,
    };
    if (raft.role != Role::Leader)
        return out;
    for (const auto& [peer, progress] : raft.progress)
        out.members.push_back({ peer, isLearner(raft.members, peer), progress.match, out.lastIndex - progress.match, raft.now - progress.lastReply, progress.state == SendState::Snapshot ? progress.offset : 0 });
    return out;
}

}
