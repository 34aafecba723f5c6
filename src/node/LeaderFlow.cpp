#include "node/LeaderFlow.h"

#include "node/CapacityFlow.h"
#include "node/ExplainFlow.h"
#include "node/Groups.h"
#include "node/MovesFlow.h"
#include "node/Peers.h"
#include "node/VoterRepair.h"
#include "wire/Codec.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

static constexpr TimeMs controllerInterval { 1000 };
static constexpr TimeMs leaseInterval { 500 };
static constexpr TimeMs sweepInterval { 1000 };
static constexpr TimeMs sweepTimeout { 3000 };
static constexpr size_t maxSweepCommands = 64;
static constexpr size_t maxLeaseBytes = 1 << 20;

NodeId decisionLeader(const Node& node)
{
    if (node.leadsDecisions)
        return node.self;
    const auto it = node.groups.find(decisionGroup);
    if (it != node.groups.end()) {
        if (const NodeId leader = nodeOfVoter(node, status(*it->second.replica).leader))
            return leader;
    }
    // A node that is not a voter uses the leader that most live voters report.
    std::map<NodeId, int> votes;
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.voter && member.status.leader && isAlive(node.membership, id))
            ++votes[member.status.leader];
    }
    const auto best = std::max_element(votes.begin(), votes.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return best == votes.end() ? NodeId {} : best->first;
}

static void acquireEpoch(Node& node, uint64_t term)
{
    node.leader.epochProposalPending = true;
    proposeCommand(node, decisionGroup, encodeControlCommand(BeginEpoch { .leader = node.self, .term = term, .now = node.now }), 3_s,
        [term](Node& node, bool applied, const std::string& reply) {
            node.leader.epochProposalPending = false;
            const auto decoded = applied ? decodeControlReply(reply) : std::nullopt;
            if (!decoded || decoded->outcome != ControlOutcome::Accepted || !node.leadsDecisions)
                return;
            node.leader.epoch = term;
            beginEpoch(node.leader.orders, term, node.now);
            addLog(node, LogLevel::Info, "epoch_taken", Step::Propose, {}, "this node is the decision leader", { { "epoch", std::to_string(term) } });
        });
}

static void startLeading(Node& node)
{
    const auto lastEpoch = node.leader.orders.lastEpoch;
    node.leader = LeaderState {};
    node.leader.orders.lastEpoch = lastEpoch;
    node.leader.grantor.startedAt = node.now;
    const auto& timings = node.options.settings.timings;
    node.leader.orders.settings.lease = timings.electionMin * 9 / 10;
    node.leader.orders.settings.orderTimeout = timings.orderTimeout;
    node.leader.orders.settings.clockSlack = timings.clockSlack;
}

static void stopLeading(Node& node)
{
    endEpoch(node.leader.orders);
    node.leader.epoch = 0;
    node.leader.movesRestored = false;
    node.leader.evidence.clear();
    node.leader.capacity = {};
}

static void tickDecisionLeader(Node& node, Group& group)
{
    const bool leads = leadsGroup(node, group);
    if (leads != node.leadsDecisions) {
        node.leadsDecisions = leads;
        leads ? startLeading(node) : stopLeading(node);
    }
    if (!leads)
        return;
    const uint64_t term = status(*group.replica).term;
    if (node.leader.epoch != term) {
        if (!node.leader.epochProposalPending)
            acquireEpoch(node, term);
        return;
    }
    if (node.now < node.leader.nextStep)
        return;
    node.leader.nextStep = node.now + controllerInterval;
    runMoveController(node);
    tickCapacity(node);
    node.leader.grantor.nodes = static_cast<uint32_t>(liveMembers(node.membership).size());
    expireGrants(node.leader.grantor, node.now);
}

static bool isOwnerAlive(const Node& node, const CallOwner& owner)
{
    if (owner.node == node.self)
        return owner == node.owner;
    const Member* member = findMember(node.membership, owner.node);
    return member && isAlive(node.membership, owner.node) && processOf(member->status.incarnation) == owner.incarnation;
}

static void proposeSweep(Node& node, GroupId id, CallId call, const LedgerCommand& command)
{
    node.groups[id].sweeping.insert(call);
    proposeCommand(node, id, encodeLedgerCommand(command), sweepTimeout, [id, call, command](Node& node, bool applied, const std::string& reply) {
        const auto group = node.groups.find(id);
        if (group == node.groups.end())
            return;
        group->second.sweeping.erase(call);
        const auto decoded = applied ? decodeLedgerReply(reply) : std::nullopt;
        if (decoded && decoded->outcome == LedgerOutcome::Accepted && std::holds_alternative<TakeOver>(command))
            resumeTakenOver(node, *group->second.ledger, call);
    });
}

