#include "ForwardFixture.h"

#include "membership/Messages.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(SilentUpstream)

namespace {

    const NodeId peer = idOfName<NodeId>("entry-2");

    // An upstream that announces itself to another node only.
    void addRemoteUpstream(ForwardNode& entry, const std::string& name)
    {
        const MemberIdentity identity { .name = "entry-2", .udpAddress = "127.0.0.3:7000", .tcpAddress = "127.0.0.3:7000", .httpAddress = "127.0.0.3:8080", .domain = "a" };
        learnMembers(entry.node->membership, entry.now, { { identity, { .id = peer, .incarnation = firstIncarnation(entry.now), .version = 1 } } }, entry.node->membershipOutputs);
        Announcement announced;
        announced.name = name;
        announced.address = "127.0.0.4:9000";
        announced.domain = "a";
        announced.model = "desk";
        announced.version = "v1";
        announced.incarnation = 1;
        announced.sequence = 1;
        announced.load.capacity = 4;
        upsertRecord(entry.node->membership.upstreams, entry.now, { announced, 1, {}, { { peer, 1, true } } });
        entry.advance(300_ms);
    }

    size_t requestsTo(const ForwardNode& entry, std::string_view name)
    {
        return static_cast<size_t>(std::count_if(entry.dispatches.begin(), entry.dispatches.end(), [&](const auto& it) { return findHeader(it.request.headers, entry.names.target) == name; }));
    }

    /// Format in which earlier builds stored the upstreams.
    struct EarlierStoredUpstreams {
        std::vector<Announcement> announced;

        template <class Archive>
        void serialize(Archive& archive) { archive(announced); }
    };

    const Upstream* upstreamAt(const NodeFleet& fleet, size_t node, const std::string& name)
    {
        return findUpstream(fleet.nodes[node].node->membership.upstreams, idOfName<UpstreamId>(name));
    }

    // Whether any node would still send new work to the upstream.
    bool isInUse(const NodeFleet& fleet, const std::string& name)
    {
        for (size_t n = 0; n < fleet.nodes.size(); ++n) {
            const Upstream* upstream = upstreamAt(fleet, n, name);
            if (upstream && acceptsNewWork(*upstream, fleet.now, 3_s))
                return true;
        }
        return false;
    }

}

// Guards against requests for an upstream that is gone for seconds after its last observer has withdrawn its observation.
BOOST_AUTO_TEST_CASE(WithdrawnUpstreamGetsNoWork)
{
    ForwardNode entry;
    addRemoteUpstream(entry, "d2");
    entry.post("/book/0");
    BOOST_REQUIRE_EQUAL(requestsTo(entry, "d2"), 1U);
    entry.addUpstream("d1", "desk", 1);
    const UpstreamNotice withdrawn { .id = idOfName<UpstreamId>("d2"), .incarnation = 1, .contentSequence = 1, .observation = { peer, 2, false } };
    BOOST_REQUIRE((applyNotice(entry.node->membership.upstreams, entry.now, withdrawn) == UpsertResult::Changed));
    entry.advance(300_ms);
    for (int n = 0; n < 8; ++n)
        entry.post("/book/1");
    BOOST_CHECK_EQUAL(requestsTo(entry, "d1"), 8U);
    BOOST_CHECK_EQUAL(requestsTo(entry, "d2"), 1U);
}

// Guards against requests for an upstream that has been silent for longer than the interval after which this node tells the
// others that it is.
BOOST_AUTO_TEST_CASE(SilentUpstreamGetsNoWork)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk", 1);
    entry.advance(3_s);
    entry.addUpstream("d2", "desk", 2);
    entry.advance(300_ms);
    for (int n = 0; n < 8; ++n)
        entry.post("/book/1");
    BOOST_CHECK_EQUAL(requestsTo(entry, "d1"), 0U);
    BOOST_CHECK_EQUAL(requestsTo(entry, "d2"), 8U);
}

// Guards against a fleet without work because no node observes any upstream, for example after a partition.
BOOST_AUTO_TEST_CASE(SilentUpstreamIsTheLastResort)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk", 1);
    entry.advance(8_s);
    entry.post("/book/1");
    BOOST_CHECK_EQUAL(requestsTo(entry, "d1"), 1U);
}

