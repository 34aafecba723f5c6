#include "FleetFixture.h"
#include "node/NodeState.h"

#include <algorithm>

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(Control)

// Guards against concurrent operators that are both told that their rules were applied.
BOOST_AUTO_TEST_CASE(RacingOperators)
{
    const auto fleet = makeFleet();
    const auto omar = fleet->apply(0, "omar-1", 1, NodeFleet::rulesText("of omar"), "omar");
    const auto sana = fleet->apply(3, "sana-1", 1, NodeFleet::rulesText("of sana"), "sana");
    BOOST_REQUIRE(waitFor(*fleet, omar, 6_s) && waitFor(*fleet, sana, 6_s));
    const bool omarWon = fleet->caller(omar).status == 200;
    const auto& winner = fleet->caller(omarWon ? omar : sana);
    const auto& loser = fleet->caller(omarWon ? sana : omar);
    BOOST_CHECK_EQUAL(winner.status, 200);
    BOOST_CHECK_EQUAL(loser.status, 409);
    BOOST_CHECK_EQUAL(NodeFleet::member(loser, "winner"), omarWon ? "omar" : "sana");
    BOOST_CHECK(fleet->runUntil([&] { return fleet->agreeOnRevision(2); }, 5_s));
    checkFleet(*fleet);
}

// Guards against a second revision when an operator resends a request after a lost response, also when other operators
// applied rules in the meantime.
BOOST_AUTO_TEST_CASE(ResentApplyGetsTheSameAnswer)
{
    const auto fleet = makeFleet();
    const auto first = fleet->apply(0, "again", 1, NodeFleet::rulesText("again"), "omar");
    BOOST_REQUIRE(waitFor(*fleet, first, 6_s));
    const auto next = fleet->apply(1, "next", 2, NodeFleet::rulesText("next"), "sana");
    BOOST_REQUIRE(waitFor(*fleet, next, 6_s));
    const auto resent = fleet->apply(3, "again", 1, NodeFleet::rulesText("again"), "omar");
    BOOST_REQUIRE(waitFor(*fleet, resent, 6_s));
    BOOST_CHECK_EQUAL(fleet->caller(resent).status, 200);
    BOOST_CHECK_EQUAL(fleet->caller(resent).body, fleet->caller(first).body);
    const auto other = fleet->apply(3, "again", 1, NodeFleet::rulesText("other text"), "omar");
    BOOST_REQUIRE(waitFor(*fleet, other, 6_s));
    BOOST_CHECK_EQUAL(fleet->caller(other).status, 409);
    fleet->runFor(3_s);
    BOOST_CHECK(fleet->agreeOnRevision(3));
    checkFleet(*fleet);
}

// Guards against a revision that decreases after crashes, power losses and restarts of all nodes; the fleet records each
// decrease as a violation.
BOOST_AUTO_TEST_CASE(RevisionNeverGoesDown)
{
    const auto fleet = makeFleet();
    uint64_t revision = 1;
    for (int round = 0; round < 8; ++round) {
        const auto applied = fleet->apply(0, "round-" + std::to_string(round), revision, NodeFleet::rulesText("round"), "omar");
        if (round % 2)
            fleet->runUntil([&] { return fleet->caller(applied).done; }, 5_s);
        else
            fleet->runFor(TimeMs { fleet->random.between(1, 60) });
        if (round % 3 == 0) {
            // A snapshot replaces the log, so that the index cannot be recovered from a logged command after the restart.
            fleet->post(0, { "POST", "/admin/snapshot", { { "Authorization", "Bearer omar" } }, {} });
            fleet->runFor(20_ms);
        }
        for (size_t n = 0; n < fleet->nodes.size(); ++n)
            fleet->kill(n, true);
        for (size_t n = 0; n < fleet->nodes.size(); ++n)
            fleet->start(n);
        fleet->runFor(8_s);
        const uint64_t before = revision;
        revision = fleet->nodes[0].node->view.rules.revision;
        BOOST_CHECK(fleet->agreeOnRevision(revision));
        BOOST_CHECK(fleet->caller(applied).status != 200 || revision == before + 1);
    }
    BOOST_CHECK_GE(revision, 5U);
    checkFleet(*fleet);
}

// Guards against a node that serves without rules, or never receives them, after it has lost all its state.
BOOST_AUTO_TEST_CASE(NodeWithoutDiskGetsRulesAfterRestart)
{
    const auto fleet = makeFleet();
    fleet->kill(3, false);
    fleet->runFor(1_s);
    fleet->start(3);
    const auto early = fleet->postCompletion(3, false, 2);
    BOOST_REQUIRE(waitFor(*fleet, early, 1_s));
    BOOST_CHECK_EQUAL(NodeFleet::member(fleet->caller(early), "code"), "no_rules");
    BOOST_CHECK_EQUAL(runStatusOf(fleet->caller(early)), "not-run");
    BOOST_CHECK(fleet->runUntil([&] { return fleet->agreeOnRevision(1); }, 5_s));
    checkFleet(*fleet);
}

