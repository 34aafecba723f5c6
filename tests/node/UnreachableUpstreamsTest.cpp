#include "FleetFixture.h"
#include "ForwardFixture.h"

namespace siskinshunt {

namespace {

    // Time after which a cut must not be felt by callers, on the deployment with the shortest one.
    constexpr TimeMs learnedAfter { 3000 };
    constexpr int services = 3;
    constexpr int engines = 6;

    // Entry nodes with callers, some of which are cut off from upstreams; callers and the other nodes still reach them.
    struct CutFleet {
        explicit CutFleet(int entries = 8, int controls = 5)
            : fleet(forwardFleetOptions(entries, controls))
            , controls(static_cast<size_t>(controls))
        {
            for (int n = 0; n < services; ++n)
                fleet.addUpstream("desk-" + std::to_string(n), UpstreamKind::Service, "desk", "lhr-depot");
            for (int n = 0; n < engines; ++n)
                fleet.addUpstream("lm-" + std::to_string(n), UpstreamKind::Service, "lm", "lhr-depot");
            startForwardFleet(fleet);
            fleet.forwardAnswer = [this](size_t, const UpstreamDispatch& dispatch) -> std::optional<HttpHeaders> {
                ++runs[dispatch.idValue];
                return HttpHeaders { { names.requestId, dispatch.idValue }, { names.receipt, "proof" } };
            };
            fleet.upstreamPath = [this](size_t node, const std::string& address) {
                return isCut(node, address) ? path : UpstreamPath::Open;
            };
            fleet.runFor(5_s);
            sendRequests(3_s);
        }

        // Cuts these many entry nodes off from all upstreams, from the first one.
        void cut(size_t count, UpstreamPath how)
        {
            path = how;
            isCut = [this, count](size_t node, const std::string&) { return node >= controls && node < controls + count; };
        }

        void sendRequests(TimeMs duration, TimeMs interval = 100_ms)
        {
            for (const TimeMs end = fleet.now + duration; fleet.now < end; fleet.runFor(10_ms)) {
                for (size_t n = controls; n < fleet.nodes.size(); ++n) {
                    if (fleet.random.chance(10 / static_cast<double>(interval.value)))
                        sendRequest(n);
                }
            }
        }

        void sendRequest(size_t node)
        {
            static const std::array<std::string, 4> paths { "/book/1", "/look/1", "/plan/1", "/ask/1" };
            const auto& target = paths[fleet.random.below(paths.size())];
            const std::string id = "r" + std::to_string(++requests);
            HttpRequest request { "POST", target, { { "Host", "h" }, { names.requestId, id }, { names.tokens, "210,10" }, { names.timeLeft, "3000" } }, "body " + id };
            sent.push_back({ node, fleet.post(node, std::move(request), ListenerKind::Forward), id, target == "/book/1" });
        }

        // Share of the first tries since `from` that were served at the nodes for which `isCut` holds, or at the others.
        double servedShare(size_t from, bool atCutNodes)
        {
            size_t all = 0;
            size_t served = 0;
            for (size_t n = from; n < sent.size(); ++n) {
                if (cutNodes.contains(sent[n].node) != atCutNodes)
                    continue;
                const auto& caller = fleet.caller(sent[n].caller);
                ++all;
                served += caller.done && caller.status == 200 && !caller.aborted ? 1 : 0;
            }
            return all ? static_cast<double>(served) / static_cast<double>(all) : 1.0;
        }

        void checkServed(TimeMs duration, TimeMs interval = 100_ms)
        {
            sendRequests(learnedAfter, interval);
            for (size_t n = controls; n < fleet.nodes.size(); ++n) {
                if (std::any_of(fleet.upstreams.begin(), fleet.upstreams.end(), [&](const auto& it) { return isCut(n, it.first); }))
                    cutNodes.insert(n);
            }
            const size_t from = sent.size();
            sendRequests(duration, interval);
            fleet.runFor(4_s);
            const double others = cutNodes.size() + controls < fleet.nodes.size() ? servedShare(from, false) : 1.0;
            const double share = servedShare(from, true);
            BOOST_CHECK_MESSAGE(share >= others * 2 / 3, "nodes that are cut off served " << share << " of the first tries, the others " << others);
            checkRuns();
        }

