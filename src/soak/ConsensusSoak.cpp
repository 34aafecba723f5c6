#include "soak/ConsensusCluster.h"
#include "soak/Soak.h"

namespace siskinshunt {

/// State of one schedule: the cluster, the injected faults and the voter whose disk was wiped, if any.
struct ConsensusSchedule {
    ConsensusCluster cluster;
    std::map<std::string, uint64_t> faults;
    VoterId lostVoter; ///< Voter whose disk was wiped and that is still a member.
    std::optional<size_t> replacement; ///< Process that is to replace it.
};

static ClusterOptions optionsOf(uint64_t seed)
{
    Random random(seed);
    return {
        .seed = seed,
        .voters = random.chance(0.7) ? size_t(3) : size_t(5),
        .groups = 1 + random.below(2),
        .snapshotEntries = static_cast<uint64_t>(random.between(5, 60)),
        .trailingEntries = random.below(20),
        .segmentBytes = static_cast<size_t>(random.between(500, 6000)),
        .snapshotPadding = random.chance(0.1) ? size_t(150000) : size_t(0),
        .loss = random.chance(0.5) ? 0.0 : 0.1 * random.uniform(),
        .duplicates = random.chance(0.5) ? 0.0 : 0.1,
        .maxDelay = { random.between(2, 60) },
        .maxSync = { random.between(2, 60) },
        .drift = true,
    };
}

static bool isUp(const ConsensusCluster& cluster, size_t n)
{
    return !cluster.voters[n]->replicas.empty();
}

static bool hasFailed(const ConsensusCluster& cluster, size_t n)
{
    for (const auto& replica : cluster.voters[n]->replicas) {
        if (!status(*replica).failure.empty())
            return true;
    }
    return false;
}

static void restart(ConsensusSchedule& schedule, size_t n)
{
    auto& cluster = schedule.cluster;
    cluster.voters[n]->disk.setFreeBytes(SIZE_MAX);
    cluster.voters[n]->disk.failSyncAfter(0);
    if (cluster.voters[n]->id == schedule.lostVoter)
        return;
    if (!startProcess(cluster, n) && cluster.violation.empty())
        cluster.violation = "restart failed: " + cluster.voters[n]->startError;
}

static void kill(ConsensusSchedule& schedule, size_t n, bool powerLoss)
{
    if (!isUp(schedule.cluster, n))
        return;
    killProcess(schedule.cluster, n, powerLoss);
    ++schedule.faults[powerLoss ? "power_loss" : "kill"];
}

static void killAll(ConsensusSchedule& schedule)
{
    for (size_t n = 0; n < schedule.cluster.voters.size(); ++n)
        kill(schedule, n, true);
    ++schedule.faults["all_killed"];
}

static void partition(ConsensusSchedule& schedule)
{
    auto& cluster = schedule.cluster;
    const size_t n = cluster.random.below(cluster.voters.size());
    if (cluster.random.chance(0.6)) {
        isolate(cluster, n);
        ++schedule.faults["isolated"];
    } else {
        cluster.blockedLinks.insert({ n, cluster.random.below(cluster.voters.size()) });
        ++schedule.faults["one_way_cut"];
    }
}

static void injectDiskFault(ConsensusSchedule& schedule, size_t n)
{
    auto& cluster = schedule.cluster;
    auto& disk = cluster.voters[n]->disk;
    const uint64_t kind = cluster.random.below(3);
    if (kind == 0)
        disk.setFreeBytes(cluster.random.below(2000));
    else if (kind == 1)
        disk.failSyncAfter(1 + static_cast<int>(cluster.random.below(5)));
    else
        cluster.voters[n]->diskStalled = true;
    ++schedule.faults[kind == 0 ? "disk_full" : kind == 1 ? "sync_failure"
                                                          : "disk_hang"];
}

static Members membersOf(const ConsensusCluster& cluster, size_t voter, size_t group)
{
    const auto it = status(*cluster.voters[voter]->replicas[group]);
    return { it.voters, it.learners };
}

/// Wipes a disk, so that the process restarts as a new voter, which has to be added to the groups. Only one voter is
/// wiped at a time: losing a second one before the first is replaced can lose the quorum permanently.
static void wipeDisk(ConsensusSchedule& schedule, size_t n)
{
    auto& cluster = schedule.cluster;
    if (schedule.lostVoter)
        return;
    // A voter that was removed while it was down does not know of its removal, so the leader's member list is used.
    for (size_t group = 0; group < cluster.options.groups; ++group) {
        const auto leader = leaderOf(cluster, group);
        if (!leader || !isVoter(membersOf(cluster, *leader, group), cluster.voters[n]->id))
            return;
    }
    if (isUp(cluster, n))
        killProcess(cluster, n, true);
    schedule.lostVoter = cluster.voters[n]->id;
    schedule.replacement = addProcess(cluster);
    startProcess(cluster, *schedule.replacement);
    ++schedule.faults["emptied_disk"];
}

/// Proposes the next step of replacing the lost voter in the group. Returns true when the replacement is complete.
static bool repairGroup(ConsensusSchedule& schedule, size_t group)
{
    auto& cluster = schedule.cluster;
    const auto leader = leaderOf(cluster, group);
    if (!leader)
        return false;
    const Members it = membersOf(cluster, *leader, group);
    const VoterId replacementId = cluster.voters[*schedule.replacement]->id;
    if (isVoter(it, replacementId) && !isVoter(it, schedule.lostVoter))
        return canRead(*cluster.voters[*leader]->replicas[group], clockOf(cluster, *leader));
    if (isVoter(it, replacementId))
        changeMembersAt(cluster, *leader, group, MemberChange::Remove, schedule.lostVoter);
    else if (isLearner(it, replacementId))
        changeMembersAt(cluster, *leader, group, MemberChange::Promote, replacementId);
    else
        changeMembersAt(cluster, *leader, group, MemberChange::AddLearner, replacementId);
    return false;
}

static void repair(ConsensusSchedule& schedule)
{
    if (!schedule.lostVoter)
        return;
    bool done = true;
    for (size_t group = 0; group < schedule.cluster.options.groups; ++group)
        done = repairGroup(schedule, group) && done;
    if (!done)
        return;
    schedule.lostVoter = {};
    schedule.replacement.reset();
    ++schedule.faults["voter_replaced"];
}

static void injectFault(ConsensusSchedule& schedule)
{
    auto& cluster = schedule.cluster;
    auto& random = cluster.random;
    const size_t n = random.below(cluster.voters.size());
    const auto leader = leaderOf(cluster, random.below(cluster.options.groups));
    switch (random.below(10)) {
    case 0:
    case 1:
        kill(schedule, leader.value_or(n), random.chance(0.5));
        break;
    case 2:
    case 3:
        kill(schedule, n, random.chance(0.5));
        break;
    case 4:
    case 5:
        partition(schedule);
        break;
    case 6:
        injectDiskFault(schedule, n);
        break;
    case 7:
        wipeDisk(schedule, n);
        break;
    case 8:
        if (leader && transferLeadership(*cluster.voters[*leader]->replicas[0]))
            ++schedule.faults["transfer"];
        break;
    default:
        if (random.chance(0.2))
            killAll(schedule);
    }
}

static void recoverSome(ConsensusSchedule& schedule, double chance)
{
    auto& cluster = schedule.cluster;
    for (size_t n = 0; n < cluster.voters.size(); ++n) {
        if (!cluster.random.chance(chance))
            continue;
        cluster.voters[n]->diskStalled = false;
        if (hasFailed(cluster, n))
            killProcess(cluster, n, false);
        if (!isUp(cluster, n))
            restart(schedule, n);
    }
    if (cluster.random.chance(chance))
        heal(cluster);
}

static void proposeSome(ConsensusSchedule& schedule)
{
    auto& cluster = schedule.cluster;
    for (uint64_t k = cluster.random.below(4); k; --k) {
        const size_t group = cluster.random.below(cluster.options.groups);
        const auto leader = leaderOf(cluster, group);
        const size_t n = leader && cluster.random.chance(0.9) ? *leader : cluster.random.below(cluster.voters.size());
        if (isUp(cluster, n))
            proposeAt(cluster, n, group, 8 + cluster.random.below(200));
    }
}

static void finish(ConsensusSchedule& schedule)
{
    auto& cluster = schedule.cluster;
    cluster.options.loss = 0;
    for (auto& voter : cluster.voters) {
        voter->disk.setFreeBytes(SIZE_MAX);
        voter->disk.failSyncAfter(0);
    }
    recoverSome(schedule, 1);
    for (int n = 0; n < 200 && schedule.lostVoter; ++n) {
        repair(schedule);
        runFor(cluster, 100_ms);
    }
    if (schedule.lostVoter && cluster.violation.empty())
        cluster.violation = "the lost voter could not be replaced";
    for (size_t group = 0; group < cluster.options.groups; ++group) {
        const auto leader = awaitLeader(cluster, group, 10_s);
        if (!leader && cluster.violation.empty())
            cluster.violation = "no leader within 10 s after the last fault";
        if (leader)
            proposeAt(cluster, *leader, group);
    }
    runFor(cluster, 5_s);
    checkFinalState(cluster);
    if (cluster.events.contains("disk_lost_data") && cluster.violation.empty())
        cluster.violation = "a voter stopped for lost data though its disk kept everything";
}

static SoakResult runConsensusSchedule(uint64_t seed)
{
    ConsensusSchedule schedule { .cluster = makeCluster(optionsOf(seed)), .faults = {}, .lostVoter = {}, .replacement = {} };
    auto& cluster = schedule.cluster;
    bootstrapGroups(cluster);
    // Before the first commit only the bootstrapping voter's disk holds the group, so wiping that disk would lose it.
    for (size_t group = 0; group < cluster.options.groups; ++group)
        awaitLeader(cluster, group, 10_s);
    for (int round = 0; round < 100 && cluster.violation.empty(); ++round) {
        proposeSome(schedule);
        if (cluster.random.chance(0.1))
            injectFault(schedule);
        recoverSome(schedule, 0.05);
        if (cluster.random.chance(0.5))
            repair(schedule);
        runFor(cluster, TimeMs { cluster.random.between(5, 150) });
    }
    finish(schedule);
    for (const auto& [code, n] : cluster.events)
        schedule.faults["log." + code] += n;
    for (const auto& it : cluster.finished)
        ++schedule.faults["outcome." + std::string(nameOf(it.outcome->status))];
    return { .faults = schedule.faults, .violation = cluster.violation };
}

static const SoakRegistration s_registration("consensus", runConsensusSchedule);

}
