#include "membership/GossipNetwork.h"
#include "membership/Messages.h"
#include "wire/Codec.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace siskinshunt;

namespace {

constexpr uint64_t maxBytesPerSecond = 18000;

std::vector<size_t> hostsExcept(size_t count, std::vector<size_t> excluded = {})
{
    std::vector<size_t> hosts(count);
    std::iota(hosts.begin(), hosts.end(), 0);
    std::erase_if(hosts, [&](size_t n) { return std::find(excluded.begin(), excluded.end(), n) != excluded.end(); });
    return hosts;
}

size_t countEvents(const GossipNetwork& network, MembershipEventKind kind)
{
    size_t count = 0;
    for (const auto& host : network.hosts)
        count += static_cast<size_t>(std::count_if(host.events.begin(), host.events.end(), [&](const auto& it) { return it.kind == kind; }));
    return count;
}

uint64_t peakBytesPerSecond(const GossipNetwork& network)
{
    uint64_t peak = 0;
    for (const auto& host : network.hosts)
        peak = std::max(peak, host.peakBytesPerSecond);
    return peak;
}

/// Virtual time until the hosts' member tables converge, at most the limit.
TimeMs timeToConverge(GossipNetwork& network, const std::vector<size_t>& live, TimeMs limit)
{
    const TimeMs begin = network.now;
    while (!network.hasConverged(live) && network.now - begin < limit)
        network.run(100_ms);
    return network.now - begin;
}

Announcement runner(const std::string& name, uint64_t sequence)
{
    Announcement it;
    it.name = name;
    it.address = "10.9.0.1:8000";
    it.domain = "domain0";
    it.model = "crew";
    it.incarnation = 1;
    it.sequence = sequence;
    return it;
}

void announceAt(GossipNetwork& network, size_t host, const Announcement& it)
{
    announce(network.node(host), network.now, it, network.outputs);
    network.flush(host);
}

}

// Guards against nodes that learn of their seeds only.
BOOST_AUTO_TEST_CASE(nodesJoinBySeeds)
{
    GossipNetwork network(1, { .loss = 0.02, .duplicate = 0.02 });
    for (int n = 0; n < 8; ++n)
        network.add("node" + std::to_string(n), "domain" + std::to_string(n % 3));
    BOOST_TEST(timeToConverge(network, hostsExcept(8), 10_s).value < 10000, network.describeDivergence(hostsExcept(8)));
    BOOST_TEST(countEvents(network, MembershipEventKind::MemberDown) == 0U);
}

// Largest and smallest number of members that any node knows.
static std::pair<size_t, size_t> knownMembers(GossipNetwork& network)
{
    std::pair<size_t, size_t> out { 0, SIZE_MAX };
    for (size_t n = 0; n < network.hosts.size(); ++n) {
        out.first = std::max(out.first, network.node(n).members.size() + 1);
        out.second = std::min(out.second, network.node(n).members.size() + 1);
    }
    return out;
}

// All nodes start at once and know the same three seeds; upstreams announce themselves to some of the nodes.
static void coldStart(size_t nodes, size_t upstreams, TimeMs limit)
{
    GossipNetwork network(3);
    for (size_t n = 0; n < nodes; ++n)
        network.add("node" + std::to_string(n), "domain" + std::to_string(n % 3));
    network.run(1_s);
    for (size_t n = 0; n < upstreams; ++n) {
        const size_t observer = n % 9;
        const Announcement announced { .name = "runner" + std::to_string(n), .address = "10.9.0.1:" + std::to_string(8000 + n), .domain = "domain0", .model = "lm", .incarnation = 1, .sequence = 1 };
        announce(network.node(observer), network.now, announced, network.outputs);
        network.flush(observer);
    }
    network.run(limit - 1_s);
    BOOST_TEST(knownMembers(network).second == nodes);
    for (size_t n = 0; n < nodes; ++n)
        BOOST_TEST(network.node(n).upstreams.entries.size() == upstreams);
}

