#include "control/DecisionLog.h"

#include "base/Hash.h"
#include "base/Invariant.h"
#include "replica/StateCodec.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace siskinshunt {

static constexpr size_t maxNameBytes = 128;
static constexpr size_t maxReasonBytes = 4096;
static constexpr size_t maxRoutes = 1000;
static constexpr size_t keptAccounts = 100000;

static ControlReply replyOf(const DecisionLog& log, ControlOutcome outcome, std::string detail = {})
{
    return { .outcome = outcome, .revision = log.revision, .winner = {}, .wonAt = {}, .epoch = log.epoch, .detail = std::move(detail) };
}

static ControlReply conflictReply(const DecisionLog& log, const RulesRevision* winner, std::string detail)
{
    ControlReply reply = replyOf(log, ControlOutcome::Conflict, std::move(detail));
    if (winner) {
        reply.revision = winner->revision;
        reply.winner = winner->operatorName;
        reply.wonAt = winner->at;
    }
    return reply;
}

static void recordReply(DecisionLog& log, const ApplyRules& command, const std::string& digest, const ControlReply& reply)
{
    log.requests.emplace(command.requestId, AnsweredRequest { digest, reply });
    log.requestOrder.push_back(command.requestId);
    if (log.requestOrder.size() > DecisionLog::keptRequests) {
        log.requests.erase(log.requestOrder.front());
        log.requestOrder.pop_front();
    }
}

// Discards texts beyond the limits, oldest first; their digests are kept.
static void discardOldTexts(DecisionLog& log)
{
    size_t bytes = 0;
    size_t kept = 0;
    for (auto it = log.history.rbegin(); it != log.history.rend() && (!kept || !it->text.empty()); ++it) {
        bytes += it->text.size();
        ++kept;
        if (kept > 1 && (kept > DecisionLog::keptTexts || bytes > DecisionLog::keptTextBytes)) {
            it->text.clear();
            it->text.shrink_to_fit();
        }
    }
}

static void appendRevision(DecisionLog& log, ApplyRules command, const std::string& digest)
{
    const uint64_t last = log.history.empty() ? 0 : log.history.back().revision;
    INVARIANT(log.revision == last, "the current revision is the last of the history", "revision", log.revision, "last", last);
    ++log.revision;
    log.history.push_back({ log.revision, std::move(command.requestId), std::move(command.operatorName), command.now, std::move(command.text), digest });
    INVARIANT(log.history.back().revision == last + 1, "revisions increase by one", "from", last, "to", log.revision);
    discardOldTexts(log);
    if (log.history.size() > DecisionLog::keptHistory)
        log.history.pop_front();
}

static ControlReply applyTo(DecisionLog& log, const ApplyRules& command)
{
    if (command.requestId.empty() || command.requestId.size() > maxNameBytes || command.operatorName.size() > maxNameBytes
        || command.text.size() > DecisionLog::maxTextBytes)
        return replyOf(log, ControlOutcome::Malformed, "a request id, the operator or the text breaks its bounds");
    const std::string digest = sha256Hex(std::to_string(command.expectedRevision) + ":" + command.text);
    if (const auto it = log.requests.find(command.requestId); it != log.requests.end()) {
        if (it->second.textDigest == digest)
            return it->second.reply;
        const RulesRevision* winner = findRevision(log, it->second.reply.revision);
        return conflictReply(log, winner, "request id " + command.requestId + " came before with another text or revision");
    }
    ControlReply reply;
    if (command.expectedRevision == log.revision) {
        appendRevision(log, command, digest);
        reply = replyOf(log, ControlOutcome::Accepted);
    } else {
        // The revision after the expected one shows who won the race; if it is no longer kept, the latest one is reported.
        const RulesRevision* winner = findRevision(log, command.expectedRevision + 1);
        if (!winner && !log.history.empty())
            winner = &log.history.back();
        reply = conflictReply(log, winner,
            "expected revision " + std::to_string(command.expectedRevision) + ", in force is " + std::to_string(log.revision));
    }
    recordReply(log, command, digest, reply);
    return reply;
}

