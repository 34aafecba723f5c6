#include "FleetFixture.h"
#include "ForwardFixture.h"

#include "node/Evacuations.h"
#include "node/Scaling.h"
#include "wire/Codec.h"

#include <set>

namespace siskinshunt {

namespace {

    // Stated target: no request reaches the domain later than this after the acknowledgement.
    constexpr TimeMs evacuateBound { 5000 };
    // Operators try another voter after this time.
    constexpr TimeMs operatorPatience { 1000 };

    const std::string depot = "lhr-depot";

    // Entry nodes under load and upstreams in three failure domains. Records what the upstreams of each domain get.
    struct EvacuationFleet {
        EvacuationFleet(int entries, int controls, uint64_t seed = 1)
            : fleet(makeOptions(entries, controls, seed))
            , controls(static_cast<size_t>(controls))
        {
            for (int n = 0; n < 9; ++n)
                fleet.addUpstream("desk-" + std::to_string(n), UpstreamKind::Service, "desk", domainOf(n));
            startForwardFleet(fleet);
            fleet.forwardAnswer = [this](size_t node, const UpstreamDispatch& dispatch) { return answer(node, dispatch); };
            fleet.runFor(3_s);
        }

        static NodeFleetOptions makeOptions(int entries, int controls, uint64_t seed)
        {
            auto options = forwardFleetOptions(entries, controls);
            options.seed = seed;
            options.dialect = makeFleetDialect();
            return options;
        }

        static std::string domainOf(int n)
        {
            static const std::array<std::string, 3> names { depot, "lhr-gulberg", "lhr-shahdara" };
            return names.at(static_cast<size_t>(n) % names.size());
        }

        std::optional<HttpHeaders> answer(size_t node, const UpstreamDispatch& dispatch)
        {
            const auto& domain = fleet.upstreams.at(dispatch.address).announced.domain;
            ++arrivals[domain];
            lastArrival[domain] = fleet.now;
            if (const auto it = acknowledgedAt.find(domain); it != acknowledgedAt.end() && fleet.now - it->second > evacuateBound)
                late.push_back(fleet.nodes[node].settings.node + " after " + std::to_string((fleet.now - it->second).value) + " ms");
            return HttpHeaders { { names.requestId, dispatch.idValue }, { names.receipt, "proof" } };
        }

        // Each entry node gets a request every 150 ms on average.
        void run(TimeMs duration)
        {
            for (const TimeMs end = fleet.now + duration; fleet.now < end; fleet.runFor(10_ms)) {
                for (size_t n = controls; n < fleet.nodes.size(); ++n) {
                    if (fleet.nodes[n].node && fleet.random.chance(1.0 / 15))
                        fleet.post(n, { "GET", "/look/1", { { "Host", "h" }, { names.requestId, "r" + std::to_string(++requests) } }, {} }, ListenerKind::Forward);
                }
            }
        }

        uint64_t postOrder(size_t node, const std::string& domain, bool start)
        {
            return fleet.post(node, { start ? "POST" : "DELETE", "/evacuations/" + domain, {}, {} }, ListenerKind::Control);
        }

        // Sends the order to one voter after the other, from `first`, until one acknowledges it, as operators do.
        void order(const std::string& domain, bool start, size_t first = 0)
        {
            const TimeMs orderedAt = fleet.now;
            // From here on it may be cancelled, though not acknowledged.
            if (!start)
                acknowledgedAt.erase(domain);
            for (size_t n = first; fleet.now - orderedAt < 10_s; n = (n + 1) % controls) {
                const auto call = postOrder(n, domain, start);
                for (const TimeMs until = fleet.now + operatorPatience; fleet.now < until && !fleet.caller(call).done;)
                    run(10_ms);
                if (fleet.caller(call).done && fleet.caller(call).status == 200)
                    return acknowledged(domain, start, fleet.caller(call).answeredAt, orderedAt);
                if (!fleet.caller(call).done && !fleet.caller(call).lost)
                    fleet.disconnectCaller(call);
                run(100_ms);
            }
            BOOST_FAIL("no voter has acknowledged the order");
        }

