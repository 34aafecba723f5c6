#pragma once

#include "FleetFixture.h"
#include "ForwardFixture.h"

namespace siskinshunt {

/// Time after the first `crashesToLearn` crashes from which on bad requests must not reach upstreams, on the deployment with the shortest
/// one, but for a few.
constexpr TimeMs learnedAfter { 3000 };
constexpr size_t maxLaterArrivals = 3;
constexpr TimeMs restartTime { 3000 };

struct CrashFleetOptions {
    int entries = 8;
    int controls = 5;
    int upstreams = 12;
    std::string backend = "lm";
    double badShare = 0.05;
    size_t crashesToLearn = 5;
    std::function<bool(const HttpRequest&)> isBad; ///< Whether a request as sent to an upstream crashes it.
    std::function<HttpRequest(NodeFleet&, bool bad)> makeRequest;
};

/// Entry nodes with callers some of whose requests crash each upstream that begins to answer them.
struct CrashFleet {
    explicit CrashFleet(CrashFleetOptions given)
        : options(std::move(given))
        , fleet(forwardFleetOptions(options.entries, options.controls))
        , controls(static_cast<size_t>(options.controls))
    {
        for (int n = 0; n < options.upstreams; ++n)
            fleet.addUpstream("upstream-" + std::to_string(n), UpstreamKind::Service, options.backend, "lhr-depot");
        startForwardFleet(fleet);
        fleet.forwardAnswer = [this](size_t, const UpstreamDispatch& dispatch) -> std::optional<HttpHeaders> {
            if (options.isBad(dispatch.request))
                return std::nullopt;
            return HttpHeaders { { names.requestId, dispatch.idValue }, { names.receipt, "proof" } };
        };
        fleet.fault = [this](const UpstreamDispatch& dispatch) { return options.isBad(dispatch.request) ? crash(dispatch) : DispatchFault::None; };
        fleet.runFor(5_s);
    }

    DispatchFault crash(const UpstreamDispatch& dispatch)
    {
        auto& upstream = fleet.upstreams.at(dispatch.address);
        if (!upstream.up)
            return DispatchFault::None;
        if (crashes.size() >= options.crashesToLearn && fleet.now - crashes[options.crashesToLearn - 1] > learnedAfter)
            ++laterArrivals;
        crashes.push_back(fleet.now);
        restarts[upstream.announced.name] = fleet.now + restartTime;
        return DispatchFault::CloseAfterRun;
    }

    void restartUpstreams()
    {
        for (auto it = restarts.begin(); it != restarts.end();) {
            auto& upstream = fleet.upstream(it->first);
            // The crash itself comes with the answer that the upstream begins to write.
            if (upstream.up && fleet.now + restartTime > it->second + 5_ms)
                fleet.stop(it->first);
            if (fleet.now < it->second) {
                ++it;
                continue;
            }
            upstream.up = true;
            ++upstream.announced.incarnation;
            it = restarts.erase(it);
        }
    }

    void sendRequests(TimeMs duration, TimeMs interval)
    {
        for (const TimeMs end = fleet.now + duration; fleet.now < end; fleet.runFor(10_ms)) {
            restartUpstreams();
            for (size_t n = controls; n < fleet.nodes.size(); ++n) {
                if (fleet.nodes[n].node && fleet.random.chance(10 / static_cast<double>(interval.value)))
                    sendRequest(n);
            }
        }
    }

    void sendRequest(size_t node)
    {
        const bool bad = fleet.random.chance(options.badShare);
        HttpRequest request = options.makeRequest(fleet, bad);
        request.headers.emplace_back("Host", "h");
        request.headers.emplace_back(names.requestId, "r" + std::to_string(++requests));
        const auto caller = fleet.post(node, std::move(request), ListenerKind::Forward);
        (bad ? badCallers : soundCallers).push_back(caller);
    }

    /// Restarts each `step`-th entry node, one after the other, and checks that none of them sends bad requests once it is in touch.
    void checkLearnedByNodesThatRestart(size_t step)
    {
        sendRequests(8_s, 100_ms);
        for (size_t n = controls; n < fleet.nodes.size(); n += step) {
            fleet.kill(n, false);
            fleet.runFor(200_ms);
            fleet.start(n);
            // Until it is in touch again, callers do not use it.
            fleet.runFor(learnedAfter);
            sendRequests(2_s, 100_ms);
        }
        BOOST_CHECK_LE(laterArrivals, maxLaterArrivals);
    }

    double answeredShare(const std::vector<uint64_t>& callers)
    {
        const auto answered = std::count_if(callers.begin(), callers.end(), [&](uint64_t it) { return fleet.caller(it).done && fleet.caller(it).status == 200; });
        return static_cast<double>(answered) / static_cast<double>(std::max<size_t>(1, callers.size()));
    }

    /// Checks that the bad requests, which have been sent for some seconds, are learned: they are refused from now on, all others answered.
    void checkLearned(TimeMs interval)
    {
        BOOST_REQUIRE_GE(crashes.size(), options.crashesToLearn);
        soundCallers.clear();
        badCallers.clear();
        sendRequests(15_s, interval);
        fleet.runFor(1_s);
        BOOST_CHECK_LE(laterArrivals, maxLaterArrivals);
        BOOST_CHECK_GE(answeredShare(soundCallers), 0.95);
        BOOST_CHECK(std::all_of(badCallers.begin(), badCallers.end(), [&](uint64_t caller) { return fleet.caller(caller).done && fleet.caller(caller).status == 503; }));
        checkFleet(fleet);
    }

    HeaderNames names;
    CrashFleetOptions options;
    NodeFleet fleet;
    size_t controls;
    std::vector<TimeMs> crashes;
    size_t laterArrivals = 0;
    std::map<std::string, TimeMs> restarts; ///< By upstream that crashes: when it is up again.
    uint64_t requests = 0;
    std::vector<uint64_t> badCallers;
    std::vector<uint64_t> soundCallers;
};

}