static bool isWellFormed(const MoveDirective& directive)
{
    if (directive.move.empty() || directive.move.size() > maxNameBytes || directive.reason.size() > maxReasonBytes
        || directive.ruleText.size() > maxReasonBytes || directive.ruleReason.size() > maxReasonBytes
        || directive.shares.size() > maxRoutes || directive.baselines.size() > maxRoutes || directive.stage > MoveStage::Undone)
        return false;
    return std::all_of(directive.shares.begin(), directive.shares.end(), [](const RouteShare& it) {
        return it.route.size() <= maxNameBytes && std::isfinite(it.share) && it.share >= 0 && it.share <= 1;
    });
}

/// Evicts the oldest finished move if the limit is reached; returns false if all moves are open.
static bool makeRoomForMove(DecisionLog& log)
{
    if (log.moves.size() < DecisionLog::keptMoves)
        return true;
    if (log.finishedMoves.empty())
        return false;
    log.moves.erase(log.finishedMoves.front());
    log.finishedMoves.pop_front();
    return true;
}

static ControlReply applyTo(DecisionLog& log, const RecordMove& command)
{
    if (!isWellFormed(command.directive))
        return replyOf(log, ControlOutcome::Malformed, "a directive breaks its bounds");
    if (command.epoch != log.epoch)
        return replyOf(log, ControlOutcome::Stale, "epoch " + std::to_string(command.epoch) + " is not in force");
    auto it = log.moves.find(command.directive.move);
    if (it != log.moves.end() && isFinal(it->second.stage))
        return replyOf(log, ControlOutcome::Finished, "the move is " + std::string(nameOf(it->second.stage)));
    if (it != log.moves.end() && command.directive.sequence <= it->second.sequence)
        return replyOf(log, ControlOutcome::Stale, "sequence " + std::to_string(it->second.sequence) + " is recorded");
    if (it == log.moves.end()) {
        if (!makeRoomForMove(log))
            return replyOf(log, ControlOutcome::Full, "too many open moves");
        it = log.moves.emplace(command.directive.move, MoveDirective {}).first;
    }
    INVARIANT(!isFinal(it->second.stage), "a finished move never changes", "move", it->first, "stage", nameOf(it->second.stage));
    it->second = command.directive;
    if (isFinal(it->second.stage))
        log.finishedMoves.push_back(it->first);
    return replyOf(log, ControlOutcome::Accepted);
}

static ControlReply applyTo(DecisionLog& log, const BeginEpoch& command)
{
    const bool isResend = command.term == log.epoch && command.leader == log.epochLeader;
    if (!isResend && command.term <= log.epoch)
        return replyOf(log, ControlOutcome::Stale, "epoch " + std::to_string(log.epoch) + " is in force");
    const uint64_t before = log.epoch;
    log.epoch = command.term;
    INVARIANT(log.epoch >= before, "epochs never decrease", "from", before, "to", log.epoch);
    if (!isResend)
        log.epochAt = command.now;
    log.epochLeader = command.leader;
    return replyOf(log, ControlOutcome::Accepted);
}

static bool isWellFormed(const Intent& intent)
{
    for (const std::string* it : { &intent.action, &intent.target, &intent.domain, &intent.machine, &intent.model, &intent.version }) {
        if (it->size() > maxNameBytes)
            return false;
    }
    return !intent.id.empty() && intent.id.size() <= maxNameBytes && intent.detail.size() <= maxReasonBytes
        && intent.kind <= IntentKind::Capacity;
}

static bool makeRoomForIntent(DecisionLog& log)
{
    if (log.intents.size() < DecisionLog::keptIntents)
        return true;
    if (log.endedIntents.empty())
        return false;
    log.intents.erase(log.endedIntents.front());
    log.endedIntents.pop_front();
    return true;
}

