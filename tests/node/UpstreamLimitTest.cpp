#include "FleetFixture.h"
#include "ForwardFixture.h"

#include <cmath>
#include <deque>

namespace siskinshunt {

namespace {

    const std::string rateLimitHeader = "Siskinshunt-Rate-Limit";

    // Time from the first answer that names a limit until the limit binds, on the deployment with the shortest one.
    constexpr TimeMs limitBindsAfter { 3000 };
    // A node counts from this time after its first answer that names the limit.
    constexpr TimeMs nodeCountsAfter { 500 };
    constexpr TimeMs limitWindow { 4000 };

    double allowedInWindow(double perSecond)
    {
        return 1.5 * perSecond * limitWindow.seconds() + 5;
    }

    // A fleet of entry nodes, each with callers; the upstream "desk-0" names a limit in its answers.
    struct LimitFleet {
        LimitFleet(int entries, int controls, int upstreams)
            : fleet(forwardFleetOptions(entries, controls))
            , controls(static_cast<size_t>(controls))
        {
            for (int n = 0; n < upstreams; ++n)
                fleet.addUpstream("desk-" + std::to_string(n), UpstreamKind::Service, "desk", "lhr-depot");
            startForwardFleet(fleet);
            fleet.forwardAnswer = [this](size_t node, const UpstreamDispatch& dispatch) { return answer(node, dispatch); };
            fleet.runFor(5_s);
        }

        std::optional<HttpHeaders> answer(size_t node, const UpstreamDispatch& dispatch)
        {
            HttpHeaders headers { { names.requestId, dispatch.idValue }, { names.receipt, "proof" } };
            if (dispatch.address != fleet.upstream("desk-0").announced.address)
                return headers;
            ++arrivals;
            if (!perSecond)
                return headers;
            headers.emplace_back(rateLimitHeader, *perSecond);
            if (const auto told = toldAt.find(node); told != toldAt.end() && fleet.now - told->second >= nodeCountsAfter && fleet.now - namedAt >= limitBindsAfter)
                countArrival();
            toldAt.try_emplace(node, fleet.now + fleet.upstream("desk-0").latency);
            return headers;
        }

        void countArrival()
        {
            window.push_back(fleet.now);
            while (fleet.now - window.front() > limitWindow)
                window.pop_front();
            most = std::max(most, window.size());
        }

        // Each entry node gets a request every `interval` on average.
        void sendRequests(TimeMs duration, TimeMs interval)
        {
            for (const TimeMs end = fleet.now + duration; fleet.now < end; fleet.runFor(10_ms)) {
                for (size_t n = controls; n < fleet.nodes.size(); ++n) {
                    if (fleet.nodes[n].node && fleet.random.chance(10 / static_cast<double>(interval.value)))
                        callers.push_back(fleet.post(n, { "GET", "/look/1", { { "Host", "h" }, { names.requestId, "r" + std::to_string(++requests) } }, {} }, ListenerKind::Forward));
                }
            }
        }

        void nameLimit(const std::string& rate)
        {
            perSecond = rate;
            namedAt = fleet.now;
            toldAt.clear();
            window.clear();
            most = 0;
            arrivals = 0;
        }

        size_t refusals()
        {
            return static_cast<size_t>(std::count_if(callers.begin(), callers.end(), [&](uint64_t it) { return fleet.caller(it).done && fleet.caller(it).status != 200; }));
        }

