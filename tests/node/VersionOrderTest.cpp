#include "FleetFixture.h"
#include "ForwardFixture.h"

#include <deque>

namespace siskinshunt {

namespace {

    // Entry nodes under load and two versions of a backend; the callers wait for a second.
    struct VersionFleet {
        explicit VersionFleet(uint64_t seed = 1)
            : fleet(makeOptions(seed))
        {
            for (int n = 0; n < 3; ++n) {
                fleet.addUpstream("desk-" + std::to_string(n), UpstreamKind::Service, "desk", "lhr-depot");
                fleet.upstream("desk-" + std::to_string(n)).announced.version = "v1";
            }
            startForwardFleet(fleet);
            fleet.forwardAnswer = [this](size_t, const UpstreamDispatch& dispatch) -> std::optional<HttpHeaders> {
                const auto& version = fleet.upstreams.at(dispatch.address).announced.version;
                ++all;
                ++sentTo[version];
                lastSentTo[version] = fleet.now;
                if (version == target) {
                    ++sent;
                    arrivals[dispatch.address].push_back(fleet.now);
                }
                return HttpHeaders { { names.requestId, dispatch.idValue }, { names.receipt, "proof" } };
            };
            fleet.forwardStatus = [this](const UpstreamDispatch& dispatch) -> uint16_t {
                if (!badVersion.empty() && fleet.upstreams.at(dispatch.address).announced.version == badVersion && fleet.random.chance(0.25))
                    return 500;
                return fleet.upstreams.at(dispatch.address).announced.version == target && fails && fails(dispatch.address) ? 500 : 200;
            };
            fleet.runFor(3_s);
        }

        static NodeFleetOptions makeOptions(uint64_t seed)
        {
            auto options = forwardFleetOptions(4, 5);
            options.seed = seed;
            options.dialect = makeFleetDialect();
            return options;
        }

        void addVersion(const std::string& version)
        {
            for (int n = 0; n < 3; ++n) {
                const std::string name = "desk-" + version + "-" + std::to_string(n);
                fleet.addUpstream(name, UpstreamKind::Service, "desk", "lhr-depot");
                fleet.upstream(name).announced.version = version;
            }
        }

        void order(const std::string& version, TimeMs within = 20_s)
        {
            target = version;
            give(version, within);
            addVersion(version);
            all = sent = 0;
        }

        // Orders v2 within 20 s, which fails three in five requests from 16.7 s on.
        void orderVersionThatTurnsBad()
        {
            run(2_s);
            order("v2");
            fails = [this, badFrom = fleet.now + 16700_ms](const std::string&) { return fleet.now >= badFrom && fleet.random.chance(0.6); };
        }

        // Gives the order without new upstreams.
        void give(const std::string& version, TimeMs within = 20_s)
        {
            const auto call = fleet.post(0, { "POST", "/versions/desk/" + version, { { orderWithinHeader, std::to_string(within.value) } }, {} }, ListenerKind::Control);
            BOOST_REQUIRE(waitFor(fleet, call, 2_s));
            BOOST_REQUIRE_EQUAL(fleet.caller(call).status, 200U);
        }

        // Orders v2, which is bad, and the former version while v2 is on trial.
        void takeBackBadVersion()
        {
            badVersion = "v2";
            run(2_s);
            order("v2");
            run(2_s);
            give("v1");
            run(1_s);
        }

        // Requests arrive at random.
        void run(TimeMs duration, double perSecond = 60)
        {
            const double chance = perSecond / 100 / static_cast<double>(fleet.nodes.size() - 5);
            for (const TimeMs end = fleet.now + duration; fleet.now < end; fleet.runFor(10_ms)) {
                for (size_t n = 5; n < fleet.nodes.size(); ++n) {
                    if (fleet.random.chance(chance))
                        fleet.post(n, { "POST", "/book/1", { { "Host", "h" }, { names.requestId, "r" + std::to_string(++requests) }, { names.timeLeft, "1000" } }, "b" }, ListenerKind::Forward);
                }
            }
        }

