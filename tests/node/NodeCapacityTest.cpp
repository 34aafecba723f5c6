#include "FleetFixture.h"
#include "ForwardFixture.h"

#include "node/NodeCapacity.h"
#include "wire/Codec.h"

#include <cmath>
#include <limits>
#include <set>

namespace siskinshunt {

namespace {

    // Stated target: no response names a node that ended longer ago.
    constexpr TimeMs endedBound { 7000 };
    // Stated target: a late node has lost half or more of its new clients by then.
    constexpr TimeMs lateBound { 3000 };
    // Stated target: a node that is punctual again has its new clients back by then.
    constexpr TimeMs backBound { 10000 };

    // Entry nodes in three domains, and voters that answer queries for their addresses.
    struct DirectoryFleet {
        DirectoryFleet(int entries, int controls, const std::function<CapacitySettings(size_t entry)>& capacity = {})
            : fleet(optionsFor(entries, controls))
            , controls(static_cast<size_t>(controls))
        {
            for (size_t n = this->controls; capacity && n < fleet.nodes.size(); ++n)
                fleet.nodes[n].settings.capacity = capacity(n - this->controls);
            startForwardFleet(fleet);
            fleet.runFor(8_s);
        }

        static NodeFleetOptions optionsFor(int entries, int controls)
        {
            auto options = forwardFleetOptions(entries, controls);
            options.dialect = makeFleetDialect();
            options.entryValid = 2_s;
            return options;
        }

        std::string addressOf(size_t n) const { return toString(fleet.nodes[n].settings.listeners.forward); }
        const std::string& domainOf(size_t n) const { return fleet.nodes[n].settings.failureDomain; }

        // Status of the response and the addresses that it names.
        std::pair<uint16_t, std::vector<std::string>> resolve(size_t control, const std::string& domain, const std::string& peer = "127.0.0.1:9")
        {
            fleet.callerAddress = peer;
            const auto call = fleet.post(control, { "GET", "/resolve/" + domain, {}, {} }, ListenerKind::Directory);
            fleet.runUntil([&] { return fleet.caller(call).done; }, 100_ms);
            std::vector<std::string> out;
            std::istringstream in(fleet.caller(call).status == 200 ? fleet.caller(call).body : std::string {});
            for (std::string line; std::getline(in, line);)
                out.push_back(line);
            const auto status = fleet.caller(call).status;
            fleet.callers.erase(call);
            return { status, out };
        }

        // The response of builds that do not know weights.
        std::vector<std::string> wholeDomain(const std::string& domain) const
        {
            std::vector<std::string> out;
            for (size_t n = controls; n < fleet.nodes.size(); ++n) {
                if (domainOf(n) == domain && fleet.nodes[n].node)
                    out.push_back(addressOf(n));
            }
            std::sort(out.begin(), out.end());
            return out;
        }

        // Expected part of the new connections that each node gets from 300 clients of the domain.
        std::map<std::string, double> connections(const std::string& domain)
        {
            static constexpr int clients = 300;
            std::map<std::string, double> out;
            for (int n = 0; n < clients; ++n) {
                const auto named = resolve(static_cast<size_t>(n) % controls, domain, "127.1." + std::to_string(n / 250) + "." + std::to_string(1 + n % 250) + ":40000").second;
                for (const auto& it : named)
                    out[it] += 1.0 / clients / static_cast<double>(named.size());
            }
            return out;
        }

        // Queries all voters for all domains ten times a second, until the time after the end of the nodes. Returns the last time after their
        // end at which a response named one of them.
        TimeMs lastNamed(const std::set<std::string>& ended, TimeMs endedAt, TimeMs until)
        {
            TimeMs last;
            while (fleet.now < endedAt + until) {
                for (size_t n = 0; n < controls; ++n) {
                    for (size_t k = 0; k < 3; ++k) {
                        if (!fleet.nodes[n].node || fleet.nodes[n].frozen)
                            continue;
                        const auto [status, named] = resolve(n, domainOf(k));
                        refusals += status == 503 ? 1 : 0;
                        for (const auto& it : named)
                            last = ended.contains(it) ? std::max(last, fleet.now - endedAt) : last;
                    }
                }
                fleet.runFor(100_ms);
            }
            return last;
        }

        std::set<std::string> killEntries(size_t first, size_t step, size_t count)
        {
            std::set<std::string> out;
            for (size_t n = first; out.size() < count; n += step) {
                out.insert(addressOf(n));
                fleet.kill(n, false);
            }
            return out;
        }

        NodeFleet fleet;
        size_t controls;
        size_t refusals = 0; ///< Queries of lastNamed() that were refused.
    };

