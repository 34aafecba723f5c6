#include "ledger/Ledger.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static const CallOwner ownerA { NodeId { 1 }, 1 };
static const CallOwner ownerB { NodeId { 2 }, 1 };
static const CallOwner leader { NodeId { 9 }, 1 };
static constexpr TimeMs start { 1000000000 };

static Reserve makeReserve(const std::string& key, uint64_t random, bool dispatchNow = false)
{
    return { .account = "punjab", .key = key, .bodyDigest = "d1", .owner = ownerA, .call = makeCallId(random, GroupId { 3 }, 4), .request = "request", .deadline = start + 30_s, .dispatchNow = dispatchNow, .upstream = "desk", .now = start };
}

static LedgerOutcome outcomeOf(Ledger& ledger, const LedgerCommand& command)
{
    return applyLedger(ledger, command).outcome;
}

static bool allAlive(const CallOwner&) { return true; }
static bool noneAlive(const CallOwner&) { return false; }

// Guards against a call that runs twice because a second node treats its key as new.
BOOST_AUTO_TEST_CASE(sameKeyJoinsCallAndGetsStoredAnswer)
{
    Ledger ledger;
    const auto first = applyLedger(ledger, makeReserve("k", 1, true));
    BOOST_TEST((first.outcome == LedgerOutcome::Accepted && first.state == CallState::Dispatched && first.attempt == 1));
    const auto joined = applyLedger(ledger, makeReserve("k", 2, true));
    BOOST_TEST((joined.outcome == LedgerOutcome::Joined && joined.call == first.call && joined.owner == ownerA));
    Reserve other = makeReserve("k", 3);
    other.bodyDigest = "d2";
    BOOST_TEST((outcomeOf(ledger, other) == LedgerOutcome::KeyReused));
    const StoredAnswer answer { .status = 201, .body = "booked" };
    BOOST_TEST((outcomeOf(ledger, Complete { first.call, ownerA, 1, answer, start }) == LedgerOutcome::Stored));
    const auto stored = applyLedger(ledger, makeReserve("k", 4, true));
    BOOST_TEST((stored.outcome == LedgerOutcome::Stored && stored.answer->body == "booked" && stored.call == first.call));
}

// Guards against a second dispatch of the same attempt, for example by a proposer that lost the reply and proposes again.
BOOST_AUTO_TEST_CASE(anAttemptIsDispatchedOnce)
{
    Ledger ledger;
    const CallId call = applyLedger(ledger, makeReserve("k", 1)).call;
    const Dispatch dispatch { call, ownerA, 1, "desk", start };
    BOOST_TEST((outcomeOf(ledger, dispatch) == LedgerOutcome::Accepted));
    BOOST_TEST((outcomeOf(ledger, dispatch) == LedgerOutcome::Conflict));
    BOOST_TEST((outcomeOf(ledger, ReturnToReserved { call, ownerB, 1, start }) == LedgerOutcome::Conflict));
    BOOST_TEST((applyLedger(ledger, ReturnToReserved { call, ownerA, 1, start }).attempt == 2U));
    BOOST_TEST((outcomeOf(ledger, dispatch) == LedgerOutcome::Conflict));
    BOOST_TEST((outcomeOf(ledger, Dispatch { call, ownerA, 2, "desk2", start }) == LedgerOutcome::Accepted));
}

// Guards against a previous owner that returns after a takeover and also dispatches its queued call.
BOOST_AUTO_TEST_CASE(takeoverFencesThePreviousOwner)
{
    Ledger ledger;
    const CallId call = applyLedger(ledger, makeReserve("k", 1)).call;
    BOOST_TEST(callsDueForTakeover(ledger, start, leader, allAlive).empty());
    const auto due = callsDueForTakeover(ledger, start, leader, noneAlive);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST((applyLedger(ledger, due[0]).attempt == 2U));
    BOOST_TEST((outcomeOf(ledger, due[0]) == LedgerOutcome::Conflict));
    BOOST_TEST((outcomeOf(ledger, Dispatch { call, ownerA, 1, "desk", start }) == LedgerOutcome::Conflict));
    BOOST_TEST((outcomeOf(ledger, Dispatch { call, ownerA, 2, "desk", start }) == LedgerOutcome::Conflict));
    BOOST_TEST((outcomeOf(ledger, Dispatch { call, leader, 2, "desk", start }) == LedgerOutcome::Accepted));
    BOOST_TEST(callsDueForTakeover(ledger, start, ownerB, noneAlive).empty());
}

