#include "FleetFixture.h"

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(OnceCall)

// Guards against losing an accepted call of which nothing was sent before its node died.
BOOST_AUTO_TEST_CASE(QueuedCallOfDeadNodeIsTakenOverAndRunsOnce)
{
    const auto fleet = makeFleet();
    for (auto name : { "desk-0", "desk-1" })
        fleet->upstream(name).announced.load.capacity = 0;
    fleet->runFor(2_s);
    // Fills the slots that both services have beyond their capacity.
    for (auto name : { "desk-0", "desk-1" })
        fleet->upstream(name).latency = 1500_ms;
    for (int n = 0; n < 4; ++n)
        fleet->postBooking(3, "filler-" + std::to_string(n));
    fleet->runFor(100_ms);
    const auto caller = fleet->postBooking(3, "queued");
    fleet->runFor(200_ms);
    BOOST_REQUIRE(!fleet->caller(caller).done);
    BOOST_REQUIRE_EQUAL(fleet->executionCount("queued"), 0);
    fleet->kill(3, false);
    fleet->runFor(10_s);
    BOOST_CHECK_EQUAL(fleet->executionCount("queued"), 1);
    const auto again = fleet->postBooking(1, "queued");
    BOOST_REQUIRE(waitFor(*fleet, again, 5_s));
    BOOST_CHECK_EQUAL(fleet->caller(again).status, 200);
    BOOST_CHECK_EQUAL(fleet->caller(again).body, "booked queued");
    checkFleet(*fleet);
}

// Guards against concurrent calls that all go to one upstream because none of them counts as load while the ledger commits it.
BOOST_AUTO_TEST_CASE(BookingsThatArriveTogetherAreSpread)
{
    const auto fleet = makeFleet();
    for (int n = 0; n < 6; ++n)
        fleet->postBooking(3, "together-" + std::to_string(n));
    fleet->runFor(1_s);
    for (auto name : { "desk-0", "desk-1" })
        BOOST_CHECK_GE(fleet->upstream(name).dispatches.size(), 2U);
    checkFleet(*fleet);
}

// Guards against running a call again whose node died after sending it.
BOOST_AUTO_TEST_CASE(DispatchedCallOfDeadNodeBecomesUnknown)
{
    const auto fleet = makeFleet();
    fleet->upstream("desk-0").latency = fleet->upstream("desk-1").latency = 3_s;
    const auto caller = fleet->postBooking(3, "sent");
    BOOST_REQUIRE(fleet->runUntil([&] { return fleet->executionCount("sent") == 1; }, 2_s));
    BOOST_REQUIRE(!fleet->caller(caller).done);
    fleet->kill(3, false);
    fleet->runFor(20_s);
    const auto again = fleet->postBooking(1, "sent");
    BOOST_REQUIRE(waitFor(*fleet, again, 5_s));
    BOOST_CHECK_EQUAL(NodeFleet::member(fleet->caller(again), "code"), "outcome_unknown");
    BOOST_CHECK_EQUAL(runStatusOf(fleet->caller(again)), "unknown");
    fleet->runFor(20_s);
    BOOST_CHECK_EQUAL(fleet->executionCount("sent"), 1);
    checkFleet(*fleet);
}

// Guards against a call that runs twice because two nodes receive its key at the same time.
BOOST_AUTO_TEST_CASE(SameKeyAtTwoNodesRunsOnce)
{
    const auto fleet = makeFleet();
    const auto first = fleet->postBooking(0, "same");
    const auto second = fleet->postBooking(3, "same");
    BOOST_REQUIRE(waitFor(*fleet, first, 5_s) && waitFor(*fleet, second, 5_s));
    for (const auto it : { first, second }) {
        BOOST_CHECK_EQUAL(fleet->caller(it).status, 200);
        BOOST_CHECK_EQUAL(fleet->caller(it).body, "booked same");
    }
    BOOST_CHECK_EQUAL(fleet->executionCount("same"), 1);
    checkFleet(*fleet);
}

// Guards against a stored answer that is labelled as not run because the request that asked for it ran nothing itself.
BOOST_AUTO_TEST_CASE(StoredAnswerSaysThatTheCallRan)
{
    const auto fleet = makeFleet();
    for (const size_t n : { 3, 1 }) {
        const auto caller = fleet->postBooking(n, "stored");
        BOOST_REQUIRE(waitFor(*fleet, caller, 5_s));
        BOOST_CHECK_EQUAL(fleet->caller(caller).status, 200);
        BOOST_CHECK_EQUAL(runStatusOf(fleet->caller(caller)), "ran");
    }
    BOOST_CHECK_EQUAL(fleet->executionCount("stored"), 1);
}

// Guards against answering a reused key with the result of a different request body.
BOOST_AUTO_TEST_CASE(SameKeyWithAnotherBodyIsRefused)
{
    const auto fleet = makeFleet();
    const auto first = fleet->postBooking(0, "reused", "two trucks");
    BOOST_REQUIRE(waitFor(*fleet, first, 5_s));
    const auto second = fleet->postBooking(1, "reused", "three trucks");
    BOOST_REQUIRE(waitFor(*fleet, second, 5_s));
    BOOST_CHECK_EQUAL(fleet->caller(second).status, 409);
    BOOST_CHECK_EQUAL(NodeFleet::member(fleet->caller(second), "code"), "key_reused");
    BOOST_CHECK_EQUAL(runStatusOf(fleet->caller(second)), "not-run");
    BOOST_CHECK_EQUAL(fleet->executionCount("reused"), 1);
    checkFleet(*fleet);
}

