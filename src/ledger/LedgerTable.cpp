#include "ledger/LedgerTable.h"

#include "base/Hash.h"
#include "base/Invariant.h"
#include "replica/StateCodec.h"

#include <limits>

namespace siskinshunt {

// Memory of a record apart from its strings: the struct and its nodes in four indices.
static constexpr size_t recordOverhead = sizeof(CallRecord) + 256;

// Lag of the ledger's clock at which the leader proposes Expire, if no other command advances the clock.
static constexpr TimeMs maxClockLag { 10000 };

KeyDigest digestOfKey(std::string_view account, std::string_view key)
{
    std::string text = std::to_string(account.size());
    text.append(1, ':').append(account).append(key);
    const std::string hex = sha256Hex(text);
    return { std::stoull(hex.substr(0, 16), nullptr, 16), std::stoull(hex.substr(16, 16), nullptr, 16) };
}

size_t bytesOf(const CallRecord& record)
{
    size_t bytes = recordOverhead + record.account.size() + record.key.size() + record.bodyDigest.size() + record.request.size()
        + record.upstream.size() + record.answer.body.size() + record.answer.bodyDigest.size();
    for (const auto& [name, value] : record.answer.headers)
        bytes += name.size() + value.size();
    return bytes;
}

bool hasCapacity(const Ledger& ledger, const CallRecord& record)
{
    return ledger.calls.size() < ledger.settings.maxCalls && ledger.calls.size() + ledger.expiredDigests.size() < ledger.settings.maxKeys
        && ledger.bytes + bytesOf(record) <= ledger.settings.maxBytes;
}

static void indexRecord(Ledger& ledger, const CallRecord& record)
{
    ledger.callsByKey.emplace(digestOfKey(record.account, record.key), record.call);
    ledger.callsByCreation.emplace(record.created, record.call);
    if (!isFinal(record.state))
        ledger.openCalls.insert(record.call);
    ledger.bytes += bytesOf(record);
}

const CallRecord& insertRecord(Ledger& ledger, CallRecord&& record)
{
    const auto it = ledger.calls.emplace(record.call, std::move(record)).first;
    indexRecord(ledger, it->second);
    return it->second;
}

void finishRecord(Ledger& ledger, CallRecord& record, CallState state, StoredAnswer&& answer)
{
    INVARIANT(!isFinal(record.state) && isFinal(state), "a call in a final state does not change", "call", record.call.value, "from",
        nameOf(record.state), "to", nameOf(state));
    INVARIANT(state != CallState::Unknown || record.state == CallState::Dispatched, "only a dispatched call becomes unknown", "call",
        record.call.value);
    ledger.bytes -= bytesOf(record);
    record.state = state;
    record.answer = std::move(answer);
    record.request.clear();
    record.request.shrink_to_fit();
    ledger.bytes += bytesOf(record);
    ledger.openCalls.erase(record.call);
}

static StoredAnswer deadlineExceededAnswer()
{
    StoredAnswer answer;
    answer.status = 504;
    answer.ran = false;
    return answer;
}

void finishOverdueCalls(Ledger& ledger)
{
    for (auto it = ledger.openCalls.begin(); it != ledger.openCalls.end();) {
        CallRecord& record = ledger.calls.at(*it++);
        if (record.state == CallState::Reserved && ledger.clock > record.deadline)
            finishRecord(ledger, record, CallState::Done, deadlineExceededAnswer());
        else if (record.state == CallState::Dispatched && ledger.clock > record.deadline + ledger.settings.outcomeGrace)
            finishRecord(ledger, record, CallState::Unknown, {});
    }
}

static void addExpiredDigest(Ledger& ledger, const CallRecord& record)
{
    // A UUIDv7 key whose timestamp was not in the future at its first use is refused by its age, so it needs no digest.
    const auto creation = keyCreationTime(record.key);
    if (creation && *creation <= record.created)
        return;
    const KeyDigest digest = digestOfKey(record.account, record.key);
    ledger.expiredDigests.emplace_back(ledger.clock + ledger.settings.digestRetention, digest);
    ++ledger.expiredDigestCounts[digest];
}

void eraseRecord(Ledger& ledger, CallId call)
{
    const auto it = ledger.calls.find(call);
    INVARIANT(it != ledger.calls.end() && isFinal(it->second.state), "only final records are removed", "call", call.value);
    ledger.bytes -= bytesOf(it->second);
    ledger.callsByKey.erase(digestOfKey(it->second.account, it->second.key));
    ledger.callsByCreation.erase({ it->second.created, call });
    ledger.calls.erase(it);
}

void expireKeys(Ledger& ledger)
{
    while (!ledger.callsByCreation.empty()) {
        const auto [created, call] = *ledger.callsByCreation.begin();
        if (created + ledger.settings.retention > ledger.clock)
            return;
        const auto it = ledger.calls.find(call);
        // Not expected: deadlines are at most half of the retention after the creation, and the same command has already
        // finished the overdue calls.
        if (!isFinal(it->second.state))
            return;
        addExpiredDigest(ledger, it->second);
        eraseRecord(ledger, call);
    }
}

void removeExpiredDigests(Ledger& ledger)
{
    while (!ledger.expiredDigests.empty() && ledger.expiredDigests.front().first <= ledger.clock) {
        const auto it = ledger.expiredDigestCounts.find(ledger.expiredDigests.front().second);
        if (--it->second == 0)
            ledger.expiredDigestCounts.erase(it);
        ledger.expiredDigests.pop_front();
    }
}

bool isExpireDue(const Ledger& ledger, TimeMs now)
{
    if (now - ledger.clock >= maxClockLag)
        return true;
    if (!ledger.callsByCreation.empty() && ledger.callsByCreation.begin()->first + ledger.settings.retention <= now)
        return true;
    if (!ledger.expiredDigests.empty() && ledger.expiredDigests.front().first <= now)
        return true;
    for (const CallId call : ledger.openCalls) {
        const CallRecord& record = ledger.calls.at(call);
        const TimeMs grace = record.state == CallState::Dispatched ? ledger.settings.outcomeGrace : TimeMs {};
        if (now > record.deadline + grace)
            return true;
    }
    return false;
}

const CallRecord* findByKey(const Ledger& ledger, std::string_view account, std::string_view key)
{
    const auto it = ledger.callsByKey.find(digestOfKey(account, key));
    return it == ledger.callsByKey.end() ? nullptr : findByCall(ledger, it->second);
}

const CallRecord* findByCall(const Ledger& ledger, CallId call)
{
    const auto it = ledger.calls.find(call);
    return it == ledger.calls.end() ? nullptr : &it->second;
}

struct LedgerSnapshot {
    uint32_t format = 1;
    TimeMs clock;
    std::vector<CallRecord> calls;
    std::vector<std::pair<TimeMs, KeyDigest>> expiredDigests;

    template <class Archive>
    void serialize(Archive& archive) { archive(format, clock, calls, expiredDigests); }
};

std::string snapshotLedger(const Ledger& ledger)
{
    LedgerSnapshot snapshot;
    snapshot.clock = ledger.clock;
    for (const auto& [call, record] : ledger.calls)
        snapshot.calls.push_back(record);
    snapshot.expiredDigests.assign(ledger.expiredDigests.begin(), ledger.expiredDigests.end());
    return encodeState(snapshot);
}

bool restoreLedger(Ledger& ledger, std::string_view bytes)
{
    LedgerSnapshot snapshot;
    if (!decodeState(bytes, snapshot, std::numeric_limits<size_t>::max()) || snapshot.format != 1)
        return false;
    Ledger restored;
    restored.settings = ledger.settings;
    restored.clock = snapshot.clock;
    for (auto& record : snapshot.calls) {
        if (record.state > CallState::Unknown)
            return false;
        insertRecord(restored, std::move(record));
    }
    restored.expiredDigests.assign(snapshot.expiredDigests.begin(), snapshot.expiredDigests.end());
    for (const auto& [time, digest] : restored.expiredDigests)
        ++restored.expiredDigestCounts[digest];
    ledger = std::move(restored);
    return true;
}

}
