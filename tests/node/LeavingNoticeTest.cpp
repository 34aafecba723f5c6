#include "EntryFleet.h"

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(Leaving)

// Guards against an acknowledged leaving notice that reaches only the entry nodes which just restarted voters know of.
BOOST_AUTO_TEST_CASE(ReachesAllEntryNodesAfterTheVotersRestarted)
{
    EntryFleet it(71, 9, 66);
    for (size_t n = 0; n < it.controls; ++n)
        it.fleet.kill(n, false);
    it.fleet.runFor(500_ms);
    for (size_t n = 0; n < it.controls; ++n)
        it.fleet.start(n);
    it.fleet.runFor(4_s);
    it.leave("desk-0");
    it.checkAllAware("desk-0");
}

// Guards against a leaving notice that is lost with the connections to some entry nodes, which nobody tells again: gossip may take
// longer than the drain time. Datagrams are lost, too, so that gossip does not hide it.
static void checkLostBroadcast(int entries)
{
    EntryFleet it(entries, 3, 6);
    it.fleet.loss = 1;
    const size_t first = it.fleet.nodes.size() - 2;
    it.fleet.losesFrame = [&](size_t, size_t to, const std::string&) { return to >= first; };
    it.leave("desk-0");
    it.fleet.runFor(100_ms);
    BOOST_CHECK_EQUAL(it.unaware("desk-0").size(), 2U);
    it.fleet.losesFrame = nullptr;
    it.checkAllAware("desk-0");
}

BOOST_AUTO_TEST_CASE(ReachesNodesOfASmallFleetThatLoseTheBroadcast)
{
    checkLostBroadcast(4);
}

BOOST_AUTO_TEST_CASE(ReachesNodesOfALargeFleetThatLoseTheBroadcast)
{
    checkLostBroadcast(20);
}

// As above, in failure domains in which the nodes ask less often.
BOOST_AUTO_TEST_CASE(ReachesNodesOfLargeDomainsThatLoseTheBroadcast)
{
    checkLostBroadcast(110);
}

// Guards against entry nodes that rely on a hub which is alive but cut off from the decision leader.
BOOST_AUTO_TEST_CASE(ReachesNodesWhoseHubIsCutOffFromTheLeader)
{
    EntryFleet it(20, 3, 6);
    const size_t leader = it.fleet.decisionLeader();
    BOOST_REQUIRE_LT(leader, it.controls);
    const size_t hub = (leader + 1) % it.controls;
    for (size_t n = 0; n < it.controls; ++n) {
        it.fleet.setLinkBlocked(hub, n, true);
        it.fleet.setLinkBlocked(n, hub, true);
    }
    it.fleet.runFor(5_s);
    it.fleet.loss = 1;
    it.fleet.losesFrame = [&](size_t from, size_t to, const std::string&) { return from < it.controls && to >= it.controls && from != hub; };
    it.leave("desk-0");
    it.fleet.runFor(100_ms);
    BOOST_CHECK_EQUAL(it.unaware("desk-0").size(), 20U);
    it.fleet.losesFrame = nullptr;
    it.checkAllAware("desk-0");
}

// Guards against a leaving notice that is acknowledged because it was sent before, although the decision leader has not heard of it.
BOOST_AUTO_TEST_CASE(ResentNoticeIsNotAcknowledgedWithoutTheLeader)
{
    EntryFleet it(4, 3, 2);
    const size_t leader = it.fleet.decisionLeader();
    BOOST_REQUIRE_LT(leader, it.controls);
    const size_t other = (leader + 1) % it.controls;
    auto& announced = it.fleet.upstream("desk-0").announced;
    announced.leaving = true;
    ++announced.sequence;
    it.fleet.losesFrame = [&](size_t from, size_t to, const std::string&) { return from == other && to == leader; };
    BOOST_CHECK_EQUAL(it.announceAt(other, announced), 503U);
    BOOST_CHECK_EQUAL(it.announceAt(other, announced), 503U);
    it.fleet.losesFrame = nullptr;
    BOOST_CHECK_EQUAL(it.announceAt(other, announced), 200U);
}

// Guards against rules that are acknowledged and not in force on an entry node for which its voter's notice was lost, with the
// connection, while gossip is slow.
BOOST_AUTO_TEST_CASE(RulesReachNodesThatLoseTheNotice)
{
    EntryFleet it(20, 3, 2);
    it.fleet.loss = 1;
    const size_t first = it.fleet.nodes.size() - 2;
    it.fleet.losesFrame = [&](size_t, size_t to, const std::string&) { return to >= first; };
    const auto applied = it.fleet.apply(0, "next", 1, NodeFleet::rulesText("next"), "omar");
    BOOST_REQUIRE(waitFor(it.fleet, applied, 3_s));
    it.fleet.runFor(100_ms);
    BOOST_REQUIRE(!it.fleet.agreeOnRevision(2));
    it.fleet.losesFrame = nullptr;
    BOOST_CHECK(it.fleet.runUntil([&] { return it.fleet.agreeOnRevision(2); }, drainBound - 100_ms));
}

// Guards against the shutdown of a restarted upstream that is taken for that of its earlier incarnation by a voter which has not
// heard of the later one.
BOOST_AUTO_TEST_CASE(ShutdownAppliesToAnIncarnationThatTheVoterDoesNotKnow)
{
    EntryFleet it(4, 3, 2);
    it.fleet.loss = 1;
    auto restarted = it.fleet.upstream("desk-0").announced;
    restarted.incarnation = static_cast<uint64_t>(it.fleet.now.value);
    restarted.sequence = 1;
    for (size_t n = it.controls; n < it.fleet.nodes.size(); ++n)
        it.fleet.post(n, { "POST", "/v1/announce", { { "Authorization", "Bearer announce-token" } }, toJson(restarted) });
    it.fleet.runFor(100_ms);
    const auto call = it.fleet.post(0, { "DELETE", "/desk-0", {}, {} }, ListenerKind::Control);
    BOOST_REQUIRE(it.fleet.runUntil([&] { return it.fleet.caller(call).done; }, 1_s));
    BOOST_CHECK_EQUAL(it.fleet.caller(call).status, 200U);
    it.checkAllAware("desk-0");
}

BOOST_AUTO_TEST_SUITE_END()

}
