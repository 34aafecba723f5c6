#include "control/DecisionLog.h"

#include "replica/StateCodec.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static ApplyRules makeApply(const std::string& id, uint64_t expected, const std::string& text, const std::string& who = "asma")
{
    return { .requestId = id, .expectedRevision = expected, .text = text, .operatorName = who, .now = TimeMs { 1000 } };
}

static RecordMove makeMove(uint64_t epoch, uint64_t sequence, MoveStage stage, const std::string& name = "upgrade")
{
    MoveDirective directive;
    directive.move = name;
    directive.stage = stage;
    directive.sequence = sequence;
    return { epoch, directive };
}

// Guards against accepting two concurrent changes for the same revision: the loser has to learn who won.
BOOST_AUTO_TEST_CASE(loserIsToldWhoWon)
{
    DecisionLog log;
    applyControl(log, makeApply("r1", 0, "one", "asma"));
    BOOST_TEST((applyControl(log, makeApply("r2", 1, "two", "bilal")).revision == 2U));
    const auto lost = applyControl(log, makeApply("r3", 1, "three", "chen"));
    BOOST_TEST((lost.outcome == ControlOutcome::Conflict && lost.winner == "bilal" && lost.revision == 2U));
    BOOST_TEST(rulesText(log) == "two");
    applyControl(log, makeApply("r4", 2, "four", "asma"));
    // The winner is the operator of the revision after the expected one, not the latest operator.
    const auto later = applyControl(log, makeApply("r5", 1, "five", "chen"));
    BOOST_TEST((later.winner == "bilal" && later.revision == 2U));
}

// Guards against a resend after a lost reply that is applied again or gets a different reply after many other changes.
BOOST_AUTO_TEST_CASE(resendGetsTheSameAnswerAfterHundredsOfApplies)
{
    DecisionLog log;
    const auto first = applyControl(log, makeApply("r1", 0, "one"));
    const auto refused = applyControl(log, makeApply("bad", 7, "x"));
    for (uint64_t n = 1; n <= 1000; ++n)
        BOOST_REQUIRE((applyControl(log, makeApply("n" + std::to_string(n), n, "text")).outcome == ControlOutcome::Accepted));
    const auto again = applyControl(log, makeApply("r1", 0, "one"));
    BOOST_TEST((again.outcome == ControlOutcome::Accepted && again.revision == first.revision));
    const auto refusedAgain = applyControl(log, makeApply("bad", 7, "x"));
    BOOST_TEST((refusedAgain.outcome == ControlOutcome::Conflict && refusedAgain.revision == refused.revision));
    BOOST_TEST(log.revision == 1001U);
    const auto other = applyControl(log, makeApply("r1", 0, "another text"));
    BOOST_TEST((other.outcome == ControlOutcome::Conflict && other.winner == "asma"));
}

// Guards against unbounded growth of the history and request ids, and against losing texts of the last 50 revisions.
BOOST_AUTO_TEST_CASE(historyKeepsFiftyTexts)
{
    DecisionLog log;
    for (uint64_t n = 0; n < DecisionLog::keptRequests + 100; ++n)
        applyControl(log, makeApply("n" + std::to_string(n), n, "text" + std::to_string(n + 1)));
    const uint64_t last = log.revision;
    BOOST_TEST(findRevision(log, last - 49)->text == "text" + std::to_string(last - 49));
    BOOST_TEST((findRevision(log, last - 50)->text.empty() && findRevision(log, last - 50)->operatorName == "asma"));
    BOOST_TEST(log.requests.size() == DecisionLog::keptRequests);
    BOOST_TEST(log.requestOrder.size() == DecisionLog::keptRequests);
}