// Guards against two decision leaders, and against an old leader that reverts the rules when its partition heals.
BOOST_AUTO_TEST_CASE(LeaderCutOffForFiveMinutes)
{
    const auto fleet = makeFleet();
    const size_t old = fleet->decisionLeader();
    BOOST_REQUIRE_LT(old, 3U);
    fleet->isolate(old, true);
    fleet->runFor(2_s);
    const size_t other = old == 0 ? 1 : 0;
    const auto lost = fleet->apply(old, "cut-off", 1, NodeFleet::rulesText("cut off"), "omar");
    const auto applied = fleet->apply(other, "majority", 1, NodeFleet::rulesText("majority"), "sana");
    BOOST_REQUIRE(waitFor(*fleet, applied, 6_s));
    BOOST_CHECK_EQUAL(fleet->caller(applied).status, 200);
    BOOST_CHECK(!fleet->nodes[old].node->leadsDecisions);
    BOOST_REQUIRE(waitFor(*fleet, lost, 6_s));
    BOOST_CHECK_EQUAL(fleet->caller(lost).status, 503);
    fleet->runFor(5_min);
    BOOST_CHECK_EQUAL(fleet->nodes[old].node->view.rules.revision, 1U);
    fleet->isolate(old, false);
    BOOST_CHECK(fleet->runUntil([&] { return fleet->agreeOnRevision(2); }, 12_s));
    fleet->runFor(10_s);
    BOOST_CHECK(fleet->agreeOnRevision(2));
    BOOST_CHECK_EQUAL(fleet->nodes[other].node->view.rules.text, NodeFleet::rulesText("majority"));
    checkFleet(*fleet);
}

// Guards against a voter that installs a snapshot and then publishes the new rules under an old index, or not at all.
BOOST_AUTO_TEST_CASE(VoterThatInstallsASnapshotFollows)
{
    const auto fleet = makeFleet();
    const size_t behind = fleet->decisionLeader() == 2 ? 1 : 2;
    const size_t other = 3 - behind;
    fleet->isolate(behind, true);
    for (uint64_t revision = 1; revision < 4; ++revision) {
        const auto applied = fleet->apply(other, "apply-" + std::to_string(revision), revision, NodeFleet::rulesText("behind"), "omar");
        BOOST_REQUIRE(waitFor(*fleet, applied, 6_s));
        BOOST_REQUIRE_EQUAL(fleet->caller(applied).status, 200);
    }
    const uint64_t before = fleet->nodes[behind].node->decisionIndex;
    BOOST_REQUIRE_GT(before, 0U);
    for (const size_t n : { size_t { 0 }, other })
        fleet->post(n, { "POST", "/admin/snapshot", { { "Authorization", "Bearer omar" } }, {} });
    fleet->runFor(1_s);
    // A restart discards the log entries before the snapshot that are still in memory.
    for (const size_t n : { size_t { 0 }, other }) {
        fleet->kill(n, false);
        fleet->start(n);
    }
    fleet->runFor(3_s);
    fleet->isolate(behind, false);
    BOOST_REQUIRE(fleet->runUntil([&] { return fleet->nodes[behind].node->decisionIndex != before; }, 12_s));
    BOOST_CHECK_EQUAL(fleet->nodes[behind].node->decisionIndex, 0U);
    BOOST_CHECK(fleet->runUntil([&] { return fleet->agreeOnRevision(4); }, 12_s));
    const auto next = fleet->apply(behind, "next", 4, NodeFleet::rulesText("next"), "sana");
    BOOST_REQUIRE(waitFor(*fleet, next, 6_s));
    BOOST_CHECK_EQUAL(fleet->caller(next).status, 200);
    BOOST_CHECK(fleet->runUntil([&] { return fleet->agreeOnRevision(5); }, 6_s));
    checkFleet(*fleet);
}

// Guards against a group that is still missing a voter after a repair, so that the next failure costs it the quorum.
BOOST_AUTO_TEST_CASE(SecondVoterLostRightAfterARepair)
{
    const auto fleet = makeFleet({ .nodes = 6, .voters = 3, .disks = 5 });
    const auto liveVoters = [&] {
        size_t live = 0;
        const auto& group = fleet->nodes[0].node->groups.at(decisionGroup);
        for (const VoterId voter : status(*group.replica).voters)
            live += std::any_of(fleet->nodes.begin(), fleet->nodes.end(), [&](const auto& it) { return it.node && it.voter == voter; });
        return live;
    };
    const auto repaired = [&] {
        const auto& groups = fleet->nodes[0].node->groups;
        return liveVoters() == 3 && std::all_of(groups.begin(), groups.end(), [](const auto& it) { return status(*it.second.replica).voters.size() == 3; });
    };
    fleet->kill(2, true);
    BOOST_CHECK_EQUAL(liveVoters(), 2U);
    BOOST_REQUIRE(fleet->runUntil(repaired, 2_min));
    fleet->kill(1, true);
    const auto applied = fleet->apply(0, "after", 1, NodeFleet::rulesText("after"), "omar");
    BOOST_REQUIRE(waitFor(*fleet, applied, 6_s));
    BOOST_CHECK_EQUAL(fleet->caller(applied).status, 200);
    BOOST_CHECK(fleet->runUntil(repaired, 2_min));
    const auto caller = fleet->postBooking(5, "after");
    BOOST_REQUIRE(waitFor(*fleet, caller, 5_s));
    BOOST_CHECK_EQUAL(fleet->caller(caller).status, 200);
    checkFleet(*fleet);
}