// Guards against a dispatched call of a dead owner that runs again, and against a late outcome that replaces a final state.
BOOST_AUTO_TEST_CASE(dispatchedCallOfDeadOwnerBecomesUnknownAfterItsDeadline)
{
    Ledger ledger;
    const CallId call = applyLedger(ledger, makeReserve("k", 1, true)).call;
    BOOST_TEST(callsDueForUnknown(ledger, start + 30_s, leader, noneAlive).empty());
    BOOST_TEST((outcomeOf(ledger, MarkUnknown { call, leader, 1, start + 29_s }) == LedgerOutcome::Conflict));
    const TimeMs late = start + 30001_ms;
    BOOST_TEST(callsDueForUnknown(ledger, late, leader, allAlive).empty());
    const auto due = callsDueForUnknown(ledger, late, leader, noneAlive);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST((applyLedger(ledger, due[0]).state == CallState::Unknown));
    const auto outcome = applyLedger(ledger, Complete { call, ownerA, 1, { .status = 200, .body = "late" }, late });
    BOOST_TEST((outcome.outcome == LedgerOutcome::Stored && outcome.state == CallState::Unknown && !outcome.answer));
}

// Guards against reporting "not run" for a call that may have been sent: only the owner of the current attempt knows that
// nothing was sent, and the attempt cannot be dispatched after that.
BOOST_AUTO_TEST_CASE(onlyTheOwnerEndsADispatchedCallAsNotRun)
{
    Ledger ledger;
    const CallId reserved = applyLedger(ledger, makeReserve("queued", 1)).call;
    const CallId sent = applyLedger(ledger, makeReserve("sent", 2, true)).call;
    const CallId unsent = applyLedger(ledger, makeReserve("unsent", 3, true)).call;
    StoredAnswer refusal { .status = 503, .ran = false };
    BOOST_TEST((outcomeOf(ledger, Complete { sent, ownerB, 1, refusal, start }) == LedgerOutcome::Conflict));
    BOOST_TEST((outcomeOf(ledger, Complete { sent, leader, 1, refusal, start + 60_s }) == LedgerOutcome::Conflict));
    BOOST_TEST((outcomeOf(ledger, Complete { sent, ownerA, 2, refusal, start }) == LedgerOutcome::Conflict));
    BOOST_TEST((outcomeOf(ledger, Complete { unsent, ownerA, 1, refusal, start }) == LedgerOutcome::Stored));
    BOOST_TEST((outcomeOf(ledger, Dispatch { unsent, ownerA, 1, "desk", start }) == LedgerOutcome::Stored));
    BOOST_TEST((outcomeOf(ledger, TakeOver { unsent, 1, leader, start }) == LedgerOutcome::Stored));
    BOOST_TEST((!findByCall(ledger, unsent)->answer.ran));
    applyLedger(ledger, Expire { start + 31_s });
    BOOST_TEST((findByCall(ledger, reserved)->state == CallState::Done && !findByCall(ledger, reserved)->answer.ran));
    BOOST_TEST((findByCall(ledger, sent)->state == CallState::Dispatched));
    applyLedger(ledger, Expire { start + 31_s + ledger.settings.outcomeGrace });
    BOOST_TEST((findByCall(ledger, sent)->state == CallState::Unknown));
}

// Guards against a key that stays unusable although its caller was told "not run", and against a key that runs again
// although its call ran or may have run.
BOOST_AUTO_TEST_CASE(refusedKeyCanBeRetried)
{
    Ledger ledger;
    const CallId first = applyLedger(ledger, makeReserve("k", 1)).call;
    const StoredAnswer refusal { .status = 503, .ran = false };
    BOOST_TEST((outcomeOf(ledger, Complete { first, ownerA, 1, refusal, start }) == LedgerOutcome::Stored));
    BOOST_TEST((outcomeOf(ledger, makeReserve("k", 1)) == LedgerOutcome::Stored)); // The first reservation, proposed again.
    const auto second = applyLedger(ledger, makeReserve("k", 2, true));
    BOOST_TEST((second.outcome == LedgerOutcome::Accepted && second.call != first));
    BOOST_TEST((lookUpCall(ledger, first).outcome == LedgerOutcome::NotFound));
    BOOST_TEST((outcomeOf(ledger, MarkUnknown { second.call, ownerA, 1, start }) == LedgerOutcome::Stored));
    const auto third = applyLedger(ledger, makeReserve("k", 3, true));
    BOOST_TEST((third.outcome == LedgerOutcome::Stored && third.state == CallState::Unknown));
}

