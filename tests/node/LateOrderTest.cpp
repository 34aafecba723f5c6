#include "FleetFixture.h"
#include "ForwardFixture.h"

#include "node/BuildFeatures.h"
#include "node/Groups.h"

namespace siskinshunt {

namespace {

    constexpr TimeMs operatorPatience { 1000 };

    // Voters, entry nodes and an operator who repeats an order at one voter after the other.
    struct OrderFleet {
        explicit OrderFleet(uint64_t seed = 1)
            : fleet(makeOptions(seed))
        {
            for (int n = 0; n < 3; ++n)
                fleet.addUpstream("desk-" + std::to_string(n), UpstreamKind::Service, "desk", "lhr-depot");
            startForwardFleet(fleet);
            fleet.runFor(3_s);
        }

        static NodeFleetOptions makeOptions(uint64_t seed)
        {
            auto options = forwardFleetOptions(4, static_cast<int>(controls));
            options.seed = seed;
            options.dialect = makeFleetDialect();
            return options;
        }

        uint64_t post(size_t node, const std::string& version)
        {
            return fleet.post(node, { "POST", "/versions/desk/" + version, {}, {} }, ListenerKind::Control);
        }

        void order(const std::string& version, size_t first)
        {
            const TimeMs until = fleet.now + 4_s;
            for (size_t n = first; fleet.now < until; n = (n + 1) % controls) {
                const auto call = post(n, version);
                fleet.runUntil([&] { return fleet.caller(call).done; }, operatorPatience);
                if (fleet.caller(call).done && fleet.caller(call).status == 200)
                    return;
                if (!fleet.caller(call).done)
                    fleet.disconnectCaller(call);
                fleet.runFor(100_ms);
            }
            BOOST_FAIL("no voter has acknowledged the order");
        }

        // As the decision leader would on evidence.
        void rollBack()
        {
            auto& leader = *fleet.nodes[fleet.decisionLeader()].node;
            auto order = leader.decisionLog.versionOrders.at("desk");
            order.state = VersionOrderState::RolledBack;
            ++order.sequence;
            proposeCommand(leader, decisionGroup, encodeControlCommand(RecordVersionOrder { .epoch = leader.leader.epoch, .order = order }), 2_s, [](Node&, bool, const std::string&) {});
            BOOST_REQUIRE(fleet.runUntil([&] { return current().state == VersionOrderState::RolledBack; }, 3_s));
        }

        VersionOrder current()
        {
            const auto& orders = fleet.nodes[fleet.decisionLeader()].node->decisionLog.versionOrders;
            const auto it = orders.find("desk");
            return it == orders.end() ? VersionOrder {} : it->second;
        }

        size_t follower(size_t distance = 1) { return (fleet.decisionLeader() + distance) % controls; }