// Guards against a former leader whose directive overwrites that of its successor.
BOOST_AUTO_TEST_CASE(oldEpochsAndSequencesAreRefused)
{
    DecisionLog log;
    applyControl(log, BeginEpoch { NodeId { 1 }, 5, {} });
    BOOST_TEST((applyControl(log, makeMove(5, 3, MoveStage::Proving)).outcome == ControlOutcome::Accepted));
    BOOST_TEST((applyControl(log, makeMove(5, 3, MoveStage::Shifting)).outcome == ControlOutcome::Stale));
    applyControl(log, BeginEpoch { NodeId { 2 }, 6, {} });
    BOOST_TEST((applyControl(log, makeMove(5, 4, MoveStage::Shifting)).outcome == ControlOutcome::Stale));
    BOOST_TEST((applyControl(log, BeginEpoch { NodeId { 1 }, 5, {} }).outcome == ControlOutcome::Stale));
    BOOST_TEST((applyControl(log, BeginEpoch { NodeId { 1 }, 6, {} }).outcome == ControlOutcome::Stale));
    BOOST_TEST((applyControl(log, BeginEpoch { NodeId { 2 }, 6, {} }).outcome == ControlOutcome::Accepted));
    BOOST_TEST(log.epoch == 6U);
}

// Guards against a move that resumes after it was reported as undone.
BOOST_AUTO_TEST_CASE(finishedMovesNeverChange)
{
    DecisionLog log;
    applyControl(log, makeMove(0, 1, MoveStage::Undone));
    BOOST_TEST((applyControl(log, makeMove(0, 2, MoveStage::Proving)).outcome == ControlOutcome::Finished));
    BOOST_TEST((log.moves.at("upgrade").stage == MoveStage::Undone));
    for (size_t n = 0; n < DecisionLog::keptMoves; ++n)
        applyControl(log, makeMove(0, 1, MoveStage::Waiting, "m" + std::to_string(n)));
    BOOST_TEST(log.moves.size() == DecisionLog::keptMoves);
    BOOST_TEST((applyControl(log, makeMove(0, 1, MoveStage::Waiting, "more")).outcome == ControlOutcome::Full));
}

// Guards against ordering an instance twice because its intent was proposed twice.
BOOST_AUTO_TEST_CASE(intentsAreIdempotent)
{
    DecisionLog log;
    Intent intent;
    intent.id = "start-1";
    intent.kind = IntentKind::Capacity;
    BOOST_TEST((applyControl(log, OpenIntent { 0, intent }).outcome == ControlOutcome::Accepted));
    applyControl(log, OpenIntent { 0, intent });
    BOOST_TEST(openIntents(log).size() == 1U);
    applyControl(log, CloseIntent { "start-1", IntentState::Confirmed, {} });
    applyControl(log, OpenIntent { 0, intent });
    BOOST_TEST(openIntents(log).empty());
    BOOST_TEST((applyControl(log, CloseIntent { "start-1", IntentState::Failed, {} }).outcome == ControlOutcome::Finished));
    BOOST_TEST((applyControl(log, CloseIntent { "none", IntentState::Failed, {} }).outcome == ControlOutcome::NotFound));
}

// Guards against state that a snapshot loses, and against truncated commands that crash a voter.
BOOST_AUTO_TEST_CASE(snapshotKeepsEverything)
{
    DecisionLog log;
    const auto machine = controlStateMachine(log);
    const std::string command = encodeControlCommand(makeApply("r1", 0, "one"));
    machine.apply(1, command);
    applyControl(log, BeginEpoch { NodeId { 1 }, 5, {} });
    applyControl(log, makeMove(5, 1, MoveStage::Undone));
    applyControl(log, OpenIntent { 5, { .id = "i" } });
    DecisionLog other;
    BOOST_REQUIRE(restoreControl(other, machine.snapshot()));
    BOOST_TEST(snapshotControl(other) == machine.snapshot());
    BOOST_TEST((applyControl(other, makeApply("r1", 0, "one")).outcome == ControlOutcome::Accepted));
    BOOST_TEST(other.revision == 1U);
    for (size_t n = 0; n < command.size(); ++n)
        BOOST_TEST((decodeControlReply(machine.apply(2, command.substr(0, n)))->outcome == ControlOutcome::Malformed));
    BOOST_TEST(!restoreControl(other, command));
}

static PutConfiguration makeConfiguration(uint64_t number, const std::string& original)
{
    return { .number = number, .original = original, .rules = "rules of " + original, .operatorName = "asma", .now = TimeMs { 1000 } };
}