        void acknowledged(const std::string& domain, bool start, TimeMs at, TimeMs orderedAt)
        {
            acknowledgementTook = at - orderedAt;
            if (start)
                acknowledgedAt[domain] = at;
        }

        // Nodes on which the domain is evacuated, or is not.
        std::vector<std::string> nodesWith(bool evacuated)
        {
            std::vector<std::string> out;
            for (const auto& it : fleet.nodes) {
                if (it.node && isEvacuated(*it.node, depot) == evacuated)
                    out.push_back(it.settings.node);
            }
            return out;
        }

        void checkKnownEverywhere(bool evacuated)
        {
            const auto left = nodesWith(!evacuated);
            BOOST_CHECK_MESSAGE(left.empty(), left.size() << " nodes lack the order, among them " << (left.empty() ? "" : left.front()));
        }

        void checkNothingLate()
        {
            BOOST_CHECK_MESSAGE(late.empty(), late.size() << " requests came into the evacuated domain too late, among them from " << (late.empty() ? "" : late.front()));
            for (const auto& text : fleet.violations)
                BOOST_ERROR(text);
        }

        void checkServedElsewhere(TimeMs duration)
        {
            const size_t before = arrivals["lhr-gulberg"];
            run(duration);
            BOOST_CHECK_GT(arrivals["lhr-gulberg"], before);
        }