        HeaderNames names;
        NodeFleet fleet;
        size_t controls;
        std::optional<std::string> perSecond;
        TimeMs namedAt;
        std::map<size_t, TimeMs> toldAt; ///< By node: its first answer that named the limit.
        std::deque<TimeMs> window; ///< Arrivals that count, of the last window.
        size_t most = 0; ///< Highest number of arrivals in a window.
        size_t arrivals = 0;
        uint64_t requests = 0;
        std::vector<uint64_t> callers;
    };

}

BOOST_AUTO_TEST_SUITE(UpstreamLimit)

// Guards against an upstream that names a limit in its answers and goes on to get its share of all requests, on a fleet as
// large as the largest deployment: each node alone sends little, all together far too much.
static void checkLimit(int entries, int controls, int upstreams, const std::string& rate, TimeMs interval)
{
    LimitFleet it(entries, controls, upstreams);
    it.sendRequests(2_s, interval);
    it.nameLimit(rate);
    it.sendRequests(20_s, interval);
    const double perSecond = std::stod(rate);
    BOOST_CHECK_LE(static_cast<double>(it.most), allowedInWindow(perSecond));
    // What the limit allows is used, and the requests that it keeps away go to the other upstreams.
    BOOST_CHECK_GE(static_cast<double>(it.arrivals), perSecond * 20 / 2);
    BOOST_CHECK_EQUAL(it.refusals(), 0U);
}

BOOST_AUTO_TEST_CASE(HoldsForASmallFleet)
{
    checkLimit(8, 5, 6, "2.1", 50_ms);
}

BOOST_AUTO_TEST_CASE(HoldsForALargeFleet)
{
    checkLimit(72, 9, 20, "2.1", 150_ms);
}

// Guards against a limit that outlives the need of the upstream.
BOOST_AUTO_TEST_CASE(EndsWhenAnswersNameItNoMore)
{
    LimitFleet it(8, 5, 6);
    it.nameLimit("2.1");
    it.sendRequests(8_s, 50_ms);
    it.perSecond.reset();
    it.sendRequests(4_s, 50_ms);
    it.arrivals = 0;
    it.sendRequests(5_s, 50_ms);
    // A sixth of 160 requests a second.
    BOOST_CHECK_GE(it.arrivals, 80U);
}

// Guards against a limit that is taken anew by every node that starts again.
BOOST_AUTO_TEST_CASE(HoldsWhileNodesRestart)
{
    LimitFleet it(24, 5, 6);
    it.nameLimit("2.1");
    it.sendRequests(4_s, 60_ms);
    for (size_t n = it.controls; n < it.fleet.nodes.size(); n += 4) {
        it.fleet.kill(n, false);
        it.fleet.runFor(300_ms);
        it.fleet.start(n);
        it.sendRequests(2_s, 60_ms);
    }
    BOOST_CHECK_LE(static_cast<double>(it.most), allowedInWindow(2.1));
}

// Guards against requests that wait, or are refused without a time to come back, when all upstreams name a limit.
BOOST_AUTO_TEST_CASE(RefusesAtOnceWhatNoUpstreamTakes)
{
    LimitFleet it(4, 3, 1);
    it.nameLimit("2.1");
    it.sendRequests(10_s, 50_ms);
    BOOST_CHECK_LE(static_cast<double>(it.most), allowedInWindow(2.1));
    size_t refused = 0;
    for (const uint64_t number : it.callers) {
        const auto& caller = it.fleet.caller(number);
        if (!caller.done || caller.status == 200)
            continue;
        ++refused;
        BOOST_CHECK_EQUAL(caller.status, 503U);
        BOOST_CHECK_GT(std::stod(std::string(findHeader(caller.headers, "Retry-After"))), 0.0);
        BOOST_CHECK_LE((caller.answeredAt - caller.postedAt).value, 60);
    }
    BOOST_CHECK_GT(refused, 100U);
}

// Guards against a time to come back that is that of a limit although the upstream was left out for another reason.
BOOST_AUTO_TEST_CASE(LimitIsNotNamedAsTheReasonWhileItAllowsRequests)
{
    ForwardNode it;
    it.addUpstream("desk-1", "desk");
    it.allowRetries(10);
    it.post("/look/1");
    it.sending();
    it.head(200, { { rateLimitHeader, "10" } });
    it.end();
    it.advance(2_s);
    it.post("/look/2");
    it.sending();
    it.head(503, { { it.names.notRun, "full" }, { rateLimitHeader, "10" } });
    BOOST_CHECK_EQUAL(it.answer().first, 503);
    BOOST_CHECK(it.answer().second.find("no_upstream") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}
