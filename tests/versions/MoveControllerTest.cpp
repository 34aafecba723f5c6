#include "versions/MoveController.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

/// A fleet of one node that confirms directives at once while `confirms` is set. All requests of a version behave alike.
struct Fixture {
    Fixture()
    {
        for (const char* name : { "crew", "plans" }) {
            RouteRule route;
            route.name = name;
            route.model = "m";
            rules.routes.push_back(route);
        }
        addMove("upgrade", "v1", "v2");
        for (uint64_t n = 1; n <= 10; ++n)
            runners.push_back({ UpstreamId { n }, "m", "v1" });
    }

    void addMove(const std::string& name, const std::string& from, const std::string& to)
    {
        MoveRule rule;
        rule.name = name;
        rule.model = "m";
        rule.from = from;
        rule.to = to;
        rule.by = now + 1200_s;
        rule.watch = 300_s;
        rule.origin = { .line = static_cast<int>(rules.moves.size()) + 1, .text = "move " + name, .person = "ASMA", .reason = "faster" };
        rules.moves.push_back(rule);
    }

    void addNewRunners(uint64_t count, const std::string& version = "v2")
    {
        for (uint64_t n = 0; n < count; ++n)
            runners.push_back({ UpstreamId { 100 + runners.size() }, "m", version });
    }

    const MoveDirective& directive(const std::string& name = "upgrade") { return controller.moves.at(name).directive; }

    double shareOf(const std::string& route)
    {
        if (!controller.moves.contains("upgrade"))
            return 0;
        for (const auto& it : directive().shares) {
            if (it.route == route)
                return it.share;
        }
        return 0;
    }

    /// 20 requests/s on "crew" and 10 on "plans"; every `failEvery`-th one of the new version fails.
    void second()
    {
        Evidence evidence { .move = "upgrade", .node = NodeId { 1 }, .confirmed = confirmed, .tripped = tripped, .tripReason = "test" };
        for (const auto& [name, rate] : { std::pair { "crew", 20.0 }, std::pair { "plans", 10.0 } }) {
            RouteEvidence route { .route = name };
            sent[name] += rate * shareOf(name);
            for (; sent[name] >= 1; sent[name] -= 1)
                add(route.newVersion, newLatency, failEvery && ++newRequests % failEvery == 0);
            for (double n = rate * (1 - shareOf(name)); n >= 1; n -= 1)
                add(route.oldVersion, 200, ++oldRequests % oldFailEvery == 0);
            evidence.routes.push_back(route);
        }
        if (confirms && controller.moves.contains("upgrade"))
            confirmed = directive().sequence;
        const std::vector<MoveNode> nodes { { NodeId { 1 }, { { "upgrade", confirmed }, { "next", confirmed } } } };
        MoveOutputs out;
        stepMoves(controller, { .now = now, .rules = &rules, .runners = runners, .evidence = { &evidence, 1 }, .nodes = nodes }, out);
        for (const auto& it : out.directives)
            directives.push_back(it);
        for (const auto& it : out.orders)
            orders.push_back(it);
        now += 1_s;
    }

    void add(VersionEvidence& version, double latency, bool failed)
    {
        ++version.requests;
        version.failures += failed;
        if (failed)
            return;
        // Spread evenly from half to one and a half of the latency.
        spread = spread >= 1 ? 0 : spread + 0.07;
        version.firstToken.record(latency * (0.5 + spread));
        version.wholeRequest.record(10 * latency * (0.5 + spread));
    }

    bool runUntil(MoveStage stage, int seconds)
    {
        for (int n = 0; n < seconds; ++n) {
            second();
            if (directive().stage == stage)
                return true;
        }
        return false;
    }

    TimeMs now { 1000000000 };
    RuleSet rules;
    MoveController controller;
    std::vector<MoveRunner> runners;
    std::vector<MoveDirective> directives;
    std::vector<MoveOrder> orders;
    std::map<std::string, double> sent;
    uint64_t confirmed = 0;
    bool confirms = true;
    bool tripped = false;
    uint64_t failEvery = 200;
    uint64_t oldFailEvery = 200;
    double newLatency = 200;
    uint64_t newRequests = 0;
    uint64_t oldRequests = 0;
    double spread = 0;
};