        NodeFleet fleet;
        size_t controls;
        HeaderNames names;
        uint64_t requests = 0;
        std::map<std::string, size_t> arrivals; ///< By failure domain.
        std::map<std::string, TimeMs> lastArrival;
        std::map<std::string, TimeMs> acknowledgedAt; ///< Of evacuations in force.
        TimeMs acknowledgementTook;
        std::vector<std::string> late; ///< Requests after the bound.
    };

}

BOOST_AUTO_TEST_SUITE(Evacuations)

// Guards against an order that reaches only some entry nodes, and against one that cannot be cancelled.
BOOST_AUTO_TEST_CASE(OrderReachesAllEntryNodesAndCanBeCancelled)
{
    EvacuationFleet it(20, 5);
    it.run(1_s);
    BOOST_CHECK_GT(it.arrivals[depot], 0U);
    it.order(depot, true);
    BOOST_CHECK_LE(it.acknowledgementTook.value, 1000);
    it.run(1_s);
    it.checkKnownEverywhere(true);
    it.checkServedElsewhere(6_s);
    it.order(depot, false);
    it.run(1_s);
    it.checkKnownEverywhere(false);
    BOOST_CHECK_LT((it.fleet.now - it.lastArrival[depot]).value, 1000);
    it.checkNothingLate();
}

// Guards against evacuations that are told by broadcast only: 60 entry nodes of which each loses three of ten frames, and gossip is slow.
BOOST_AUTO_TEST_CASE(OrderReachesSixtyEntryNodesOnLossyLinks)
{
    EvacuationFleet it(60, 9);
    it.fleet.loss = 0.3;
    it.fleet.losesFrame = [&](size_t from, size_t to, const std::string&) { return std::max(from, to) >= it.controls && it.fleet.random.chance(0.3); };
    it.run(2_s);
    it.order(depot, true);
    it.run(10_s);
    BOOST_TEST_MESSAGE("last request " << (it.lastArrival[depot] - it.acknowledgedAt[depot]).value << " ms after the acknowledgement");
    BOOST_CHECK_LE((it.lastArrival[depot] - it.acknowledgedAt[depot]).value, evacuateBound.value);
    it.checkKnownEverywhere(true);
    it.order(depot, false);
    it.run(4_s);
    it.checkKnownEverywhere(false);
    it.checkNothingLate();
}

// Guards against an acknowledged order that only the decision leader knows.
BOOST_AUTO_TEST_CASE(OrderSurvivesTheLeaderThatAcknowledgedIt)
{
    for (const bool powerLoss : { false, true }) {
        EvacuationFleet it(20, 5);
        const size_t leader = it.fleet.decisionLeader();
        BOOST_REQUIRE_LT(leader, it.controls);
        // The leader's broadcast is lost as well.
        it.fleet.losesFrame = [&](size_t from, size_t to, const std::string&) { return from == leader && to >= it.controls; };
        it.order(depot, true, leader);
        it.fleet.kill(leader, powerLoss);
        it.run(10_s);
        it.checkKnownEverywhere(true);
        it.fleet.start(leader);
        it.run(5_s);
        it.checkKnownEverywhere(true);
        it.checkNothingLate();
    }
}

// Guards against an entry node that sends into the domain after a start, before it is told.
BOOST_AUTO_TEST_CASE(EntryNodeThatStartsDuringAnEvacuationSendsNothingThere)
{
    EvacuationFleet it(20, 5);
    it.order(depot, true);
    it.run(6_s);
    for (size_t n = it.controls; n < it.controls + 6; ++n) {
        it.fleet.kill(n, false);
        it.run(300_ms);
        it.fleet.start(n);
    }
    it.run(5_s);
    it.checkKnownEverywhere(true);
    it.checkNothingLate();
}

// Guards against a node that acts by what it knew before a pause: it misses the start, or both start and end.
BOOST_AUTO_TEST_CASE(PausedNodesLearnWhatTheyHaveMissed)
{
    EvacuationFleet it(20, 5);
    const size_t node = it.controls + 1;
    it.fleet.freeze(node);
    it.order(depot, true);
    it.run(8_s);
    it.fleet.thaw(node);
    it.run(2_s);
    it.checkKnownEverywhere(true);
    it.fleet.freeze(node);
    it.order(depot, false);
    it.run(2_s);
    it.order(depot, true);
    it.run(2_s);
    it.order(depot, false);
    it.run(4_s);
    it.fleet.thaw(node);
    it.run(2_s);
    it.checkKnownEverywhere(false);
    it.checkNothingLate();
}

// As above, for a node whose frames of that time are lost.
BOOST_AUTO_TEST_CASE(DisconnectedNodesLearnWhatTheyHaveMissed)
{
    EvacuationFleet it(20, 5);
    const size_t node = it.controls + 1;
    it.fleet.isolate(node, true);
    it.order(depot, true);
    it.run(2_s);
    it.fleet.isolate(node, false);
    it.run(3_s);
    it.checkKnownEverywhere(true);
    it.fleet.isolate(node, true);
    it.order(depot, false);
    it.run(2_s);
    it.fleet.isolate(node, false);
    it.run(3_s);
    it.checkKnownEverywhere(false);
}

static void loseAllPower(EvacuationFleet& it, TimeMs duration)
{
    for (size_t n = 0; n < it.fleet.nodes.size(); ++n)
        it.fleet.kill(n, true);
    it.run(duration);
    for (size_t n = 0; n < it.fleet.nodes.size(); ++n)
        it.fleet.start(n);
}

// Guards against an acknowledged order that is lost with the power of all nodes, or forgotten while the voters have no leader yet: entry
// nodes must not send by the stored view of a voter that has not replayed the order.
BOOST_AUTO_TEST_CASE(OrderSurvivesTotalPowerLoss)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        EvacuationFleet it(20, 9, seed);
        it.order(depot, true);
        loseAllPower(it, 6_s);
        it.checkServedElsewhere(15_s);
        it.checkKnownEverywhere(true);
        it.checkNothingLate();
    }
}

// As above, with voters and spare nodes that were cut off when the order was given and do not have it on disk.
BOOST_AUTO_TEST_CASE(OrderSurvivesTotalPowerLossAlthoughSomeVotersLackIt)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        EvacuationFleet it(20, 9, seed);
        const size_t leader = it.fleet.decisionLeader();
        BOOST_REQUIRE_LT(leader, it.controls);
        for (const size_t n : { (leader + 1) % 7, (leader + 2) % 7, size_t { 7 }, size_t { 8 } })
            it.fleet.isolate(n, true);
        it.order(depot, true, leader);
        loseAllPower(it, 6_s);
        for (size_t n = 0; n < it.controls; ++n)
            it.fleet.isolate(n, false);
        it.checkServedElsewhere(15_s);
        it.checkKnownEverywhere(true);
        it.checkNothingLate();
    }
}

