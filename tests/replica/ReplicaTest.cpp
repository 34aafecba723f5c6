#include "soak/ConsensusCluster.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static void foundAndAwaitLeader(ConsensusCluster& cluster)
{
    bootstrapGroups(cluster);
    BOOST_REQUIRE(awaitLeader(cluster, 0, 3_s).has_value());
}

static ReplicaStatus statusOf(const ConsensusCluster& cluster, size_t voter)
{
    return status(*cluster.voters[voter]->replicas[0]);
}

static size_t findFollower(const ConsensusCluster& cluster)
{
    return *leaderOf(cluster, 0) ? 0 : 1;
}

/// Proposes commands at the leader and runs the cluster until they are committed.
static void commitCommands(ConsensusCluster& cluster, int n, size_t bytes = 16)
{
    const auto leader = awaitLeader(cluster, 0, 5_s);
    BOOST_REQUIRE(leader.has_value());
    for (int k = 0; k < n; ++k)
        proposeAt(cluster, *leader, 0, bytes);
    runFor(cluster, 500_ms);
    BOOST_TEST((cluster.finished.back().outcome->status == ProposalStatus::Applied));
}

static void changeMember(ConsensusCluster& cluster, MemberChange kind, VoterId id)
{
    const auto leader = awaitLeader(cluster, 0, 5_s);
    BOOST_REQUIRE(leader.has_value());
    changeMembersAt(cluster, *leader, 0, kind, id);
    runFor(cluster, 1_s);
}

static void expectConsistentEnd(ConsensusCluster& cluster)
{
    runFor(cluster, 3_s);
    checkFinalState(cluster);
    BOOST_TEST(cluster.violation == "");
}

// Guards against elections that interrupt commits for more than 2 s.
BOOST_AUTO_TEST_CASE(killedLeaderIsReplacedWithinTwoSeconds)
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        ConsensusCluster cluster = makeCluster({ .seed = seed });
        foundAndAwaitLeader(cluster);
        commitCommands(cluster, 3);
        const TimeMs killed = cluster.now;
        killProcess(cluster, *leaderOf(cluster, 0), false);
        BOOST_REQUIRE(awaitLeader(cluster, 0, 5_s).has_value());
        BOOST_TEST((cluster.now - killed).value < 2000, "seed " << seed << " took " << (cluster.now - killed).value << " ms");
    }
}

// Guards against a voter that returns from a partition with a higher term and deposes a working leader.
BOOST_AUTO_TEST_CASE(returningVoterDoesNotDisturbTheLeader)
{
    ConsensusCluster cluster = makeCluster({ .seed = 2 });
    foundAndAwaitLeader(cluster);
    const size_t leader = *leaderOf(cluster, 0);
    const uint64_t term = statusOf(cluster, leader).term;
    isolate(cluster, findFollower(cluster));
    runFor(cluster, 10_s);
    BOOST_TEST(statusOf(cluster, findFollower(cluster)).term == term);
    heal(cluster);
    runFor(cluster, 3_s);
    BOOST_TEST(*leaderOf(cluster, 0) == leader);
    BOOST_TEST(statusOf(cluster, leader).term == term);
    expectConsistentEnd(cluster);
}

// Guards against an isolated leader that still accepts proposals or answers reads.
BOOST_AUTO_TEST_CASE(isolatedLeaderStepsDown)
{
    ConsensusCluster cluster = makeCluster({ .seed = 3 });
    foundAndAwaitLeader(cluster);
    const size_t old = *leaderOf(cluster, 0);
    isolate(cluster, old);
    const uint64_t proposedBefore = proposeAt(cluster, old, 0);
    runFor(cluster, 600_ms);
    BOOST_TEST((statusOf(cluster, old).role != Role::Leader));
    const uint64_t proposedAfter = proposeAt(cluster, old, 0);
    commitCommands(cluster, 5);
    heal(cluster);
    expectConsistentEnd(cluster);
    for (const auto& it : cluster.finished) {
        if (it.command == proposedBefore || it.command == proposedAfter)
            BOOST_TEST((it.outcome->status == ProposalStatus::NotApplied));
    }
    BOOST_TEST(!cluster.indexOf[0].contains(proposedBefore));
}