static ControlReply applyTo(DecisionLog& log, const OpenIntent& command)
{
    if (!isWellFormed(command.intent))
        return replyOf(log, ControlOutcome::Malformed, "an intent breaks its bounds");
    if (command.epoch != log.epoch)
        return replyOf(log, ControlOutcome::Stale, "epoch " + std::to_string(command.epoch) + " is not in force");
    if (const auto it = log.intents.find(command.intent.id); it != log.intents.end())
        return replyOf(log, ControlOutcome::Accepted, std::string(nameOf(it->second.state)));
    if (!makeRoomForIntent(log))
        return replyOf(log, ControlOutcome::Full, "too many open intents");
    Intent intent = command.intent;
    intent.state = IntentState::Open;
    intent.epoch = log.epoch;
    log.intents.emplace(intent.id, std::move(intent));
    return replyOf(log, ControlOutcome::Accepted);
}

static ControlReply applyTo(DecisionLog& log, const CloseIntent& command)
{
    if (command.detail.size() > maxReasonBytes || (command.state != IntentState::Confirmed && command.state != IntentState::Failed))
        return replyOf(log, ControlOutcome::Malformed, "an intent ends as confirmed or failed");
    const auto it = log.intents.find(command.id);
    if (it == log.intents.end())
        return replyOf(log, ControlOutcome::NotFound, "no intent " + command.id.substr(0, maxNameBytes));
    Intent& intent = it->second;
    if (intent.state == command.state)
        return replyOf(log, ControlOutcome::Accepted);
    if (intent.state != IntentState::Open)
        return replyOf(log, ControlOutcome::Finished, "the intent is " + std::string(nameOf(intent.state)));
    intent.state = command.state;
    if (!command.detail.empty())
        intent.detail = command.detail;
    log.endedIntents.push_back(command.id);
    return replyOf(log, ControlOutcome::Accepted);
}

static ControlReply applyTo(DecisionLog& log, const PutConfiguration& command)
{
    if (command.operatorName.size() > maxNameBytes || command.rules.size() > DecisionLog::maxTextBytes)
        return replyOf(log, ControlOutcome::Malformed, "the operator or the rules break their bounds");
    if (command.number <= log.configurationNumber)
        return replyOf(log, ControlOutcome::Accepted, "number " + std::to_string(log.configurationNumber) + " stays in force");
    const std::string request = "configuration-" + std::to_string(command.number);
    appendRevision(log, { request, log.revision, command.rules, command.operatorName, command.now }, sha256Hex(command.rules));
    log.configurationNumber = command.number;
    log.configuration = command.original;
    return replyOf(log, ControlOutcome::Accepted);
}

// Until this long after its time limit, a repeat of a rolled-back order counts as a resend instead of a new order.
static constexpr TimeMs resendWindow { 10000 };

// `knownSequence`: as in OrderVersion; none for a command of an earlier build.
static ControlReply startVersionOrder(DecisionLog& log, const StartVersionOrder& command, std::optional<uint64_t> knownSequence)
{
    if (command.backend.empty() || command.backend.size() > maxNameBytes || command.target.empty() || command.target.size() > maxNameBytes)
        return replyOf(log, ControlOutcome::Malformed, "a backend and a version of at most 128 bytes are needed");
    const auto it = log.versionOrders.find(command.backend);
    const bool sameTarget = it != log.versionOrders.end() && it->second.target == command.target;
    if (sameTarget && (it->second.state != VersionOrderState::RolledBack || command.now - it->second.orderedAt < it->second.within + resendWindow))
        return replyOf(log, ControlOutcome::Accepted, std::string(nameOf(it->second.state)));
    const uint64_t sequence = it == log.versionOrders.end() ? 0 : it->second.sequence;
    if (knownSequence && *knownSequence != sequence)
        return replyOf(log, ControlOutcome::Stale, "the order is older than sequence " + std::to_string(sequence) + ": it knew " + std::to_string(*knownSequence));
    if (it == log.versionOrders.end() && log.versionOrders.size() >= DecisionLog::keptMoves)
        return replyOf(log, ControlOutcome::Full, "too many version orders");
    log.versionOrders[command.backend] = { .backend = command.backend, .target = command.target, .orderedAt = command.now, .within = command.within, .sequence = sequence + 1, .reason = {} };
    return replyOf(log, ControlOutcome::Accepted);
}