// Guards against failing a call instead of retrying it when nothing was sent.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsRetriedElsewhere)
{
    const auto fleet = makeFleet();
    std::string refused;
    fleet->fault = [&](const UpstreamDispatch& it) {
        if (refused.empty())
            refused = it.address;
        return it.address == refused ? DispatchFault::Refuse : DispatchFault::None;
    };
    const auto caller = fleet->postBooking(3, "retried");
    BOOST_REQUIRE(waitFor(*fleet, caller, 5_s));
    BOOST_CHECK_EQUAL(fleet->caller(caller).status, 200);
    BOOST_CHECK_EQUAL(fleet->executionCount("retried"), 1);
    checkFleet(*fleet);
}

// Guards against keeping the key of a call that was refused as "not-run" as if its outcome were unknown.
BOOST_AUTO_TEST_CASE(RefusedEverywhereIsNotRunAndCanBeTriedAgain)
{
    const auto fleet = makeFleet();
    fleet->fault = [](const UpstreamDispatch&) { return DispatchFault::Refuse; };
    const auto caller = fleet->postBooking(3, "nowhere");
    BOOST_REQUIRE(waitFor(*fleet, caller, 9_s));
    BOOST_CHECK_EQUAL(runStatusOf(fleet->caller(caller)), "not-run");
    fleet->fault = nullptr;
    fleet->runFor(20_s);
    BOOST_CHECK_EQUAL(fleet->executionCount("nowhere"), 0);
    const auto again = fleet->postBooking(1, "nowhere");
    BOOST_REQUIRE(waitFor(*fleet, again, 5_s));
    BOOST_CHECK_EQUAL(fleet->caller(again).status, 200);
    BOOST_CHECK_EQUAL(fleet->executionCount("nowhere"), 1);
    checkFleet(*fleet);
}

// Guards against a second dispatch after part of the request may have been sent.
BOOST_AUTO_TEST_CASE(ConnectionLostAfterSendingIsUnknown)
{
    for (const auto fault : { DispatchFault::CloseUnread, DispatchFault::CloseAfterRun, DispatchFault::Crossed }) {
        const auto fleet = makeFleet();
        int dispatches = 0;
        fleet->fault = [&](const UpstreamDispatch&) { ++dispatches; return fault; };
        const auto caller = fleet->postBooking(3, "lost");
        BOOST_REQUIRE(waitFor(*fleet, caller, 5_s));
        BOOST_CHECK_EQUAL(runStatusOf(fleet->caller(caller)), "unknown");
        fleet->runFor(20_s);
        BOOST_CHECK_EQUAL(dispatches, 1);
        checkFleet(*fleet);
    }
}

// Guards against a call that runs after it was refused as "not-run", when the quorum returns or the node dies.
BOOST_AUTO_TEST_CASE(WithoutQuorumNotRunStaysTrue)
{
    for (const bool dies : { false, true }) {
        const auto fleet = makeFleet();
        fleet->kill(1, false);
        fleet->kill(2, false);
        const auto caller = fleet->postBooking(3, "refused");
        BOOST_REQUIRE(waitFor(*fleet, caller, 5_s));
        BOOST_CHECK_EQUAL(NodeFleet::member(fleet->caller(caller), "code"), "ledger_unavailable");
        BOOST_CHECK_EQUAL(runStatusOf(fleet->caller(caller)), "not-run");
        BOOST_CHECK(!NodeFleet::member(fleet->caller(caller), "retry_after_ms").empty());
        if (dies)
            fleet->kill(3, false);
        fleet->start(1);
        fleet->start(2);
        fleet->runFor(30_s);
        BOOST_CHECK_EQUAL(fleet->executionCount("refused"), 0);
        checkFleet(*fleet);
    }
}

// Guards against cancelling a once call when its caller disconnects.
BOOST_AUTO_TEST_CASE(CallerGoneDoesNotEndTheCall)
{
    const auto fleet = makeFleet();
    fleet->upstream("desk-0").latency = fleet->upstream("desk-1").latency = 1_s;
    const auto caller = fleet->postBooking(3, "gone");
    fleet->runFor(20_ms);
    fleet->disconnectCaller(caller);
    fleet->runFor(5_s);
    BOOST_CHECK_EQUAL(fleet->executionCount("gone"), 1);
    const auto again = fleet->postBooking(1, "gone");
    BOOST_REQUIRE(waitFor(*fleet, again, 5_s));
    BOOST_CHECK_EQUAL(fleet->caller(again).body, "booked gone");
    checkFleet(*fleet);
}

// Guards against queueing a call until its deadline when its pool has no upstream.
BOOST_AUTO_TEST_CASE(CallWithoutUpstreamIsRefusedAtOnce)
{
    const auto fleet = makeFleet();
    for (auto name : { "desk-0", "desk-1", "runner-0", "runner-1", "runner-2" })
        fleet->upstream(name).up = false;
    fleet->runFor(15_s);
    for (const auto caller : { fleet->postBooking(3, "nobody"), fleet->postCompletion(3, false, 5) }) {
        BOOST_REQUIRE(waitFor(*fleet, caller, 2_s));
        BOOST_CHECK_EQUAL(fleet->caller(caller).status, 503);
        BOOST_CHECK_EQUAL(runStatusOf(fleet->caller(caller)), "not-run");
        BOOST_CHECK(!NodeFleet::member(fleet->caller(caller), "retry_after_ms").empty());
    }
    checkFleet(*fleet);
}

BOOST_AUTO_TEST_SUITE_END()

}