// Guards against entry nodes that are without rules for the time of an election after the loss of all power, where nobody orders evacuations.
BOOST_AUTO_TEST_CASE(FirstViewsDoNotWaitWhereNoEvacuationsAreOrdered)
{
    EvacuationFleet it(20, 9);
    for (auto& node : it.fleet.nodes)
        node.settings.evacuations = false;
    // Without a majority of the voters there is no leader.
    for (size_t n = 0; n < it.fleet.nodes.size(); ++n)
        it.fleet.kill(n, true);
    it.run(2_s);
    it.fleet.start(0);
    for (size_t n = it.controls; n < it.fleet.nodes.size(); ++n)
        it.fleet.start(n);
    it.run(1500_ms);
    for (size_t n = it.controls; n < it.fleet.nodes.size(); ++n)
        BOOST_CHECK(it.fleet.nodes[n].node->rules);
}

// Guards against repeated orders that are refused, or that count as changes.
BOOST_AUTO_TEST_CASE(RepeatedOrdersAreAcknowledgedAgain)
{
    EvacuationFleet it(8, 5);
    std::vector<uint64_t> calls;
    for (const bool start : { true, false }) {
        for (size_t n = 0; n < it.controls; ++n)
            calls.push_back(it.postOrder(n, depot, start));
        it.run(1_s);
    }
    for (const uint64_t call : calls)
        BOOST_CHECK_EQUAL(it.fleet.caller(call).status, 200U);
    it.checkKnownEverywhere(false);
    BOOST_CHECK_EQUAL(it.fleet.nodes[0].node->decisionLog.evacuationSequence, 2U);
}

// Guards against nodes that end up with different evacuations when two operators give opposite orders at the same time.
BOOST_AUTO_TEST_CASE(CrossedOrdersEndAlikeEverywhere)
{
    EvacuationFleet it(8, 5);
    std::vector<uint64_t> calls;
    for (int round = 0; round < 20; ++round) {
        for (size_t n = 0; n < it.controls; ++n)
            calls.push_back(it.postOrder(n, depot, it.fleet.random.chance(0.5)));
        it.run(TimeMs { it.fleet.random.between(1, 80) });
    }
    it.run(2_s);
    for (const uint64_t call : calls)
        BOOST_CHECK_EQUAL(it.fleet.caller(call).status, 200U);
    it.checkKnownEverywhere(!it.fleet.nodes[0].node->decisionLog.evacuations.empty());
}

// Guards against an order that a paused voter reads when its operator has long repeated it elsewhere, and has cancelled it since.
BOOST_AUTO_TEST_CASE(AbandonedOrderOfAPausedVoterIsDropped)
{
    EvacuationFleet it(8, 5);
    const size_t paused = (it.fleet.decisionLeader() + 1) % it.controls;
    const size_t other = (paused + 1) % it.controls;
    it.fleet.freeze(paused);
    const auto call = it.postOrder(paused, depot, true);
    it.run(1_s);
    it.fleet.disconnectCaller(call);
    it.order(depot, true, other);
    it.run(1_s);
    it.order(depot, false, other);
    it.run(1_s);
    it.fleet.thaw(paused);
    it.run(3_s);
    it.checkKnownEverywhere(false);
    BOOST_CHECK_EQUAL(it.fleet.nodes[other].node->decisionLog.evacuationSequence, 2U);
}

// Guards against an order that is proposed so long that it is applied after a later one: its operator has repeated it elsewhere.
BOOST_AUTO_TEST_CASE(OrderIsNotProposedLongerThanItsOperatorWaits)
{
    EvacuationFleet it(8, 5);
    const size_t leader = it.fleet.decisionLeader();
    const size_t cut = (leader + 1) % it.controls;
    it.fleet.losesFrame = [&](size_t from, size_t, const std::string& frame) { return from == cut && frame.at(1) == static_cast<char>(FrameKind::Propose); };
    const auto call = it.postOrder(cut, depot, true);
    it.run(operatorPatience);
    BOOST_CHECK_EQUAL(it.fleet.caller(call).status, 503U);
    it.fleet.losesFrame = nullptr;
    it.run(3_s);
    it.checkKnownEverywhere(false);
}

