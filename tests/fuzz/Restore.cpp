#include "Fuzz.h"
#include "control/DecisionLog.h"
#include "ledger/Ledger.h"

using namespace siskinshunt;

static constexpr TimeMs now { INT64_C(1760000000000) };

static void restoreCalls(std::string_view bytes)
{
    Ledger ledger;
    if (!restoreLedger(ledger, bytes))
        return;
    Ledger again;
    INVARIANT(restoreLedger(again, snapshotLedger(ledger)) && snapshotLedger(again) == snapshotLedger(ledger), "a restored ledger can be stored");
    applyLedger(ledger, Expire { now });
}

static void restoreDecisions(std::string_view bytes)
{
    DecisionLog log;
    if (!restoreControl(log, bytes))
        return;
    DecisionLog again;
    INVARIANT(restoreControl(again, snapshotControl(log)) && snapshotControl(again) == snapshotControl(log), "a restored decision log can be stored");
    const auto before = log.revision;
    applyControl(log, ApplyRules { .requestId = "after", .expectedRevision = before, .text = "text", .operatorName = "me", .now = now });
    INVARIANT(log.revision >= before, "a revision never decreases", "before", before, "after", log.revision);
}

// Guards against snapshots that crash a voter, and against accepted snapshots from which it cannot continue.
void fuzzOne(std::string_view input)
{
    restoreCalls(input);
    restoreDecisions(input);
}