        void runUntilOrderEnds()
        {
            for (const TimeMs end = fleet.now + 20_s; fleet.now < end && state() == VersionOrderState::Running;)
                run(10_ms);
        }

        // Whether the instance got the usual load of one in the last second.
        bool isLoaded(const std::string& address)
        {
            auto& times = arrivals[address];
            while (!times.empty() && fleet.now - times.front() > 1_s)
                times.pop_front();
            return times.size() >= 20;
        }

        VersionOrderState state()
        {
            return fleet.nodes[fleet.decisionLeader()].node->decisionLog.versionOrders.at("desk").state;
        }

        // The rule of the platform: a tenth of the requests until the time limit, and 50.
        void checkExposure() const { BOOST_CHECK_MESSAGE(static_cast<double>(sent) <= 0.1 * static_cast<double>(all) + 50, sent << " of " << all << " requests went to the bad version"); }

        NodeFleet fleet;
        HeaderNames names;
        std::string target;
        std::function<bool(const std::string& address)> fails; ///< Requests of the version that was ordered with order().
        std::string badVersion; ///< Fails a quarter of its requests.
        std::map<std::string, uint64_t> sentTo; ///< Requests by version.
        std::map<std::string, TimeMs> lastSentTo; ///< By version.
        std::map<std::string, std::deque<TimeMs>> arrivals;
        uint64_t all = 0;
        uint64_t sent = 0;
        uint64_t requests = 0;
    };

}

BOOST_AUTO_TEST_SUITE(VersionOrders)

// Guards against a version that is completed on the evidence of a small share: it fails at the usual load of an instance.
BOOST_AUTO_TEST_CASE(VersionThatFailsUnderLoadIsTakenBack)
{
    VersionFleet it;
    it.run(2_s);
    it.fails = [&](const std::string& address) { return it.isLoaded(address) && it.fleet.random.chance(0.5); };
    it.order("v2");
    it.run(20_s);
    BOOST_CHECK_EQUAL(nameOf(it.state()), "rolled_back");
    it.checkExposure();
}

// Guards against a sound version that is not completed in time, also right after a bad one: its results were counted for the next.
BOOST_AUTO_TEST_CASE(SoundVersionIsCompletedAfterABadOne)
{
    VersionFleet it;
    it.run(2_s);
    it.fails = [&](const std::string&) { return it.target == "v2" && it.fleet.random.chance(0.6); };
    it.order("v2");
    it.run(8_s);
    BOOST_CHECK_EQUAL(nameOf(it.state()), "rolled_back");
    it.order("v3");
    it.run(20_s);
    BOOST_CHECK_EQUAL(nameOf(it.state()), "completed");
}

// Guards against requests that are cut at the completion: the platform then ends the upstreams of the other versions at once.
BOOST_AUTO_TEST_CASE(OtherVersionsGetNoRequestsBeforeTheCompletion)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        VersionFleet it(seed);
        it.run(2_s);
        it.order("v2");
        it.runUntilOrderEnds();
        BOOST_CHECK_EQUAL(nameOf(it.state()), "completed");
        BOOST_CHECK_GE((it.fleet.now - it.lastSentTo["v1"]).value, 300);
        // The other way around, while both versions are in use.
        it.give("v1");
        it.run(2_s);
        it.runUntilOrderEnds();
        BOOST_CHECK_EQUAL(nameOf(it.state()), "completed");
        BOOST_CHECK_GE((it.fleet.now - it.lastSentTo["v2"]).value, 300);
    }
}

// Guards against a version without evidence because its answers come later than callers wait.
BOOST_AUTO_TEST_CASE(VersionThatAnswersTooLateIsTakenBack)
{
    VersionFleet it;
    it.run(2_s);
    it.order("v2");
    for (int n = 0; n < 3; ++n)
        it.fleet.upstream("desk-v2-" + std::to_string(n)).latency = 1200_ms;
    it.run(20_s);
    BOOST_CHECK_EQUAL(nameOf(it.state()), "rolled_back");
    it.checkExposure();
}