        static constexpr size_t controls = 5;
        NodeFleet fleet;
    };

}

BOOST_AUTO_TEST_SUITE(LateOrders)

// Guards against an order that a stopped voter reads when it was repeated elsewhere, rolled back and followed by another: the later
// acknowledged one was gone. The end of the operator's connection arrives with it (a stopped process) or later (a machine that stood still).
BOOST_AUTO_TEST_CASE(OrderOfAStoppedVoterDoesNotUndoALaterOne)
{
    for (const TimeMs endOfConnectionAfter : { TimeMs { 0 }, TimeMs { 20 }, TimeMs { 400 }, TimeMs { 5000 } }) {
        OrderFleet it;
        const size_t stopped = it.follower();
        it.fleet.freeze(stopped);
        const auto late = it.post(stopped, "v2");
        it.fleet.runFor(operatorPatience);
        if (!endOfConnectionAfter.value)
            it.fleet.disconnectCaller(late);
        it.order("v2", it.follower(2));
        it.rollBack();
        it.order("v3", it.follower(2));
        it.fleet.runFor(2_s);
        it.fleet.thaw(stopped);
        it.fleet.runFor(endOfConnectionAfter);
        if (endOfConnectionAfter.value && !it.fleet.caller(late).done)
            it.fleet.disconnectCaller(late);
        it.fleet.runFor(3_s);
        BOOST_TEST(it.current().target == "v3", "end of the connection after " << endOfConnectionAfter.value << " ms: " << it.current().target);
        BOOST_TEST(it.fleet.caller(late).status != 200U);
        checkFleet(it.fleet);
    }
}

// Guards against an order that reaches the leader late: the connection between the voters stood still, and the operator has repeated it.
BOOST_AUTO_TEST_CASE(DelayedProposalDoesNotUndoALaterOrder)
{
    OrderFleet it;
    const size_t cut = it.follower();
    it.fleet.losesFrame = [&](size_t from, size_t, const std::string& frame) { return from == cut && frame.at(1) == static_cast<char>(FrameKind::Propose); };
    const auto late = it.post(cut, "v2");
    it.fleet.runFor(400_ms);
    it.order("v2", it.follower(2));
    it.rollBack();
    it.order("v3", it.follower(2));
    it.fleet.losesFrame = nullptr;
    it.fleet.runFor(3_s);
    BOOST_TEST(it.current().target == "v3");
    BOOST_TEST(it.fleet.caller(late).status == 503U);
    checkFleet(it.fleet);
}

// Guards against a refusal of what the operator repeats or orders anew: also at another voter, after a leader change and a restart.
BOOST_AUTO_TEST_CASE(RepeatsAndNewOrdersAreAcknowledged)
{
    OrderFleet it;
    it.order("v2", 0);
    const auto sequence = it.current().sequence;
    it.order("v2", 1);
    it.fleet.kill(it.fleet.decisionLeader(), true);
    it.fleet.runFor(6_s);
    it.order("v2", it.follower());
    BOOST_TEST(it.current().sequence == sequence);
    it.rollBack();
    it.order("v2", it.follower());
    BOOST_TEST((it.current().state == VersionOrderState::RolledBack));
    it.order("v3", it.follower(2));
    BOOST_TEST(it.current().target == "v3");
    it.order("v2", it.follower());
    BOOST_TEST((it.current().target == "v2" && it.current().state == VersionOrderState::Running));
    checkFleet(it.fleet);
}

// Guards against a command that a voter of an earlier build cannot read: it would diverge from the others. The order is then given in the
// form of earlier builds.
BOOST_AUTO_TEST_CASE(VotersOfEarlierBuildsCanReadTheOrder)
{
    OrderFleet it;
    const size_t earlier = it.follower();
    it.fleet.losesFrame = [&](size_t from, size_t, const std::string& frame) { return from == earlier && frame.at(1) == static_cast<char>(FrameKind::BuildFeatures); };
    const size_t node = it.follower(2);
    const auto call = it.post(node, "v2");
    BOOST_REQUIRE(waitFor(it.fleet, call, operatorPatience));
    BOOST_TEST(it.fleet.caller(call).status == 200U);
    BOOST_TEST(nodesWithoutFeature(*it.fleet.nodes[node].node, BuildFeaturesFrame::readsOrderVersion).size() == 1U);
    BOOST_TEST(it.current().target == "v2");
    checkFleet(it.fleet);
}

// Guards against a notice of a stopped node that marks an upstream as leaving which has started again under its name meanwhile: requests
// were refused with sound upstreams at hand.
BOOST_AUTO_TEST_CASE(NoticeOfAStoppedNodeDoesNotEndALaterStart)
{
    OrderFleet it;
    const size_t stopped = it.follower();
    auto& desk = it.fleet.upstream("desk-0");
    it.fleet.freeze(stopped);
    const auto late = it.fleet.post(stopped, { "DELETE", "/desk-0", {}, {} }, ListenerKind::Control);
    it.fleet.runFor(operatorPatience);
    it.fleet.disconnectCaller(late);
    desk.announced.incarnation += 1000;
    desk.announced.sequence = 1;
    it.fleet.runFor(4_s);
    it.fleet.thaw(stopped);
    it.fleet.runFor(3_s);
    const auto id = idOfName<UpstreamId>("desk-0");
    for (size_t n = OrderFleet::controls; n < it.fleet.nodes.size(); ++n) {
        const ForwardTarget* target = findTarget(it.fleet.nodes[n].node->forward.targets, id);
        BOOST_TEST((target && !target->leaving));
    }
    checkFleet(it.fleet);
}

BOOST_AUTO_TEST_SUITE_END()

}