// Guards against restarted voters that claim to observe an upstream that was lost while they were down.
BOOST_AUTO_TEST_CASE(RestoredUpstreamIsNotObserved)
{
    const auto fleet = makeFleet();
    fleet->runFor(2_s);
    for (size_t n = 0; n < 3; ++n)
        fleet->kill(n, false);
    fleet->upstream("runner-0").up = false;
    fleet->runFor(1_s);
    for (size_t n = 0; n < 3; ++n)
        fleet->start(n);
    for (size_t n = 0; n < 3; ++n) {
        const Upstream* upstream = upstreamAt(*fleet, n, "runner-0");
        BOOST_REQUIRE(upstream);
        BOOST_CHECK(!upstream->local);
        BOOST_CHECK(std::none_of(upstream->observations.begin(), upstream->observations.end(), [](const auto& it) { return it.active; }));
        BOOST_CHECK(acceptsNewWork(*upstream, fleet->now, 3_s));
    }
    BOOST_CHECK(fleet->runUntil([&] { return !isInUse(*fleet, "runner-0"); }, 3_s));
    fleet->runFor(1_s);
    BOOST_CHECK(!isInUse(*fleet, "runner-0"));
    for (const std::string name : { "runner-1", "runner-2", "desk-0", "desk-1" }) {
        for (size_t n = 0; n < fleet->nodes.size(); ++n)
            BOOST_CHECK(upstreamAt(*fleet, n, name) && acceptsNewWork(*upstreamAt(*fleet, n, name), fleet->now, 3_s));
    }
    checkFleet(*fleet);
}

// Guards against nodes that know no upstream after the loss of all power until the upstreams announce themselves.
BOOST_AUTO_TEST_CASE(RestoredUpstreamsAreKnownToAllNodes)
{
    const auto fleet = makeFleet();
    fleet->runFor(2_s);
    for (size_t n = 0; n < fleet->nodes.size(); ++n)
        fleet->kill(n, true);
    for (auto& [address, upstream] : fleet->upstreams)
        upstream.up = false;
    fleet->runFor(60_s);
    for (size_t n = 0; n < fleet->nodes.size(); ++n)
        fleet->start(n);
    BOOST_REQUIRE(fleet->runUntil([&] { return fleet->nodes[3].node->rules != nullptr; }, 5_s));
    fleet->runFor(200_ms);
    for (size_t n = 0; n < fleet->nodes.size(); ++n) {
        BOOST_CHECK_EQUAL(fleet->nodes[n].node->membership.upstreams.entries.size(), 5U);
        BOOST_CHECK_EQUAL(fleet->nodes[n].node->forward.targets.entries.size(), 5U);
        BOOST_CHECK(isInUse(*fleet, "runner-0"));
    }
    // None is announced, so all expire.
    fleet->runFor(14_s);
    for (const auto& process : fleet->nodes)
        BOOST_CHECK(process.node->membership.upstreams.entries.empty());
}

// Guards against a node that does not start, or that restores damaged entries, from the upstreams that an earlier build stored.
BOOST_AUTO_TEST_CASE(UpstreamsStoredByAnEarlierBuildAreLeftOut)
{
    Announcement announced;
    announced.name = "d1";
    announced.address = "127.0.0.4:9000";
    announced.domain = "a";
    announced.model = "desk";
    NodeOptions options = ForwardNode().node->options;
    options.recovered[upstreamsGroup].snapshot = { .meta = { .index = 1, .term = 1, .members = {} }, .bytes = std::make_shared<const std::string>(encode(EarlierStoredUpstreams { { announced } })) };
    const TimeMs now = options.startedAtUtc;
    const NodePtr node = handle([&] { return makeNode(std::move(options), now); }, [](const Error&) { return NodePtr {}; });
    BOOST_REQUIRE(node);
    BOOST_CHECK(node->membership.upstreams.entries.empty());
}

// Guards against restored upstreams that the node had removed before its restart.
BOOST_AUTO_TEST_CASE(RemovedUpstreamIsNotRestored)
{
    const auto fleet = makeFleet();
    fleet->upstream("runner-0").up = false;
    BOOST_REQUIRE(fleet->runUntil([&] { return !upstreamAt(*fleet, 0, "runner-0"); }, 16_s));
    fleet->runFor(2_s);
    fleet->kill(0, false);
    fleet->start(0);
    BOOST_CHECK(!upstreamAt(*fleet, 0, "runner-0"));
    BOOST_CHECK(upstreamAt(*fleet, 0, "runner-1"));
}

BOOST_AUTO_TEST_SUITE_END()

}