static ControlReply applyTo(DecisionLog& log, const StartVersionOrder& command)
{
    return startVersionOrder(log, command, std::nullopt);
}

static void keepVersion(std::map<std::string, VersionOrder>& past, VersionOrder order)
{
    const std::string version = order.target;
    past[version] = std::move(order);
    if (past.size() <= DecisionLog::keptVersions)
        return;
    past.erase(std::min_element(past.begin(), past.end(), [](const auto& a, const auto& b) { return a.second.orderedAt < b.second.orderedAt; }));
}

// Records how the order that was in force ends by the next one. A version that was in use before its order stays in use.
static void endVersionOrder(std::map<std::string, VersionOrder>& past, VersionOrder order)
{
    const auto known = past.find(order.target);
    if (order.state != VersionOrderState::Completed && known != past.end() && known->second.state == VersionOrderState::Completed)
        return;
    if (order.state == VersionOrderState::Running)
        order.state = VersionOrderState::GivenUp;
    keepVersion(past, std::move(order));
}

static ControlReply applyTo(DecisionLog& log, const OrderVersionAmong& command)
{
    const StartVersionOrder& start = command.order.order;
    const bool isLong = std::any_of(command.present.begin(), command.present.end(), [](const std::string& it) { return it.size() > maxNameBytes; });
    if (isLong || command.present.size() > OrderVersionAmong::maxPresent)
        return replyOf(log, ControlOutcome::Malformed, "the versions that are present break their bounds");
    const auto it = log.versionOrders.find(start.backend);
    const auto before = it == log.versionOrders.end() ? std::nullopt : std::optional(it->second);
    auto reply = startVersionOrder(log, start, command.order.knownSequence);
    const auto started = log.versionOrders.find(start.backend);
    if (started == log.versionOrders.end() || (before && started->second.sequence == before->sequence))
        return reply;
    auto& past = log.pastVersionOrders[start.backend];
    if (before) {
        endVersionOrder(past, *before);
        return reply;
    }
    // Upstreams of the ordered version may have registered before their order, so it counts as in use only if there is no other.
    for (const std::string& version : command.present) {
        if (version != start.target || command.present.size() == 1)
            keepVersion(past, { .backend = start.backend, .target = version, .state = VersionOrderState::Completed, .reason = "in use before the first order" });
    }
    return reply;
}

static ControlReply applyTo(DecisionLog& log, const OrderVersion& command)
{
    return startVersionOrder(log, command.order, command.knownSequence);
}

static ControlReply applyTo(DecisionLog& log, const RecordVersionOrder& command)
{
    if (command.epoch != log.epoch)
        return replyOf(log, ControlOutcome::Stale, "epoch " + std::to_string(command.epoch) + " is not in force");
    const auto it = log.versionOrders.find(command.order.backend);
    if (it == log.versionOrders.end())
        return replyOf(log, ControlOutcome::NotFound, "no order for " + command.order.backend.substr(0, maxNameBytes));
    if (it->second.state != VersionOrderState::Running)
        return replyOf(log, ControlOutcome::Finished, "the order is " + std::string(nameOf(it->second.state)));
    if (command.order.target != it->second.target || command.order.sequence <= it->second.sequence || command.order.state > VersionOrderState::RolledBack || command.order.reason.size() > maxReasonBytes)
        return replyOf(log, ControlOutcome::Stale, "sequence " + std::to_string(it->second.sequence) + " is recorded");
    it->second = command.order;
    // The upstreams of all other versions end now.
    const auto past = log.pastVersionOrders.find(command.order.backend);
    if (command.order.state == VersionOrderState::Completed && past != log.pastVersionOrders.end())
        std::erase_if(past->second, [](const auto& it) { return it.second.state == VersionOrderState::Completed; });
    return replyOf(log, ControlOutcome::Accepted);
}