        void checkRuns()
        {
            for (const auto& it : sent)
                BOOST_CHECK_MESSAGE(!it.once || runs[it.id] <= 1, it.id << " ran " << runs[it.id] << " times");
            checkFleet(fleet);
        }

        struct Sent {
            size_t node = 0;
            uint64_t caller = 0;
            std::string id;
            bool once = false;
        };

        HeaderNames names;
        NodeFleet fleet;
        size_t controls;
        UpstreamPath path = UpstreamPath::Open;
        std::function<bool(size_t node, const std::string& address)> isCut = [](size_t, const std::string&) { return false; };
        std::set<size_t> cutNodes;
        uint64_t requests = 0;
        std::vector<Sent> sent;
        std::map<std::string, int> runs; ///< Requests that have reached an upstream, by id.
    };

}

BOOST_AUTO_TEST_SUITE(UnreachableUpstreams)

// Each guards against callers of a node that reaches no upstream and refuses their requests, or lets them wait to the end, though other
// nodes reach the upstreams; and against once requests that run twice because they are sent by way of another node.

BOOST_AUTO_TEST_CASE(RefusedConnections)
{
    CutFleet it;
    it.cut(5, UpstreamPath::Refused);
    it.checkServed(10_s);
}

BOOST_AUTO_TEST_CASE(HangingConnections)
{
    CutFleet it;
    it.cut(5, UpstreamPath::Hangs);
    it.checkServed(10_s);
}

BOOST_AUTO_TEST_CASE(NoNewConnections)
{
    CutFleet it;
    it.cut(5, UpstreamPath::RefusesNew);
    it.checkServed(10_s);
}

BOOST_AUTO_TEST_CASE(AllNodesButOne)
{
    CutFleet it;
    it.cut(7, UpstreamPath::Hangs);
    it.checkServed(10_s, 200_ms);
}

BOOST_AUTO_TEST_CASE(OneBackendOnly)
{
    CutFleet it;
    it.path = UpstreamPath::Hangs;
    it.isCut = [&](size_t node, const std::string& address) { return node < it.controls + 5 && it.fleet.upstreams.at(address).announced.model == "desk"; };
    it.checkServed(10_s);
}

// Each upstream is cut off from most nodes, but not from the same ones.
BOOST_AUTO_TEST_CASE(OtherNodesForEachUpstream)
{
    CutFleet it;
    it.path = UpstreamPath::Hangs;
    it.isCut = [&](size_t node, const std::string& address) { return combineHash(hash64(address), node) % 100 < 85; };
    it.checkServed(10_s);
}

BOOST_AUTO_TEST_CASE(MostOfALargeFleet)
{
    CutFleet it(40);
    it.cut(30, UpstreamPath::Hangs);
    it.checkServed(5_s, 300_ms);
}

// Guards against requests that wander between nodes none of which reaches an upstream, or are held until their time is over.
BOOST_AUTO_TEST_CASE(AllNodesRefuseSoon)
{
    CutFleet it;
    it.cut(8, UpstreamPath::Refused);
    it.sendRequests(learnedAfter);
    const size_t from = it.sent.size();
    it.sendRequests(5_s);
    it.fleet.runFor(4_s);
    for (size_t n = from; n < it.sent.size(); ++n) {
        const auto& caller = it.fleet.caller(it.sent[n].caller);
        BOOST_CHECK_MESSAGE(caller.done && caller.status == 503, it.sent[n].id << ": status " << caller.status << " " << caller.body);
        BOOST_CHECK_LE((caller.answeredAt - caller.postedAt).value, 250);
        BOOST_CHECK(!findHeader(caller.headers, "Retry-After").empty());
    }
    it.checkRuns();
}

// Guards against a node that passes on an answer which says that its upstream leaves, and then sends to that upstream when it reaches it again.
BOOST_AUTO_TEST_CASE(LeavingIsLearnedFromRelayedAnswers)
{
    CutFleet it;
    it.cut(1, UpstreamPath::Refused);
    it.sendRequests(learnedAfter);
    const auto answer = it.fleet.forwardAnswer;
    it.fleet.forwardAnswer = [&, answer](size_t node, const UpstreamDispatch& dispatch) {
        auto headers = answer(node, dispatch);
        if (dispatch.address == it.fleet.upstream("desk-0").announced.address)
            headers->emplace_back(it.names.leaving, "1");
        return headers;
    };
    const size_t from = it.sent.size();
    for (int n = 0; n < 60; ++n) {
        it.sendRequest(it.controls);
        it.fleet.runFor(50_ms);
    }
    it.fleet.runFor(1_s);
    const ForwardTarget* target = findTarget(it.fleet.nodes[it.controls].node->forward.targets, idOfName<UpstreamId>("desk-0"));
    BOOST_CHECK(target && target->leaving);
    for (size_t n = from; n < it.sent.size(); ++n)
        BOOST_CHECK(findHeader(it.fleet.caller(it.sent[n].caller).headers, it.names.relayed).empty());
}

// Guards against a caller that is told its route or key does not exist, since the request went by way of a node with older rules.
BOOST_AUTO_TEST_CASE(OlderRulesOfAnotherNodeDenyNothing)
{
    CutFleet it;
    it.cut(1, UpstreamPath::Refused);
    it.sendRequests(learnedAfter);
    for (size_t n = it.controls + 1; n < it.fleet.nodes.size() - 2; ++n)
        it.fleet.nodes[n].node->forward.routes = makeRouteTable(std::make_shared<const RuleSet>());
    const size_t from = it.sent.size();
    for (int n = 0; n < 40; ++n) {
        it.sendRequest(it.controls);
        it.fleet.runFor(50_ms);
    }
    it.fleet.runFor(4_s);
    BOOST_CHECK_GE(it.servedShare(from, false), 0.9);
    for (size_t n = from; n < it.sent.size(); ++n)
        BOOST_CHECK_NE(it.fleet.caller(it.sent[n].caller).status, 404);
}

// Guards against requests that are not charged to the allowance of their account: given back when they went to another node, which did not send
// them on, and then sent by this node.
BOOST_AUTO_TEST_CASE(RequestsThatComeBackAreCharged)
{
    CutFleet it;
    const std::string author = " # Asma: test\n";
    const std::string limited = "allowance tin rate=20 burst=20" + author + "caller-key t account=tin token-sha256=" + sha256Hex("t") + author;
    const auto applied = it.fleet.apply(0, "limited", 2, ForwardNode::rulesText() + limited, "omar");
    BOOST_REQUIRE(waitFor(it.fleet, applied, 6_s));
    BOOST_REQUIRE(it.fleet.runUntil([&] { return it.fleet.agreeOnRevision(3); }, 5_s));
    // All nodes reach the same two of six engines, so each asks others in vain and then sends itself.
    it.path = UpstreamPath::Refused;
    it.isCut = [&](size_t, const std::string& address) { return it.fleet.upstreams.at(address).announced.model == "lm" && address != it.fleet.upstream("lm-0").announced.address && address != it.fleet.upstream("lm-1").announced.address; };
    const auto send = [&](TimeMs duration) {
        for (const TimeMs end = it.fleet.now + duration; it.fleet.now < end; it.fleet.runFor(10_ms)) {
            const size_t node = it.controls + it.fleet.random.below(it.fleet.nodes.size() - it.controls);
            const std::string id = "t" + std::to_string(++it.requests);
            it.fleet.post(node, { "POST", "/ask/1", { { "Host", "h" }, { "Authorization", "Bearer t" }, { it.names.requestId, id }, { it.names.tokens, "210,10" }, { it.names.timeLeft, "3000" } }, "body " + id }, ListenerKind::Forward);
        }
    };
    it.sendRequests(learnedAfter);
    it.fleet.runFor(1_s);
    const size_t before = it.runs.size();
    send(8_s);
    // The rate, the burst and a tenth of both.
    BOOST_CHECK_LE(it.runs.size() - before, (8 * 20 + 20) * 1.1);
    BOOST_CHECK_GE(it.runs.size() - before, 8 * 20 / 2);
}

// Guards against many requests that wait for a connection to the same upstream, which was not reached before and seems to be idle.
BOOST_AUTO_TEST_CASE(OneRequestAtATimeTriesAnUnreachedUpstream)
{
    ForwardNode it;
    for (const auto& name : { "d1", "d2", "d3" })
        it.addUpstream(name, "desk");
    it.post("/look/1", { { it.names.timeLeft, "900" } });
    const std::string address = it.last().address;
    it.fail(UpstreamFailure::ConnectTimeout);
    BOOST_CHECK_NE(it.last().address, address);
    it.sending();
    it.head(200);
    it.end();
    it.advance(600_ms);
    const size_t before = it.dispatches.size();
    for (int n = 0; n < 12; ++n)
        it.post("/book/1", { { it.names.timeLeft, "900" } });
    const auto count = std::count_if(it.dispatches.begin() + static_cast<std::ptrdiff_t>(before), it.dispatches.end(), [&](const auto& dispatch) { return dispatch.address == address; });
    BOOST_CHECK_LE(count, 1);
    BOOST_CHECK_EQUAL(it.dispatches.size(), before + 12);
}

// Guards against a node that reaches one upstream of many and sends it all the requests of its callers.
BOOST_AUTO_TEST_CASE(FewUpstreamsAreNotOverloaded)
{
    CutFleet it;
    it.path = UpstreamPath::Hangs;
    it.isCut = [&](size_t node, const std::string& address) { return node < it.controls + 5 && address != it.fleet.upstream("lm-0").announced.address && address != it.fleet.upstream("desk-0").announced.address; };
    it.sendRequests(learnedAfter);
    const auto count = [&](const std::string& name) { return it.fleet.upstream(name).dispatches.size(); };
    const size_t engineBefore = count("lm-0");
    const size_t from = it.sent.size();
    it.checkServed(10_s);
    // Twice its part of the requests for engines, which are half of all.
    BOOST_CHECK_LE(count("lm-0") - engineBefore, (it.sent.size() - from) / 2 * 2 / engines);
}

// Guards against a sound upstream that is silent for a second and goes on, whose requests are lost or which counts as cut off.
BOOST_AUTO_TEST_CASE(UpstreamsSilentForASecond)
{
    CutFleet it;
    const TimeMs start = it.fleet.now;
    it.path = UpstreamPath::Silent;
    // In turn, each for a second in two, one upstream of each backend.
    it.isCut = [&](size_t, const std::string& address) {
        const auto elapsed = static_cast<size_t>((it.fleet.now - start).value / 1000);
        const size_t turn = elapsed / 2;
        return elapsed % 2 == 0 && (address == it.fleet.upstream("desk-" + std::to_string(turn % services)).announced.address || address == it.fleet.upstream("lm-" + std::to_string(turn % engines)).announced.address);
    };
    const size_t from = it.sent.size();
    it.sendRequests(12_s);
    it.fleet.runFor(4_s);
    BOOST_CHECK_GE(it.servedShare(from, false), 0.99);
    for (size_t n = it.controls; n < it.fleet.nodes.size(); ++n) {
        BOOST_CHECK_EQUAL(it.fleet.nodes[n].node->counters.get("forward_upstreams_lost"), 0U);
        BOOST_CHECK_EQUAL(it.fleet.nodes[n].node->counters.get("forward_relayed"), 0U);
    }
    it.checkRuns();
}

// Guards against a node that goes on to send requests by way of others when it reaches the upstreams again.
BOOST_AUTO_TEST_CASE(EndOfTheCut)
{
    CutFleet it;
    it.cut(5, UpstreamPath::Hangs);
    it.sendRequests(8_s);
    it.cut(0, UpstreamPath::Open);
    it.sendRequests(2500_ms);
    for (size_t n = it.controls; n < it.fleet.nodes.size(); ++n)
        it.fleet.isolate(n, true);
    const size_t from = it.sent.size();
    it.sendRequests(2_s);
    it.fleet.runFor(1_s);
    BOOST_CHECK_GE(it.servedShare(from, false), 0.95);
    it.checkRuns();
}

BOOST_AUTO_TEST_SUITE_END()

}