// Guards against commands that a voter of an earlier build cannot read: it would diverge from the others.
BOOST_AUTO_TEST_CASE(FirstOrderWaitsUntilAllVotersReadIt)
{
    EvacuationFleet it(8, 5);
    const size_t earlier = 4;
    it.fleet.losesFrame = [&](size_t from, size_t, const std::string& frame) { return from == earlier && frame.at(1) == static_cast<char>(FrameKind::BuildFeatures); };
    it.fleet.kill(earlier, false);
    it.fleet.start(earlier);
    it.run(3_s);
    const auto refused = it.postOrder(0, depot, true);
    it.run(500_ms);
    BOOST_CHECK_EQUAL(it.fleet.caller(refused).status, 503U);
    BOOST_CHECK(!findHeader(it.fleet.caller(refused).headers, "Retry-After").empty());
    BOOST_CHECK_EQUAL(nodesWithoutEvacuations(*it.fleet.nodes[0].node).front(), "entry-4");
    it.fleet.losesFrame = nullptr;
    it.run(1500_ms);
    it.order(depot, true);
    // Once the command is in the log, a node that has not told yet prevents no orders.
    it.fleet.losesFrame = [&](size_t from, size_t, const std::string& frame) { return from == earlier && frame.at(1) == static_cast<char>(FrameKind::BuildFeatures); };
    it.fleet.kill(earlier, false);
    it.fleet.start(earlier);
    it.run(2_s);
    it.order(depot, false);
    BOOST_CHECK_LE(it.acknowledgementTook.value, 1000);
}

// Guards against a voter that refuses orders for some time after each start.
BOOST_AUTO_TEST_CASE(RestartedVoterAcceptsOrders)
{
    EvacuationFleet it(8, 5);
    const size_t restarted = (it.fleet.decisionLeader() + 1) % it.controls;
    it.fleet.kill(restarted, false);
    it.run(500_ms);
    it.fleet.start(restarted);
    it.run(1_s);
    it.order(depot, true, restarted);
    BOOST_CHECK_LE(it.acknowledgementTook.value, 1000);
}

// Guards against the product's own calls into an evacuated domain, and against operators who cannot see who ordered it.
BOOST_AUTO_TEST_CASE(OwnCallsGoElsewhereAndOperatorsSeeTheOrder)
{
    auto fleet = makeFleet();
    const auto admin = [&](const std::string& method) {
        const auto call = fleet->post(1, { method, "/admin/evacuations?domain=lhr-depot", { { "Authorization", "Bearer omar" } }, {} });
        BOOST_REQUIRE(waitFor(*fleet, call, 1_s));
        return fleet->caller(call);
    };
    BOOST_CHECK_EQUAL(admin("POST").body, R"({"domain":"lhr-depot","evacuated":true,"changed":true})");
    BOOST_CHECK_EQUAL(admin("POST").body, R"({"domain":"lhr-depot","evacuated":true,"changed":false})");
    fleet->runFor(2500_ms);
    const size_t before = fleet->upstream("desk-0").dispatches.size();
    for (int n = 0; n < 20; ++n)
        fleet->postBooking(static_cast<size_t>(n) % 4, "key-" + std::to_string(n));
    fleet->runFor(2_s);
    BOOST_CHECK_EQUAL(fleet->upstream("desk-0").dispatches.size(), before);
    BOOST_CHECK_GE(fleet->upstream("desk-1").dispatches.size(), 20U);
    for (size_t n = 0; n < 4; ++n) {
        const auto shown = fleet->adminGet(n, "/admin/evacuations");
        BOOST_CHECK_MESSAGE(shown.find("evacuation lhr-depot # omar: ordered at 2025-") != std::string::npos, shown);
    }
    const auto unknown = fleet->post(0, { "POST", "/admin/evacuations", { { "Authorization", "Bearer omar" } }, {} });
    BOOST_REQUIRE(waitFor(*fleet, unknown, 1_s));
    BOOST_CHECK_EQUAL(fleet->caller(unknown).status, 400U);
    BOOST_CHECK_EQUAL(admin("DELETE").body, R"({"domain":"lhr-depot","evacuated":false,"changed":true})");
    fleet->runFor(2500_ms);
    for (int n = 20; n < 60; ++n)
        fleet->postBooking(static_cast<size_t>(n) % 4, "key-" + std::to_string(n));
    fleet->runFor(2_s);
    BOOST_CHECK_GT(fleet->upstream("desk-0").dispatches.size(), before);
    checkFleet(*fleet);
}