// Guards against a graceful shutdown that interrupts calls, or that ends while callers still cache the address (promise 7).
BOOST_AUTO_TEST_CASE(DrainCutsNoCall)
{
    const auto fleet = makeFleet();
    for (const size_t node : { size_t { 3 }, fleet->decisionLeader() }) {
        const std::string address = toString(fleet->nodes[node].settings.http);
        const auto running = fleet->postCompletion(node, true, 300);
        fleet->runFor(100_ms);
        const TimeMs since = fleet->now;
        fleet->post(node, { "POST", "/admin/drain", { { "Authorization", "Bearer omar" } }, {} });
        fleet->runFor(10_ms);
        BOOST_CHECK(fleet->adminGet(node, "/v1/entries").find(address) == std::string::npos);
        fleet->runFor(1500_ms);
        BOOST_CHECK(fleet->adminGet(0 == node ? 1 : 0, "/v1/entries").find(address) == std::string::npos);
        // A caller that still caches the address is served.
        const auto late = fleet->postCompletion(node, true, 20);
        const auto booked = fleet->postBooking(node, "drain-" + std::to_string(node));
        BOOST_REQUIRE(waitFor(*fleet, late, 5_s) && waitFor(*fleet, booked, 5_s));
        BOOST_CHECK_EQUAL(fleet->caller(late).status, 200);
        BOOST_CHECK_EQUAL(fleet->caller(booked).status, 200);
        BOOST_REQUIRE(fleet->runUntil([&] { return fleet->nodes[node].stopped; }, 30_s));
        BOOST_CHECK(fleet->caller(running).done && fleet->caller(running).status == 200);
        BOOST_CHECK(fleet->caller(running).body.ends_with("data: [DONE]\n\n"));
        BOOST_CHECK(fleet->now - since >= fleet->options.entryValid);
        const auto after = fleet->postBooking(node == 0 ? 1 : 0, "after-drain-" + std::to_string(node));
        BOOST_REQUIRE(waitFor(*fleet, after, 5_s));
        BOOST_CHECK_EQUAL(fleet->caller(after).status, 200);
    }
    checkFleet(*fleet);
}

// Guards against members that treat a starting node as one without a data folder, so that the bootstrap is refused.
BOOST_AUTO_TEST_CASE(VoterIdIsKnownFromTheFirstDatagram)
{
    NodeOptions options;
    options.settings.node = "entry-1";
    options.settings.peer = { "127.0.0.1", 7000 };
    options.settings.http = { "127.0.0.1", 8080 };
    options.settings.peerKey = std::string(32, 'k');
    options.startedAtUtc = TimeMs { 1000000 };
    options.voter = VoterId { 77 };
    const auto node = handle([&] { return makeNode(options, options.startedAtUtc); }, [](const Error&) { return NodePtr {}; });
    BOOST_REQUIRE(node);
    BOOST_CHECK_EQUAL(ownRecord(node->membership).status.voter.value, 77U);
}

// Guards against a new node that knows no upstream of a large fleet for many seconds because the frames with the records
// exceed the size limit of the receiver.
BOOST_AUTO_TEST_CASE(NewNodeKnowsALargeFleetWithItsRules)
{
    auto fleet = std::make_unique<NodeFleet>(NodeFleetOptions {});
    for (int n = 0; n < 250; ++n)
        fleet->addUpstream("runner-of-a-large-fleet-" + std::to_string(n), UpstreamKind::Engine, "sound-plan", "lhr-depot");
    BOOST_REQUIRE(fleet->startCluster());
    BOOST_REQUIRE(fleet->runUntil([&] { return fleet->nodes[0].node->membership.upstreams.entries.size() == 250; }, 30_s));
    fleet->kill(3, false);
    fleet->runFor(1_s);
    fleet->start(3);
    BOOST_REQUIRE(fleet->runUntil([&] { return fleet->nodes[3].node->rules != nullptr; }, 5_s));
    fleet->runFor(300_ms);
    BOOST_CHECK_GE(fleet->nodes[3].node->membership.upstreams.entries.size(), 245U);
}

BOOST_AUTO_TEST_SUITE_END()

}