// Guards against a completion that overrules what the entry nodes see of the version after the switch of all requests, a second before its limit.
BOOST_AUTO_TEST_CASE(VersionThatTurnsBadAfterTheSwitchIsTakenBack)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        VersionFleet it(seed);
        it.run(2_s);
        it.order("v2");
        const TimeMs badFrom = it.fleet.now + 18800_ms;
        it.fails = [&](const std::string&) { return it.fleet.now >= badFrom && it.fleet.random.chance(0.8); };
        it.run(21_s);
        BOOST_CHECK_EQUAL(nameOf(it.state()), "rolled_back");
        it.checkExposure();
        BOOST_CHECK_LE((it.lastSentTo["v2"] - badFrom).value, 1000);
    }
}

// Guards against a version that is completed on hardly any results, since its backend has few requests, and against a sound one that is not.
BOOST_AUTO_TEST_CASE(BackendWithFewRequests)
{
    for (const bool bad : { false, true }) {
        VersionFleet it;
        it.run(2_s, 2.5);
        it.fails = [&](const std::string&) { return bad && it.fleet.random.chance(0.6); };
        it.order("v2");
        it.run(21_s, 2.5);
        BOOST_CHECK_EQUAL(nameOf(it.state()), bad ? "rolled_back" : "completed");
    }
}

// Guards against a version that is never completed because nobody sends requests: there is nothing to wait for.
BOOST_AUTO_TEST_CASE(BackendWithoutRequests)
{
    VersionFleet it;
    it.order("v2");
    it.run(21_s, 0);
    BOOST_CHECK_EQUAL(nameOf(it.state()), "completed");
}

// Guards against evidence and shares that are lost with the decision leader.
BOOST_AUTO_TEST_CASE(LeaderChangeDuringAnOrder)
{
    for (const bool bad : { false, true }) {
        VersionFleet it;
        it.run(2_s);
        it.fails = [&](const std::string& address) { return bad && it.isLoaded(address) && it.fleet.random.chance(0.5); };
        it.order("v2");
        it.run(4_s);
        it.fleet.kill(it.fleet.decisionLeader(), false);
        it.run(16_s);
        BOOST_CHECK_EQUAL(nameOf(it.state()), bad ? "rolled_back" : "completed");
        if (bad)
            it.checkExposure();
    }
}

// Guards against a new decision leader that completes a version without evidence: the core loses power before, in and after the last burst, between
// the switch and its record, and past the limit.
BOOST_AUTO_TEST_CASE(CoreIsGoneLateInAnOrder)
{
    for (const auto& [goneAt, backAt] : { std::pair(15_s, 17_s), std::pair(17_s, 18_s), std::pair(18500_ms, 19_s), std::pair(19100_ms, 20_s), std::pair(17_s, 21_s) }) {
        VersionFleet it;
        it.orderVersionThatTurnsBad();
        it.run(goneAt);
        for (size_t n = 0; n < 5; ++n)
            it.fleet.kill(n, true);
        it.run(backAt - goneAt);
        for (size_t n = 0; n < 5; ++n)
            it.fleet.start(n);
        it.run(6_s);
        BOOST_CHECK_MESSAGE(it.state() == VersionOrderState::RolledBack, nameOf(it.state()) << ", core gone after " << goneAt.value << " ms");
    }
}

// Guards against a leader that stands still while the version turns bad, and completes it on what it knew before.
BOOST_AUTO_TEST_CASE(LeaderStandsStillLateInAnOrder)
{
    for (const auto& [stillAt, goesOnAt] : { std::pair(15_s, 17_s), std::pair(17_s, 17800_ms), std::pair(18100_ms, 18900_ms), std::pair(18800_ms, 19400_ms), std::pair(17_s, 22_s) }) {
        VersionFleet it;
        it.orderVersionThatTurnsBad();
        it.run(stillAt);
        const size_t leader = it.fleet.decisionLeader();
        it.fleet.freeze(leader);
        it.run(goesOnAt - stillAt);
        it.fleet.thaw(leader);
        it.run(6_s);
        BOOST_CHECK_MESSAGE(it.state() == VersionOrderState::RolledBack, nameOf(it.state()) << ", leader still after " << stillAt.value << " ms");
    }
}

