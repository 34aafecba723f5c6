#include "soak/ConsensusCluster.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace siskinshunt {

static constexpr uint64_t clusterNumber = 77;

static void recordViolation(ConsensusCluster& cluster, std::string text)
{
    if (cluster.violation.empty())
        cluster.violation = std::move(text) + " at " + std::to_string(cluster.now.value) + " ms";
}

TimeMs clockOf(const ConsensusCluster& cluster, size_t voter)
{
    const auto& it = *cluster.voters[voter];
    return { it.clockOffset.value + static_cast<int64_t>(static_cast<double>(cluster.now.value) * it.clockRate) };
}

static void recordApplied(ConsensusCluster& cluster, size_t group, uint64_t index, uint64_t command)
{
    const auto [it, inserted] = cluster.history[group].emplace(index, command);
    if (it->second != command)
        recordViolation(cluster, "voters applied different commands at index " + std::to_string(index));
    const auto known = cluster.indexOf[group].emplace(command, index).first;
    if (known->second != index)
        recordViolation(cluster, "command " + std::to_string(command) + " was applied twice");
}

static bool restoreState(ConsensusCluster& cluster, size_t group, ListState& state, std::string_view bytes)
{
    try {
        std::istringstream stream { std::string(bytes) };
        cereal::PortableBinaryInputArchive archive(stream);
        archive(state.commands);
    } catch (const cereal::Exception&) {
        return false;
    }
    for (const auto& [index, command] : state.commands)
        recordApplied(cluster, group, index, command);
    return true;
}

static StateMachine makeMachine(ConsensusCluster& cluster, size_t group, ListState& state)
{
    return {
        .apply = [&cluster, group, &state](uint64_t index, std::string_view command) {
            const uint64_t n = std::stoull(std::string(command));
            recordApplied(cluster, group, index, n);
            state.commands.emplace_back(index, n);
            return std::to_string(n); },
        .snapshot = [&cluster, &state] {
            std::ostringstream stream;
            cereal::PortableBinaryOutputArchive archive(stream);
            archive(state.commands);
            stream << std::string(cluster.options.snapshotPadding, 'x');
            return std::move(stream).str(); },
        .restore = [&cluster, group, &state](std::string_view bytes) { return restoreState(cluster, group, state, bytes); },
    };
}

ConsensusCluster makeCluster(const ClusterOptions& options)
{
    ConsensusCluster cluster { .options = options, .random = Random(options.seed) };
    cluster.history.resize(options.groups);
    cluster.indexOf.resize(options.groups);
    cluster.acknowledged.resize(options.groups);
    return cluster;
}

void bootstrapGroups(ConsensusCluster& cluster)
{
    std::vector<VoterId> ids;
    for (size_t n = 0; n < cluster.options.voters; ++n)
        ids.push_back(cluster.voters[addProcess(cluster)]->id);
    for (size_t n = 0; n < cluster.voters.size(); ++n)
        startProcess(cluster, n);
    for (auto& replica : cluster.voters[0]->replicas) {
        if (!bootstrap(*replica, ids))
            recordViolation(cluster, "bootstrap was refused");
    }
}

size_t addProcess(ConsensusCluster& cluster)
{
    auto voter = std::make_unique<SimulatedVoter>();
    voter->id = { ++cluster.nextVoter };
    voter->node = "node-" + std::to_string(cluster.voters.size());
    if (cluster.options.drift) {
        voter->clockRate = 0.97 + 0.06 * cluster.random.uniform();
        voter->clockOffset = { cluster.random.between(0, 100000) };
    }
    cluster.voters.push_back(std::move(voter));
    return cluster.voters.size() - 1;
}

static Result<void> start(ConsensusCluster& cluster, SimulatedVoter& voter, TimeMs now)
{
    BOOST_LEAF_ASSIGN(voter.storage, Storage::open(voter.disk, { .cluster = clusterNumber, .segmentBytes = cluster.options.segmentBytes, .maxSegments = 4 }));
    for (const auto& record : voter.storage->log())
        ++cluster.events[record.code];
    auto recovered = voter.storage->takeRecovered();
    voter.states.assign(cluster.options.groups, {});
    for (size_t group = 0; group < cluster.options.groups; ++group) {
        const ReplicaOptions options {
            .cluster = clusterNumber,
            .group = { group + 1 },
            .self = voter.id,
            .seed = cluster.random.next(),
            .snapshotEntries = cluster.options.snapshotEntries,
            .trailingEntries = cluster.options.trailingEntries,
            .proposalTimeout = 2_s,
        };
        BOOST_LEAF_AUTO(replica, openReplica(options, makeMachine(cluster, group, voter.states[group]), std::move(recovered[options.group]), now));
        voter.replicas.push_back(std::move(replica));
    }
    return {};
}