// Guards against a voter that keeps voting after its disk failed, and against its stop affecting the group.
BOOST_AUTO_TEST_CASE(diskFailureStopsTheVoterOnly)
{
    for (bool full : { true, false }) {
        ConsensusCluster cluster = makeCluster({ .seed = 4 });
        foundAndAwaitLeader(cluster);
        const size_t broken = *leaderOf(cluster, 0);
        if (full)
            cluster.voters[broken]->disk.setFreeBytes(100);
        else
            cluster.voters[broken]->disk.failSyncAfter(1);
        for (int n = 0; n < 5; ++n)
            proposeAt(cluster, broken, 0, 100);
        runFor(cluster, 2_s);
        const std::string failure = statusOf(cluster, broken).failure;
        BOOST_TEST(failure.find("this voter has stopped because a disk write failed: ") == 0);
        BOOST_TEST(failure.find(full ? "No space left" : "Input/output error") != std::string::npos);
        commitCommands(cluster, 5);
        killProcess(cluster, broken, true);
        cluster.voters[broken]->disk.setFreeBytes(SIZE_MAX);
        BOOST_TEST(startProcess(cluster, broken));
        expectConsistentEnd(cluster);
    }
}

// Guards against a voter that serves a damaged log, and against a group that does not survive the replacement of that voter.
BOOST_AUTO_TEST_CASE(corruptVoterDoesNotStartAndIsReplaced)
{
    ConsensusCluster cluster = makeCluster({ .seed = 5, .snapshotEntries = 1000 });
    foundAndAwaitLeader(cluster);
    commitCommands(cluster, 10);
    const size_t broken = findFollower(cluster);
    killProcess(cluster, broken, false);
    cluster.voters[broken]->disk.corrupt("log-000000000001", 50);
    BOOST_TEST(!startProcess(cluster, broken));
    BOOST_TEST(cluster.voters[broken]->startError.find("the log is damaged at byte 0; this voter must be replaced") != std::string::npos);
    const size_t fresh = addProcess(cluster);
    BOOST_REQUIRE(startProcess(cluster, fresh));
    changeMember(cluster, MemberChange::AddLearner, cluster.voters[fresh]->id);
    changeMember(cluster, MemberChange::Promote, cluster.voters[fresh]->id);
    changeMember(cluster, MemberChange::Remove, cluster.voters[broken]->id);
    BOOST_TEST(statusOf(cluster, *leaderOf(cluster, 0)).voters.size() == 3);
    expectConsistentEnd(cluster);
}

// Guards against a process with an emptied disk that acts under the old identity of its voter or bootstraps the group again.
BOOST_AUTO_TEST_CASE(emptiedDiskIsANewVoter)
{
    ConsensusCluster cluster = makeCluster({ .seed = 6 });
    foundAndAwaitLeader(cluster);
    const auto ids = statusOf(cluster, 0).voters;
    const size_t fresh = addProcess(cluster);
    BOOST_REQUIRE(startProcess(cluster, fresh));
    auto& replica = *cluster.voters[fresh]->replicas[0];
    BOOST_TEST(!bootstrap(replica, ids));
    Message vote { .cluster = 77, .group = { 1 }, .from = ids[0], .to = ids[1], .kind = MessageKind::Vote, .term = 9 };
    receive(replica, vote, 50000_ms);
    BOOST_TEST(status(replica).droppedMessages == 1);
    BOOST_TEST(status(replica).term == 0);
    runFor(cluster, 5_s);
    BOOST_TEST((status(replica).role == Role::Follower));
    BOOST_TEST(status(replica).term == 0);
    BOOST_TEST(!bootstrap(*cluster.voters[0]->replicas[0], ids));
}