// Guards against an order with a short time limit that never ends, so that the next leader completes it, or that is completed without the load of an
// instance.
BOOST_AUTO_TEST_CASE(OrderWithAShortTimeLimit)
{
    for (const TimeMs within : { 1_s, 3_s, 4_s, 6_s, 8_s }) {
        for (const bool bad : { false, true }) {
            VersionFleet it;
            it.run(2_s);
            it.fails = [&](const std::string& address) { return bad && it.isLoaded(address) && it.fleet.random.chance(0.6); };
            it.order("v2", within);
            it.run(within + 500_ms);
            const char* expected = bad || within < 3_s ? "rolled_back" : "completed";
            BOOST_CHECK_MESSAGE(nameOf(it.state()) == expected, nameOf(it.state()) << " instead of " << expected << ", within " << within.value << " ms");
        }
    }
}

// Guards against a bad version that becomes an ordinary one because the operator orders the former version while it is on trial.
BOOST_AUTO_TEST_CASE(FormerVersionOrderedDuringABadOne)
{
    VersionFleet it;
    it.takeBackBadVersion();
    const uint64_t before = it.sentTo["v2"];
    it.run(19_s);
    BOOST_CHECK_EQUAL(it.sentTo["v2"], before);
    BOOST_CHECK_EQUAL(nameOf(it.state()), "completed");
}

// Guards against the same by an order for a third version, while the bad one is on trial or its instances still wait for their end.
BOOST_AUTO_TEST_CASE(ThirdVersionOrderedDuringOrAfterABadOne)
{
    for (const TimeMs trial : { 2_s, 10_s }) {
        VersionFleet it;
        it.badVersion = "v2";
        it.run(2_s);
        it.order("v2");
        it.run(trial);
        it.order("v3");
        it.run(1_s);
        const uint64_t before = it.sentTo["v2"];
        it.run(19_s);
        BOOST_CHECK_EQUAL(it.sentTo["v2"], before);
        BOOST_CHECK_EQUAL(nameOf(it.state()), "completed");
    }
}

// Guards against a version that gets all it may get once more with each order.
BOOST_AUTO_TEST_CASE(GivenUpVersionOrderedAgain)
{
    VersionFleet it;
    it.takeBackBadVersion();
    it.give("v2");
    it.run(17_s);
    BOOST_CHECK_EQUAL(nameOf(it.state()), "rolled_back");
    BOOST_CHECK_LE(static_cast<double>(it.sentTo["v2"]), 0.1 * static_cast<double>(it.all) + 50);
}

// Guards against what is known of a version in the memory of a process only.
BOOST_AUTO_TEST_CASE(GivenUpVersionStaysSoAfterRestarts)
{
    VersionFleet it;
    it.takeBackBadVersion();
    const uint64_t before = it.sentTo["v2"];
    for (const auto& node : it.fleet.nodes) {
        if (node.disk)
            it.fleet.post(0, { "POST", "/admin/snapshot", { { "Authorization", "Bearer omar" } }, {} });
    }
    it.run(300_ms);
    for (size_t n = 0; n < it.fleet.nodes.size(); ++n) {
        it.fleet.kill(n, true);
        it.fleet.start(n);
    }
    it.run(10_s);
    BOOST_CHECK_GT(it.sentTo["v1"], before);
    BOOST_CHECK_EQUAL(it.sentTo["v2"], before);
}

// Guards against all requests for a version on trial while the others are only busy, and against none for it when they are gone.
BOOST_AUTO_TEST_CASE(VersionOnTrialServesOnlyWhenTheOthersAreGone)
{
    VersionFleet it;
    it.run(2_s);
    it.order("v2");
    it.run(2_s);
    const uint64_t before = it.sentTo["v2"];
    BOOST_CHECK_LE(before, 40U);
    for (int n = 0; n < 3; ++n)
        it.fleet.stop("desk-" + std::to_string(n));
    it.run(13_s);
    BOOST_CHECK_GT(it.sentTo["v2"], before + 200);
}

BOOST_AUTO_TEST_SUITE_END()

}
