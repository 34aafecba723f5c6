#include "FleetFixture.h"
#include "ForwardFixture.h"

#include "node/Dialect.h"

#include <boost/json.hpp>

namespace siskinshunt {

namespace {

    const std::string author = " # Asma: test\n";
    const DomainRegions domainRegions { { "a", "r1" }, { "b", "r2" }, { "b2", "r2" } };

    // One entry node in region r1, which knows the regions of the domains a, b and b2.
    struct RegionNode : ForwardNode {
        explicit RegionNode(const std::string& more)
            : ForwardNode()
        {
            node->forward.regions.byDomain = domainRegions;
            useRules(rulesText() + more);
        }

        std::string addUpstreamIn(const std::string& name, const std::string& backend, const std::string& domain)
        {
            Announcement announced;
            announced.name = name;
            announced.address = "127.0.0.3:" + std::to_string(9000 + ++announcements);
            announced.domain = domain;
            announced.model = backend;
            announced.version = "v1";
            announced.incarnation = 1;
            announced.sequence = announcements;
            announced.load.capacity = 4;
            announce(node->membership, now, announced, node->membershipOutputs);
            run({});
            return announced.address;
        }

        size_t logCount(std::string_view code) const
        {
            return static_cast<size_t>(std::count_if(logs.begin(), logs.end(), [&](const auto& it) { return it.code == code; }));
        }
    };

    const std::string lookInR2 = "#: regions route look allowed=r2" + author;
    const std::string planInR2 = "#: regions route plan allowed=r2" + author;

    // Entry nodes in two regions: lhr-depot is in r1, lhr-gulberg and lhr-shahdara are in r2. The route `look` is bound to r2. The first nodes are voters.
    struct RegionFleet {
        explicit RegionFleet(int entries = 9, int controls = 3)
            : fleet(optionsFor(entries, controls))
            , controls(static_cast<size_t>(controls))
        {
            for (auto& process : fleet.nodes)
                process.settings.regions = { { "lhr-depot", "r1" }, { "lhr-gulberg", "r2" }, { "lhr-shahdara", "r2" } };
            for (const char* domain : { "lhr-depot", "lhr-gulberg", "lhr-shahdara" })
                fleet.addUpstream(std::string("desk-") + domain, UpstreamKind::Service, "desk", domain);
            for (const char* domain : { "lhr-depot", "lhr-gulberg", "lhr-shahdara" })
                fleet.addUpstream(std::string("lm-") + domain, UpstreamKind::Service, "lm", domain);
            startForwardFleet(fleet);
            const auto applied = fleet.apply(0, "regions", 2, ForwardNode::rulesText() + lookInR2, "omar");
            BOOST_REQUIRE(waitFor(fleet, applied, 6_s));
            BOOST_REQUIRE(fleet.runUntil([&] { return fleet.agreeOnRevision(3); }, 5_s));
            fleet.forwardAnswer = [this](size_t, const UpstreamDispatch& dispatch) -> std::optional<HttpHeaders> {
                if (dispatch.request.target.starts_with("/look/"))
                    reached.insert(dispatch.address);
                return HttpHeaders { { names.requestId, dispatch.idValue }, { names.receipt, "proof" } };
            };
            fleet.runFor(5_s);
        }

        static NodeFleetOptions optionsFor(int entries, int controls)
        {
            NodeFleetOptions options = forwardFleetOptions(entries, controls);
            auto dialect = std::make_shared<Dialect>(*makeFleetDialect());
            const auto decode = dialect->decode;
            dialect->decode = [decode](const HttpRequest& request, const std::string& peer) -> ControlCall {
                if (request.method == "GET" && pathOf(request.target) == "/entries")
                    return EntriesCall { .domain = queryValue(request.target, "zone"), .region = queryValue(request.target, "region"), .host = queryValue(request.target, "name") };
                return decode(request, peer);
            };
            dialect->entriesBody = [](const std::vector<std::string>& addresses, TimeMs) { return boost::json::serialize(boost::json::value_from(addresses)); };
            options.dialect = dialect;
            return options;
        }

        bool isInR2(NodeId id) const
        {
            return std::any_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const auto& it) { return it.node && it.node->self == id && it.settings.failureDomain != "lhr-depot"; });
        }