// Guards against a good version that misses its deadline, and against directives without a reason or rule.
BOOST_FIXTURE_TEST_CASE(goodVersionIsDoneInTimeAndClosed, Fixture)
{
    second();
    BOOST_TEST((directive().stage == MoveStage::Waiting && !orders.empty() && orders[0].kind == MoveOrderKind::StartVersion));
    addNewRunners(10);
    BOOST_TEST(runUntil(MoveStage::Done, 1190));
    BOOST_TEST((directive().person == "ASMA" && directive().line == 1 && directive().ruleText == "move upgrade" && !directive().reason.empty()));
    BOOST_TEST((shareOf("crew") == 1 && shareOf("plans") == 1));
    BOOST_TEST(runUntil(MoveStage::Closed, 400));
    for (size_t n = 1; n < directives.size(); ++n)
        BOOST_TEST(directives[n].sequence > directives[n - 1].sequence);
}

// Guards against an unproven version that gets more than max-share of the traffic on average.
BOOST_FIXTURE_TEST_CASE(provingStaysUnderMaxShare, Fixture)
{
    addNewRunners(10);
    double total = 0;
    int seconds = 0;
    for (; seconds < 200; ++seconds) {
        second();
        if (directive().stage != MoveStage::Proving)
            break;
        BOOST_TEST(static_cast<bool>(directive().canary));
        const double share = (20 * shareOf("crew") + 10 * shareOf("plans")) / 30;
        // At most the full load of one runner.
        BOOST_TEST(share < 0.11);
        total += share;
    }
    BOOST_TEST(seconds > 60);
    BOOST_TEST(total / seconds < 0.065);
}

// Guards against entering Done or Undone while a live node can still apply older shares.
BOOST_FIXTURE_TEST_CASE(finalStagesWaitForAllNodes, Fixture)
{
    addNewRunners(10);
    BOOST_REQUIRE(runUntil(MoveStage::Shifting, 1190));
    tripped = true;
    confirms = false;
    BOOST_REQUIRE(runUntil(MoveStage::Undoing, 3));
    BOOST_TEST((directive().shares.empty() && directive().code == "move_bad"));
    BOOST_TEST(!runUntil(MoveStage::Undone, 100));
    confirms = true;
    BOOST_TEST(runUntil(MoveStage::Undone, 3));
    BOOST_TEST(!runUntil(MoveStage::Proving, 100));
}

// Guards against a fault that starts after Done and goes undetected.
BOOST_FIXTURE_TEST_CASE(faultDuringTheWatchIsRolledBack, Fixture)
{
    addNewRunners(10);
    BOOST_REQUIRE(runUntil(MoveStage::Done, 1190));
    failEvery = 4;
    BOOST_TEST(runUntil(MoveStage::Undoing, 60));
    const auto restored = std::find_if(orders.begin(), orders.end(), [](const auto& it) { return it.version == "v1" && it.count == 10; });
    BOOST_TEST((restored != orders.end()));
}

// Guards against rolling back a good version during an outage of both versions, which the old one, without traffic, cannot
// show.
BOOST_FIXTURE_TEST_CASE(outageAfterDoneIsCheckedAgainstTheOldVersion, Fixture)
{
    addNewRunners(10);
    BOOST_REQUIRE(runUntil(MoveStage::Done, 1190));
    failEvery = oldFailEvery = 8;
    BOOST_TEST(!runUntil(MoveStage::Undoing, 120));
    BOOST_TEST(std::count_if(directives.begin(), directives.end(), [](const auto& it) { return it.code == "move_check"; }) > 0);
    failEvery = oldFailEvery = 200;
    BOOST_TEST(runUntil(MoveStage::Closed, 600));
}