// Guards against activating an older configuration, or a different one with the same number.
BOOST_AUTO_TEST_CASE(highestConfigurationHolds)
{
    DecisionLog log;
    BOOST_TEST((applyControl(log, makeConfiguration(7, "seven")).outcome == ControlOutcome::Accepted));
    BOOST_TEST((applyControl(log, makeConfiguration(5, "five")).outcome == ControlOutcome::Accepted));
    BOOST_TEST((applyControl(log, makeConfiguration(7, "other")).outcome == ControlOutcome::Accepted));
    BOOST_TEST(log.configuration == "seven");
    BOOST_TEST(rulesText(log) == "rules of seven");
    BOOST_TEST(log.revision == 1U);
    applyControl(log, makeConfiguration(12, "twelve"));
    DecisionLog restored;
    BOOST_REQUIRE(restoreControl(restored, snapshotControl(log)));
    BOOST_TEST((restored.configurationNumber == 12U && restored.configuration == "twelve" && restored.revision == 2U));
}

// Guards against reporting different counts for the same usage window.
BOOST_AUTO_TEST_CASE(firstUsageOfAWindowHolds)
{
    DecisionLog log;
    applyControl(log, CommitUsage { .window = 9, .counts = { { "acme", 3 } } });
    applyControl(log, CommitUsage { .window = 9, .counts = { { "acme", 4 } } });
    BOOST_TEST(log.usage.at(9).at("acme") == 3U);
    DecisionLog restored;
    BOOST_REQUIRE(restoreControl(restored, snapshotControl(log)));
    BOOST_TEST(restored.usage.at(9).at("acme") == 3U);
}

// Guards against a resent order that restarts a finished move, and against progress from an old epoch or after the end.
BOOST_AUTO_TEST_CASE(versionOrderEndsOnce)
{
    DecisionLog log;
    applyControl(log, BeginEpoch { .leader = { 1 }, .term = 3, .now = TimeMs { 1000 } });
    const StartVersionOrder order { .backend = "lm", .target = "v2", .within = TimeMs { 12000 }, .now = TimeMs { 1000 } };
    applyControl(log, order);
    auto step = log.versionOrders.at("lm");
    ++step.sequence;
    step.state = VersionOrderState::RolledBack;
    BOOST_TEST((applyControl(log, RecordVersionOrder { .epoch = 2, .order = step }).outcome == ControlOutcome::Stale));
    BOOST_TEST((applyControl(log, RecordVersionOrder { .epoch = 3, .order = step }).outcome == ControlOutcome::Accepted));
    step.state = VersionOrderState::Completed;
    ++step.sequence;
    BOOST_TEST((applyControl(log, RecordVersionOrder { .epoch = 3, .order = step }).outcome == ControlOutcome::Finished));
    BOOST_TEST((applyControl(log, order).outcome == ControlOutcome::Accepted));
    BOOST_TEST((log.versionOrders.at("lm").state == VersionOrderState::RolledBack));
}

static OrderVersion makeOrder(const std::string& target, uint64_t knownSequence, TimeMs now)
{
    return { .order = { .backend = "lm", .target = target, .within = TimeMs { 12000 }, .now = now }, .knownSequence = knownSequence };
}

static ControlOutcome endOrder(DecisionLog& log, VersionOrderState state)
{
    auto order = log.versionOrders.at("lm");
    order.state = state;
    ++order.sequence;
    return applyControl(log, RecordVersionOrder { .epoch = log.epoch, .order = order }).outcome;
}

static void orderAmong(DecisionLog& log, const std::string& target, std::vector<std::string> present, TimeMs now)
{
    const auto it = log.versionOrders.find("lm");
    const uint64_t known = it == log.versionOrders.end() ? 0 : it->second.sequence;
    const OrderVersionAmong command { .order = makeOrder(target, known, now), .present = std::move(present) };
    BOOST_TEST((applyControl(log, command).outcome == ControlOutcome::Accepted));
}

static std::string pastOf(const DecisionLog& log)
{
    std::string out;
    for (const auto& [version, order] : log.pastVersionOrders.at("lm"))
        out += version + "=" + std::string(nameOf(order.state)) + " ";
    return out;
}