        // Bodies of the bound route that are, or were, sent to an entry node outside r2.
        void checkRelays()
        {
            for (const auto& process : fleet.nodes) {
                if (!process.node)
                    continue;
                for (const auto& [exchange, call] : process.node->forward.calls) {
                    if (call->rule->name != "look")
                        continue;
                    for (const NodeId relay : call->relays)
                        BOOST_CHECK_MESSAGE(isInR2(relay), "request " << call->requestId << " went to an entry node outside its regions");
                    relayed += call->relays.size();
                }
            }
        }

        void sendRequests(TimeMs duration, const std::string& path)
        {
            for (const TimeMs end = fleet.now + duration; fleet.now < end; fleet.runFor(10_ms)) {
                for (size_t n = controls; n < fleet.nodes.size(); ++n) {
                    if (!fleet.random.chance(0.1))
                        continue;
                    const std::string id = "r" + std::to_string(++requests);
                    sent.push_back({ n, fleet.post(n, { "POST", path, { { "Host", "h" }, { names.requestId, id }, { names.timeLeft, "3000" } }, "body " + id }, ListenerKind::Forward) });
                }
                checkRelays();
            }
        }

        std::set<std::string> domainsOf(const std::string& query)
        {
            const auto call = fleet.post(0, { "GET", "/entries?" + query, {}, {} }, ListenerKind::Control);
            BOOST_REQUIRE(waitFor(fleet, call, 1_s));
            BOOST_REQUIRE_MESSAGE(fleet.caller(call).status == 200, fleet.caller(call).status << " " << fleet.caller(call).body);
            std::set<std::string> out;
            const auto body = boost::json::parse(fleet.caller(call).body);
            for (const auto& address : body.as_array()) {
                for (const auto& process : fleet.nodes) {
                    if (toString(process.settings.http) == address.as_string() || toString(process.settings.listeners.forward) == address.as_string())
                        out.insert(process.settings.failureDomain);
                }
            }
            return out;
        }

        struct Sent {
            size_t node = 0;
            uint64_t caller = 0;
        };

        HeaderNames names;
        NodeFleet fleet;
        size_t controls;
        uint64_t requests = 0;
        size_t relayed = 0; ///< Counted once for each look at the requests in flight.
        std::vector<Sent> sent;
        std::set<std::string> reached; ///< Addresses of the upstreams that got requests of the bound route.
    };

}

BOOST_AUTO_TEST_SUITE(Regions)

// Guards against requests that reach an upstream in another region, or in a domain without a region, on the first or a further attempt.
BOOST_AUTO_TEST_CASE(RequestsAndRetriesStayInTheirRegions)
{
    RegionNode it(lookInR2);
    it.addUpstreamIn("d1", "desk", "a");
    it.addUpstreamIn("d2", "desk", "unmapped");
    const std::set<std::string> allowed { it.addUpstreamIn("d3", "desk", "b"), it.addUpstreamIn("d4", "desk", "b2") };
    it.allowRetries(100);
    std::set<std::string> reached;
    for (int n = 0; n < 20; ++n) {
        // Requests with equal content would be quarantined.
        it.post("/look/" + std::to_string(n));
        it.sending();
        reached.insert(it.last().address);
        const size_t before = it.dispatches.size();
        it.fail(UpstreamFailure::Closed);
        if (it.dispatches.size() == before)
            continue;
        it.sending();
        reached.insert(it.last().address);
        it.head(200);
        it.end();
    }
    BOOST_CHECK(reached == allowed);
}

