#include "EntryFleet.h"

#include "node/LoadHubs.h"
#include "node/PeerMessages.h"

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(LoadUpdates)

namespace {

    // Entry nodes, with load hubs, in front of an upstream that takes long to answer.
    struct LoadedFleet : EntryFleet {
        LoadedFleet(int entries, int controls)
            : EntryFleet(entries, controls, 1)
        {
            const std::string author = " # Asma: loads\n";
            configure(1, "backend hire-desk" + author + "forward look host=h prefix=/look/ kind=repeatable timeout=9s target=5s attempts=1 anonymous=yes to=hire-desk:1" + author);
            fleet.runFor(3_s);
            fleet.upstream("desk-0").latency = 6_s;
            fleet.forwardAnswer = [](size_t, const UpstreamDispatch& it) { return HttpHeaders { { HeaderNames {}.requestId, it.idValue }, { HeaderNames {}.receipt, "proof" } }; };
        }

        // Entry nodes that know of less load than this at the upstream.
        size_t unawareOfLoad(double running)
        {
            size_t n = 0;
            for (size_t k = controls; k < fleet.nodes.size(); ++k) {
                const ForwardTarget* target = findTarget(fleet.nodes[k].node->forward.targets, idOfName<UpstreamId>("desk-0"));
                n += target && target->own.running + target->others.running >= running ? 0 : 1;
            }
            return n;
        }

        size_t nodesWithLoadOtherThan(double running)
        {
            return unawareOfLoad(running) + (fleet.nodes.size() - controls) - unawareOfLoad(running + 0.5);
        }
    };

}

// Guards against herds at large sizes: nodes that hear of new load only after some hundred milliseconds all choose the engine that has
// looked idle since.
BOOST_AUTO_TEST_CASE(AllNodesSoonKnowNewLoad)
{
    for (const auto& [entries, bound] : { std::pair(30, 150_ms), std::pair(130, 260_ms) }) {
        LoadedFleet it(entries, 5);
        for (size_t n = 1; n <= 5; ++n) {
            it.fleet.post(it.controls + n * 3, { "GET", "/look/1", { { "Host", "h" }, { HeaderNames {}.requestId, "r" + std::to_string(n) } }, {} }, ListenerKind::Forward);
            it.fleet.runFor(bound);
            BOOST_CHECK_EQUAL(it.unawareOfLoad(static_cast<double>(n)), 0U);
        }
    }
}

// Guards against load that is counted twice, or not taken off, when updates and complete reports overtake each other.
BOOST_AUTO_TEST_CASE(UpdatesAndReportsAgree)
{
    LoadedFleet it(40, 5);
    it.fleet.upstream("desk-0").latency = 700_ms;
    for (int n = 0; n < 60; ++n) {
        it.fleet.post(it.controls + static_cast<size_t>(n * 7 % 40), { "GET", "/look/1", { { "Host", "h" }, { HeaderNames {}.requestId, "r" + std::to_string(n) } }, {} }, ListenerKind::Forward);
        it.fleet.runFor(30_ms);
        BOOST_CHECK_EQUAL(it.unawareOfLoad(0), 0U);
    }
    it.fleet.runFor(2_s);
    BOOST_CHECK_EQUAL(it.nodesWithLoadOtherThan(0), 0U);
}

// Guards against load that nodes of an earlier build hide from those of this one, or keep after it has ended: they drop updates and send none.
BOOST_AUTO_TEST_CASE(NodesThatKnowNoUpdatesAgree)
{
    LoadedFleet it(40, 5);
    const auto isEarlier = [](size_t node) { return node % 2 == 1; };
    it.fleet.losesFrame = [&](size_t from, size_t to, const std::string& frame) { return (isEarlier(from) || isEarlier(to)) && frame.at(1) >= static_cast<char>(FrameKind::LoadUpdate); };
    it.fleet.upstream("desk-0").latency = 3_s;
    for (size_t n = 1; n <= 10; ++n) {
        it.fleet.post(it.controls + n * 3, { "GET", "/look/1", { { "Host", "h" }, { HeaderNames {}.requestId, "r" + std::to_string(n) } }, {} }, ListenerKind::Forward);
        it.fleet.runFor(50_ms);
    }
    it.fleet.runFor(1200_ms);
    BOOST_CHECK_EQUAL(it.nodesWithLoadOtherThan(10), 0U);
    it.fleet.runFor(4_s);
    BOOST_CHECK_EQUAL(it.nodesWithLoadOtherThan(0), 0U);
}

// Guards against old sums of a hub that was frozen: until its nodes report to it again it sends what it knew before, and engines look idle.
BOOST_AUTO_TEST_CASE(OldSumsOfAReturningHubAreIgnored)
{
    LoadedFleet it(30, 5);
    const auto hub = std::find_if(it.fleet.nodes.begin(), it.fleet.nodes.end(), [&](const auto& node) { return node.node->self == domainHub(*it.fleet.nodes.back().node); });
    BOOST_REQUIRE(hub != it.fleet.nodes.end());
    const auto frozen = static_cast<size_t>(hub - it.fleet.nodes.begin());
    it.fleet.freeze(frozen);
    it.fleet.runFor(4_s);
    for (size_t n = 1; n <= 5; ++n) {
        it.fleet.post(it.controls + n * 3, { "GET", "/look/1", { { "Host", "h" }, { HeaderNames {}.requestId, "r" + std::to_string(n) } }, {} }, ListenerKind::Forward);
        it.fleet.runFor(20_ms);
    }
    it.fleet.runFor(600_ms);
    BOOST_REQUIRE_EQUAL(it.unawareOfLoad(5), 0U);
    it.fleet.thaw(frozen);
    size_t most = 0;
    for (int n = 0; n < 100; ++n) {
        it.fleet.runFor(20_ms);
        most = std::max(most, it.unawareOfLoad(5));
    }
    BOOST_CHECK_EQUAL(most, 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}