// Guards against a voter that continues without entries it has acknowledged, when its files are lost but not its identity.
BOOST_AUTO_TEST_CASE(emptiedDiskUnderTheOldIdentityStops)
{
    ConsensusCluster cluster = makeCluster({ .seed = 7 });
    foundAndAwaitLeader(cluster);
    commitCommands(cluster, 10);
    const size_t emptied = findFollower(cluster);
    killProcess(cluster, emptied, true);
    cluster.voters[emptied]->disk = {};
    BOOST_REQUIRE(startProcess(cluster, emptied));
    runFor(cluster, 300_ms);
    BOOST_TEST(statusOf(cluster, emptied).failure.find("its disk lost data, so it must be replaced") != std::string::npos);
    BOOST_TEST(cluster.events["disk_lost_data"] == 1);
    commitCommands(cluster, 5);
    BOOST_TEST(cluster.violation == "");
}

// Guards against a replacement after which the group is lost if another voter restarts during it or fails right after it.
BOOST_AUTO_TEST_CASE(replacementSurvivesARestartAndASecondLoss)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        ConsensusCluster cluster = makeCluster({ .seed = seed });
        foundAndAwaitLeader(cluster);
        commitCommands(cluster, 30);
        const size_t lost = findFollower(cluster);
        killProcess(cluster, lost, true);
        const size_t fresh = addProcess(cluster);
        BOOST_REQUIRE(startProcess(cluster, fresh));
        changeMember(cluster, MemberChange::AddLearner, cluster.voters[fresh]->id);
        const size_t restarted = *leaderOf(cluster, 0);
        killProcess(cluster, restarted, true);
        runFor(cluster, 1_s);
        BOOST_REQUIRE(startProcess(cluster, restarted));
        changeMember(cluster, MemberChange::Promote, cluster.voters[fresh]->id);
        changeMember(cluster, MemberChange::Remove, cluster.voters[lost]->id);
        BOOST_TEST(statusOf(cluster, *awaitLeader(cluster, 0, 3_s)).voters.size() == 3);
        killProcess(cluster, *leaderOf(cluster, 0), true);
        commitCommands(cluster, 5);
        expectConsistentEnd(cluster);
    }
}

// Guards against a removal that leaves fewer running voters than a quorum.
BOOST_AUTO_TEST_CASE(removalThatWouldLoseTheQuorumIsRejected)
{
    ConsensusCluster cluster = makeCluster({ .seed = 8 });
    foundAndAwaitLeader(cluster);
    const size_t dead = findFollower(cluster);
    const size_t leader = *leaderOf(cluster, 0);
    killProcess(cluster, dead, true);
    runFor(cluster, 1_s);
    const VoterId other = cluster.voters[3 - dead - leader]->id;
    changeMember(cluster, MemberChange::Remove, other);
    BOOST_TEST(statusOf(cluster, leader).voters.size() == 3);
}

// Guards against the loss of acknowledged commands in a power failure of all voters at once.
BOOST_AUTO_TEST_CASE(allVotersKilledAtOnceKeepEverything)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        ConsensusCluster cluster = makeCluster({ .seed = seed, .groups = 2 });
        foundAndAwaitLeader(cluster);
        commitCommands(cluster, 50);
        for (int n = 0; n < 20; ++n)
            proposeAt(cluster, *leaderOf(cluster, 0), 0, 300);
        runFor(cluster, 10_ms);
        for (size_t n = 0; n < 3; ++n)
            killProcess(cluster, n, true);
        for (size_t n = 0; n < 3; ++n)
            BOOST_REQUIRE(startProcess(cluster, n));
        commitCommands(cluster, 1);
        BOOST_TEST(cluster.history[0].size() >= 51);
        expectConsistentEnd(cluster);
    }
}