static ControlReply applyTo(DecisionLog& log, const CommitUsage& command)
{
    if (command.counts.size() > keptAccounts)
        return replyOf(log, ControlOutcome::Malformed, "more accounts than are counted");
    const auto [it, inserted] = log.usage.try_emplace(command.window, command.counts);
    if (log.usage.size() > DecisionLog::keptUsageWindows)
        log.usage.erase(log.usage.begin());
    return replyOf(log, ControlOutcome::Accepted, inserted ? "" : "known");
}

static ControlReply applyTo(DecisionLog& log, const StartEvacuation& command)
{
    const auto& evacuation = command.evacuation;
    if (evacuation.domain.empty() || evacuation.domain.size() > maxNameBytes || evacuation.operatorName.size() > maxNameBytes)
        return replyOf(log, ControlOutcome::Malformed, "a failure domain and an operator of at most 128 bytes are needed");
    if (log.evacuations.contains(evacuation.domain))
        return replyOf(log, ControlOutcome::Accepted, "in force");
    if (log.evacuations.size() >= DecisionLog::maxEvacuations)
        return replyOf(log, ControlOutcome::Full, "too many evacuations");
    log.evacuations.emplace(evacuation.domain, evacuation);
    ++log.evacuationSequence;
    return replyOf(log, ControlOutcome::Accepted);
}

static ControlReply applyTo(DecisionLog& log, const EndEvacuation& command)
{
    if (command.domain.empty() || command.domain.size() > maxNameBytes || command.operatorName.size() > maxNameBytes)
        return replyOf(log, ControlOutcome::Malformed, "a failure domain and an operator of at most 128 bytes are needed");
    if (!log.evacuations.erase(command.domain))
        return replyOf(log, ControlOutcome::Accepted, "not evacuated");
    ++log.evacuationSequence;
    return replyOf(log, ControlOutcome::Accepted);
}

ControlReply applyControl(DecisionLog& log, const ControlCommand& command)
{
    return std::visit([&](const auto& it) { return applyTo(log, it); }, command);
}

const std::string& rulesText(const DecisionLog& log)
{
    static const std::string s_none;
    return log.history.empty() ? s_none : log.history.back().text;
}

const RulesRevision* findRevision(const DecisionLog& log, uint64_t revision)
{
    if (log.history.empty() || revision < log.history.front().revision || revision > log.history.back().revision)
        return nullptr;
    return &log.history[revision - log.history.front().revision];
}

std::vector<MoveDirective> recordedMoves(const DecisionLog& log)
{
    std::vector<MoveDirective> out;
    out.reserve(log.moves.size());
    for (const auto& [name, directive] : log.moves)
        out.push_back(directive);
    return out;
}

std::vector<Intent> openIntents(const DecisionLog& log)
{
    std::vector<Intent> out;
    for (const auto& [id, intent] : log.intents) {
        if (intent.state == IntentState::Open)
            out.push_back(intent);
    }
    return out;
}

struct ControlSnapshot {
    uint32_t format = 2; ///< Format 1 lacks configuration, version orders and usage, format 2 evacuations, format 3 past version orders.
    uint64_t revision = 0;
    std::vector<RulesRevision> history;
    std::map<std::string, AnsweredRequest> requests;
    std::vector<std::string> requestOrder;
    std::map<std::string, MoveDirective> moves;
    std::vector<std::string> finishedMoves;
    std::map<std::string, Intent> intents;
    std::vector<std::string> endedIntents;
    uint64_t epoch = 0;
    NodeId epochLeader;
    TimeMs epochAt;
    uint64_t configurationNumber = 0;
    std::string configuration;
    std::map<std::string, VersionOrder> versionOrders;
    std::map<int64_t, std::map<std::string, uint64_t>> usage;
    std::map<std::string, Evacuation> evacuations;
    uint64_t evacuationSequence = 0;
    std::map<std::string, std::map<std::string, VersionOrder>> pastVersionOrders;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(format, revision, history, requests, requestOrder, moves, finishedMoves, intents, endedIntents, epoch, epochLeader,
            epochAt);
        if (format >= 2)
            archive(configurationNumber, configuration, versionOrders, usage);
        if (format >= 3)
            archive(evacuations, evacuationSequence);
        if (format >= 4)
            archive(pastVersionOrders);
    }
};