// Guards against a request that is sent to another region because all upstreams of its own have failed or are gone, and against one that waits or is refused for
// another reason.
BOOST_AUTO_TEST_CASE(NoUpstreamInTheRegions)
{
    RegionNode it(lookInR2);
    it.addUpstreamIn("d1", "desk", "a");
    it.addUpstreamIn("d2", "desk", "unmapped");
    findTarget(it.node->forward.targets, idOfName<UpstreamId>("d1"))->pausedUntil = it.now + 1_s;
    it.post("/look/1");
    BOOST_CHECK(it.dispatches.empty());
    BOOST_CHECK_EQUAL(it.answer().first, 503);
    BOOST_CHECK(it.answer().second.find("no_upstream") != std::string::npos);
    BOOST_CHECK(!findHeader(it.answers.back().headers, "Retry-After").empty());
    it.addUpstreamIn("d3", "desk", "b");
    it.post("/look/2");
    BOOST_REQUIRE_EQUAL(it.dispatches.size(), 1U);
    it.fail(UpstreamFailure::ConnectFailed);
    BOOST_CHECK_EQUAL(it.dispatches.size(), 1U);
    BOOST_CHECK_EQUAL(it.answer().first, 503);
}

// Guards against an interrupted stream that is resumed in another region.
BOOST_AUTO_TEST_CASE(StreamsResumeInTheirRegions)
{
    RegionNode it(planInR2);
    it.addUpstreamIn("r1", "lm", "a");
    it.addUpstreamIn("r2", "lm", "unmapped");
    const std::set<std::string> allowed { it.addUpstreamIn("r3", "lm", "b"), it.addUpstreamIn("r4", "lm", "b2") };
    it.allowRetries(100);
    for (int n = 0; n < 10; ++n) {
        it.post("/plan/" + std::to_string(n));
        const auto first = it.last().address;
        BOOST_CHECK(allowed.contains(first));
        it.sending();
        it.head(200);
        it.body("id: 1\ndata: a\n\n");
        const size_t before = it.dispatches.size();
        it.fail(UpstreamFailure::Closed);
        BOOST_REQUIRE_EQUAL(it.dispatches.size(), before + 1);
        BOOST_CHECK(allowed.contains(it.last().address) && it.last().address != first);
        it.sending();
        it.head(200);
        it.body("id: 2\ndata: b\n\n");
        it.end();
        BOOST_CHECK_EQUAL(it.answer().first, 200);
    }
}

// Guards against a request that is sent although route and account have no region in common, against one that is refused late, and against an allowance that
// stays charged.
BOOST_AUTO_TEST_CASE(RouteAndAccountBothConstrain)
{
    const std::string account = "allowance tin rate=100 burst=100" + author + "caller-key t account=tin token-sha256=" + sha256Hex("t") + author;
    RegionNode it(account + lookInR2 + "#: regions account tin allowed=r1" + author);
    const auto inR1 = it.addUpstreamIn("d1", "desk", "a");
    const auto inR2 = it.addUpstreamIn("d2", "desk", "b");
    it.post("/look/1", { { "Authorization", "Bearer t" } });
    BOOST_CHECK(it.dispatches.empty());
    BOOST_CHECK_EQUAL(it.answer().first, 503);
    BOOST_CHECK(it.answer().second.find("no_upstream") != std::string::npos);
    BOOST_CHECK(it.node->forward.calls.empty());
    it.post("/look/2");
    BOOST_REQUIRE_EQUAL(it.dispatches.size(), 1U);
    BOOST_CHECK_EQUAL(it.last().address, inR2);
    it.post("/book/3", { { "Authorization", "Bearer t" } });
    BOOST_REQUIRE_EQUAL(it.dispatches.size(), 2U);
    BOOST_CHECK_EQUAL(it.last().address, inR1);
}

// Guards against an unknown failure domain that nobody is told of, against a line for each announcement, and against lines where no region is named.
BOOST_AUTO_TEST_CASE(UnknownDomainsAreLoggedOnce)
{
    RegionNode bound(lookInR2 + "#: regions route plan allowed=r2,r9" + author);
    for (int n = 0; n < 5; ++n)
        bound.addUpstreamIn("d" + std::to_string(n % 2), "desk", "unmapped");
    BOOST_CHECK_EQUAL(bound.logCount("region_unknown"), 1U);
    RegionNode free("");
    free.addUpstreamIn("d1", "desk", "unmapped");
    free.post("/look/1");
    BOOST_CHECK_EQUAL(free.dispatches.size(), 1U);
    BOOST_CHECK_EQUAL(free.logCount("region_unknown") + free.logCount("region_not_mapped"), 0U);
}

