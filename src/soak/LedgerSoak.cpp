#include "base/Random.h"
#include "ledger/Ledger.h"
#include "soak/Soak.h"

#include <map>
#include <set>
#include <vector>

namespace siskinshunt {

/// A call as seen by its callers and owners, for comparison with the ledger.
struct ModelCall {
    std::string account;
    std::string key;
    bool bytesMayBeSent = false;
    uint64_t sends = 0; ///< Accepted dispatches after which bytes of the request were sent.
    std::optional<LedgerReply> finalReply;
};

struct LedgerSchedule {
    explicit LedgerSchedule(uint64_t seed)
        : random(seed)
    {
        ledger.settings.retention = 60_s;
        ledger.settings.digestRetention = 300_s;
        ledger.settings.maxCalls = 30 + random.below(40);
        ledger.settings.maxBytes = 200000;
        ledger.settings.outcomeGrace = 5_s;
        for (auto& owner : owners)
            owner = { NodeId { 1 + static_cast<uint64_t>(&owner - owners.data()) }, 1 };
    }

    Random random;
    Ledger ledger;
    TimeMs now { 1000000 };
    std::array<CallOwner, 4> owners;
    std::map<CallId, ModelCall> calls;
    std::map<std::string, uint64_t> sendsOfKey; ///< Within the retention period and the digest retention period.
    std::map<std::string, TimeMs> firstUse;
    SoakResult result;
};

static void recordViolation(LedgerSchedule& schedule, const std::string& text)
{
    if (schedule.result.violation.empty())
        schedule.result.violation = text;
}

/// Applies the command in encoded form, and sometimes a second time, as by a proposer that lost the reply and retries.
static LedgerReply propose(LedgerSchedule& schedule, const LedgerCommand& command)
{
    const auto machine = ledgerStateMachine(schedule.ledger);
    const std::string bytes = encodeLedgerCommand(command);
    const auto reply = decodeLedgerReply(machine.apply(0, bytes));
    if (!reply) {
        recordViolation(schedule, "reply does not decode");
        return {};
    }
    if (schedule.random.chance(0.05)) {
        ++schedule.result.faults["command applied twice"];
        const auto again = decodeLedgerReply(machine.apply(0, bytes));
        const bool dispatches = std::holds_alternative<Dispatch>(command);
        if (again && dispatches && again->outcome == LedgerOutcome::Accepted)
            recordViolation(schedule, "one attempt was dispatched twice");
    }
    return *reply;
}

static void recordSend(LedgerSchedule& schedule, ModelCall& call)
{
    call.bytesMayBeSent = true;
    if (++call.sends > 1)
        recordViolation(schedule, "call sent twice: " + call.key);
    if (++schedule.sendsOfKey[call.key] > 1)
        recordViolation(schedule, "key sent twice: " + call.key);
}

/// Either the connection failed before any byte was sent and the owner returns the call to Reserved, or bytes may have
/// been sent.
static void handleDispatched(LedgerSchedule& schedule, ModelCall& call, const LedgerReply& reply)
{
    if (call.bytesMayBeSent)
        recordViolation(schedule, "a dispatch was accepted after a byte may have left: " + call.key);
    if (schedule.random.chance(0.3)) {
        ++schedule.result.faults["connection refused before a byte"];
        const auto back = propose(schedule, ReturnToReserved { .call = reply.call, .owner = reply.owner, .attempt = reply.attempt, .now = schedule.now });
        if (back.outcome != LedgerOutcome::Accepted && back.outcome != LedgerOutcome::Stored)
            recordViolation(schedule, "the owner could not take back its dispatch");
        return;
    }
    recordSend(schedule, call);
}

static void checkFinal(LedgerSchedule& schedule, ModelCall& call, const LedgerReply& reply)
{
    if (reply.outcome != LedgerOutcome::Stored)
        return;
    if (!call.finalReply) {
        call.finalReply = reply;
        return;
    }
    const auto& before = *call.finalReply;
    if (before.state != reply.state || before.answer.has_value() != reply.answer.has_value()
        || (reply.answer && (reply.answer->body != before.answer->body || reply.answer->status != before.answer->status)))
        recordViolation(schedule, "a final answer changed: " + call.key);
}

static void reserve(LedgerSchedule& schedule)
{
    Random& random = schedule.random;
    const std::string key = "key" + std::to_string(random.below(60));
    const CallOwner owner = schedule.owners[random.below(schedule.owners.size())];
    Reserve command { .account = "a", .key = key, .bodyDigest = random.chance(0.1) ? "other" : "body", .owner = owner };
    command.call = makeCallId(random.next(), GroupId { 2 }, 4);
    command.request = std::string(random.below(2000), 'r');
    command.deadline = schedule.now + TimeMs { random.between(0, 20000) };
    command.dispatchNow = random.chance(0.5);
    command.upstream = "u";
    command.now = schedule.now + TimeMs { random.between(-3000, 3000) };
    const auto reply = propose(schedule, command);
    ++schedule.result.faults["reply " + std::string(nameOf(reply.outcome))];
    if (reply.outcome == LedgerOutcome::Accepted) {
        ModelCall& call = schedule.calls[command.call];
        call.account = command.account;
        call.key = key;
        if (command.dispatchNow)
            handleDispatched(schedule, call, reply);
    } else if (const auto it = schedule.calls.find(reply.call); it != schedule.calls.end() && reply.outcome == LedgerOutcome::Stored) {
        checkFinal(schedule, it->second, reply);
    }
}

static CallRecord pickCall(LedgerSchedule& schedule)
{
    if (schedule.ledger.calls.empty())
        return {};
    auto it = schedule.ledger.calls.begin();
    std::advance(it, schedule.random.below(schedule.ledger.calls.size()));
    return it->second;
}

static void advanceCall(LedgerSchedule& schedule)
{
    Random& random = schedule.random;
    const CallRecord seen = pickCall(schedule);
    if (!seen.call)
        return;
    ModelCall& call = schedule.calls[seen.call];
    // Some owners act on a stale record, from before a takeover or a restart.
    const CallOwner owner = random.chance(0.8) ? seen.owner : schedule.owners[random.below(schedule.owners.size())];
    const uint32_t attempt = random.chance(0.9) ? seen.attempt : seen.attempt - 1;
    LedgerReply reply;
    switch (random.below(4)) {
    case 0:
        reply = propose(schedule, Dispatch { .call = seen.call, .owner = owner, .attempt = attempt, .upstream = "u", .now = schedule.now });
        if (reply.outcome == LedgerOutcome::Accepted)
            handleDispatched(schedule, call, reply);
        break;
    case 1: {
        // An owner reports a call as not run only if it knows that no byte was sent.
        StoredAnswer answer { .status = 200, .ran = call.bytesMayBeSent || random.chance(0.8), .body = "answer" + std::to_string(random.next()) };
        if (random.chance(0.1))
            answer.body.resize(70000, 'x');
        reply = propose(schedule, Complete { .call = seen.call, .owner = owner, .attempt = attempt, .answer = answer, .now = schedule.now });
        break;
    }
    case 2:
        reply = propose(schedule, MarkUnknown { .call = seen.call, .by = owner, .attempt = attempt, .now = schedule.now });
        break;
    default:
        reply = lookUpCall(schedule.ledger, seen.call);
    }
    checkFinal(schedule, call, reply);
}

static void tickLeader(LedgerSchedule& schedule)
{
    const CallOwner self = schedule.owners[0];
    std::set<CallOwner> dead;
    for (const auto& owner : schedule.owners) {
        if (schedule.random.chance(0.3))
            dead.insert(owner);
    }
    const auto isAlive = [&](const CallOwner& owner) { return !dead.contains(owner); };
    for (const auto& command : callsDueForTakeover(schedule.ledger, schedule.now, self, isAlive)) {
        ++schedule.result.faults["takeover"];
        const auto reply = propose(schedule, command);
        if (reply.outcome != LedgerOutcome::Accepted)
            continue;
        const auto sent = propose(schedule, Dispatch { .call = command.call, .owner = self, .attempt = reply.attempt, .upstream = "u", .now = schedule.now });
        if (sent.outcome == LedgerOutcome::Accepted)
            handleDispatched(schedule, schedule.calls[command.call], sent);
    }
    for (const auto& command : callsDueForUnknown(schedule.ledger, schedule.now, self, isAlive)) {
        ++schedule.result.faults["unknown by leader"];
        checkFinal(schedule, schedule.calls[command.call], propose(schedule, command));
    }
    if (isExpireDue(schedule.ledger, schedule.now)) {
        ++schedule.result.faults["expire"];
        propose(schedule, Expire { schedule.now });
    }
}

static void restoreFromSnapshot(LedgerSchedule& schedule)
{
    ++schedule.result.faults["snapshot and restore"];
    const std::string bytes = snapshotLedger(schedule.ledger);
    Ledger other;
    other.settings = schedule.ledger.settings;
    if (!restoreLedger(other, bytes) || snapshotLedger(other) != bytes || other.bytes != schedule.ledger.bytes
        || other.openCalls != schedule.ledger.openCalls || other.callsByKey != schedule.ledger.callsByKey || other.callsByCreation != schedule.ledger.callsByCreation
        || other.expiredDigestCounts != schedule.ledger.expiredDigestCounts)
        recordViolation(schedule, "a restored ledger differs");
    if (restoreLedger(other, std::string_view(bytes).substr(0, bytes.size() / 2)))
        recordViolation(schedule, "half a snapshot was restored");
    schedule.ledger = std::move(other);
}

static void applyMalformedCommand(LedgerSchedule& schedule)
{
    ++schedule.result.faults["malformed command"];
    std::string bytes = encodeLedgerCommand(Reserve { .account = "a", .key = "key1", .upstream = "u" });
    for (int n = 0; n < 4; ++n)
        bytes[schedule.random.below(bytes.size())] = static_cast<char>(schedule.random.next());
    bytes.resize(schedule.random.below(bytes.size() + 1));
    ledgerStateMachine(schedule.ledger).apply(0, bytes);
}

static SoakResult runLedgerSchedule(uint64_t seed)
{
    LedgerSchedule schedule(seed);
    // The schedule is shorter than the digest retention period, so no key may be sent twice.
    for (int n = 0; n < 2000 && schedule.now < 250_s + 1000_s; ++n) {
        schedule.now += TimeMs { schedule.random.between(0, 250) };
        const uint64_t action = schedule.random.below(100);
        if (action < 35)
            reserve(schedule);
        else if (action < 85)
            advanceCall(schedule);
        else if (action < 95)
            tickLeader(schedule);
        else if (action < 97)
            restoreFromSnapshot(schedule);
        else if (action < 98)
            applyMalformedCommand(schedule);
        else
            ++schedule.owners[schedule.random.below(schedule.owners.size())].incarnation;
        if (schedule.ledger.bytes > schedule.ledger.settings.maxBytes + schedule.ledger.settings.maxCalls * 64)
            recordViolation(schedule, "more bytes than allowed");
    }
    return schedule.result;
}

static const SoakRegistration s_ledgerSoak("ledger", runLedgerSchedule);

}
