#include "ledger/Ledger.h"

#include "base/Hash.h"
#include "base/Invariant.h"
#include "ledger/LedgerTable.h"

#include <algorithm>

namespace siskinshunt {

static constexpr size_t maxNameBytes = 256;
static constexpr size_t maxDigestBytes = 64;
static constexpr size_t maxHeaders = 64;
static constexpr size_t maxHeaderBytes = 16 << 10;

static LedgerReply replyOf(LedgerOutcome outcome, const CallRecord& record)
{
    return { .outcome = outcome, .call = record.call, .attempt = record.attempt, .state = record.state, .owner = record.owner, .answer = {} };
}

static LedgerReply stateReply(const CallRecord& record)
{
    LedgerReply reply = replyOf(isFinal(record.state) ? LedgerOutcome::Stored : LedgerOutcome::Joined, record);
    if (record.state == CallState::Done)
        reply.answer = record.answer;
    return reply;
}

static void dispatchRecord(CallRecord& record, const std::string& upstream)
{
    INVARIANT(record.state == CallState::Reserved, "only a reserved call is dispatched", "call", record.call.value,
        "attempt", record.attempt, "state", nameOf(record.state));
    INVARIANT(record.attempt > record.dispatchedAttempt, "an attempt is dispatched at most once", "call", record.call.value, "attempt",
        record.attempt);
    record.state = CallState::Dispatched;
    record.dispatchedAttempt = record.attempt;
    record.upstream = upstream;
}

static bool keyIsTooOld(const Ledger& ledger, std::string_view key)
{
    const auto creation = keyCreationTime(key);
    return creation && *creation + ledger.settings.retention <= ledger.clock;
}

static bool isWellFormed(const Ledger& ledger, const Reserve& command)
{
    return !command.account.empty() && command.account.size() <= maxNameBytes && !command.key.empty()
        && command.key.size() <= maxNameBytes && command.bodyDigest.size() <= maxDigestBytes && command.call && command.owner.node
        && command.request.size() <= ledger.settings.maxRequestBytes && command.upstream.size() <= maxNameBytes
        && (!command.dispatchNow || !command.upstream.empty());
}

static LedgerReply applyTo(Ledger& ledger, const Reserve& command)
{
    if (!isWellFormed(ledger, command))
        return { .outcome = LedgerOutcome::Malformed };
    const KeyDigest digest = digestOfKey(command.account, command.key);
    if (const auto it = ledger.callsByKey.find(digest); it != ledger.callsByKey.end()) {
        const CallRecord& record = ledger.calls.at(it->second);
        if (record.bodyDigest != command.bodyDigest)
            return replyOf(LedgerOutcome::KeyReused, record);
        // A refused call can be retried under its key, because its caller was told that it was not run.
        const bool neverRan = record.state == CallState::Done && !record.answer.ran && record.call != command.call;
        if (!neverRan)
            return stateReply(record);
        eraseRecord(ledger, record.call);
    }
    if (ledger.expiredDigestCounts.contains(digest) || keyIsTooOld(ledger, command.key))
        return { .outcome = LedgerOutcome::KeyExpired };
    if (ledger.calls.contains(command.call))
        return { .outcome = LedgerOutcome::Conflict };
    CallRecord record;
    record.call = command.call;
    record.account = command.account;
    record.key = command.key;
    record.bodyDigest = command.bodyDigest;
    record.owner = command.owner;
    record.request = command.request;
    record.created = ledger.clock;
    // Makes sure that the call is final before its key expires.
    const TimeMs latestDeadline = ledger.clock + ledger.settings.retention / 2;
    record.deadline = std::clamp(command.deadline, ledger.clock, latestDeadline);
    if (!hasCapacity(ledger, record))
        return { .outcome = LedgerOutcome::Full };
    if (command.dispatchNow)
        dispatchRecord(record, command.upstream);
    return replyOf(LedgerOutcome::Accepted, insertRecord(ledger, std::move(record)));
}

/// Returns the record if it has the given owner, attempt and state; else null and the reply that refuses the command.
static CallRecord* findOwned(Ledger& ledger, CallId call, const CallOwner& owner, uint32_t attempt, CallState state, LedgerReply& refusal)
{
    const auto it = ledger.calls.find(call);
    if (it == ledger.calls.end()) {
        refusal = { .outcome = LedgerOutcome::NotFound, .call = call };
        return nullptr;
    }
    CallRecord& record = it->second;
    if (isFinal(record.state)) {
        refusal = stateReply(record);
        return nullptr;
    }
    if (record.owner != owner || record.attempt != attempt || record.state != state) {
        refusal = replyOf(LedgerOutcome::Conflict, record);
        return nullptr;
    }
    return &record;
}

static LedgerReply applyTo(Ledger& ledger, const Dispatch& command)
{
    if (command.upstream.empty() || command.upstream.size() > maxNameBytes)
        return { .outcome = LedgerOutcome::Malformed };
    LedgerReply refusal;
    CallRecord* record = findOwned(ledger, command.call, command.owner, command.attempt, CallState::Reserved, refusal);
    if (!record)
        return refusal;
    const size_t before = bytesOf(*record);
    dispatchRecord(*record, command.upstream);
    ledger.bytes += bytesOf(*record) - before;
    return replyOf(LedgerOutcome::Accepted, *record);
}

static LedgerReply applyTo(Ledger& ledger, const ReturnToReserved& command)
{
    LedgerReply refusal;
    CallRecord* record = findOwned(ledger, command.call, command.owner, command.attempt, CallState::Dispatched, refusal);
    if (!record)
        return refusal;
    record->state = CallState::Reserved;
    ++record->attempt;
    return replyOf(LedgerOutcome::Accepted, *record);
}

static bool isWellFormed(const StoredAnswer& answer)
{
    if (answer.status < 100 || answer.status > 599 || answer.headers.size() > maxHeaders || answer.bodyDigest.size() > maxDigestBytes)
        return false;
    size_t bytes = 0;
    for (const auto& [name, value] : answer.headers)
        bytes += name.size() + value.size();
    return bytes <= maxHeaderBytes;
}

/// Trims the answer to the available memory, because an outcome is never refused for lack of it. Headers that do not fit
/// are dropped; a body is replaced by its digest.
static StoredAnswer trimAnswer(const Ledger& ledger, const CallRecord& record, StoredAnswer answer)
{
    const size_t usedBytes = ledger.bytes - record.request.size();
    size_t available = ledger.settings.maxBytes - std::min(ledger.settings.maxBytes, usedBytes);
    size_t headerBytes = 0;
    for (const auto& [name, value] : answer.headers)
        headerBytes += name.size() + value.size();
    if (headerBytes > available)
        answer.headers.clear();
    else
        available -= headerBytes;
    if (!answer.body.empty())
        answer.bodyBytes = answer.body.size();
    if (answer.body.size() > std::min(ledger.settings.maxAnswerBytes, available)) {
        answer.bodyDigest = sha256Hex(answer.body);
        answer.body.clear();
    }
    return answer;
}

static LedgerReply applyTo(Ledger& ledger, const Complete& command)
{
    if (!isWellFormed(command.answer))
        return { .outcome = LedgerOutcome::Malformed };
    LedgerReply refusal;
    // The owner may also refuse a dispatched call if it knows that nothing has been sent.
    const CallRecord* current = findByCall(ledger, command.call);
    const CallState expected = command.answer.ran || !current ? CallState::Dispatched : current->state;
    CallRecord* record = findOwned(ledger, command.call, command.owner, command.attempt, expected, refusal);
    if (!record)
        return refusal;
    finishRecord(ledger, *record, CallState::Done, trimAnswer(ledger, *record, command.answer));
    return stateReply(*record);
}

static LedgerReply applyTo(Ledger& ledger, const MarkUnknown& command)
{
    const auto it = ledger.calls.find(command.call);
    if (it == ledger.calls.end())
        return { .outcome = LedgerOutcome::NotFound, .call = command.call };
    CallRecord& record = it->second;
    if (isFinal(record.state))
        return stateReply(record);
    const bool allowed = record.owner == command.by || ledger.clock > record.deadline;
    if (record.state != CallState::Dispatched || record.attempt != command.attempt || !allowed)
        return replyOf(LedgerOutcome::Conflict, record);
    finishRecord(ledger, record, CallState::Unknown, {});
    return stateReply(record);
}

static LedgerReply applyTo(Ledger& ledger, const TakeOver& command)
{
    const auto it = ledger.calls.find(command.call);
    if (it == ledger.calls.end())
        return { .outcome = LedgerOutcome::NotFound, .call = command.call };
    CallRecord& record = it->second;
    if (isFinal(record.state))
        return stateReply(record);
    if (!command.owner.node || record.state != CallState::Reserved || record.attempt != command.expectedAttempt)
        return replyOf(LedgerOutcome::Conflict, record);
    record.owner = command.owner;
    ++record.attempt;
    return replyOf(LedgerOutcome::Accepted, record);
}

static LedgerReply applyTo(Ledger& ledger, const Expire&)
{
    finishOverdueCalls(ledger);
    expireKeys(ledger);
    removeExpiredDigests(ledger);
    return { .outcome = LedgerOutcome::Accepted };
}

/// Whether the command advances the clock. Only commands of the group leader do, so that a node with a wrong clock cannot
/// expire the keys of others.
static bool advancesClock(const Ledger& ledger, const LedgerCommand& command)
{
    if (!ledger.clock.value || std::holds_alternative<Expire>(command) || std::holds_alternative<TakeOver>(command))
        return true;
    const auto* unknown = std::get_if<MarkUnknown>(&command);
    if (!unknown)
        return false;
    const CallRecord* record = findByCall(ledger, unknown->call);
    return record && record->owner != unknown->by;
}

LedgerReply applyLedger(Ledger& ledger, const LedgerCommand& command)
{
    const bool advances = advancesClock(ledger, command);
    return std::visit([&](const auto& it) {
        if (advances)
            ledger.clock = std::max(ledger.clock, it.now);
        return applyTo(ledger, it);
    },
        command);
}

LedgerReply lookUpCall(const Ledger& ledger, CallId call)
{
    const CallRecord* record = findByCall(ledger, call);
    return record ? stateReply(*record) : LedgerReply { .outcome = LedgerOutcome::NotFound, .call = call };
}

std::vector<TakeOver> callsDueForTakeover(const Ledger& ledger, TimeMs now, const CallOwner& self, const IsOwnerAlive& isAlive)
{
    std::vector<TakeOver> due;
    for (const CallId call : ledger.openCalls) {
        const CallRecord& record = ledger.calls.at(call);
        if (record.state == CallState::Reserved && now <= record.deadline && !isAlive(record.owner))
            due.push_back({ .call = call, .expectedAttempt = record.attempt, .owner = self, .now = now });
    }
    return due;
}

std::vector<MarkUnknown> callsDueForUnknown(const Ledger& ledger, TimeMs now, const CallOwner& self, const IsOwnerAlive& isAlive)
{
    std::vector<MarkUnknown> due;
    for (const CallId call : ledger.openCalls) {
        const CallRecord& record = ledger.calls.at(call);
        if (record.state != CallState::Dispatched || now <= record.deadline)
            continue;
        if (now > record.deadline + ledger.settings.outcomeGrace || !isAlive(record.owner))
            due.push_back({ .call = call, .by = self, .attempt = record.attempt, .now = now });
    }
    return due;
}

StateMachine ledgerStateMachine(Ledger& ledger)
{
    return {
        .apply = [&ledger](uint64_t, std::string_view bytes) {
            const auto command = decodeLedgerCommand(bytes);
            return encodeLedgerReply(command ? applyLedger(ledger, *command) : LedgerReply {}); },
        .snapshot = [&ledger] { return snapshotLedger(ledger); },
        .restore = [&ledger](std::string_view bytes) { return restoreLedger(ledger, bytes); },
    };
}

}