// Guards against a learner that cannot catch up because the entries were compacted, and against a snapshot sent in one
// oversized message.
BOOST_AUTO_TEST_CASE(laggingLearnerGetsASnapshotInPieces)
{
    ConsensusCluster cluster = makeCluster({ .seed = 9, .snapshotPadding = 200000, .loss = 0.02 });
    foundAndAwaitLeader(cluster);
    commitCommands(cluster, 100);
    const size_t learner = addProcess(cluster);
    BOOST_REQUIRE(startProcess(cluster, learner));
    changeMember(cluster, MemberChange::AddLearner, cluster.voters[learner]->id);
    runFor(cluster, 5_s);
    BOOST_TEST(cluster.events["snapshot_installed"] >= 1);
    BOOST_TEST(cluster.voters[learner]->states[0].commands.size() == 100);
    const auto leader = statusOf(cluster, *leaderOf(cluster, 0));
    BOOST_REQUIRE(leader.learners.size() == 1);
    for (const auto& it : leader.members)
        BOOST_TEST(it.lag == 0, "voter " << it.voter.value << " lags by " << it.lag);
    killProcess(cluster, learner, true);
    BOOST_REQUIRE(startProcess(cluster, learner));
    BOOST_TEST(cluster.voters[learner]->states[0].commands.size() > 0);
    expectConsistentEnd(cluster);
}

// Guards against a snapshot of another cluster that reaches this voter through a wrong address.
BOOST_AUTO_TEST_CASE(snapshotOfAnotherClusterIsRejected)
{
    ConsensusCluster cluster = makeCluster({ .seed = 10 });
    foundAndAwaitLeader(cluster);
    const size_t victim = findFollower(cluster);
    auto& replica = *cluster.voters[victim]->replicas[0];
    Message message { .cluster = 78, .group = { 1 }, .from = { 1 }, .to = cluster.voters[victim]->id, .kind = MessageKind::SnapshotPiece, .term = 99 };
    message.piece.meta.index = 1000;
    receive(replica, message, clockOf(cluster, victim));
    BOOST_TEST(status(replica).droppedMessages == 1);
    BOOST_TEST(status(replica).term < 99);
    expectConsistentEnd(cluster);
}

// Guards against a shutdown after which the group has to wait for an election timeout.
BOOST_AUTO_TEST_CASE(leadershipIsTransferredWithoutDelay)
{
    ConsensusCluster cluster = makeCluster({ .seed = 11 });
    foundAndAwaitLeader(cluster);
    commitCommands(cluster, 10);
    const size_t old = *leaderOf(cluster, 0);
    BOOST_REQUIRE(transferLeadership(*cluster.voters[old]->replicas[0]));
    const TimeMs start = cluster.now;
    runFor(cluster, 5_ms);
    while (leaderOf(cluster, 0).value_or(old) == old && cluster.now - start < 1_s)
        runFor(cluster, 5_ms);
    BOOST_TEST((cluster.now - start).value < 200);
    expectConsistentEnd(cluster);
}

// Guards against a rejection that does not name the leader, or names the wrong one.
BOOST_AUTO_TEST_CASE(followerRejectsAndNamesTheLeader)
{
    ConsensusCluster cluster = makeCluster({ .seed = 12 });
    foundAndAwaitLeader(cluster);
    const size_t leader = *leaderOf(cluster, 0);
    proposeAt(cluster, findFollower(cluster), 0);
    runFor(cluster, 20_ms);
    BOOST_REQUIRE(cluster.finished.size() == 1);
    BOOST_TEST((cluster.finished[0].outcome->status == ProposalStatus::NotApplied));
    BOOST_TEST((cluster.finished[0].outcome->leader == cluster.voters[leader]->id));
}

// Guards against one write per command: commands proposed during a write have to be batched in the next one.
BOOST_AUTO_TEST_CASE(proposalsAreBatchedDuringAWrite)
{
    ConsensusCluster cluster = makeCluster({ .seed = 13, .snapshotEntries = 10000, .segmentBytes = 1 << 20 });
    foundAndAwaitLeader(cluster);
    commitCommands(cluster, 1);
    const auto& disk = cluster.voters[*leaderOf(cluster, 0)]->disk;
    const uint64_t before = disk.syncs();
    commitCommands(cluster, 500);
    BOOST_TEST(cluster.acknowledged[0] >= 501);
    BOOST_TEST(disk.syncs() - before <= 10);
}