// Guards against a route that stays at half its traffic because the leader changed during a check.
BOOST_FIXTURE_TEST_CASE(newLeaderEndsTheCheckOfThePreviousOne, Fixture)
{
    addNewRunners(10);
    BOOST_REQUIRE(runUntil(MoveStage::Done, 1190));
    MoveDirective checking = directive();
    for (auto& it : checking.shares)
        it.share = 0.5;
    restoreMoves(controller, { &checking, 1 }, rules, now);
    BOOST_TEST(runUntil(MoveStage::Closed, 400));
    BOOST_TEST((shareOf("crew") == 1 && shareOf("plans") == 1));
}

// Guards against a version that is slow but returns no errors.
BOOST_FIXTURE_TEST_CASE(slowVersionIsRolledBackWhileProving, Fixture)
{
    addNewRunners(10);
    newLatency = 400;
    BOOST_TEST(runUntil(MoveStage::Undoing, 300));
    BOOST_TEST((directive().code == "move_bad" && directive().started + 300_s > now));
}

// Guards against two concurrent moves of one model, which would mix three versions.
BOOST_FIXTURE_TEST_CASE(secondMoveOfTheModelWaits, Fixture)
{
    addMove("next", "v2", "v3");
    addNewRunners(10);
    addNewRunners(1, "v3");
    BOOST_REQUIRE(runUntil(MoveStage::Proving, 5));
    BOOST_TEST((directive("next").stage == MoveStage::Waiting && directive("next").reason.find("upgrade") != std::string::npos));
    BOOST_REQUIRE(runUntil(MoveStage::Closed, 1600));
    second();
    second();
    BOOST_TEST((directive("next").stage != MoveStage::Waiting));
}

// Guards against a move that stays half done when its rule is removed or its deadline passes.
BOOST_FIXTURE_TEST_CASE(withdrawnAndLateMovesAreUndone, Fixture)
{
    addNewRunners(1);
    BOOST_REQUIRE(runUntil(MoveStage::Proving, 5));
    // One runner cannot serve the traffic of ten, so the shift does not complete.
    BOOST_REQUIRE(runUntil(MoveStage::Undone, 1300));
    BOOST_TEST(directive().reason.find("deadline") != std::string::npos);
    Fixture other;
    other.addNewRunners(10);
    BOOST_REQUIRE(other.runUntil(MoveStage::Proving, 5));
    other.rules.moves.clear();
    other.second();
    BOOST_TEST((other.directives.back().code == "move_withdrawn"));
    other.second();
    BOOST_TEST((other.directives.back().stage == MoveStage::Undone));
}

// Guards against a new leader that restarts a move or lowers its sequence.
BOOST_FIXTURE_TEST_CASE(newLeaderResumesTheMove, Fixture)
{
    addNewRunners(10);
    BOOST_REQUIRE(runUntil(MoveStage::Shifting, 1190));
    for (int n = 0; n < 60; ++n)
        second();
    const MoveDirective before = directive();
    MoveController next;
    restoreMoves(next, { &before, 1 }, rules, now);
    controller = next;
    second();
    BOOST_TEST((directive().stage == MoveStage::Shifting && directive().sequence > before.sequence && directive().leaders == 1U));
    BOOST_TEST(shareOf("crew") >= before.shares.front().share);
    BOOST_TEST(runUntil(MoveStage::Done, 1100));
    BOOST_TEST((falseAlarmRateOfLeader(0.01, 0) + falseAlarmRateOfLeader(0.01, 1) < 0.01));
}

// Guards against evidence from a faulty or former node that names unknown moves and routes.
BOOST_FIXTURE_TEST_CASE(unknownEvidenceIsIgnored, Fixture)
{
    addNewRunners(10);
    BOOST_REQUIRE(runUntil(MoveStage::Proving, 5));
    RouteEvidence route { .route = "none" };
    route.newVersion.requests = 1000;
    route.newVersion.failures = 5000;
    const Evidence evidence[] { { .move = "upgrade", .routes = { route } }, { .move = "none", .tripped = true } };
    MoveOutputs out;
    stepMoves(controller, { .now = now, .rules = &rules, .runners = runners, .evidence = evidence, .nodes = {} }, out);
    BOOST_TEST((directive().stage == MoveStage::Proving && controller.moves.size() == 1U));
}