// Guards against a cold start in which nodes learn of their seeds only: pings of all nodes use up the seeds' bandwidth, so
// that the seeds spread no other members.
BOOST_AUTO_TEST_CASE(eightyNodesFindEachOtherFromThreeSeeds) { coldStart(81, 140, 8_s); }

// The same at the design size of 400 nodes.
BOOST_AUTO_TEST_CASE(fourHundredNodesFindEachOtherFromThreeSeeds) { coldStart(400, 0, 20_s); }

// Guards against a dead node that stays a member, and against a restarted node that is mistaken for the dead one.
BOOST_AUTO_TEST_CASE(killedNodeIsDroppedAndReturnsUnderItsName)
{
    GossipNetwork network(2);
    network.addConverged(32, 3);
    network.run(3_s);
    network.crash(5);
    BOOST_TEST(timeToConverge(network, hostsExcept(32, { 5 }), 10_s).value < 8000);
    network.run(60_s);
    network.start(5);
    BOOST_TEST(timeToConverge(network, hostsExcept(32), 10_s).value < 5000, network.describeDivergence(hostsExcept(32)));
    // The replacement starts before the failure is detected.
    network.crash(6);
    network.run(200_ms);
    network.start(6);
    network.run(15_s);
    BOOST_TEST(network.hasConverged(hostsExcept(32)), network.describeDivergence(hostsExcept(32)));
    for (const size_t n : hostsExcept(32, { 6 }))
        BOOST_TEST(findMember(network.node(n), idOfName<NodeId>("node6"))->status.incarnation >= network.node(6).own.incarnation);
}

// Guards against declaring a live node dead because some of its datagrams were lost.
BOOST_AUTO_TEST_CASE(falseSuspicionIsRefuted)
{
    GossipNetwork network(3, { .loss = 0.1 });
    network.addConverged(32, 3);
    network.run(120_s);
    BOOST_TEST(countEvents(network, MembershipEventKind::MemberSuspect) > 0U);
    BOOST_TEST(countEvents(network, MembershipEventKind::Refuted) > 0U);
    BOOST_TEST(countEvents(network, MembershipEventKind::MemberDown) == 0U);
    network.link.loss = 0;
    network.run(10_s);
    BOOST_TEST(network.hasConverged(hostsExcept(32)), network.describeDivergence(hostsExcept(32)));
}

// Guards against a process that suspects all members after a pause.
BOOST_AUTO_TEST_CASE(pausedNodeAccusesNobody)
{
    GossipNetwork network(4);
    network.addConverged(16, 3);
    network.run(3_s);
    network.hosts[2].paused = true;
    network.run(20_s);
    for (auto& host : network.hosts)
        host.events.clear();
    network.hosts[2].paused = false;
    network.run(15_s);
    BOOST_TEST(countEvents(network, MembershipEventKind::MemberDown) == 0U);
    BOOST_TEST(network.hasConverged(hostsExcept(16)), network.describeDivergence(hostsExcept(16)));
}

static void partitionForAnHour(size_t count, const std::vector<size_t>& isolated, TimeMs healLimit)
{
    GossipNetwork network(7, { .loss = 0.005 });
    network.addConverged(count, 4);
    network.run(3_s);
    for (const size_t n : isolated)
        network.hosts[n].partition = 1;
    BOOST_TEST(timeToConverge(network, hostsExcept(count, isolated), 20_s).value < 20000);
    network.run(3600_s);
    BOOST_TEST(network.hasConverged(isolated), network.describeDivergence(isolated));
    network.clearTraffic();
    for (auto& host : network.hosts) {
        host.partition = 0;
        host.events.clear();
    }
    const TimeMs took = timeToConverge(network, hostsExcept(count), 120_s);
    BOOST_TEST(took.value <= healLimit.value, network.describeDivergence(hostsExcept(count)));
    network.run(5_s);
    BOOST_TEST_MESSAGE("healed after " << took.value << " ms, peak traffic " << peakBytesPerSecond(network) << " bytes/s");
    BOOST_TEST(peakBytesPerSecond(network) < maxBytesPerSecond);
    BOOST_TEST(countEvents(network, MembershipEventKind::MemberDown) == 0U);
}

