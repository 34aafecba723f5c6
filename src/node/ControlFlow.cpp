#include "node/ControlFlow.h"

#include "base/Compression.h"
#include "base/Invariant.h"
#include "node/ExplainFlow.h"
#include "node/FleetFlow.h"
#include "node/ForwardFlow.h"
#include "node/Groups.h"
#include "node/MovesFlow.h"
#include "node/Peers.h"
#include "node/StoredUpstreams.h"
#include "node/VersionOrders.h"
#include "node/ViewTransfer.h"
#include "rules/RuleParser.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

// Interval between searches of the member table for newer views.
static constexpr TimeMs memberCheckInterval { 300 };

static void recordDirective(Node& node, uint64_t index, const MoveDirective& directive)
{
    const auto it = node.decisionLog.moves.find(directive.move);
    if (it != node.decisionLog.moves.end() && it->second.sequence == directive.sequence && node.directives[directive.move].sequence != directive.sequence)
        node.directives[directive.move] = { directive.sequence, index };
}

void decisionApplied(Node& node, uint64_t index, std::string_view command)
{
    INVARIANT(index > node.decisionIndex, "the commands of the decision log are applied in order", "index", index, "applied", node.decisionIndex);
    const auto decoded = decodeControlCommand(command);
    if (!decoded || std::holds_alternative<OpenIntent>(*decoded) || std::holds_alternative<CloseIntent>(*decoded) || std::holds_alternative<CommitUsage>(*decoded))
        return;
    // Evacuations are no part of the control view, which earlier builds have to read. See publishEvacuations().
    if (std::holds_alternative<StartEvacuation>(*decoded) || std::holds_alternative<EndEvacuation>(*decoded))
        return;
    node.decisionIndex = index;
    if (const auto* move = std::get_if<RecordMove>(&*decoded))
        recordDirective(node, index, move->directive);
}

static ControlView buildView(const Node& node)
{
    ControlView view;
    view.index = node.decisionIndex;
    if (const auto* revision = findRevision(node.decisionLog, node.decisionLog.revision))
        view.rules = *revision;
    view.moves = recordedMoves(node.decisionLog);
    view.epoch = node.decisionLog.epoch;
    view.ledgerGroups = node.options.settings.ledgerGroups;
    // The last order of a backend is the one in force, so that earlier builds end with it.
    for (const auto& [backend, order] : node.decisionLog.versionOrders) {
        const auto past = node.decisionLog.pastVersionOrders.find(backend);
        if (past != node.decisionLog.pastVersionOrders.end()) {
            for (const auto& [version, known] : past->second)
                view.versionOrders.push_back(known);
        }
        view.versionOrders.push_back(order);
    }
    return view;
}

static void adoptRules(Node& node, const RulesRevision& revision)
{
    auto parsed = parseRules(revision.text);
    if (!parsed.problems.empty()) {
        // The text was validated before it was proposed, but an older version of the node may not know a rule kind.
        addLog(node, LogLevel::Error, "rules_not_understood", Step::ReadRules, revision.operatorName,
            "revision " + std::to_string(revision.revision) + ": " + toString(parsed.problems.front(), "rules"));
        return;
    }
    parsed.rules.revision = revision.revision;
    node.rules = std::make_shared<const RuleSet>(std::move(parsed.rules));
    setLimits(node.limiter, node.rules->limits, node.now);
    setForwardRules(node);
    explain(node, DecisionCode::ApplyRules, { { SubjectKind::Rules, std::to_string(revision.revision) } }, {}, "applied by " + revision.operatorName + " under request " + revision.requestId);
    addLog(node, LogLevel::Info, "rules_in_force", Step::ReadRules, revision.operatorName, "rules revision " + std::to_string(revision.revision) + " is in force",
        { { "revision", std::to_string(revision.revision) } });
}

// Sends a notice of the new view to the non-voters assigned to this voter, without waiting for gossip, which also covers
// lost notices. Nodes are assigned to voters by id, so that no voter has to notify all nodes.
static void announceView(Node& node)
{
    if (!node.options.voter)
        return;
    std::vector<NodeId> voters { node.self };
    std::vector<NodeId> others;
    for (const auto& [id, member] : node.membership.members) {
        if (isAlive(node.membership, id))
            (member.status.voter ? voters : others).push_back(id);
    }
    std::sort(voters.begin(), voters.end());
    for (const NodeId other : others) {
        if (voters[other.value % voters.size()] == node.self)
            sendFrame(node, other, FrameKind::ViewNotice, {}, encode(ViewNoticeFrame { node.view.index }));
    }
}