// Guards against a key that runs again after its record was removed, and against digests that are never removed.
BOOST_AUTO_TEST_CASE(expiredKeysAreRefused)
{
    Ledger ledger;
    const TimeMs retention = ledger.settings.retention;
    const std::string uuid = "00003b9a-ca00-7000-8000-000000000001"; // Created at `start`.
    BOOST_REQUIRE((keyCreationTime(uuid) == start));
    applyLedger(ledger, makeReserve("plain", 1, true));
    applyLedger(ledger, makeReserve(uuid, 2, true));
    applyLedger(ledger, Expire { start + retention });
    BOOST_TEST((ledger.calls.empty() && ledger.bytes == 0U && ledger.callsByKey.empty()));
    BOOST_TEST(ledger.expiredDigests.size() == 1U);
    BOOST_TEST((outcomeOf(ledger, makeReserve("plain", 3)) == LedgerOutcome::KeyExpired));
    BOOST_TEST((outcomeOf(ledger, makeReserve(uuid, 4)) == LedgerOutcome::KeyExpired));
    applyLedger(ledger, Expire { start + retention + ledger.settings.digestRetention });
    BOOST_TEST((ledger.expiredDigests.empty() && ledger.expiredDigestCounts.empty()));
    BOOST_TEST((outcomeOf(ledger, makeReserve(uuid, 5)) == LedgerOutcome::KeyExpired));
}

// Guards against a node with a wrong clock that expires the keys of all other nodes.
BOOST_AUTO_TEST_CASE(ownersDoNotAdvanceTheClock)
{
    Ledger ledger;
    applyLedger(ledger, makeReserve("k", 1, true));
    Reserve ahead = makeReserve("k2", 2, true);
    ahead.now = start + ledger.settings.retention * 2;
    const CallId call = applyLedger(ledger, ahead).call;
    applyLedger(ledger, Complete { call, ownerA, 1, { .status = 200 }, ahead.now });
    BOOST_TEST((ledger.clock == start));
    BOOST_TEST(isExpireDue(ledger, start + 10_s));
}

// Guards against the eviction of live keys in a full ledger, and against unbounded memory for large answers.
BOOST_AUTO_TEST_CASE(fullLedgerRefusesNewKeysOnly)
{
    Ledger ledger;
    ledger.settings.maxCalls = 2;
    applyLedger(ledger, makeReserve("a", 1, true));
    applyLedger(ledger, makeReserve("b", 2, true));
    BOOST_TEST((outcomeOf(ledger, makeReserve("c", 3, true)) == LedgerOutcome::Full));
    BOOST_TEST((outcomeOf(ledger, makeReserve("a", 4, true)) == LedgerOutcome::Joined));
    StoredAnswer large { .status = 200, .body = std::string(ledger.settings.maxAnswerBytes + 1, 'x') };
    const auto stored = applyLedger(ledger, Complete { findByKey(ledger, "punjab", "a")->call, ownerA, 1, large, start });
    BOOST_REQUIRE(stored.answer);
    BOOST_TEST((stored.answer->body.empty() && stored.answer->bodyDigest.size() == 64U && stored.answer->bodyBytes == large.body.size()));
}

// Guards against crashes and memory exhaustion caused by commands from a faulty peer.
BOOST_AUTO_TEST_CASE(malformedCommandsAreAnswered)
{
    Ledger ledger;
    const auto machine = ledgerStateMachine(ledger);
    const std::string good = encodeLedgerCommand(makeReserve("k", 1));
    for (size_t n = 0; n < good.size(); ++n) {
        BOOST_TEST((decodeLedgerReply(machine.apply(1, good.substr(0, n)))->outcome == LedgerOutcome::Malformed));
        std::string flipped = good;
        flipped[n] = static_cast<char>(0xff);
        BOOST_TEST(decodeLedgerReply(machine.apply(1, flipped)).has_value());
    }
    BOOST_TEST((decodeLedgerReply(machine.apply(1, good + "x"))->outcome == LedgerOutcome::Malformed));
    BOOST_TEST(!machine.restore("not a snapshot"));
}

// Guards against nodes that disagree on the group of a key or call.
BOOST_AUTO_TEST_CASE(callIdIdentifiesTheGroup)
{
    for (uint64_t n = 0; n < 1000; ++n) {
        const GroupId group = groupOfKey("account", "key" + std::to_string(n), 4);
        BOOST_TEST((group.value >= 2 && group.value < 6));
        for (const uint64_t random : { uint64_t { 0 }, n * 0x9e3779b97f4a7c15, UINT64_MAX - n }) {
            const CallId call = makeCallId(random, group, 4);
            BOOST_TEST((call && groupOfCall(call, 4) == group));
        }
    }
}