// Guards against a version that counts as sound because its order was replaced or has ended.
BOOST_AUTO_TEST_CASE(pastVersionOrdersAreKept)
{
    DecisionLog log;
    orderAmong(log, "v2", { "v1", "v2" }, 1_s);
    BOOST_TEST(pastOf(log) == "v1=completed ");
    orderAmong(log, "v1", { "v1", "v2" }, 2_s);
    BOOST_TEST(pastOf(log) == "v1=completed v2=given_up ");
    orderAmong(log, "v2", { "v1", "v2" }, 3_s);
    BOOST_TEST(pastOf(log) == "v1=completed v2=given_up ");
    endOrder(log, VersionOrderState::RolledBack);
    orderAmong(log, "v3", { "v1", "v2", "v3", "v9" }, 4_s);
    BOOST_TEST(pastOf(log) == "v1=completed v2=rolled_back ");
    DecisionLog restored;
    BOOST_REQUIRE(restoreControl(restored, snapshotControl(log)));
    BOOST_TEST(pastOf(restored) == pastOf(log));
    endOrder(restored, VersionOrderState::Completed);
    BOOST_TEST(pastOf(restored) == "v2=rolled_back ");
    orderAmong(restored, "v4", { "v3" }, 5_s);
    BOOST_TEST(pastOf(restored) == "v2=rolled_back v3=completed ");
}

// Guards against a resend or a late copy that changes what is known of a version.
BOOST_AUTO_TEST_CASE(repeatedOrderKeepsPastVersionOrders)
{
    DecisionLog log;
    orderAmong(log, "v2", { "v1" }, 1_s);
    orderAmong(log, "v1", { "v1", "v2" }, 2_s);
    const auto before = pastOf(log);
    BOOST_TEST((applyControl(log, OrderVersionAmong { .order = makeOrder("v1", 2, 3_s), .present = {} }).outcome == ControlOutcome::Accepted));
    BOOST_TEST((applyControl(log, OrderVersionAmong { .order = makeOrder("v2", 0, 3_s), .present = {} }).outcome == ControlOutcome::Stale));
    BOOST_TEST(pastOf(log) == before);
}

// Guards against a trial without end: the only version of a backend is ordered.
BOOST_AUTO_TEST_CASE(onlyVersionCountsAsInUse)
{
    DecisionLog log;
    orderAmong(log, "v1", { "v1" }, 1_s);
    BOOST_TEST(pastOf(log) == "v1=completed ");
}

// Guards against an order that was given up or repeated elsewhere and takes effect late: it would undo a later acknowledged one.
BOOST_AUTO_TEST_CASE(lateCopyOfAVersionOrderHasNoEffect)
{
    DecisionLog log;
    // Two copies of the order are on their way; neither of their nodes knew an order.
    const auto copy = makeOrder("v2", 0, TimeMs { 1000 });
    BOOST_TEST((applyControl(log, copy).outcome == ControlOutcome::Accepted));
    BOOST_TEST((applyControl(log, copy).outcome == ControlOutcome::Accepted));
    BOOST_TEST(log.versionOrders.at("lm").sequence == 1U);
    BOOST_TEST((endOrder(log, VersionOrderState::RolledBack) == ControlOutcome::Accepted));
    BOOST_TEST((applyControl(log, copy).outcome == ControlOutcome::Accepted));
    BOOST_TEST((log.versionOrders.at("lm").state == VersionOrderState::RolledBack));
    BOOST_TEST((applyControl(log, makeOrder("v3", 2, TimeMs { 5000 })).outcome == ControlOutcome::Accepted));
    // Also with a clock that is ahead, and at any later time.
    for (const TimeMs now : { TimeMs { 1000 }, TimeMs { 9000 }, TimeMs { 900000 } })
        BOOST_TEST((applyControl(log, makeOrder("v2", 0, now)).outcome == ControlOutcome::Stale));
    BOOST_TEST((applyControl(log, makeOrder("v2", 1, TimeMs { 9000 })).outcome == ControlOutcome::Stale));
    BOOST_TEST(log.versionOrders.at("lm").target == "v3");
    BOOST_TEST((endOrder(log, VersionOrderState::Completed) == ControlOutcome::Accepted));
    BOOST_TEST((applyControl(log, makeOrder("v2", 3, TimeMs { 9000 })).outcome == ControlOutcome::Stale));
    // A node that knows the order in force gives the operator's new order for the former version.
    BOOST_TEST((applyControl(log, makeOrder("v2", 4, TimeMs { 60000 })).outcome == ControlOutcome::Accepted));
    BOOST_TEST((log.versionOrders.at("lm").target == "v2" && log.versionOrders.at("lm").state == VersionOrderState::Running));
}

