#include "versions/MoveController.h"

#include "base/Invariant.h"
#include "versions/MoveSteps.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace siskinshunt {

double falseAlarmRateOfLeader(double total, uint32_t leader)
{
    return total * 0.75 * std::pow(0.25, leader);
}

static bool hasTraffic(MoveStage stage)
{
    return stage == MoveStage::Proving || stage == MoveStage::Shifting || stage == MoveStage::Done;
}

static void publish(ActiveMove& move, MoveOutputs& out, std::string_view code, std::string reason)
{
    MoveDirective& directive = move.directive;
    ++directive.sequence;
    directive.code = code;
    directive.reason = std::move(reason);
    directive.shares.clear();
    for (const auto& [name, route] : move.routes) {
        if (route.share > 0)
            directive.shares.push_back({ name, route.share });
    }
    if (hasTraffic(directive.stage) && directive.stage != MoveStage::Proving)
        directive.baselines = baselinesOf(move);
    move.republish = false;
    out.directives.push_back(directive);
}

static void enterStage(ActiveMove& move, MoveStage stage, TimeMs now)
{
    INVARIANT(!isFinal(move.directive.stage), "a finished move never changes", "move", move.rule.name, "stage",
        nameOf(move.directive.stage), "to", nameOf(stage));
    move.directive.stage = stage;
    move.directive.since = now;
}

static void issueOrder(ActiveMove& move, MoveOutputs& out, MoveOrderKind kind, const std::string& version, uint32_t count)
{
    const auto it = move.ordered.find(kind);
    if (it != move.ordered.end() && it->second == count)
        return;
    move.ordered[kind] = count;
    const std::string id = move.rule.name + "/" + std::to_string(move.directive.sequence) + "/" + std::string(nameOf(kind)) + "/"
        + version + "/" + std::to_string(count);
    out.orders.push_back({ .id = id, .kind = kind, .model = move.rule.model, .version = version, .count = count });
}

static void rollBack(ActiveMove& move, MoveOutputs& out, TimeMs now, std::string_view code, const std::string& reason)
{
    enterStage(move, MoveStage::Undoing, now);
    for (auto& [name, route] : move.routes)
        route.share = 0;
    move.directive.canary = {};
    publish(move, out, code, reason);
    move.ordered.clear();
    if (move.directive.oldRunners)
        issueOrder(move, out, MoveOrderKind::StartVersion, move.rule.from, move.directive.oldRunners);
}

static std::string describeShares(const ActiveMove& move)
{
    std::string text = "shares";
    for (const auto& [name, route] : move.routes) {
        char part[32];
        std::snprintf(part, sizeof(part), " %.0f%%", route.share * 100);
        text += " " + name + part + (route.proven ? "" : " (not proven)");
    }
    return text;
}

static bool allConfirmed(const ActiveMove& move, std::span<const MoveNode> nodes)
{
    return !nodes.empty() && std::all_of(nodes.begin(), nodes.end(), [&](const MoveNode& it) {
        const auto confirmed = it.confirmed.find(move.rule.name);
        return confirmed != it.confirmed.end() && confirmed->second >= move.directive.sequence;
    });
}

static uint32_t countRunners(const MoveInputs& in, const std::string& model, const std::string& version)
{
    return static_cast<uint32_t>(std::count_if(in.runners.begin(), in.runners.end(),
        [&](const MoveRunner& it) { return it.model == model && it.version == version; }));
}

/// Keeps the current canary while it announces itself; otherwise selects the runner of the new version with the lowest id.
static UpstreamId chooseCanary(const ActiveMove& move, const MoveInputs& in)
{
    UpstreamId best;
    for (const auto& it : in.runners) {
        if (it.model != move.rule.model || it.version != move.rule.to)
            continue;
        if (it.id == move.directive.canary)
            return it.id;
        if (!best || it.id < best)
            best = it.id;
    }
    return best;
}