static void adoptView(Node& node, ControlView view)
{
    INVARIANT(view.index >= node.view.index, "the index of the view never decreases", "have", node.view.index, "new", view.index);
    INVARIANT(view.rules.revision >= node.view.rules.revision, "the rules revision of a node never decreases", "have", node.view.rules.revision, "new", view.rules.revision);
    const bool rulesChanged = view.rules.revision > node.view.rules.revision;
    node.view = std::move(view);
    if (rulesChanged)
        adoptRules(node, node.view.rules);
    followMoves(node);
    followVersionOrders(node);
    refreshTargets(node);
    announceView(node);
}

void acceptView(Node& node, ControlView view)
{
    if (view.index <= node.view.index || (node.viewBeingStored && view.index <= node.viewBeingStored->index))
        return;
    if (!node.options.voter)
        return adoptView(node, std::move(view));
    if (node.viewBeingStored) {
        node.viewToStore = std::move(view);
        return;
    }
    DiskRequest request { .id = ++node.viewRequest, .group = viewGroup, .hardState = {}, .snapshot = {}, .entries = {} };
    request.snapshot = Snapshot { .meta = { .index = view.index, .term = 1, .members = {} }, .bytes = std::make_shared<const std::string>(compress(encode(view))) };
    node.viewBeingStored = std::move(view);
    node.out.disk.push_back(std::move(request));
}

bool handleViewStored(Node& node, const DiskCompletion& completion)
{
    if (completion.group != viewGroup)
        return false;
    if (!completion.ok) {
        addLog(node, LogLevel::Error, "view_not_stored", Step::Sync, "disk", completion.error);
        node.viewBeingStored.reset();
        return true;
    }
    auto view = std::move(*node.viewBeingStored);
    node.viewBeingStored.reset();
    adoptView(node, std::move(view));
    if (node.viewToStore) {
        auto next = std::move(*node.viewToStore);
        node.viewToStore.reset();
        acceptView(node, std::move(next));
    }
    return true;
}

Result<void> restoreView(Node& node)
{
    const auto it = node.options.recovered.find(viewGroup);
    if (it == node.options.recovered.end() || !it->second.snapshot.meta.index)
        return {};
    const std::string& stored = *it->second.snapshot.bytes;
    // Earlier builds stored views as they are.
    const auto encoded = isCompressed(stored) ? decompress(stored, maxViewBytes) : stored;
    if (!encoded)
        return fail(ErrorCode::Corrupt, Step::Recover, "stored view", "the compressed view is damaged");
    BOOST_LEAF_AUTO(view, decode<ControlView>(*encoded, maxViewBytes, "stored view"));
    node.restoredViewIndex = view.index;
    adoptView(node, std::move(view));
    return {};
}

// Whether the local decision log is usable as a source of views. All committed entries must be applied: after a restart,
// the applied state can be older than a view that this node had adopted before.
static bool isLogCurrent(const Node& node)
{
    const auto it = node.groups.find(decisionGroup);
    if (it == node.groups.end())
        return false;
    const auto state = status(*it->second.replica);
    return state.failure.empty() && state.leader && state.applied == state.commit && node.decisionIndex > node.view.index;
}

void tickControl(Node& node)
{
    publishEvacuations(node);
    if (isLogCurrent(node))
        acceptView(node, buildView(node));
    tickViewTransfer(node);
    if (node.now < node.viewTransfer.nextMemberCheck)
        return;
    node.viewTransfer.nextMemberCheck = node.now + memberCheckInterval;
    for (const auto& [id, member] : node.membership.members) {
        if (isAlive(node.membership, id))
            wantView(node, id, member.status.directive, "gossip");
    }
}

void receiveViewNotice(Node& node, NodeId from, std::string_view body)
{
    wantView(node, from, decodeOr<ViewNoticeFrame>(body, 64).viewIndex, "notice");
}

}