static void sweepLedger(Node& node, Group& group)
{
    if (!group.ledger || node.now < group.nextSweep || !leadsGroup(node, group))
        return;
    group.nextSweep = node.now + sweepInterval;
    const auto alive = [&node](const CallOwner& owner) { return isOwnerAlive(node, owner); };
    size_t n = 0;
    for (const auto& due : callsDueForTakeover(*group.ledger, node.now, node.owner, alive)) {
        if (++n <= maxSweepCommands && !group.sweeping.contains(due.call))
            proposeSweep(node, group.id, due.call, due);
    }
    for (const auto& due : callsDueForUnknown(*group.ledger, node.now, node.owner, alive)) {
        if (++n <= maxSweepCommands && !group.sweeping.contains(due.call))
            proposeSweep(node, group.id, due.call, due);
    }
    // Resumes calls that this node took over with a command whose reply was lost.
    std::vector<CallId> ownCalls;
    for (const CallId id : group.ledger->openCalls) {
        const CallRecord& record = group.ledger->calls.at(id);
        if (record.owner == node.owner && record.state == CallState::Reserved && !node.calls.contains(id) && !group.sweeping.contains(id))
            ownCalls.push_back(id);
    }
    for (const CallId id : ownCalls)
        resumeTakenOver(node, *group.ledger, id);
    if (isExpireDue(*group.ledger, node.now))
        proposeCommand(node, group.id, encodeLedgerCommand(Expire { .now = node.now }), sweepTimeout, [](Node&, bool, const std::string&) {});
}

static std::string orderBody(const Order& order)
{
    const boost::json::object body {
        { "id", order.id }, { "kind", nameOf(order.kind) }, { "model", order.model }, { "version", order.version },
        { "epoch", order.fencing.epoch }, { "sequence", order.fencing.sequence }
    };
    return boost::json::serialize(body);
}

static std::optional<UpstreamDispatch> dispatchOf(const Node& node, const Order& order)
{
    if (order.target.empty())
        return platformDispatch(node, order);
    const Upstream* upstream = findUpstream(node.membership.upstreams, idOfName<UpstreamId>(order.target));
    if (!upstream)
        return std::nullopt;
    UpstreamDispatch dispatch;
    dispatch.address = upstream->announced.address;
    dispatch.request = { "POST", "/orders", { { "Content-Type", "application/json" } }, orderBody(order) };
    return dispatch;
}

static void sendOrders(Node& node)
{
    auto& leader = node.leader;
    for (const auto& order : claimDueOrders(leader.orders, node.now, node.random)) {
        auto built = dispatchOf(node, order);
        if (!built) {
            handleOrderAnswer(leader.orders, order.id, order.fencing, OrderAnswer::Lost, node.now, node.random);
            continue;
        }
        UpstreamDispatch& dispatch = *built;
        dispatch.dispatch = ++node.lastDispatch;
        dispatch.freshConnection = true;
        dispatch.firstByteTimeout = leader.orders.settings.orderTimeout;
        leader.orderDispatches[dispatch.dispatch] = { order.id, order.fencing };
        addLog(node, LogLevel::Info, "order_sent", Step::Order, order.target, std::string(nameOf(order.kind)) + " " + order.model + " " + order.version,
            { { "order", order.id }, { "epoch", std::to_string(order.fencing.epoch) }, { "sequence", std::to_string(order.fencing.sequence) } });
        explain(node, DecisionCode::Order, { { SubjectKind::Upstream, order.target.empty() ? "platform" : order.target }, { SubjectKind::Instance, order.id } }, {}, std::string(nameOf(order.kind)) + " " + order.model + " " + order.version);
        node.out.dispatches.push_back(std::move(dispatch));
    }
    reconcileOrders(leader.orders, [&node](const Order& order) {
        if (order.target.empty())
            return isStarted(node, order);
        const Upstream* upstream = findUpstream(node.membership.upstreams, idOfName<UpstreamId>(order.target));
        return upstream && upstream->announced.model == order.model && upstream->announced.version == order.version;
    });
}

bool handleOrderEvent(Node& node, const UpstreamEvent& event)
{
    auto& leader = node.leader;
    const auto it = leader.orderDispatches.find(event.dispatch);
    if (it == leader.orderDispatches.end())
        return false;
    const auto [id, fencing] = it->second;
    auto answer = OrderAnswer::Lost;
    if (event.kind == UpstreamEventKind::Head) {
        const auto order = leader.orders.orders.find(id);
        if (order != leader.orders.orders.end() && order->second.order.target.empty())
            answer = platformAnswer(order->second.order, event.status);
        else if (event.status == 409)
            answer = OrderAnswer::StaleFencingToken;
        else if (event.status == 503 || event.status == 429)
            answer = OrderAnswer::Busy;
        else
            answer = event.status < 300 ? OrderAnswer::Accepted : OrderAnswer::Refused;
    } else if (event.kind != UpstreamEventKind::Failed)
        return true;
    leader.orderDispatches.erase(it);
    handleOrderAnswer(leader.orders, id, fencing, answer, node.now, node.random);
    handlePlatformAnswer(node, id, answer);
    return true;
}

void handleMoveOrder(Node& node, const MoveOrder& order)
{
    // A retire order names the version to shrink; the level of the other version makes its runners change over.
    if (order.kind == MoveOrderKind::RetireVersion)
        node.leader.levels.erase({ order.model, order.version });
    else
        node.leader.levels[{ order.model, order.version }] = order;
}

