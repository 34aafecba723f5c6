#include "Fuzz.h"
#include "control/DecisionLog.h"

using namespace siskinshunt;

static TimeMs time(FuzzInput& in) { return { INT64_C(1760000000000) + static_cast<int64_t>(in.byte()) }; }

static MoveDirective makeDirective(FuzzInput& in)
{
    MoveDirective out;
    out.move = in.text();
    out.model = in.text();
    out.from = in.text();
    out.to = in.text();
    out.stage = static_cast<MoveStage>(in.below(9));
    out.sequence = in.number();
    out.shares.push_back({ in.text(), static_cast<double>(in.below(130)) / 100 });
    out.since = time(in);
    out.reason = in.text();
    return out;
}

static Intent intent(FuzzInput& in)
{
    return { .id = in.text(), .kind = static_cast<IntentKind>(in.below(3)), .action = in.text(), .target = in.text(), .domain = in.text(), .machine = in.text(), .reclaimable = in.below(2) == 1, .model = in.text(), .version = in.text(), .state = static_cast<IntentState>(in.below(4)), .detail = in.text(), .created = time(in), .epoch = in.number() };
}

static StartVersionOrder startVersionOrder(FuzzInput& in)
{
    return { .backend = in.text(), .target = in.text(), .within = { static_cast<int64_t>(in.byte()) }, .now = time(in) };
}

static ControlCommand command(FuzzInput& in)
{
    switch (in.below(10)) {
    case 0:
        return ApplyRules { .requestId = in.text(), .expectedRevision = in.number(), .text = in.text(), .operatorName = in.text(), .now = time(in) };
    case 1:
        return RecordMove { .epoch = in.number(), .directive = makeDirective(in) };
    case 2:
        return BeginEpoch { .leader = { in.number() }, .term = in.number(), .now = time(in) };
    case 3:
        return OpenIntent { .epoch = in.number(), .intent = intent(in) };
    case 4:
        return StartEvacuation { { .domain = in.text(), .operatorName = in.text(), .orderedAt = time(in) } };
    case 5:
        return EndEvacuation { .domain = in.text(), .operatorName = in.text(), .now = time(in) };
    case 6:
        return startVersionOrder(in);
    case 7:
        return OrderVersion { .order = startVersionOrder(in), .knownSequence = in.below(4) };
    case 8:
        return OrderVersionAmong { .order = { .order = startVersionOrder(in), .knownSequence = in.below(4) }, .present = { in.text(), in.text() } };
    default:
        return CloseIntent { .id = in.text(), .state = static_cast<IntentState>(in.below(4)), .detail = in.text() };
    }
}

static std::map<std::string, uint64_t> sequences(const DecisionLog& log)
{
    std::map<std::string, uint64_t> out;
    for (const auto& [backend, order] : log.versionOrders)
        out[backend] = order.sequence;
    return out;
}

static void apply(DecisionLog& log, const ControlCommand& command)
{
    const auto revision = log.revision;
    const auto epoch = log.epoch;
    const auto orders = sequences(log);
    const auto reply = applyControl(log, command);
    INVARIANT(decodeControlReply(encodeControlReply(reply)).has_value(), "an encoded reply decodes");
    INVARIANT(log.revision >= revision && log.revision <= revision + 1, "a revision rises by at most one", "from", revision, "to", log.revision);
    for (const auto& [backend, sequence] : orders)
        INVARIANT(log.versionOrders.at(backend).sequence >= sequence, "the sequence of an order never decreases", "backend", backend);
    if (const auto* order = std::get_if<OrderVersion>(&command); order && reply.outcome == ControlOutcome::Stale)
        INVARIANT(sequences(log) == orders, "a stale order changes nothing", "backend", order->order.backend);
    INVARIANT(log.epoch >= epoch, "an epoch never decreases", "from", epoch, "to", log.epoch);
}

// Guards against commands that crash a voter, revert the rules or lead to a state that a snapshot cannot represent.
void fuzzOne(std::string_view input)
{
    decodeControlReply(input);
    DecisionLog log;
    if (const auto raw = decodeControlCommand(input))
        apply(log, *raw);
    FuzzInput in(input);
    for (int n = 0; n < 64 && !in.empty(); ++n) {
        const auto decoded = decodeControlCommand(encodeControlCommand(command(in)));
        if (decoded)
            apply(log, *decoded);
    }
    DecisionLog restored;
    INVARIANT(restoreControl(restored, snapshotControl(log)) && snapshotControl(restored) == snapshotControl(log), "a snapshot gives the same decision log");
}
