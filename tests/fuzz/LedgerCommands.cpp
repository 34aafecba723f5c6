#include "Fuzz.h"
#include "ledger/Ledger.h"

using namespace siskinshunt;

static constexpr TimeMs base { INT64_C(1760000000000) };

static CallOwner owner(FuzzInput& in) { return { NodeId { 1U + in.below(3) }, 1U + in.below(2) }; }
static CallId call(FuzzInput& in) { return { in.number() }; }
static TimeMs time(FuzzInput& in) { return base + TimeMs { 1000 * in.below(240) * in.below(120) }; }

static StoredAnswer answer(FuzzInput& in)
{
    return { .status = static_cast<uint16_t>(in.number()), .ran = in.below(2) == 1, .headers = { { in.text(), in.text() } }, .body = in.text(), .bodyDigest = in.text(), .bodyBytes = in.number() };
}

static LedgerCommand command(FuzzInput& in)
{
    switch (in.below(7)) {
    case 0:
        return Reserve { .account = in.text(), .key = in.text(), .bodyDigest = in.text(), .owner = owner(in), .call = call(in), .request = in.text(), .deadline = time(in), .dispatchNow = in.below(2) == 1, .upstream = in.text(), .now = time(in) };
    case 1:
        return Dispatch { .call = call(in), .owner = owner(in), .attempt = in.byte(), .upstream = in.text(), .now = time(in) };
    case 2:
        return ReturnToReserved { .call = call(in), .owner = owner(in), .attempt = in.byte(), .now = time(in) };
    case 3:
        return Complete { .call = call(in), .owner = owner(in), .attempt = in.byte(), .answer = answer(in), .now = time(in) };
    case 4:
        return MarkUnknown { .call = call(in), .by = owner(in), .attempt = in.byte(), .now = time(in) };
    case 5:
        return TakeOver { .call = call(in), .expectedAttempt = in.byte(), .owner = owner(in), .now = time(in) };
    default:
        return Expire { time(in) };
    }
}

static void checkFinalStates(const Ledger& before, const Ledger& after)
{
    for (const auto& [id, record] : before.calls) {
        const auto* now = findByCall(after, id);
        if (isFinal(record.state) && now)
            INVARIANT(now->state == record.state && now->answer.body == record.answer.body, "a final state never changes", "call", id.value);
    }
}

// Guards against commands that crash a voter, change a final state or corrupt the ledger's indices.
void fuzzOne(std::string_view input)
{
    if (const auto raw = decodeLedgerCommand(input)) {
        Ledger ledger;
        applyLedger(ledger, *raw);
    }
    decodeLedgerReply(input);
    Ledger ledger;
    FuzzInput in(input);
    for (int n = 0; n < 64 && !in.empty(); ++n) {
        const auto before = ledger;
        const auto decoded = decodeLedgerCommand(encodeLedgerCommand(command(in)));
        INVARIANT(decoded.has_value(), "an encoded command decodes");
        const auto reply = applyLedger(ledger, *decoded);
        INVARIANT(decodeLedgerReply(encodeLedgerReply(reply)).has_value(), "an encoded reply decodes");
        checkFinalStates(before, ledger);
    }
    Ledger restored;
    INVARIANT(restoreLedger(restored, snapshotLedger(ledger)) && restored.bytes == ledger.bytes && restored.openCalls == ledger.openCalls, "a snapshot gives the same ledger");
}