static void reconcileLevel(Node& node, const MoveOrder& order)
{
    // Runners of other versions of the model are candidates for the change to the ordered version.
    uint32_t matching = 0;
    std::vector<const Upstream*> others;
    for (const auto& [id, upstream] : node.membership.upstreams.entries) {
        if (upstream.announced.kind != UpstreamKind::Engine || upstream.announced.model != order.model || upstream.leavingSince)
            continue;
        if (upstream.announced.version == order.version)
            ++matching;
        else
            others.push_back(&upstream);
    }
    std::sort(others.begin(), others.end(), [](const auto* a, const auto* b) { return a->id < b->id; });
    for (const auto* upstream : others) {
        // One runner of another version is always kept, so that the move can be rolled back.
        if (matching >= order.count || upstream == others.back())
            return;
        ++matching;
        addOrder(node.leader.orders, { .id = order.id + "/" + upstream->announced.name, .kind = OrderKind::LoadVersion, .target = upstream->announced.name, .checksFencing = upstream->announced.checksFencing, .subject = "version", .model = order.model, .version = order.version, .domain = {}, .machine = {}, .fencing = {} },
            node.now);
    }
}

// Checks the rules rather than the directives: a level is ordered before its directive is committed.
static bool isMoveOpen(const Node& node, const std::string& model)
{
    return std::any_of(node.rules->moves.begin(), node.rules->moves.end(), [&](const MoveRule& rule) {
        const auto it = node.decisionLog.moves.find(rule.name);
        const bool ended = it != node.decisionLog.moves.end() && (isFinal(it->second.stage) || it->second.stage == MoveStage::Undoing);
        return rule.model == model && !ended;
    });
}

void reconcileLevels(Node& node)
{
    // Levels are kept after the first orders because more upstreams may announce themselves later.
    std::erase_if(node.leader.levels, [&](const auto& it) { return !isMoveOpen(node, it.first.first); });
    for (const auto& [key, order] : node.leader.levels)
        reconcileLevel(node, order);
}

void tickLeader(Node& node)
{
    const auto it = node.groups.find(decisionGroup);
    if (it == node.groups.end())
        return;
    tickDecisionLeader(node, it->second);
    if (node.leadsDecisions && node.leader.epoch)
        sendOrders(node);
    for (auto& [id, group] : node.groups) {
        sweepLedger(node, group);
        repairVoters(node, group);
    }
}

namespace {

    // Wire formats of the lease messages.
    struct LeaseRequestItem {
        std::string key;
        uint64_t sequence = 0;
        double demand = 0;
        double share = 0;

        template <class Archive>
        void serialize(Archive& archive) { archive(key, sequence, demand, share); }
    };

    struct LeaseGrantItem {
        std::string key;
        uint64_t sequence = 0;
        double share = 0;
        TimeMs validity;
        uint32_t nodes = 1;

        template <class Archive>
        void serialize(Archive& archive) { archive(key, sequence, share, validity, nodes); }
    };

}

void tickLeases(Node& node)
{
    if (node.now < node.nextLeases)
        return;
    node.nextLeases = node.now + leaseInterval;
    node.limiter.nodes = static_cast<uint32_t>(liveMembers(node.membership).size());
    node.router.options.nodes = node.limiter.nodes;
    const auto requests = leaseRequests(node.limiter, node.self, node.now);
    if (requests.empty())
        return;
    if (node.leadsDecisions) {
        for (const auto& request : requests) {
            if (const auto granted = grant(node.leader.grantor, request, node.now))
                handleLeaseGrant(node.limiter, *granted, node.now);
        }
        return;
    }
    std::vector<LeaseRequestItem> items;
    items.reserve(requests.size());
    for (const auto& request : requests)
        items.push_back({ request.key, request.sequence, request.demand, request.share });
    if (const NodeId leader = decisionLeader(node))
        sendFrame(node, leader, FrameKind::LeaseRequests, {}, encode(items));
}

void receiveLeaseRequests(Node& node, NodeId from, std::string_view body)
{
    const auto items = decodeOr<std::vector<LeaseRequestItem>>(body, maxLeaseBytes);
    if (!node.leadsDecisions)
        return;
    std::vector<LeaseGrantItem> grants;
    for (const auto& item : items) {
        const auto granted = grant(node.leader.grantor, { .node = from, .key = item.key, .sequence = item.sequence, .demand = item.demand, .share = item.share }, node.now);
        if (granted)
            grants.push_back({ granted->key, granted->sequence, granted->share, granted->validity, granted->nodes });
    }
    if (!grants.empty())
        sendFrame(node, from, FrameKind::LeaseGrants, {}, encode(grants));
}

void receiveLeaseGrants(Node& node, std::string_view body)
{
    const auto items = decodeOr<std::vector<LeaseGrantItem>>(body, maxLeaseBytes);
    for (const auto& item : items)
        handleLeaseGrant(node.limiter, { .key = item.key, .sequence = item.sequence, .share = item.share, .validity = item.validity, .nodes = item.nodes }, node.now);
}

}
