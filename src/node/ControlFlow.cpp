#include "node/ControlFlow.h"

#include "base/Invariant.h"
#include "node/ExplainFlow.h"
#include "node/FleetFlow.h"
#include "node/ForwardFlow.h"
#include "node/Groups.h"
#include "node/MovesFlow.h"
#include "node/Peers.h"
#include "node/StoredUpstreams.h"
#include "node/VersionOrders.h"
#include "rules/RuleParser.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

// A member that holds a newer view is asked again after this time.
static constexpr TimeMs fetchInterval { 300 };

static void noteDirective(Node& node, uint64_t index, const MoveDirective& directive)
{
    const auto it = node.decisionLog.moves.find(directive.move);
    if (it != node.decisionLog.moves.end() && it->second.sequence == directive.sequence && node.directives[directive.move].sequence != directive.sequence)
        node.directives[directive.move] = { directive.sequence, index };
}

void decisionApplied(Node& node, uint64_t index, std::string_view command)
{
    INVARIANT(index > node.decisionIndex, "the decision log is applied in order", "index", index, "applied", node.decisionIndex);
    const auto decoded = decodeControlCommand(command);
    if (!decoded || std::holds_alternative<OpenIntent>(*decoded) || std::holds_alternative<CloseIntent>(*decoded) || std::holds_alternative<CommitUsage>(*decoded))
        return;
    node.decisionIndex = index;
    if (const auto* move = std::get_if<RecordMove>(&*decoded))
        noteDirective(node, index, move->directive);
}

static ControlView viewOfLog(const Node& node)
{
    ControlView view;
    view.index = node.decisionIndex;
    if (const auto* revision = findRevision(node.decisionLog, node.decisionLog.revision))
        view.rules = *revision;
    view.moves = recordedMoves(node.decisionLog);
    view.epoch = node.decisionLog.epoch;
    view.ledgerGroups = node.options.settings.ledgerGroups;
    for (const auto& [backend, order] : node.decisionLog.versionOrders)
        view.versionOrders.push_back(order);
    return view;
}

static void adoptRules(Node& node, const RulesRevision& revision)
{
    auto parsed = parseRules(revision.text);
    if (!parsed.problems.empty()) {
        // The text was checked before it was proposed; a node of an older version may lack a rule kind.
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

// Tells the nodes that this voter is to keep informed at once; gossip reaches the others and repairs what is lost. Each
// voter informs the nodes whose ids fall to it, so that no voter sends to all.
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
            sendFrame(node, other, FrameKind::ViewNotice, {}, encode(FetchViewFrame { node.view.index }));
    }
}

static void adoptView(Node& node, ControlView view)
{
    INVARIANT(view.index >= node.view.index, "a view never goes back", "have", node.view.index, "new", view.index);
    INVARIANT(view.rules.revision >= node.view.rules.revision, "a rules revision never goes down on a node", "have", node.view.rules.revision, "new", view.rules.revision);
    const bool newRules = view.rules.revision > node.view.rules.revision;
    node.view = std::move(view);
    if (newRules)
        adoptRules(node, node.view.rules);
    followMoves(node);
    followVersionOrders(node);
    refreshTargets(node);
    announceView(node);
}

// A node with a data folder stores a view before it is in force, so that a restart never goes back behind it.
static void offerView(Node& node, ControlView view)
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
    request.snapshot = Snapshot { .meta = { .index = view.index, .term = 1, .members = {} }, .bytes = std::make_shared<const std::string>(encode(view)) };
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
        offerView(node, std::move(next));
    }
    return true;
}

Result<void> restoreView(Node& node)
{
    const auto it = node.options.recovered.find(viewGroup);
    if (it == node.options.recovered.end() || !it->second.snapshot.meta.index)
        return {};
    BOOST_LEAF_AUTO(view, decode<ControlView>(*it->second.snapshot.bytes, maxViewBytes, "stored view"));
    adoptView(node, std::move(view));
    return {};
}

// The own decision log is a source only while its applied state is known to be as new as what is committed: right
// after a restart it may be older than a view that was in force here before.
static bool logIsCurrent(const Node& node)
{
    const auto it = node.groups.find(decisionGroup);
    if (it == node.groups.end())
        return false;
    const auto state = status(*it->second.replica);
    return state.failure.empty() && state.leader && state.applied == state.commit && node.decisionIndex > node.view.index;
}

void tickControl(Node& node)
{
    if (logIsCurrent(node))
        offerView(node, viewOfLog(node));
    if (node.now < node.nextFetch)
        return;
    node.nextFetch = node.now + fetchInterval;
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.directive > node.view.index && isAlive(node.membership, id)) {
            node.requestedIndex = 0;
            fetchViewIfNewer(node, id);
            return;
        }
    }
}

void fetchViewIfNewer(Node& node, NodeId id)
{
    const Member* member = findMember(node.membership, id);
    if (!member || member->status.directive <= std::max(node.view.index, node.requestedIndex))
        return;
    if (node.viewBeingStored && member->status.directive <= node.viewBeingStored->index)
        return;
    node.requestedIndex = member->status.directive;
    sendFrame(node, id, FrameKind::FetchView, {}, encode(FetchViewFrame { node.view.index }));
}

void receiveFetchView(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeOr<FetchViewFrame>(body, 64, FetchViewFrame { UINT64_MAX });
    if (frame.viewIndex >= node.view.index)
        return;
    sendFrame(node, from, FrameKind::View, {}, encode(node.view));
    // A node that has just started needs the upstreams as well; gossip would take seconds to bring all of them.
    if (!frame.viewIndex)
        sendUpstreams(node, from);
}

void receiveViewNotice(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeOr<FetchViewFrame>(body, 64);
    if (frame.viewIndex <= std::max(node.view.index, node.requestedIndex))
        return;
    node.requestedIndex = frame.viewIndex;
    sendFrame(node, from, FrameKind::FetchView, {}, encode(FetchViewFrame { node.view.index }));
}

void receiveView(Node& node, std::string_view body)
{
    auto view = decodeOr<ControlView>(body, maxViewBytes);
    if (!view.index)
        return countDrop(node, DropReason::BadBody);
    offerView(node, std::move(view));
}

}