// Guards against a single node that stays dead in the other nodes' tables after a partition of an hour.
BOOST_AUTO_TEST_CASE(partitionOfOneHeals) { partitionForAnHour(8, { 3 }, 40_s); }

// Guards against halves that never reconnect, or that exceed the traffic limit when they do.
BOOST_AUTO_TEST_CASE(partitionOfHalfHealsWithoutStorm) { partitionForAnHour(10, { 1, 3, 5, 7, 9 }, 60_s); }

// Guards against waiting for the suspicion timeout after a node has announced that it leaves.
BOOST_AUTO_TEST_CASE(leavingIsKnownAtOnce)
{
    GossipNetwork network(8);
    network.addConverged(32, 3);
    network.run(3_s);
    leave(network.node(4), network.now, network.outputs);
    network.flush(4);
    network.run(2_s);
    network.crash(4);
    BOOST_TEST(network.hasConverged(hostsExcept(32, { 4 })), network.describeDivergence(hostsExcept(32, { 4 })));
    BOOST_TEST(countEvents(network, MembershipEventKind::MemberSuspect) == 0U);
}

// Guards against two processes of the same name that both stay in service: the earlier one has to stop.
BOOST_AUTO_TEST_CASE(earlierProcessOfOneNameStops)
{
    GossipNetwork network(9);
    network.addConverged(8, 3);
    network.run(3_s);
    // The replacement runs at another address under the name of node 3.
    const size_t replacement = network.add("node3", "domain0");
    network.run(10_s);
    BOOST_TEST(network.node(3).stopped);
    BOOST_TEST(!network.node(replacement).stopped);
    const Member* seen = findMember(network.node(0), idOfName<NodeId>("node3"));
    BOOST_TEST(seen->identity.udpAddress == network.hosts[replacement].options.identity.udpAddress);
    BOOST_TEST(countEvents(network, MembershipEventKind::Replaced) == 1U);
}

// Guards against admitting a node whose id is in use by another name. A real hash collision cannot be constructed here, so
// the test changes the name in the other nodes' tables.
BOOST_AUTO_TEST_CASE(collidingNodeIsRefused)
{
    GossipNetwork network(10);
    network.addConverged(8, 3);
    network.run(2_s);
    network.crash(7);
    const NodeId id = idOfName<NodeId>("node7");
    for (const size_t n : hostsExcept(8, { 7 }))
        network.node(n).members[id].identity.name = "another name with the same id";
    network.start(7);
    network.run(5_s);
    BOOST_TEST(network.node(7).stopped);
    BOOST_TEST((network.hosts[7].events.back().kind == MembershipEventKind::Collision));
}

