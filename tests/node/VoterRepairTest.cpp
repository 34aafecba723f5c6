#include "FleetFixture.h"

#include "node/Groups.h"

namespace siskinshunt {

/// Time that a machine is down when it loses its disk, or until a successor starts in place of one that is gone.
static constexpr TimeMs downTime { 1000 };
/// Shortest time after which the next machine may be lost, on any deployment; counted from the return of the last one.
static constexpr TimeMs catchUpBound { 4000 };

/// As in deploy/node.json.tmpl.
static constexpr TimeMs deployedMissingTimeout { 1000 };
/// 1 Gbit/s.
static constexpr double linkBytesPerMs = 125000;

namespace {

    // A fleet whose nodes all have a data folder. Operators change the rules between losses.
    struct RepairFleet {
        explicit RepairFleet(int nodes, int voters, uint64_t seed = 1, TimeMs missingTimeout = 30_s, bool voterIdsNameNodes = true)
            : fleet({ .nodes = nodes, .voters = voters, .disks = nodes, .seed = seed, .ledgerGroups = 1, .targetVoters = static_cast<uint32_t>(voters), .missingVoterTimeout = missingTimeout, .voterIdsNameNodes = voterIdsNameNodes, .diskNodeBytesPerMs = linkBytesPerMs })
        {
            BOOST_REQUIRE(fleet.startCluster());
            fleet.runFor(2_s);
        }

        size_t anyRunning()
        {
            size_t n = fleet.random.below(fleet.nodes.size());
            while (!fleet.nodes[n].node || fleet.nodes[n].frozen)
                n = (n + 1) % fleet.nodes.size();
            return n;
        }

        // Whether a change of the rules is acknowledged within the time.
        bool applyRules(TimeMs limit)
        {
            const auto text = "change " + std::to_string(++changes);
            const auto call = fleet.apply(anyRunning(), "apply-" + std::to_string(changes), acknowledged, NodeFleet::rulesText(text) + moreRules, "omar");
            fleet.runUntil([&] { return fleet.caller(call).done; }, limit);
            acknowledged += fleet.caller(call).status == 200;
            return fleet.caller(call).status == 200;
        }

        // A running node whose voter belongs to the decision group; the leader, if asked for.
        size_t voterNode(bool leader)
        {
            const size_t leading = fleet.decisionLeader();
            size_t n = anyRunning();
            if (leading == fleet.nodes.size())
                return n;
            if (leader)
                return leading;
            while (!fleet.nodes[n].node || n == leading || !isMember(n))
                n = (n + 1) % fleet.nodes.size();
            return n;
        }

        std::vector<VoterId> votersOf(GroupId group)
        {
            const size_t leader = fleet.decisionLeader();
            return leader < fleet.nodes.size() ? status(*fleet.nodes[leader].node->groups.at(group).replica).voters : std::vector<VoterId> {};
        }

        bool isMember(size_t n)
        {
            const auto voters = votersOf(decisionGroup);
            return std::find(voters.begin(), voters.end(), fleet.nodes[n].voter) != voters.end();
        }

        void checkServes()
        {
            BOOST_CHECK(applyRules(10_s));
            BOOST_CHECK(fleet.runUntil([&] { return fleet.agreeOnRevision(acknowledged); }, 10_s));
            BOOST_CHECK(fleet.runUntil([&] { return fleet.hasAllVoters(); }, 10_s));
            checkFleet(fleet);
        }

        NodeFleet fleet;
        uint64_t acknowledged = 1; ///< Rules revision.
        int changes = 1;
        std::string moreRules; ///< In each change.
    };

    // As many forwarding rules as a configuration of the largest deployment has.
    std::string manyRoutes()
    {
        std::string out = "backend desk health=/health connections=100 # omar: many routes\n";
        Random random(7);
        for (int n = 0; n < 4200; ++n) {
            const std::string name = std::to_string(random.below(1000000000)) + "-" + std::to_string(n);
            out.append("forward r-").append(name).append(" host=desk.example prefix=/").append(name).append("/ kind=stream timeout=3000ms target=500ms gap=250ms priority=0 attempts=1 anonymous=no affinity=yes resume=no to=desk:1 # omar: many routes\n");
        }
        return out;
    }

    void setCut(NodeFleet& fleet, size_t n, bool isCut)
    {
        for (size_t other = 0; other < fleet.nodes.size(); ++other)
            fleet.blockedLinks[n][other] = fleet.blockedLinks[other][n] = isCut;
    }