// Guards against requests that wait, or are told to come back at once, when all upstreams are in evacuated domains.
BOOST_AUTO_TEST_CASE(RefusedAtOnceWhenNothingElseIsLeft)
{
    EvacuationFleet it(8, 3);
    for (int n = 0; n < 3; ++n)
        it.order(EvacuationFleet::domainOf(n), true);
    it.run(1_s);
    const auto call = it.fleet.post(it.controls, { "GET", "/look/1", { { "Host", "h" }, { it.names.requestId, "last" } }, {} }, ListenerKind::Forward);
    BOOST_REQUIRE(waitFor(it.fleet, call, 100_ms));
    BOOST_CHECK_EQUAL(it.fleet.caller(call).status, 503U);
}

static void announceEngine(ForwardNode& it, const std::string& name, const std::string& domain)
{
    const Announcement announced { .name = name, .address = "127.0.0.2:" + std::to_string(9000 + ++it.announcements), .domain = domain, .model = "lm", .version = "v1", .incarnation = 1, .sequence = it.announcements };
    announce(it.node->membership, it.now, announced, it.node->membershipOutputs);
    it.run({});
}

// Failure domains for which instances are ordered while the engines have to read ten times what two of them can.
static std::set<std::string> orderedDomains(ForwardNode& it, TimeMs duration)
{
    std::set<std::string> out;
    double tokens = it.node->duties.demand.contains("lm") ? it.node->duties.demand.at("lm").totals.begin()->second : 0;
    for (const TimeMs end = it.now + duration; it.now < end; it.now += 500_ms) {
        for (const char* domain : { "a", "b" })
            announceEngine(it, std::string("engine-") + domain, domain);
        tokens += 400000;
        recordBackendDemand(*it.node, NodeId { 5 }, { .loads = {}, .placed = {}, .spent = {}, .toRead = { { "lm", tokens } }, .tokensPerMs = 40, .limits = {}, .crashes = {} });
        const auto order = dueScaleOrder(*it.node);
        if (!order)
            continue;
        out.insert(order->domain);
        it.node->duties.scaleOrder = *order;
        handleScaleResponse(*it.node, 200);
    }
    return out;
}

// Guards against instances that are ordered, or given up, in an evacuated domain, where they serve nothing.
BOOST_AUTO_TEST_CASE(PlanLeavesEvacuatedDomainsAlone)
{
    ForwardNode it;
    it.useRules("backend lm slots=64 memory-tokens=100000 min=1 max=20 # Asma: test\n");
    EvacuationsFrame frame { .sequence = 1, .evacuations = { { .domain = "a", .operatorName = "omar", .orderedAt = it.now } } };
    receiveEvacuations(*it.node, encode(frame));
    BOOST_TEST((orderedDomains(it, 20_s) == std::set<std::string> { "b" }));
    // An older set is ignored.
    frame.evacuations.clear();
    receiveEvacuations(*it.node, encode(frame));
    BOOST_TEST(isEvacuated(*it.node, "a"));
    frame.sequence = 2;
    receiveEvacuations(*it.node, encode(frame));
    BOOST_TEST(!isEvacuated(*it.node, "a"));
    BOOST_TEST(orderedDomains(it, 20_s).contains("a"));
}

BOOST_AUTO_TEST_SUITE_END()

}
