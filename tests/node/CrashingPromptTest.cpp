#include "FleetFixture.h"
#include "ForwardFixture.h"

namespace siskinshunt {

namespace {

    // Time after the fifth crash from which on the part must not reach upstreams, on the deployment with the shortest one.
    constexpr TimeMs learnedAfter { 3000 };
    constexpr size_t maxLaterArrivals = 3;
    constexpr TimeMs restartTime { 3000 };
    const std::string badPart = "66";

    // Entry nodes with callers, one in twenty of whose prompts has a part that crashes each engine which begins to answer it.
    struct CrashFleet {
        CrashFleet(int entries, int controls, int engines)
            : fleet({ .nodes = controls + entries, .voters = std::min(controls, 7), .disks = controls, .ledgerGroups = 0, .forwards = true, .announceNodes = static_cast<size_t>(controls) })
            , controls(static_cast<size_t>(controls))
        {
            for (int n = 0; n < engines; ++n)
                fleet.addUpstream("engine-" + std::to_string(n), UpstreamKind::Service, "lm", "lhr-depot");
            BOOST_REQUIRE(fleet.startCluster());
            const auto applied = fleet.apply(0, "forwards", 1, ForwardNode::rulesText(), "omar");
            BOOST_REQUIRE(waitFor(fleet, applied, 6_s));
            BOOST_REQUIRE(fleet.runUntil([&] { return fleet.agreeOnRevision(2); }, 5_s));
            fleet.forwardAnswer = [this](size_t, const UpstreamDispatch& dispatch) -> std::optional<HttpHeaders> {
                if (isBad(dispatch))
                    return std::nullopt;
                return HttpHeaders { { names.requestId, dispatch.idValue }, { names.receipt, "proof" } };
            };
            fleet.fault = [this](const UpstreamDispatch& dispatch) { return isBad(dispatch) ? crash(dispatch) : DispatchFault::None; };
            fleet.runFor(5_s);
        }

        bool isBad(const UpstreamDispatch& dispatch) const
        {
            return findHeader(dispatch.request.headers, names.promptParts).find("," + badPart + ":") != std::string_view::npos;
        }

        DispatchFault crash(const UpstreamDispatch& dispatch)
        {
            auto& engine = fleet.upstreams.at(dispatch.address);
            if (!engine.up)
                return DispatchFault::None;
            if (crashes.size() >= 5 && fleet.now - crashes[4] > learnedAfter)
                ++laterArrivals;
            crashes.push_back(fleet.now);
            restarts[engine.announced.name] = fleet.now + restartTime;
            return DispatchFault::CloseAfterRun;
        }

        void restartEngines()
        {
            for (auto it = restarts.begin(); it != restarts.end();) {
                auto& engine = fleet.upstream(it->first);
                // The crash itself comes with the answer that the engine begins to write.
                if (engine.up && fleet.now + restartTime > it->second + 5_ms)
                    fleet.stop(it->first);
                if (fleet.now < it->second) {
                    ++it;
                    continue;
                }
                engine.up = true;
                ++engine.announced.incarnation;
                it = restarts.erase(it);
            }
        }

        void sendRequests(TimeMs duration, TimeMs interval)
        {
            for (const TimeMs end = fleet.now + duration; fleet.now < end; fleet.runFor(10_ms)) {
                restartEngines();
                for (size_t n = controls; n < fleet.nodes.size(); ++n) {
                    if (fleet.nodes[n].node && fleet.random.chance(10 / static_cast<double>(interval.value)))
                        sendRequest(n);
                }
            }
        }

        void sendRequest(size_t node)
        {
            const bool bad = fleet.random.chance(0.05);
            const std::string middle = bad ? badPart : "b" + std::to_string(fleet.random.below(50));
            const std::string parts = "a" + std::to_string(fleet.random.below(4)) + ":100," + middle + ":100," + "c" + std::to_string(++requests) + ":10";
            const auto caller = fleet.post(node, { "POST", "/ask/1", { { "Host", "h" }, { names.requestId, "r" + std::to_string(requests) }, { names.tokens, "210,10" }, { names.promptParts, parts } }, "prompt" }, ListenerKind::Forward);
            (bad ? badCallers : soundCallers).push_back(caller);
        }

        double answeredShare(const std::vector<uint64_t>& callers)
        {
            const auto answered = std::count_if(callers.begin(), callers.end(), [&](uint64_t it) { return fleet.caller(it).done && fleet.caller(it).status == 200; });
            return static_cast<double>(answered) / static_cast<double>(std::max<size_t>(1, callers.size()));
        }

        HeaderNames names;
        NodeFleet fleet;
        size_t controls;
        std::vector<TimeMs> crashes;
        size_t laterArrivals = 0;
        std::map<std::string, TimeMs> restarts; ///< By engine that crashes: when it is up again.
        uint64_t requests = 0;
        std::vector<uint64_t> badCallers;
        std::vector<uint64_t> soundCallers;
    };

}

BOOST_AUTO_TEST_SUITE(CrashingPrompts)

// Guards against prompts with a common part that crash one engine after the other, because each entry node sees only a few of them, and
// against sound prompts that are refused with them.
static void checkLearned(int entries, int controls, int engines, TimeMs interval)
{
    CrashFleet it(entries, controls, engines);
    it.sendRequests(8_s, interval);
    BOOST_REQUIRE_GE(it.crashes.size(), 5U);
    it.soundCallers.clear();
    it.badCallers.clear();
    it.sendRequests(15_s, interval);
    it.fleet.runFor(1_s);
    BOOST_CHECK_LE(it.laterArrivals, maxLaterArrivals);
    BOOST_CHECK_GE(it.answeredShare(it.soundCallers), 0.95);
    BOOST_CHECK(std::all_of(it.badCallers.begin(), it.badCallers.end(), [&](uint64_t caller) { return it.fleet.caller(caller).done && it.fleet.caller(caller).status == 503; }));
    checkFleet(it.fleet);
}

BOOST_AUTO_TEST_CASE(AreLearnedByASmallFleet)
{
    checkLearned(8, 5, 12, 50_ms);
}

BOOST_AUTO_TEST_CASE(AreLearnedByAFleetWithHubs)
{
    checkLearned(40, 5, 30, 150_ms);
}

// Guards against entry nodes that start later and send the part again.
BOOST_AUTO_TEST_CASE(AreLearnedByNodesThatRestart)
{
    CrashFleet it(20, 5, 20);
    it.sendRequests(8_s, 100_ms);
    for (size_t n = it.controls; n < it.fleet.nodes.size(); n += 4) {
        it.fleet.kill(n, false);
        it.fleet.runFor(200_ms);
        it.fleet.start(n);
        // Until it is in touch again, callers do not use it.
        it.fleet.runFor(learnedAfter);
        it.sendRequests(2_s, 100_ms);
    }
    BOOST_CHECK_LE(it.laterArrivals, maxLaterArrivals);
}

BOOST_AUTO_TEST_SUITE_END()

}