    // Loses the disk of a machine that is back after `downTime`, and lets the group have `catchUpBound` after it.
    void loseDiskOnce(RepairFleet& it, size_t n)
    {
        it.applyRules(1_s);
        it.fleet.loseDisk(n);
        it.fleet.runFor(downTime);
        it.fleet.start(n);
        it.fleet.runFor(catchUpBound);
    }

}

BOOST_AUTO_TEST_SUITE(VoterRepairs)

// Guards against voters that stay in their group after their disk is lost: with the next losses, the group had no majority for good.
BOOST_AUTO_TEST_CASE(disksLostInSeries)
{
    for (const int voters : { 3, 5 }) {
        for (uint64_t seed = 1; seed <= 3; ++seed) {
            BOOST_TEST_CONTEXT("voters " << voters << ", seed " << seed)
            {
                RepairFleet it(voters, voters, seed);
                for (int n = 0; n < 10; ++n)
                    loseDiskOnce(it, it.voterNode(it.fleet.random.chance(0.5)));
                it.checkServes();
            }
        }
    }
}

// Guards against repairs that begin anew with each leader.
BOOST_AUTO_TEST_CASE(diskOfTheLeaderLostInSeries)
{
    for (const int voters : { 3, 5 }) {
        RepairFleet it(voters, voters);
        for (int n = 0; n < 8; ++n)
            loseDiskOnce(it, it.voterNode(true));
        it.checkServes();
    }
}

// Guards against a repair that takes too long when the leader changes meanwhile.
BOOST_AUTO_TEST_CASE(leaderRestartsWhileADiskIsReplaced)
{
    for (const int voters : { 3, 5 }) {
        for (uint64_t seed = 1; seed <= 3; ++seed) {
            RepairFleet it(voters, voters, seed);
            for (int n = 0; n < 6; ++n) {
                const size_t lost = it.voterNode(false);
                it.fleet.loseDisk(lost);
                it.fleet.runFor(downTime);
                it.fleet.start(lost);
                it.fleet.runFor(TimeMs { it.fleet.random.between(0, 1500) });
                const size_t leader = it.fleet.decisionLeader();
                if (leader < it.fleet.nodes.size()) {
                    it.fleet.kill(leader, false);
                    it.fleet.runFor(300_ms);
                    it.fleet.start(leader);
                }
                it.fleet.runFor(catchUpBound);
            }
            it.checkServes();
        }
    }
}

// Guards against a repair that does not bring large snapshots to a voter before the next loss.
BOOST_AUTO_TEST_CASE(disksLostInSeriesWithManyRoutes)
{
    for (const int voters : { 3, 5 }) {
        RepairFleet it(voters, voters);
        it.moreRules = manyRoutes();
        for (int n = 0; n < 5; ++n)
            loseDiskOnce(it, it.voterNode(n % 2 == 0));
        BOOST_CHECK_EQUAL(it.acknowledged, 6U);
        it.checkServes();
    }
}

// Guards against a repair that needs the voters on the other side of a split.
BOOST_AUTO_TEST_CASE(disksLostInSeriesBesideSplits)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        RepairFleet it(5, 5, seed, deployedMissingTimeout);
        for (int n = 0; n < 8; ++n) {
            const size_t lost = it.voterNode(n % 2 == 0);
            size_t cut = it.voterNode(false);
            while (cut == lost)
                cut = it.voterNode(false);
            it.applyRules(1_s);
            setCut(it.fleet, cut, true);
            it.fleet.runFor(TimeMs { it.fleet.random.between(0, 1500) });
            it.fleet.loseDisk(lost);
            it.fleet.runFor(downTime);
            it.fleet.start(lost);
            it.fleet.runFor(TimeMs { it.fleet.random.between(0, 2500) });
            setCut(it.fleet, cut, false);
            it.fleet.runFor(catchUpBound);
        }
        it.checkServes();
    }
}

// Guards against waiting for as many losses as a larger group has to bear.
BOOST_AUTO_TEST_CASE(twoDisksAtOnceInSeries)
{
    RepairFleet it(9, 5);
    for (int n = 0; n < 6; ++n) {
        const size_t first = it.voterNode(n % 2 == 0);
        it.fleet.loseDisk(first);
        const size_t second = it.voterNode(false);
        it.fleet.loseDisk(second);
        it.fleet.runFor(downTime);
        it.fleet.start(first);
        it.fleet.start(second);
        it.fleet.runFor(catchUpBound);
    }
    it.checkServes();
}

// Guards against machines that leave for good faster than their voters are replaced by those of their successors.
BOOST_AUTO_TEST_CASE(machinesReplacedInSeries)
{
    RepairFleet it(11, 5, 1, deployedMissingTimeout);
    for (size_t n = 5; n < 11; ++n)
        it.fleet.kill(n, false);
    it.fleet.runFor(10_s);
    for (size_t successor = 5; successor < 11; ++successor) {
        it.applyRules(1_s);
        it.fleet.kill(it.voterNode(successor % 2 == 0), true);
        it.fleet.runFor(downTime);
        it.fleet.loseDisk(successor);
        // The platform writes the settings at the start, with seeds that are listed then.
        it.fleet.nodes[successor].settings.seeds = { it.fleet.nodes[it.anyRunning()].settings.peer };
        it.fleet.start(successor);
        it.fleet.runFor(catchUpBound);
    }
    it.checkServes();
}