/// Another open move of the same model that has precedence, or null.
static const ActiveMove* findMoveAhead(const MoveController& controller, const ActiveMove& move)
{
    const ActiveMove* ahead = nullptr;
    for (const auto& [name, other] : controller.moves) {
        if (&other == &move || other.rule.model != move.rule.model || isFinal(other.directive.stage))
            continue;
        const bool running = other.directive.stage != MoveStage::Waiting;
        const auto precedence = [](const ActiveMove& it) { return std::make_tuple(it.rule.start.value_or(TimeMs {}), it.rule.origin.line, it.rule.name); };
        if (running || precedence(other) < precedence(move))
            ahead = &other;
    }
    return ahead;
}

// Latencies within one second are correlated, because the load of a single canary varies more than that of many runners.
// Without a limit, 2 good moves in 600 were rolled back while the canary had 1.6 times its mean load for 4 s.
static constexpr double latencyGainLimit = 1.0;

// Number of windows over all checks of one route.
static constexpr double checkHorizon = 600;

/// Spreads the prior weight of later faults over the rest of the move and its watch period.
static void setHorizon(ActiveMove& move, TimeMs now)
{
    const double horizon = std::max(60.0, (move.rule.by - now + move.rule.watch).seconds());
    const auto set = [&](auto& tests) {
        tests.errors.horizon = horizon;
        for (auto& it : tests.slow) {
            it.horizon = horizon;
            it.gainLimit = latencyGainLimit;
        }
    };
    set(move.pooled);
    for (auto& [name, route] : move.routes) {
        set(route);
        for (size_t n = 0; n < route.checkTests.size(); ++n) {
            route.checkTests[n].horizon = checkHorizon;
            route.checkTests[n].gainLimit = n ? latencyGainLimit : route.checkTests[n].gainLimit;
        }
    }
}

static void startProving(ActiveMove& move, const MoveSettings& settings, const MoveInputs& in, MoveOutputs& out)
{
    enterStage(move, MoveStage::Proving, in.now);
    move.directive.started = in.now;
    move.directive.oldRunners = countRunners(in, move.rule.model, move.rule.from);
    move.directive.canary = chooseCanary(move, in);
    move.warmUntil = in.now + settings.warmUpTime;
    move.observedSince = in.now;
    move.nextBurst = in.now;
    setHorizon(move, in.now);
    planProving(move, settings, in.now);
    publish(move, out, "move_proving", "one runner of the new version gets traffic");
}

static void stepWaiting(MoveController& controller, ActiveMove& move, const MoveInputs& in, MoveOutputs& out)
{
    if (in.now >= move.rule.by)
        return rollBack(move, out, in.now, "move_late", "the deadline passed before the start: " + move.directive.reason);
    std::string reason;
    const ActiveMove* ahead = findMoveAhead(controller, move);
    if (move.rule.start && in.now < *move.rule.start)
        reason = "waits for its start";
    else if (ahead)
        reason = "waits for move " + ahead->rule.name + " of the same model";
    else if (!countRunners(in, move.rule.model, move.rule.to))
        reason = "waits for a runner of the new version";
    if (reason.empty())
        return startProving(move, controller.settings, in, out);
    if (reason != move.directive.reason)
        publish(move, out, "move_waits", reason);
    if (!ahead && in.now >= move.rule.start.value_or(in.now))
        issueOrder(move, out, MoveOrderKind::StartVersion, move.rule.to, 1);
}

static void startShifting(ActiveMove& move, const MoveInputs& in, MoveOutputs& out)
{
    enterStage(move, MoveStage::Shifting, in.now);
    move.directive.canary = {};
    for (auto& [name, route] : move.routes) {
        storeBaselineLatency(route);
        // The first step is due at once.
        route.lastStep = {};
    }
    publish(move, out, "move_shifting", "routes move on their own evidence");
}