// Guards against forged, replayed, truncated and undecodable datagrams that change state or crash the process.
BOOST_AUTO_TEST_CASE(hostileDatagramsAreDropped)
{
    GossipNetwork network(11);
    network.addConverged(3, 3);
    Membership& node = network.node(0);
    MembershipOutputs out;
    const auto receiveFromPeer = [&](const std::string& bytes) { return receive(node, network.now, "10.0.0.9:1", bytes, out); };
    Envelope envelope { .cluster = 42, .sender = network.node(1).self, .sentAt = network.now + network.utcBase, .sequence = node.nextSequence + 1000, .kind = 1 };
    GossipMessage message { .probe = 1 };
    message.sender = network.node(1).own;
    envelope.body = encode(message);
    const MacKey key = network.hosts[0].options.key;
    const std::string good = seal(key, envelope);
    BOOST_TEST((receiveFromPeer(good) == DropReason::None));
    BOOST_TEST((receiveFromPeer(good) == DropReason::Replay));
    std::string forged = good;
    forged[60] = static_cast<char>(forged[60] ^ 1);
    BOOST_TEST((receiveFromPeer(forged) == DropReason::BadMac));
    BOOST_TEST((receiveFromPeer(good.substr(0, 40)) == DropReason::BadSize));
    const auto receiveModified = [&](auto&& change) {
        Envelope other = envelope;
        other.sequence = ++envelope.sequence;
        change(other);
        return receiveFromPeer(seal(key, other));
    };
    BOOST_TEST((receiveModified([](Envelope& it) { it.body.resize(it.body.size() - 1); }) == DropReason::BadBody));
    BOOST_TEST((receiveModified([](Envelope& it) { it.body[it.body.size() - 1] = '\x7f'; }) == DropReason::BadBody));
    BOOST_TEST((receiveModified([](Envelope& it) { it.kind = 9; }) == DropReason::BadKind));
    BOOST_TEST((receiveModified([](Envelope& it) { it.group = { 3 }; }) == DropReason::BadGroup));
    BOOST_TEST((receiveModified([](Envelope& it) { it.sentAt -= 60_s; }) == DropReason::Stale));
    BOOST_TEST((receiveModified([&](Envelope& it) { it.sender = network.node(2).self; }) == DropReason::BadSender));
    BOOST_TEST((receiveTableFrame(node, network.now, network.node(1).self, TableFrameKind::TableRecords, "\1xxxx", out) == DropReason::BadBody));
    BOOST_TEST((receiveTableFrame(node, network.now, { 99 }, TableFrameKind::TableDigest, "", out) == DropReason::BadSender));
}

// Guards against lost reclaim notices when a failure domain is reclaimed twice in a row: within 3 s every node has to know
// of all notices, and no node may give the upstreams new work after that.
BOOST_AUTO_TEST_CASE(domainReclaimedTwiceIsKnownEverywhere)
{
    GossipNetwork network(12, { .loss = 0.02 });
    network.addConverged(24, 3);
    std::vector<Announcement> runners(12);
    for (size_t n = 0; n < runners.size(); ++n)
        runners[n] = runner("runner" + std::to_string(n), 1);
    const auto announceAll = [&] {
        for (size_t n = 0; n < runners.size(); ++n) {
            ++runners[n].sequence;
            announceAt(network, n, runners[n]);
            announceAt(network, n + 1, runners[n]);
        }
    };
    for (int wave = 0; wave < 2; ++wave) {
        for (auto& it : runners)
            it.reclaimIn.reset();
        for (int second = 0; second < 5; ++second) {
            announceAll();
            network.run(1_s);
        }
        for (auto& it : runners)
            it.reclaimIn = 20_s;
        announceAll();
        network.run(2500_ms);
        for (const auto& host : network.hosts) {
            for (const auto& it : runners) {
                const Upstream* seen = findUpstream(host.node->upstreams, idOfName<UpstreamId>(it.name));
                BOOST_REQUIRE(seen);
                BOOST_TEST(!acceptsNewWork(*seen, network.now + 500_ms, 3_s));
            }
        }
        // The instances are reclaimed without further notice: the upstreams fall silent and restart as new processes.
        network.run(12_s);
        for (const auto& host : network.hosts)
            BOOST_TEST(host.node->upstreams.entries.empty());
        for (auto& it : runners)
            ++it.incarnation;
    }
}

// Guards against a higher rules revision that some node does not learn of.
BOOST_AUTO_TEST_CASE(higherRevisionIsSeenEverywhere)
{
    GossipNetwork network(13, { .loss = 0.02 });
    network.addConverged(32, 3);
    network.run(2_s);
    setOwnStatus(network.node(9), network.now, { .rulesRevision = 7, .directive = 3 });
    network.run(5_s);
    for (const size_t n : hostsExcept(32, { 9 })) {
        BOOST_TEST(findMember(network.node(n), network.node(9).self)->status.rulesRevision == 7U);
        const auto& events = network.hosts[n].events;
        BOOST_TEST(std::any_of(events.begin(), events.end(), [](const auto& it) { return it.kind == MembershipEventKind::HigherRevision && it.revision == 7; }));
    }
}