// Guards against a group that loses a voter which still holds what was acknowledged, because its machine stands still.
BOOST_AUTO_TEST_CASE(frozenVoterWithoutSpareStays)
{
    RepairFleet it(5, 5, 1, deployedMissingTimeout);
    const size_t frozen = it.voterNode(false);
    const auto before = it.votersOf(decisionGroup);
    it.fleet.freeze(frozen);
    it.fleet.runFor(10_s);
    BOOST_TEST((it.votersOf(decisionGroup) == before));
    it.fleet.thaw(frozen);
    it.checkServes();
}

// Guards against a voter that is removed because another process has its name for a moment, while it still answers.
BOOST_AUTO_TEST_CASE(voterThatAnswersStays)
{
    RepairFleet it(5, 5);
    const size_t leader = it.fleet.decisionLeader();
    const size_t other = it.voterNode(false);
    auto record = ownRecord(it.fleet.nodes[other].node->membership);
    const VoterId voter = record.status.voter;
    record.status.incarnation = firstIncarnation(it.fleet.now);
    record.status.voter = makeVoterId(record.status.id, 4711);
    auto& node = *it.fleet.nodes[leader].node;
    learnMembers(node.membership, it.fleet.now, { record }, node.membershipOutputs);
    BOOST_TEST(!nodeOfVoter(node, voter));
    it.fleet.runFor(400_ms);
    const auto voters = it.votersOf(decisionGroup);
    BOOST_TEST((std::find(voters.begin(), voters.end(), voter) != voters.end()));
}

// Guards against a leader that falls silent towards a voter, and so loses its lease, because datagrams between them are lost.
BOOST_AUTO_TEST_CASE(suspectedVoterGetsMessages)
{
    RepairFleet it(3, 3);
    const size_t leader = it.fleet.decisionLeader();
    const uint64_t epoch = it.fleet.nodes[leader].node->decisionLog.epoch;
    it.fleet.loss = 1;
    it.fleet.runFor(3_s);
    it.fleet.loss = 0;
    it.fleet.runFor(2_s);
    BOOST_TEST(it.fleet.decisionLeader() == leader);
    BOOST_TEST(it.fleet.nodes[leader].node->decisionLog.epoch == epoch);
}

// Guards against a repair that waits for a learner whose disk takes no bytes, while another spare is there.
BOOST_AUTO_TEST_CASE(learnerWithAFullDiskIsGivenUp)
{
    RepairFleet it(5, 3, 1, deployedMissingTimeout);
    std::vector<size_t> spares;
    for (size_t n = 0; n < 5; ++n) {
        if (!it.isMember(n))
            spares.push_back(n);
    }
    BOOST_REQUIRE(spares.size() == 2);
    for (const size_t n : spares)
        it.fleet.nodes[n].disk->setFreeBytes(0);
    it.fleet.kill(it.voterNode(false), true);
    std::vector<VoterId> learners;
    const auto hasLearner = [&] {
        learners = status(*it.fleet.nodes[it.fleet.decisionLeader()].node->groups.at(decisionGroup).replica).learners;
        return !learners.empty();
    };
    BOOST_REQUIRE(it.fleet.runUntil(hasLearner, 10_s));
    const size_t other = it.fleet.nodes[spares[0]].voter == learners.front() ? spares[1] : spares[0];
    it.fleet.nodes[other].disk->setFreeBytes(SIZE_MAX);
    BOOST_CHECK(it.fleet.runUntil([&] { return it.isMember(other) && it.fleet.hasAllVoters(); }, 20_s));
}

// Guards against data folders of earlier builds, whose voter ids say nothing of the node.
BOOST_AUTO_TEST_CASE(voterOfAnEarlierBuildIsReplaced)
{
    RepairFleet it(5, 5, 1, deployedMissingTimeout, false);
    loseDiskOnce(it, it.voterNode(false));
    it.fleet.runFor(4_s);
    it.checkServes();
}

// Guards against a group that has lost its majority for good and does not say so.
BOOST_AUTO_TEST_CASE(lostMajorityIsReported)
{
    RepairFleet it(3, 3);
    for (const size_t n : { size_t { 0 }, size_t { 1 } }) {
        it.fleet.loseDisk(n);
        it.fleet.start(n);
    }
    it.fleet.runFor(20_s);
    const auto status = it.fleet.adminGet(2, "/admin/status");
    BOOST_TEST(status.find(R"("majority_alive":false)") != std::string::npos, status);
    const auto metrics = it.fleet.adminGet(2, "/metrics");
    BOOST_TEST(metrics.find("siskinshunt_group_majority_alive{group=\"1\"} 0") != std::string::npos, metrics.substr(0, 2000));
}

BOOST_AUTO_TEST_SUITE_END()

}