// Guards against an explanation that leaves out why an upstream of another region gets nothing.
BOOST_AUTO_TEST_CASE(ExplanationNamesTheExclusion)
{
    RegionNode it(lookInR2);
    it.node->options.settings.operators = { { "omar", sha256Hex("omar") } };
    it.addUpstreamIn("d1", "desk", "a");
    it.addUpstreamIn("d2", "desk", "b");
    Inputs inputs;
    inputs.requests.push_back({ ++it.exchange, { "GET", "/admin/explain-route?host=h&path=%2Flook%2Fx", { { "Authorization", "Bearer omar" } }, {} }, "127.0.0.9:1", ListenerKind::Main });
    it.run(std::move(inputs));
    BOOST_REQUIRE_EQUAL(it.answer().first, 200);
    const auto body = boost::json::parse(it.answer().second);
    BOOST_CHECK(body.at("allowed_regions") == boost::json::array({ "r2" }));
    for (const auto& candidate : body.at("candidates").as_array()) {
        const bool allowed = candidate.at("upstream").as_string() == "d2";
        BOOST_CHECK_EQUAL(std::string(candidate.at("excluded").as_string()), allowed ? "-" : "region");
        BOOST_CHECK_EQUAL(candidate.at("chosen").as_bool(), allowed);
        BOOST_CHECK_EQUAL(std::string(candidate.at("region").as_string()), allowed ? "r2" : "r1");
    }
}

// Fault: half of the entry nodes, in both regions, reach no upstream. Guards against bodies of bound requests that go to entry nodes of another region, and
// against requests that are refused although nodes in their region reach upstreams.
BOOST_AUTO_TEST_CASE(RelaysStayInTheirRegions)
{
    RegionFleet it;
    it.fleet.upstreamPath = [&](size_t node, const std::string&) { return node >= it.controls && (node - it.controls) % 9 < 5 ? UpstreamPath::Refused : UpstreamPath::Open; };
    it.sendRequests(4_s, "/look/1");
    const size_t from = it.sent.size();
    it.sendRequests(6_s, "/look/1");
    it.fleet.runFor(4_s);
    BOOST_CHECK_GT(it.relayed, 0U);
    size_t served = 0;
    for (size_t n = from; n < it.sent.size(); ++n)
        served += it.fleet.caller(it.sent[n].caller).status == 200 ? 1 : 0;
    const double share = static_cast<double>(served) / static_cast<double>(it.sent.size() - from);
    BOOST_TEST_MESSAGE("served " << share);
    BOOST_CHECK_GE(share, 2.0 / 3);
    BOOST_CHECK(!it.reached.contains(it.fleet.upstream("desk-lhr-depot").announced.address));
    checkFleet(it.fleet);
}

// Fault: the entry nodes of the allowed region are killed. Guards against a directory that names nodes which a bound route must not use, that forgets the
// client's own region, or that names nobody.
BOOST_AUTO_TEST_CASE(DirectoryNamesNodesOfTheRegions)
{
    using Domains = std::set<std::string>;
    RegionFleet it;
    const Domains inR2 { "lhr-gulberg", "lhr-shahdara" };
    const Domains all { "lhr-depot", "lhr-gulberg", "lhr-shahdara" };
    BOOST_CHECK((it.domainsOf("name=h&zone=lhr-depot") == Domains { "lhr-depot" }));
    BOOST_CHECK((it.domainsOf("name=h&zone=lhr-gulberg") == Domains { "lhr-gulberg" }));
    BOOST_CHECK(it.domainsOf("name=h&zone=elsewhere") == inR2);
    BOOST_CHECK(it.domainsOf("name=h&zone=elsewhere&region=r1") == all);
    BOOST_CHECK(it.domainsOf("name=other&zone=elsewhere") == all);
    BOOST_CHECK(it.domainsOf("zone=elsewhere") == all);
    for (size_t n = it.controls; n < it.fleet.nodes.size(); ++n) {
        if (it.fleet.nodes[n].settings.failureDomain != "lhr-depot")
            it.fleet.kill(n, false);
    }
    it.fleet.runFor(10_s);
    BOOST_CHECK((it.domainsOf("name=h&zone=elsewhere") == Domains { "lhr-depot" }));
}

BOOST_AUTO_TEST_SUITE_END()

}