// Guards against a leader change or a restart between read and commit that lets the late copy in: the state comes from a snapshot then.
BOOST_AUTO_TEST_CASE(lateCopyHasNoEffectAfterASnapshot)
{
    DecisionLog log;
    applyControl(log, makeOrder("v2", 0, TimeMs { 1000 }));
    endOrder(log, VersionOrderState::RolledBack);
    applyControl(log, makeOrder("v3", 2, TimeMs { 5000 }));
    DecisionLog restored;
    BOOST_REQUIRE(restoreControl(restored, snapshotControl(log)));
    BOOST_TEST((applyControl(restored, makeOrder("v2", 0, TimeMs { 6000 })).outcome == ControlOutcome::Stale));
    BOOST_TEST(restored.versionOrders.at("lm").target == "v3");
}

// Guards against a history of large texts that exhausts memory and disk of the voters.
BOOST_AUTO_TEST_CASE(oldTextsAreForgottenByTheirSize)
{
    DecisionLog log;
    for (uint64_t n = 1; n <= 30; ++n) {
        auto command = makeConfiguration(n, "x");
        command.rules = std::string(400000, 'r');
        applyControl(log, command);
    }
    size_t bytes = 0;
    for (const auto& revision : log.history)
        bytes += revision.text.size();
    BOOST_TEST(bytes <= DecisionLog::keptTextBytes);
    BOOST_TEST(!rulesText(log).empty());
}

// Guards against large commands that are kept in the log of each voter as they are, and against logs of earlier builds, which do that
// and lose their commands.
BOOST_AUTO_TEST_CASE(largeCommandsAreCompressed)
{
    std::string rules;
    for (int n = 0; n < 1000; ++n)
        rules += "forward r-" + std::to_string(n) + " kind=stream # omar: routes\n";
    const PutConfiguration put { .number = 3, .original = rules, .rules = rules, .operatorName = "omar", .now = {} };
    const ApplyRules apply { .requestId = "r1", .expectedRevision = 1, .text = rules, .operatorName = "omar", .now = {} };
    DecisionLog log;
    for (const ControlCommand& command : { ControlCommand(put), ControlCommand(apply) }) {
        const std::string encoded = encodeControlCommand(command);
        BOOST_TEST(encoded.size() < rules.size() / 4);
        BOOST_TEST(!decodeControlCommand(encoded.substr(0, encoded.size() - 1)));
        const auto decoded = decodeControlCommand(encoded);
        BOOST_REQUIRE(decoded);
        BOOST_TEST((applyControl(log, *decoded).outcome == ControlOutcome::Accepted));
        BOOST_TEST(rulesText(log) == rules);
    }
    BOOST_TEST(log.configuration == rules);
    const auto plain = decodeControlCommand(encodeState(ControlCommand(put)));
    BOOST_TEST((plain && std::get<PutConfiguration>(*plain).rules == rules));
}

static StartEvacuation makeEvacuation(const std::string& domain, const std::string& who = "asma")
{
    return { { .domain = domain, .operatorName = who, .orderedAt = TimeMs { 1000 } } };
}