static void stepProving(ActiveMove& move, const MoveSettings& settings, const MoveInputs& in, MoveOutputs& out)
{
    move.directive.oldRunners = std::max(move.directive.oldRunners, countRunners(in, move.rule.model, move.rule.from));
    const bool proven = std::all_of(move.routes.begin(), move.routes.end(), [](const auto& it) { return it.second.proven; });
    if (proven || in.now >= latestShiftStart(move, settings))
        return startShifting(move, in, out);
    const UpstreamId canary = chooseCanary(move, in);
    const bool replaced = canary != move.directive.canary;
    if (replaced) {
        move.directive.canary = canary;
        move.warmUntil = in.now + settings.warmUpTime;
        move.nextBurst = in.now;
        move.bursting = false;
    }
    if (planProving(move, settings, in.now) || replaced)
        publish(move, out, replaced ? "move_canary" : "move_burst", canary ? "load of the canary changes" : "no runner of the new version");
    // The runners for the first step have to be loaded before the shift.
    issueOrder(move, out, MoveOrderKind::WarmVersion, move.rule.to, neededRunners(move));
}

static void stepShifting(ActiveMove& move, const MoveSettings& settings, const MoveInputs& in, MoveOutputs& out)
{
    if (planShift(move, settings, in.now))
        publish(move, out, "move_step", describeShares(move));
    issueOrder(move, out, MoveOrderKind::StartVersion, move.rule.to, neededRunners(move));
    if (!allShifted(move)) {
        if (in.now >= move.rule.by - settings.confirmMargin / 2)
            rollBack(move, out, in.now, "move_late", "not moved by the deadline: " + describeShares(move));
        return;
    }
    if (!allConfirmed(move, in.nodes))
        return;
    enterStage(move, MoveStage::Done, in.now);
    publish(move, out, "move_done", in.now <= move.rule.by ? "every live node has confirmed" : "every live node has confirmed, late");
    const auto kept = static_cast<uint32_t>(std::ceil(settings.keptOldFraction * move.directive.oldRunners));
    issueOrder(move, out, MoveOrderKind::RetireVersion, move.rule.from, kept);
}

static void stepDone(ActiveMove& move, const MoveInputs& in, MoveOutputs& out)
{
    if (in.now < move.directive.since + move.rule.watch || !allShifted(move))
        return;
    enterStage(move, MoveStage::Closed, in.now);
    publish(move, out, "move_closed", "the watch is over");
    issueOrder(move, out, MoveOrderKind::RetireVersion, move.rule.from, 0);
}

static void stepUndoing(ActiveMove& move, const MoveInputs& in, MoveOutputs& out)
{
    if (!allConfirmed(move, in.nodes))
        return;
    enterStage(move, MoveStage::Undone, in.now);
    publish(move, out, "move_undone", move.directive.reason);
    issueOrder(move, out, MoveOrderKind::RetireVersion, move.rule.to, 0);
}

static void stepMove(MoveController& controller, ActiveMove& move, const MoveInputs& in, MoveOutputs& out)
{
    if (isFinal(move.directive.stage))
        return;
    if (move.republish)
        publish(move, out, "move_leader", move.directive.reason);
    const uint32_t runners = countRunners(in, move.rule.model, move.rule.to);
    if (runners > move.newRunners && move.directive.stage == MoveStage::Shifting)
        move.warmUntil = in.now + controller.settings.warmUpTime;
    move.newRunners = runners;
    if (hasTraffic(move.directive.stage)) {
        runWindowTests(move, controller.settings, in.now);
        if (move.bad)
            return rollBack(move, out, in.now, "move_bad", move.badReason);
        if (move.sharesChanged)
            publish(move, out, "move_check", "comparison with the old version: " + describeShares(move));
        move.sharesChanged = false;
    }
    switch (move.directive.stage) {
    case MoveStage::Waiting:
        return stepWaiting(controller, move, in, out);
    case MoveStage::Proving:
        return stepProving(move, controller.settings, in, out);
    case MoveStage::Shifting:
        return stepShifting(move, controller.settings, in, out);
    case MoveStage::Done:
        return stepDone(move, in, out);
    case MoveStage::Undoing:
        return stepUndoing(move, in, out);
    case MoveStage::Closed:
    case MoveStage::Undone:
        return;
    }
}

