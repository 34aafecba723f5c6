#include "FleetFixture.h"
#include "ForwardFixture.h"

#include <deque>

namespace siskinshunt {

namespace {

    // Time after its first answer that names the limit from which on an upstream must not fail for it, on the deployment with the shortest one.
    constexpr TimeMs learnedAfter { 3000 };
    constexpr int upstreams = 3;
    constexpr size_t slots = 8;
    constexpr TimeMs latency { 100 };
    constexpr TimeMs restartTime { 3000 };

    // Entry nodes whose callers send more than the upstreams can take. An upstream that turns away more requests in a second than it names in
    // its answers fails.
    struct BrittleFleet {
        BrittleFleet(int entries, size_t limit)
            : fleet(forwardFleetOptions(entries, controls))
            , maxRefused(limit)
        {
            for (int n = 0; n < upstreams; ++n) {
                fleet.addUpstream("desk-" + std::to_string(n), UpstreamKind::Service, "desk", "lhr-depot");
                fleet.upstream("desk-" + std::to_string(n)).latency = latency;
            }
            startForwardFleet(fleet);
            fleet.forwardAnswer = [this](size_t, const UpstreamDispatch& dispatch) -> std::optional<HttpHeaders> { return arrive(dispatch); };
            fleet.forwardStatus = [this](const UpstreamDispatch& dispatch) { return refused.contains(dispatch.idValue) ? uint16_t { 503 } : uint16_t { 200 }; };
            fleet.runFor(5_s);
        }

        HttpHeaders arrive(const UpstreamDispatch& dispatch)
        {
            auto& it = state[dispatch.address];
            std::erase_if(it.runsUntil, [&](TimeMs until) { return until <= fleet.now; });
            HttpHeaders headers { { names.requestId, dispatch.idValue }, { names.brittle, std::to_string(maxRefused) } };
            refused.erase(dispatch.idValue);
            if (it.runsUntil.size() < slots) {
                it.runsUntil.push_back(fleet.now + latency);
                headers.emplace_back(names.receipt, "proof");
                return headers;
            }
            refused.insert(dispatch.idValue);
            headers.emplace_back(names.notRun, "1");
            it.refusedAt.push_back(fleet.now);
            while (fleet.now - it.refusedAt.front() >= 1_s)
                it.refusedAt.pop_front();
            if (it.refusedAt.size() > maxRefused)
                failed.insert(dispatch.address);
            return headers;
        }

        void failUpstreams()
        {
            for (const auto& address : failed) {
                auto& upstream = fleet.upstreams.at(address);
                ++failures;
                fleet.stop(upstream.announced.name);
                restarts[address] = fleet.now + restartTime;
                state[address] = {};
            }
            failed.clear();
            std::erase_if(restarts, [&](const auto& it) {
                if (fleet.now < it.second)
                    return false;
                auto& upstream = fleet.upstreams.at(it.first);
                upstream.up = true;
                ++upstream.announced.incarnation;
                return true;
            });
        }

        // Sends as many requests a second over all nodes.
        void sendRequests(TimeMs duration, double perSecond)
        {
            const size_t entries = fleet.nodes.size() - controls;
            for (const TimeMs end = fleet.now + duration; fleet.now < end; fleet.runFor(5_ms)) {
                failUpstreams();
                for (size_t n = controls; n < fleet.nodes.size(); ++n) {
                    if (!fleet.random.chance(perSecond / static_cast<double>(entries) * 0.005))
                        continue;
                    const std::string id = "r" + std::to_string(++requests);
                    callers.push_back(fleet.post(n, { "POST", "/look/1", { { "Host", "h" }, { names.requestId, id }, { names.timeLeft, "1000" } }, "body " + id }, ListenerKind::Forward));
                }
            }
        }

        size_t countAnswered(size_t from)
        {
            return static_cast<size_t>(std::count_if(callers.begin() + static_cast<std::ptrdiff_t>(from), callers.end(), [&](uint64_t it) { return fleet.caller(it).status == 200; }));
        }

        struct UpstreamState {
            std::vector<TimeMs> runsUntil;
            std::deque<TimeMs> refusedAt;
        };

        static constexpr int controls = 5;
        HeaderNames names;
        NodeFleet fleet;
        size_t maxRefused;
        std::map<std::string, UpstreamState> state; ///< By address.
        std::set<std::string> refused; ///< Ids of requests that were turned away.
        std::set<std::string> failed; ///< Addresses of upstreams that are about to fail.
        std::map<std::string, TimeMs> restarts;
        size_t failures = 0;
        uint64_t requests = 0;
        std::vector<uint64_t> callers;
    };

}

BOOST_AUTO_TEST_SUITE(BrittleUpstreams)

// Guards against upstreams that fail because the entry nodes, each of which sees only its own requests, send them more than they have room for
// when they say that they bear few refusals; and against entry nodes that send them far less than they take.
static void checkBorne(int entries, size_t limit, double perSecond)
{
    BrittleFleet it(entries, limit);
    it.sendRequests(learnedAfter, perSecond);
    it.failures = 0;
    it.fleet.runFor(restartTime);
    it.sendRequests(1_s, perSecond);
    const size_t from = it.callers.size();
    it.sendRequests(15_s, perSecond);
    it.fleet.runFor(1_s);
    // Two, and a tenth of their number.
    BOOST_CHECK_LE(it.failures, 2 + upstreams / 10);
    const double capacity = upstreams * slots / latency.seconds() * 15;
    BOOST_CHECK_GE(static_cast<double>(it.countAnswered(from)), 0.6 * std::min(capacity, perSecond * 15));
    checkFleet(it.fleet);
}

BOOST_AUTO_TEST_CASE(TooMuchLoad)
{
    checkBorne(8, 5, 480);
}

BOOST_AUTO_TEST_CASE(FewRefusalsAreBorne)
{
    checkBorne(8, 2, 360);
}

BOOST_AUTO_TEST_CASE(ManyEntryNodes)
{
    checkBorne(40, 5, 480);
}

// Guards against entry nodes that go on to use a part of the room only, or to send by way of others, when upstreams bear refusals again.
BOOST_AUTO_TEST_CASE(RoomIsUsedAgain)
{
    BrittleFleet it(40, 5);
    it.sendRequests(learnedAfter, 100);
    it.fleet.forwardAnswer = [&](size_t, const UpstreamDispatch& dispatch) -> std::optional<HttpHeaders> { return HttpHeaders { { it.names.requestId, dispatch.idValue }, { it.names.receipt, "proof" } }; };
    it.sendRequests(25_s, 100);
    const auto countRelayed = [&] {
        uint64_t sum = 0;
        for (const auto& process : it.fleet.nodes)
            sum += process.node->counters.get("forward_relayed");
        return sum;
    };
    const uint64_t relayed = countRelayed();
    const size_t from = it.callers.size();
    it.sendRequests(5_s, 100);
    it.fleet.runFor(1_s);
    BOOST_CHECK_EQUAL(countRelayed(), relayed);
    BOOST_CHECK_EQUAL(it.countAnswered(from), it.callers.size() - from);
}

BOOST_AUTO_TEST_SUITE_END()

}