// Earlier builds read the snapshots that hold nothing new to them.
static uint32_t snapshotFormat(const DecisionLog& log)
{
    if (!log.pastVersionOrders.empty())
        return 4;
    return log.evacuationSequence ? 3 : 2;
}

std::string snapshotControl(const DecisionLog& log)
{
    return encodeState(ControlSnapshot {
        .format = snapshotFormat(log),
        .revision = log.revision,
        .history = { log.history.begin(), log.history.end() },
        .requests = log.requests,
        .requestOrder = { log.requestOrder.begin(), log.requestOrder.end() },
        .moves = log.moves,
        .finishedMoves = { log.finishedMoves.begin(), log.finishedMoves.end() },
        .intents = log.intents,
        .endedIntents = { log.endedIntents.begin(), log.endedIntents.end() },
        .epoch = log.epoch,
        .epochLeader = log.epochLeader,
        .epochAt = log.epochAt,
        .configurationNumber = log.configurationNumber,
        .configuration = log.configuration,
        .versionOrders = log.versionOrders,
        .usage = log.usage,
        .evacuations = log.evacuations,
        .evacuationSequence = log.evacuationSequence,
        .pastVersionOrders = log.pastVersionOrders,
    });
}

static bool isConsistent(const ControlSnapshot& snapshot)
{
    if (snapshot.format < 1 || snapshot.format > 4 || snapshot.revision != (snapshot.history.empty() ? 0 : snapshot.history.back().revision))
        return false;
    for (size_t n = 1; n < snapshot.history.size(); ++n) {
        if (snapshot.history[n].revision != snapshot.history[n - 1].revision + 1)
            return false;
    }
    return true;
}

bool restoreControl(DecisionLog& log, std::string_view bytes)
{
    ControlSnapshot snapshot;
    if (!decodeState(bytes, snapshot, std::numeric_limits<size_t>::max()) || !isConsistent(snapshot))
        return false;
    DecisionLog restored;
    restored.revision = snapshot.revision;
    restored.history.assign(snapshot.history.begin(), snapshot.history.end());
    restored.requests = std::move(snapshot.requests);
    restored.requestOrder.assign(snapshot.requestOrder.begin(), snapshot.requestOrder.end());
    restored.moves = std::move(snapshot.moves);
    restored.finishedMoves.assign(snapshot.finishedMoves.begin(), snapshot.finishedMoves.end());
    restored.intents = std::move(snapshot.intents);
    restored.endedIntents.assign(snapshot.endedIntents.begin(), snapshot.endedIntents.end());
    restored.epoch = snapshot.epoch;
    restored.epochLeader = snapshot.epochLeader;
    restored.epochAt = snapshot.epochAt;
    restored.configurationNumber = snapshot.configurationNumber;
    restored.configuration = std::move(snapshot.configuration);
    restored.versionOrders = std::move(snapshot.versionOrders);
    restored.usage = std::move(snapshot.usage);
    restored.evacuations = std::move(snapshot.evacuations);
    restored.evacuationSequence = snapshot.evacuationSequence;
    restored.pastVersionOrders = std::move(snapshot.pastVersionOrders);
    log = std::move(restored);
    return true;
}

StateMachine controlStateMachine(DecisionLog& log)
{
    return {
        .apply = [&log](uint64_t, std::string_view bytes) {
            const auto command = decodeControlCommand(bytes);
            return encodeControlReply(command ? applyControl(log, *command) : replyOf(log, ControlOutcome::Malformed, "undecodable command")); },
        .snapshot = [&log] { return snapshotControl(log); },
        .restore = [&log](std::string_view bytes) { return restoreControl(log, bytes); },
    };
}

}