static const MoveRule* findRule(const RuleSet& rules, const std::string& name)
{
    const auto it = std::find_if(rules.moves.begin(), rules.moves.end(), [&](const MoveRule& rule) { return rule.name == name; });
    return it == rules.moves.end() ? nullptr : &*it;
}

static void setOrigin(ActiveMove& move, const MoveRule& rule)
{
    move.rule = rule;
    move.directive.line = rule.origin.line;
    move.directive.ruleText = rule.origin.text;
    move.directive.person = rule.origin.person;
    move.directive.ruleReason = rule.origin.reason;
}

static void addRoutes(ActiveMove& move, const RuleSet& rules)
{
    for (const auto& it : rules.routes) {
        if (it.model == move.rule.model)
            move.routes.try_emplace(it.name);
    }
}

static void addMoves(MoveController& controller, const RuleSet& rules)
{
    for (const auto& rule : rules.moves) {
        if (controller.moves.contains(rule.name))
            continue;
        ActiveMove& move = controller.moves[rule.name];
        setOrigin(move, rule);
        move.directive.move = rule.name;
        move.directive.model = rule.model;
        move.directive.from = rule.from;
        move.directive.to = rule.to;
        addRoutes(move, rules);
    }
}

/// Applies changes of the rule. The move ends when its rule was removed or names another model or other versions.
static void followRule(ActiveMove& move, const MoveInputs& in, MoveOutputs& out)
{
    const MoveStage stage = move.directive.stage;
    if (isFinal(stage) || stage == MoveStage::Undoing)
        return;
    const MoveRule* rule = findRule(*in.rules, move.directive.move);
    const bool same = rule && rule->model == move.directive.model && rule->from == move.directive.from && rule->to == move.directive.to;
    if (same) {
        setOrigin(move, *rule);
        addRoutes(move, *in.rules);
        return;
    }
    if (stage != MoveStage::Done)
        return rollBack(move, out, in.now, "move_withdrawn", rule ? "the rule names other versions" : "the rule was removed");
    enterStage(move, MoveStage::Closed, in.now);
    publish(move, out, "move_closed", "the rule was removed after the move was done");
}

static void forgetFinished(MoveController& controller, const RuleSet& rules)
{
    std::erase_if(controller.moves, [&](const auto& entry) {
        return isFinal(entry.second.directive.stage) && !findRule(rules, entry.first);
    });
}

void stepMoves(MoveController& controller, const MoveInputs& in, MoveOutputs& out)
{
    if (!in.rules)
        return;
    addMoves(controller, *in.rules);
    for (const auto& evidence : in.evidence) {
        const auto it = controller.moves.find(evidence.move);
        if (it != controller.moves.end() && hasTraffic(it->second.directive.stage))
            recordEvidence(it->second, evidence);
    }
    for (auto& [name, move] : controller.moves) {
        followRule(move, in, out);
        stepMove(controller, move, in, out);
    }
    forgetFinished(controller, *in.rules);
}

void restoreMoves(MoveController& controller, std::span<const MoveDirective> directives, const RuleSet& rules, TimeMs now)
{
    controller.moves.clear();
    for (const auto& directive : directives) {
        ActiveMove& move = controller.moves[directive.move];
        move.directive = directive;
        if (const MoveRule* rule = findRule(rules, directive.move))
            move.rule = *rule;
        move.rule.name = directive.move;
        move.rule.model = directive.model;
        move.rule.from = directive.from;
        move.rule.to = directive.to;
        if (isFinal(directive.stage))
            continue;
        ++move.directive.leaders;
        move.republish = true;
        addRoutes(move, rules);
        move.warmUntil = now;
        move.observedSince = now;
        move.nextBurst = now;
        setHorizon(move, now);
        for (auto& [name, route] : move.routes)
            route.lastStep = now;
        for (const auto& it : directive.shares)
            move.routes[it.route].share = directive.stage == MoveStage::Done ? 1 : it.share; // A check ends with its leader, so the share from before the check applies.
        for (const auto& it : directive.baselines)
            restoreBaseline(move.routes[it.route], it);
    }
}

}