// Guards against a repeated order that is refused, counts as a change, or replaces the name of the operator who was first.
BOOST_AUTO_TEST_CASE(evacuationOrdersAreIdempotent)
{
    DecisionLog log;
    BOOST_TEST((applyControl(log, EndEvacuation { "north", "asma", {} }).outcome == ControlOutcome::Accepted));
    BOOST_TEST(log.evacuationSequence == 0U);
    BOOST_TEST((applyControl(log, makeEvacuation("north")).outcome == ControlOutcome::Accepted));
    BOOST_TEST((applyControl(log, makeEvacuation("north", "bilal")).outcome == ControlOutcome::Accepted));
    BOOST_TEST(log.evacuationSequence == 1U);
    BOOST_TEST(log.evacuations.at("north").operatorName == "asma");
    BOOST_TEST((applyControl(log, EndEvacuation { "north", "bilal", {} }).outcome == ControlOutcome::Accepted));
    BOOST_TEST((applyControl(log, EndEvacuation { "north", "bilal", {} }).outcome == ControlOutcome::Accepted));
    BOOST_TEST((log.evacuations.empty() && log.evacuationSequence == 2U));
    BOOST_TEST((applyControl(log, makeEvacuation({})).outcome == ControlOutcome::Malformed));
    BOOST_TEST((applyControl(log, makeEvacuation(std::string(129, 'n'))).outcome == ControlOutcome::Malformed));
    BOOST_TEST(log.evacuationSequence == 2U);
}

// Guards against unbounded memory. An order for a domain that is evacuated already needs no room.
BOOST_AUTO_TEST_CASE(numberOfEvacuationsIsBounded)
{
    DecisionLog log;
    for (size_t n = 0; n < DecisionLog::maxEvacuations; ++n)
        BOOST_REQUIRE((applyControl(log, makeEvacuation("d" + std::to_string(n))).outcome == ControlOutcome::Accepted));
    BOOST_TEST((applyControl(log, makeEvacuation("more")).outcome == ControlOutcome::Full));
    BOOST_TEST((applyControl(log, makeEvacuation("d0")).outcome == ControlOutcome::Accepted));
}

// Guards against an evacuation that a snapshot loses, and against a sequence number that starts again when none is in force: nodes would
// ignore the next one.
BOOST_AUTO_TEST_CASE(snapshotKeepsEvacuations)
{
    DecisionLog log;
    applyControl(log, makeEvacuation("north"));
    applyControl(log, makeEvacuation("south", "bilal"));
    applyControl(log, EndEvacuation { "north", "asma", {} });
    DecisionLog restored;
    BOOST_REQUIRE(restoreControl(restored, snapshotControl(log)));
    BOOST_TEST((restored.evacuations.size() == 1U && restored.evacuations.at("south").operatorName == "bilal" && restored.evacuationSequence == 3U));
    applyControl(log, EndEvacuation { "south", "asma", {} });
    BOOST_REQUIRE(restoreControl(restored, snapshotControl(log)));
    BOOST_TEST((restored.evacuations.empty() && restored.evacuationSequence == 4U));
}

// Guards against snapshots that earlier builds cannot read although there never was an evacuation: their format number is 2.
BOOST_AUTO_TEST_CASE(snapshotWithoutEvacuationsHasTheEarlierFormat)
{
    DecisionLog log;
    applyControl(log, makeApply("r1", 0, "one"));
    const std::string before = snapshotControl(log);
    applyControl(log, EndEvacuation { "north", "asma", {} });
    BOOST_TEST(snapshotControl(log) == before);
    const std::string format { 2, 0, 0, 0 };
    BOOST_TEST(before.find(format) != std::string::npos);
    BOOST_TEST(before.find(format) <= 1U);
    applyControl(log, makeEvacuation("north"));
    BOOST_TEST(snapshotControl(log).find(std::string { 3, 0, 0, 0 }) <= 1U);
}

// Guards against a changed position of the earlier commands, which is part of their encoding in the logs of earlier builds.
BOOST_AUTO_TEST_CASE(evacuationCommandsComeLast)
{
    BOOST_TEST(ControlCommand(CommitUsage {}).index() == 8U);
    BOOST_TEST(ControlCommand(StartEvacuation {}).index() == 9U);
    BOOST_TEST(ControlCommand(EndEvacuation {}).index() == 10U);
    const auto decoded = decodeControlCommand(encodeControlCommand(makeEvacuation("north")));
    BOOST_REQUIRE(decoded);
    BOOST_TEST(std::get<StartEvacuation>(*decoded).evacuation.domain == "north");
}
