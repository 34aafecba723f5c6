#include "node/MovesFlow.h"

#include "node/ExplainFlow.h"
#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

static constexpr TimeMs evidenceInterval { 1000 };
static constexpr TimeMs recordTimeout { 5000 };

static bool isNewVersionDefault(const MoveDirective& directive)
{
    return directive.stage == MoveStage::Done || directive.stage == MoveStage::Closed;
}

static bool usesRouteShares(const MoveDirective& directive)
{
    return directive.stage == MoveStage::Proving || directive.stage == MoveStage::Shifting;
}

static void appendShares(const Node& node, const MoveDirective& directive, std::vector<VersionShare>& shares)
{
    const bool toNew = isNewVersionDefault(directive);
    shares.push_back({ .model = directive.model, .version = directive.from, .route = {}, .share = toNew ? 0.0 : 1.0, .fullLoadUpstream = {} });
    shares.push_back({ .model = directive.model, .version = directive.to, .route = {}, .share = toNew ? 1.0 : 0.0, .fullLoadUpstream = {} });
    const auto follower = node.followers.find(directive.move);
    const bool tripped = follower != node.followers.end() && follower->second.circuitBreaker.tripped();
    if (!usesRouteShares(directive) || tripped)
        return;
    for (const auto& route : directive.shares) {
        shares.push_back({ .model = directive.model, .version = directive.from, .route = route.route, .share = 1 - route.share, .fullLoadUpstream = {} });
        shares.push_back({ .model = directive.model, .version = directive.to, .route = route.route, .share = route.share, .fullLoadUpstream = directive.canary });
    }
}

static bool hasMoveRule(const RuleSet& rules, const std::string& name)
{
    return std::any_of(rules.moves.begin(), rules.moves.end(), [&](const MoveRule& rule) { return rule.name == name; });
}

// The directive that determines a model's versions: the most recently started one whose rule still exists.
static const MoveDirective* directiveOf(const Node& node, const std::string& model)
{
    const MoveDirective* latest = nullptr;
    for (const auto& directive : node.view.moves) {
        if (directive.model != model || !node.rules || !hasMoveRule(*node.rules, directive.move) || directive.stage == MoveStage::Waiting)
            continue;
        if (!latest || directive.started > latest->started)
            latest = &directive;
    }
    return latest;
}

void followMoves(Node& node)
{
    if (!node.rules)
        return;
    for (const auto& directive : node.view.moves) {
        if (isFinal(directive.stage) || !hasMoveRule(*node.rules, directive.move))
            node.followers.erase(directive.move);
        else
            node.followers.try_emplace(directive.move);
    }
    std::vector<VersionShare> shares;
    std::set<std::string> models;
    for (const auto& rule : node.rules->versions)
        models.insert(rule.model);
    for (const auto& model : models) {
        if (const auto* directive = directiveOf(node, model)) {
            appendShares(node, *directive, shares);
            continue;
        }
        for (const auto& rule : node.rules->versions) {
            if (rule.model == model)
                shares.push_back({ .model = model, .version = rule.version, .route = {}, .share = rule.share, .fullLoadUpstream = {} });
        }
    }
    setShares(node.router.split, std::move(shares));
}

void recordMoveOutcome(Node& node, const NodeCall& call, bool failed)
{
    const auto* directive = directiveOf(node, call.pool);
    if (!directive || call.version.empty())
        return;
    const auto it = node.followers.find(directive->move);
    if (it == node.followers.end() || (call.version != directive->from && call.version != directive->to))
        return;
    MoveFollower& follower = it->second;
    const bool isNew = call.version == directive->to;
    auto& route = follower.pending[call.route];
    route.route = call.route;
    auto& evidence = isNew ? route.newVersion : route.oldVersion;
    ++evidence.requests;
    if (failed)
        ++evidence.failures;
    else {
        if (call.firstTokenSeen)
            evidence.firstToken.record(static_cast<double>((call.firstTokenAt - call.dispatchedAt).value));
        evidence.wholeRequest.record(static_cast<double>((node.now - call.dispatchedAt).value));
    }
    if (!follower.circuitBreaker.record(node.now, call.route, isNew, failed))
        return;
    addLog(node, LogLevel::Warning, "local_trip", Step::Route, call.upstreamName, "stopped traffic to version " + directive->to + ": " + follower.circuitBreaker.reason(),
        { { "move", directive->move }, { "rule_line", std::to_string(directive->line) }, { "asked_by", directive->person } });
    explain(node, DecisionCode::Trip, { { SubjectKind::Move, directive->move }, { SubjectKind::Upstream, call.upstreamName } }, { directive->line, directive->person, directive->ruleText },
        "stopped traffic to version " + directive->to + ": " + follower.circuitBreaker.reason());
    node.nextEvidence = node.now;
    followMoves(node);
}