bool startProcess(ConsensusCluster& cluster, size_t n)
{
    auto& voter = *cluster.voters[n];
    voter.startError = handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(start(cluster, voter, clockOf(cluster, n)));
            return std::string();
        },
        [](const Error& error) { return toString(error); });
    if (!voter.startError.empty()) {
        voter.replicas.clear();
        voter.storage.reset();
    }
    return voter.startError.empty();
}

void killProcess(ConsensusCluster& cluster, size_t n, bool powerLoss)
{
    auto& voter = *cluster.voters[n];
    if (!voter.queue.running.empty() && cluster.random.chance(0.6)) {
        voter.disk.failSyncAfter(static_cast<int>(cluster.random.below(4)));
        handle([&]() -> Result<bool> { BOOST_LEAF_CHECK(voter.storage->write(voter.queue.running)); return true; },
            [](const Error&) { return false; });
    }
    voter.disk.failSyncAfter(0);
    voter.replicas.clear();
    voter.storage.reset();
    voter.queue = {};
    if (powerLoss && voter.disk.crash(cluster.random))
        ++cluster.events["torn_write"];
    for (auto it = cluster.open.begin(); it != cluster.open.end();) {
        if (it->first.first != n) {
            ++it;
            continue;
        }
        it->second.outcome = ProposalOutcome {};
        cluster.finished.push_back(it->second);
        it = cluster.open.erase(it);
    }
}

uint64_t proposeAt(ConsensusCluster& cluster, size_t voter, size_t group, size_t bytes)
{
    const uint64_t command = ++cluster.nextCommand;
    std::string text = std::to_string(command) + " ";
    text.resize(std::max(text.size(), bytes), '.');
    const uint64_t id = propose(*cluster.voters[voter]->replicas[group], text);
    cluster.open[{ voter, { group, id } }] = { group, command, cluster.acknowledged[group], {} };
    return command;
}

uint64_t changeMembersAt(ConsensusCluster& cluster, size_t voter, size_t group, MemberChange change, VoterId id)
{
    return changeMembers(*cluster.voters[voter]->replicas[group], change, id);
}

static void handleOutcome(ConsensusCluster& cluster, size_t voter, size_t group, const ProposalOutcome& outcome)
{
    auto it = cluster.open.find({ voter, { group, outcome.proposal } });
    if (it == cluster.open.end())
        return;
    SimulatedProposal proposal = it->second;
    cluster.open.erase(it);
    proposal.outcome = outcome;
    if (outcome.status == ProposalStatus::Applied) {
        const auto known = cluster.indexOf[group].find(proposal.command);
        if (known == cluster.indexOf[group].end() || known->second != outcome.index || outcome.reply != std::to_string(proposal.command))
            recordViolation(cluster, "command " + std::to_string(proposal.command) + " was acknowledged without being applied");
        if (outcome.index <= proposal.afterIndex)
            recordViolation(cluster, "command " + std::to_string(proposal.command) + " was ordered before an earlier acknowledged one");
        cluster.acknowledged[group] = std::max(cluster.acknowledged[group], outcome.index);
    }
    cluster.finished.push_back(std::move(proposal));
}

static Message encodeAndDecode(const Message& message)
{
    std::stringstream stream;
    cereal::PortableBinaryOutputArchive out(stream);
    out(message);
    cereal::PortableBinaryInputArchive in(stream);
    Message copy;
    in(copy);
    return copy;
}

static void sendMessage(ConsensusCluster& cluster, size_t from, const Message& message)
{
    auto& random = cluster.random;
    for (size_t to = 0; to < cluster.voters.size(); ++to) {
        if (cluster.voters[to]->id != message.to || cluster.blockedLinks.contains({ from, to }) || random.chance(cluster.options.loss))
            continue;
        const int copies = random.chance(cluster.options.duplicates) ? 2 : 1;
        for (int n = 0; n < copies; ++n) {
            const TimeMs at = cluster.now + TimeMs { random.between(1, cluster.options.maxDelay.value) };
            cluster.network.emplace(at, MessageInFlight { to, random.below(16) ? message : encodeAndDecode(message) });
        }
    }
}

static void collect(ConsensusCluster& cluster, size_t n)
{
    auto& voter = *cluster.voters[n];
    for (size_t group = 0; group < voter.replicas.size(); ++group) {
        ReplicaOutputs out = collectOutputs(*voter.replicas[group]);
        for (const auto& message : out.messages)
            sendMessage(cluster, n, message);
        for (const auto& outcome : out.outcomes)
            handleOutcome(cluster, n, group, outcome);
        for (const auto& record : out.log)
            ++cluster.events[record.code];
        submit(voter.queue, std::move(out.disk));
    }
    if (!startBatch(voter.queue).empty())
        voter.writeEndsAt = cluster.now + TimeMs { cluster.random.between(1, cluster.options.maxSync.value) };
}