    CapacitySettings katasterCapacity(size_t entry)
    {
        return entry % 4 == 3 ? CapacitySettings { 0.3, 25 } : CapacitySettings { 0.09, 7.5 };
    }

}

BOOST_AUTO_TEST_SUITE(NodeCapacities)

// Guards against another response than before where capacities are alike, or unknown.
BOOST_AUTO_TEST_CASE(alikeNodesAreAllNamed)
{
    for (const bool known : { false, true }) {
        DirectoryFleet it(18, 3, [&](size_t) { return known ? CapacitySettings { 0.12, 10 } : CapacitySettings {}; });
        for (size_t n = 0; n < 3; ++n) {
            const auto [status, named] = it.resolve(n, it.domainOf(n));
            BOOST_TEST(status == 200);
            BOOST_TEST(named == it.wholeDomain(it.domainOf(n)), boost::test_tools::per_element());
        }
        checkFleet(it.fleet);
    }
}

// Load: 300 clients of a domain with nodes of 0.09 and 0.3 of a core. Guards against capacities that do not reach the voters.
BOOST_AUTO_TEST_CASE(connectionsFollowReportedCapacity)
{
    DirectoryFleet it(72, 5, katasterCapacity);
    const auto domain = it.domainOf(5);
    const auto found = it.connections(domain);
    std::array<double, 2> connections {};
    std::array<double, 2> cores {};
    for (size_t n = 5; n < it.fleet.nodes.size(); ++n) {
        if (it.domainOf(n) != domain)
            continue;
        const size_t kind = katasterCapacity(n - 5).cpuShare > 0.1 ? 1 : 0;
        cores[kind] += katasterCapacity(n - 5).cpuShare;
        connections[kind] += found.contains(it.addressOf(n)) ? found.at(it.addressOf(n)) : 0;
    }
    const double ratio = connections[0] / cores[0] / (connections[1] / cores[1]);
    BOOST_TEST_MESSAGE("connections per core at small nodes relative to large ones: " << ratio);
    BOOST_CHECK_LE(std::max(ratio, 1 / ratio), 1.15);
    checkFleet(it.fleet);
}

// Failure: a node runs 500 ms late, then is punctual again. Guards against one that keeps its new clients, loses all, or does not come back.
BOOST_AUTO_TEST_CASE(lateNodeLosesNewClients)
{
    DirectoryFleet it(24, 3);
    const size_t late = 3;
    const auto domain = it.domainOf(late);
    const double before = it.connections(domain)[it.addressOf(late)];
    BOOST_CHECK_CLOSE(before, 1.0 / 8, 1);
    it.fleet.nodes[late].lateness = 500_ms;
    const TimeMs lateAt = it.fleet.now;
    it.fleet.runFor(lateBound);
    const double during = it.connections(domain)[it.addressOf(late)];
    BOOST_CHECK_LE(during, before / 2);
    it.fleet.runFor(lateAt + 6_s - it.fleet.now);
    const double later = it.connections(domain)[it.addressOf(late)];
    BOOST_CHECK_LE(later, before / 2);
    BOOST_CHECK_GT(later, 0);
    it.fleet.nodes[late].lateness = {};
    it.fleet.runFor(backBound);
    BOOST_TEST(it.resolve(0, domain).second == it.wholeDomain(domain), boost::test_tools::per_element());
    BOOST_TEST_MESSAGE("part of the new connections: " << before << " before, " << during << " after 3 s, " << later << " later");
    checkFleet(it.fleet);
}

// Failure: a domain loses two thirds of its nodes. Guards against clients that all go to the rest.
BOOST_AUTO_TEST_CASE(shortDomainGetsNodesOfOthers)
{
    DirectoryFleet it(36, 3);
    const auto domain = it.domainOf(3);
    it.killEntries(3, 3, 8);
    it.fleet.runFor(endedBound);
    const auto left = it.wholeDomain(domain);
    BOOST_REQUIRE_EQUAL(left.size(), 4U);
    double others = 0;
    for (const auto& [address, part] : it.connections(domain))
        others += std::find(left.begin(), left.end(), address) == left.end() ? part : 0;
    BOOST_TEST_MESSAGE("part of the new connections that goes to other domains: " << others);
    BOOST_CHECK_GE(others, 0.2);
    BOOST_CHECK_LE(others, 0.6);
    BOOST_TEST(it.resolve(0, it.domainOf(1)).second == it.wholeDomain(it.domainOf(1)), boost::test_tools::per_element());
    checkFleet(it.fleet);
}

// Failure: entry nodes are killed, one or two thirds of them at once, with and without a loss of a tenth of the datagrams. Guards against
// responses that name them later than the rule allows, against voters that refuse when one of many nodes is killed, and against voters that do
// not answer again when most are.
BOOST_AUTO_TEST_CASE(killedNodesLeaveTheResponses)
{
    struct Case {
        int entries;
        int controls;
        size_t killed;
        double loss;
    };
    for (const auto& [entries, controls, killed, loss] : { Case { 24, 3, 1, 0 }, Case { 24, 3, 16, 0 }, Case { 80, 5, 1, 0.1 }, Case { 80, 5, 53, 0 }, Case { 80, 5, 53, 0.1 } }) {
        DirectoryFleet it(entries, controls);
        it.fleet.loss = loss;
        const auto ended = it.killEntries(it.controls, 1, killed);
        const TimeMs last = it.lastNamed(ended, it.fleet.now, 10_s);
        BOOST_TEST_MESSAGE(killed << " of " << entries << " killed, loss " << loss << ": last named after " << last.value << " ms, " << it.refusals << " of " << 300 * controls << " queries refused");
        BOOST_CHECK_LE(last.value, endedBound.value);
        if (killed == 1)
            BOOST_CHECK_EQUAL(it.refusals, 0U);
        BOOST_TEST(it.resolve(0, it.domainOf(0)).first == 200);
        checkFleet(it.fleet);
    }
}

// Failure: entry nodes are killed while a voter is frozen for 5 to 40 s, and their last messages wait in its sockets. Guards against a voter that
// names them after it goes on, and against one that does not answer again soon.
BOOST_AUTO_TEST_CASE(pausedVoterNamesNoDeadNodes)
{
    for (const TimeMs pause : { 5_s, 8_s, 40_s }) {
        DirectoryFleet it(24, 3);
        it.fleet.freeze(1);
        it.fleet.runFor(500_ms);
        const TimeMs endedAt = it.fleet.now;
        const auto ended = it.killEntries(3, 2, 8);
        it.fleet.runFor(pause);
        // A query that waited, and others from now on.
        const auto waiting = it.fleet.post(1, { "GET", "/resolve/" + it.domainOf(3), {}, {} }, ListenerKind::Directory);
        it.fleet.runFor(10_ms);
        it.fleet.thaw(1);
        it.fleet.runFor(10_ms);
        const TimeMs resumedAt = it.fleet.now;
        if (it.fleet.now - endedAt > endedBound) {
            for (const auto& address : ended)
                BOOST_CHECK(it.fleet.caller(waiting).body.find(address + "\n") == std::string::npos);
        }
        const TimeMs last = it.lastNamed(ended, endedAt, pause + 8_s);
        BOOST_TEST_MESSAGE("paused for " << pause.value << " ms: last named after " << last.value << " ms");
        BOOST_CHECK_LE(last.value, endedBound.value);
        const auto [status, named] = it.resolve(1, it.domainOf(3));
        BOOST_TEST(status == 200);
        BOOST_CHECK_GE(named.size(), 3U);
        BOOST_CHECK(it.fleet.now > resumedAt);
        checkFleet(it.fleet);
    }
}

// Failure: a voter restarts while entry nodes have just been killed. Guards against one that names what its peers still believe, or all that it
// restores, and against one that answers too late.
BOOST_AUTO_TEST_CASE(restartedVoterNamesNoDeadNodes)
{
    DirectoryFleet it(24, 3);
    const TimeMs endedAt = it.fleet.now;
    const auto ended = it.killEntries(3, 2, 8);
    it.fleet.kill(1, false);
    it.fleet.runFor(200_ms);
    it.fleet.start(1);
    const TimeMs startedAt = it.fleet.now;
    TimeMs last;
    TimeMs answered;
    while (it.fleet.now < startedAt + 10_s) {
        const auto [status, named] = it.resolve(1, it.domainOf(3));
        answered = status == 200 && answered == TimeMs {} ? it.fleet.now - startedAt : answered;
        for (const auto& address : named)
            last = ended.contains(address) ? it.fleet.now - endedAt : last;
        it.fleet.runFor(50_ms);
    }
    BOOST_TEST_MESSAGE("first answer " << answered.value << " ms after the start, dead nodes last named after " << last.value << " ms");
    BOOST_CHECK_LE(last.value, endedBound.value);
    BOOST_CHECK(answered > TimeMs {});
    BOOST_CHECK_LE(answered.value, 5000);
    BOOST_TEST(it.resolve(1, it.domainOf(3)).second == it.wholeDomain(it.domainOf(3)), boost::test_tools::per_element());
    checkFleet(it.fleet);
}

// Failure: a voter is cut off from all nodes for 15 s, in which entry nodes are killed. Guards against responses of a voter that cannot know.
BOOST_AUTO_TEST_CASE(partitionedVoterRefuses)
{
    DirectoryFleet it(24, 3);
    it.fleet.isolate(1, true);
    const TimeMs endedAt = it.fleet.now;
    const auto ended = it.killEntries(3, 2, 8);
    it.fleet.runFor(3500_ms);
    BOOST_TEST(it.resolve(1, it.domainOf(3)).first == 503);
    BOOST_TEST(it.resolve(0, it.domainOf(3)).first == 200);
    it.fleet.runFor(endedAt + 15_s - it.fleet.now);
    BOOST_TEST(it.resolve(1, it.domainOf(3)).first == 503);
    it.fleet.isolate(1, false);
    const TimeMs last = it.lastNamed(ended, endedAt, 30_s);
    BOOST_TEST_MESSAGE("dead nodes last named after " << last.value << " ms");
    BOOST_CHECK_LE(last.value, endedBound.value);
    BOOST_TEST(it.resolve(1, it.domainOf(3)).second == it.wholeDomain(it.domainOf(3)), boost::test_tools::per_element());
    checkFleet(it.fleet);
}

// Entry nodes of a build that does not report. Guards against voters that refuse, or name only nodes that report, while builds run side by side.
BOOST_AUTO_TEST_CASE(nodesThatDoNotReportAreNamed)
{
    DirectoryFleet it(18, 3);
    for (size_t n = 0; n < it.controls; ++n) {
        it.fleet.kill(n, false);
        it.fleet.runFor(3_s);
        it.fleet.start(n);
        it.fleet.runFor(5_s);
    }
    // Every second entry node, as seen by a voter that has started since.
    const auto reportsNot = [&](size_t from) { return from >= it.controls && from % 2 == 0; };
    it.fleet.losesFrame = [&](size_t from, size_t to, const std::string& frame) { return to < it.controls && reportsNot(from) && frame.size() > 1 && static_cast<FrameKind>(frame[1]) == FrameKind::NodeCapacity; };
    it.fleet.kill(2, false);
    it.fleet.runFor(3_s);
    it.fleet.start(2);
    it.fleet.runFor(12_s);
    const auto [status, named] = it.resolve(2, it.domainOf(3));
    BOOST_TEST(status == 200);
    BOOST_TEST(named == it.wholeDomain(it.domainOf(3)), boost::test_tools::per_element());
    BOOST_TEST(std::count_if(it.fleet.nodes[2].node->nodeCapacity.entries.begin(), it.fleet.nodes[2].node->nodeCapacity.entries.end(), [](const auto& entry) { return !entry.second.reports; }) == 9);
    checkFleet(it.fleet);
}

// Corrupted reports. Guards against values out of range that reach the weights, and against reports that cannot be decoded.
BOOST_AUTO_TEST_CASE(valuesOutOfRangeAreDropped)
{
    DirectoryFleet it(6, 3);
    auto& node = *it.fleet.nodes[0].node;
    const NodeId from = idOfName<NodeId>("entry-4");
    const uint64_t process = processOf(findMember(node.membership, from)->status.incarnation);
    for (const double bad : { std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity(), -1.0, 1e300 }) {
        const uint64_t before = node.counters.get("node_capacity_values_dropped");
        receiveNodeCapacity(node, from, node.now, encode(NodeCapacityFrame { .process = process, .cpuShare = bad, .linkMbps = 25, .latenessMs = UINT64_MAX, .inFlight = 3 }));
        const auto& entry = node.nodeCapacity.entries.at(from);
        BOOST_TEST(entry.capacity.cpuShare == 0.0);
        BOOST_TEST(entry.capacity.linkMbps == 25.0);
        BOOST_TEST((entry.lateness == TimeMs {} && entry.inFlight == 3U));
        BOOST_TEST(node.counters.get("node_capacity_values_dropped") == before + 2);
    }
    const uint64_t dropped = node.droppedMessages["bad_body"];
    receiveNodeCapacity(node, from, node.now, "short");
    receiveNodeCapacity(node, from, node.now, std::string(200, 'x'));
    receiveNodeCapacity(node, NodeId { 77 }, node.now, encode(NodeCapacityFrame { .process = process }));
    BOOST_TEST(node.droppedMessages["bad_body"] == dropped + 3);
    BOOST_TEST(!node.nodeCapacity.entries.contains(NodeId { 77 }));
}

BOOST_AUTO_TEST_SUITE_END()

}