void tickEvidence(Node& node)
{
    if (node.now < node.nextEvidence || node.followers.empty())
        return;
    node.nextEvidence = node.now + evidenceInterval;
    EvidenceFrame frame;
    for (auto& [name, follower] : node.followers) {
        Evidence evidence { .move = name, .node = node.self, .confirmed = 0, .tripped = follower.circuitBreaker.tripped(), .tripReason = follower.circuitBreaker.reason(), .routes = {} };
        for (auto& [routeName, route] : follower.pending)
            evidence.routes.push_back(std::move(route));
        follower.pending.clear();
        frame.evidence.push_back(std::move(evidence));
    }
    if (node.leadsDecisions) {
        node.leader.evidence.insert(node.leader.evidence.end(), frame.evidence.begin(), frame.evidence.end());
        return;
    }
    if (const NodeId leader = decisionLeader(node))
        sendFrame(node, leader, FrameKind::Evidence, {}, encode(frame));
}

void receiveEvidence(Node& node, NodeId from, std::string_view body)
{
    auto frame = decodeOr<EvidenceFrame>(body, maxEvidenceBytes);
    if (!node.leadsDecisions)
        return;
    for (auto& evidence : frame.evidence) {
        evidence.node = from;
        node.leader.evidence.push_back(std::move(evidence));
    }
}

// Determines which directives each live node follows from the view index that the node reports by gossip.
static std::vector<MoveNode> confirmations(const Node& node)
{
    std::vector<MoveNode> out;
    for (const NodeId id : liveMembers(node.membership)) {
        const Member* member = findMember(node.membership, id);
        const uint64_t index = id == node.self ? node.view.index : member ? member->status.directive
                                                                          : 0;
        MoveNode entry { .node = id, .confirmed = {} };
        for (const auto& [move, directive] : node.decisionLog.moves) {
            const auto committed = node.directives.find(move);
            // A directive restored from a snapshot was committed at or before the log index at that time.
            const uint64_t needed = committed == node.directives.end() ? node.decisionIndex : committed->second.index;
            entry.confirmed[move] = index >= needed ? directive.sequence : 0;
        }
        out.push_back(std::move(entry));
    }
    return out;
}

static void recordDirective(Node& node, MoveDirective directive)
{
    const std::string move = directive.move;
    explain(node, DecisionCode::MoveStep, { { SubjectKind::Move, move } }, { directive.line, directive.person, directive.ruleText }, std::string(nameOf(directive.stage)) + ": " + directive.reason);
    node.leader.recording.insert(move);
    addLog(node, LogLevel::Info, directive.code.empty() ? "move_step" : directive.code, Step::Propose, directive.move, directive.reason,
        { { "stage", std::string(nameOf(directive.stage)) }, { "sequence", std::to_string(directive.sequence) }, { "rule_line", std::to_string(directive.line) }, { "asked_by", directive.person } });
    const auto command = encodeControlCommand(RecordMove { .epoch = node.leader.epoch, .directive = std::move(directive) });
    proposeCommand(node, decisionGroup, command, recordTimeout, [move](Node& node, bool applied, const std::string& reply) {
        node.leader.recording.erase(move);
        const auto decoded = applied ? decodeControlReply(reply) : std::nullopt;
        if (decoded && decoded->outcome == ControlOutcome::Accepted)
            return;
        // The controller is ahead of the log, so its state is restored from the recorded moves.
        node.leader.movesRestored = false;
    });
}

void runMoveController(Node& node)
{
    if (!node.rules || !node.leader.epoch)
        return;
    auto& leader = node.leader;
    if (!leader.movesRestored) {
        if (!leader.recording.empty())
            return;
        leader.moves = MoveController {};
        restoreMoves(leader.moves, recordedMoves(node.decisionLog), *node.rules, node.now);
        leader.movesRestored = true;
    }
    std::vector<MoveRunner> runners;
    for (const auto& [id, upstream] : node.membership.upstreams.entries) {
        if (upstream.announced.kind == UpstreamKind::Engine && !upstream.leavingSince)
            runners.push_back({ id, upstream.announced.model, upstream.announced.version });
    }
    std::sort(runners.begin(), runners.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
    const auto nodes = confirmations(node);
    MoveOutputs outputs;
    stepMoves(leader.moves, { .now = node.now, .rules = node.rules.get(), .runners = runners, .evidence = leader.evidence, .nodes = nodes }, outputs);
    leader.evidence.clear();
    for (auto& directive : outputs.directives)
        recordDirective(node, std::move(directive));
    for (const auto& order : outputs.orders)
        handleMoveOrder(node, order);
    reconcileLevels(node);
}

}