static void completeWrite(ConsensusCluster& cluster, size_t n)
{
    auto& voter = *cluster.voters[n];
    if (voter.queue.running.empty() || voter.diskStalled || cluster.now < voter.writeEndsAt)
        return;
    std::vector<GroupId> pinning;
    const std::string error = handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(report, voter.storage->write(voter.queue.running));
            pinning = report.pinning;
            return std::string();
        },
        [](const Error& it) { return toString(it); });
    for (const auto& request : finishBatch(voter.queue))
        diskCompleted(*voter.replicas[request.group.value - 1], request.id, error.empty(), error);
    for (GroupId group : pinning)
        takeSnapshot(*voter.replicas[group.value - 1]);
}

static void deliver(ConsensusCluster& cluster)
{
    while (!cluster.network.empty() && cluster.network.begin()->first <= cluster.now) {
        const MessageInFlight it = std::move(cluster.network.begin()->second);
        cluster.network.erase(cluster.network.begin());
        auto& voter = *cluster.voters[it.to];
        if (voter.replicas.empty())
            continue;
        receive(*voter.replicas[it.message.group.value - 1], it.message, clockOf(cluster, it.to));
        collect(cluster, it.to);
    }
}

static void checkReads(ConsensusCluster& cluster, size_t n)
{
    auto& voter = *cluster.voters[n];
    for (size_t group = 0; group < voter.replicas.size(); ++group) {
        if (canRead(*voter.replicas[group], clockOf(cluster, n)) && status(*voter.replicas[group]).applied < cluster.acknowledged[group])
            recordViolation(cluster, "a lease read at voter " + std::to_string(n) + " is older than an acknowledged command");
    }
}

void runFor(ConsensusCluster& cluster, TimeMs duration)
{
    const TimeMs end = cluster.now + duration;
    while (cluster.now < end && cluster.violation.empty()) {
        cluster.now += 5_ms;
        deliver(cluster);
        for (size_t n = 0; n < cluster.voters.size(); ++n) {
            completeWrite(cluster, n);
            if (cluster.now.value % 20 == 0) {
                for (auto& replica : cluster.voters[n]->replicas)
                    tick(*replica, clockOf(cluster, n));
                checkReads(cluster, n);
            }
            collect(cluster, n);
        }
    }
}

std::optional<size_t> leaderOf(const ConsensusCluster& cluster, size_t group)
{
    std::optional<size_t> leader;
    uint64_t term = 0;
    for (size_t n = 0; n < cluster.voters.size(); ++n) {
        if (cluster.voters[n]->replicas.empty())
            continue;
        const ReplicaStatus it = status(*cluster.voters[n]->replicas[group]);
        if (it.role == Role::Leader && it.term > term) {
            leader = n;
            term = it.term;
        }
    }
    return leader;
}

std::optional<size_t> awaitLeader(ConsensusCluster& cluster, size_t group, TimeMs limit)
{
    const TimeMs end = cluster.now + limit;
    while (cluster.now < end && cluster.violation.empty()) {
        const auto leader = leaderOf(cluster, group);
        if (leader && canRead(*cluster.voters[*leader]->replicas[group], clockOf(cluster, *leader)))
            return leader;
        runFor(cluster, 20_ms);
    }
    return std::nullopt;
}

void isolate(ConsensusCluster& cluster, size_t voter)
{
    for (size_t n = 0; n < cluster.voters.size(); ++n) {
        cluster.blockedLinks.insert({ voter, n });
        cluster.blockedLinks.insert({ n, voter });
    }
}

void heal(ConsensusCluster& cluster)
{
    cluster.blockedLinks.clear();
}

static void checkVoter(ConsensusCluster& cluster, size_t n, size_t group)
{
    const auto& voter = *cluster.voters[n];
    // A voter that was removed while it was down does not know of its removal, so the leader's member list is used.
    const auto leader = leaderOf(cluster, group);
    const auto members = leader ? status(*cluster.voters[*leader]->replicas[group]).voters : std::vector<VoterId> {};
    if (std::find(members.begin(), members.end(), voter.id) == members.end())
        return;
    const auto& history = cluster.history[group];
    const auto& commands = voter.states[group].commands;
    const bool same = std::equal(commands.begin(), commands.end(), history.begin(), history.end(),
        [](const auto& a, const auto& b) { return a.first == b.first && a.second == b.second; });
    if (!same)
        recordViolation(cluster, "voter " + std::to_string(n) + " applied " + std::to_string(commands.size()) + " of " + std::to_string(history.size()) + " commands");
}

void checkFinalState(ConsensusCluster& cluster)
{
    for (const auto& it : cluster.finished) {
        const bool applied = cluster.indexOf[it.group].contains(it.command);
        if (it.outcome->status == ProposalStatus::NotApplied && applied)
            recordViolation(cluster, "command " + std::to_string(it.command) + " was applied and reported as not applied");
        if (it.outcome->status == ProposalStatus::Applied && !applied)
            recordViolation(cluster, "command " + std::to_string(it.command) + " was acknowledged and lost");
    }
    for (size_t n = 0; n < cluster.voters.size(); ++n) {
        for (size_t group = 0; group < cluster.voters[n]->replicas.size(); ++group)
            checkVoter(cluster, n, group);
    }
}

}
