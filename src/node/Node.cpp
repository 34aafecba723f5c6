#include "node/Node.h"

#include "base/Invariant.h"
#include "node/AdminFlow.h"
#include "node/Bootstrap.h"
#include "node/CallFlow.h"
#include "node/CatchUp.h"
#include "node/ControlCalls.h"
#include "node/ControlFlow.h"
#include "node/Duties.h"
#include "node/ExplainFlow.h"
#include "node/FleetFlow.h"
#include "node/ForwardFlow.h"
#include "node/ForwardReport.h"
#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/MovesFlow.h"
#include "node/NodeState.h"
#include "node/Peers.h"
#include "node/PlatformPoll.h"
#include "node/RequestFlow.h"
#include "node/StoredUpstreams.h"
#include "node/VersionOrders.h"
#include "wire/Envelope.h"

#include <charconv>

namespace siskinshunt {

// Gossip needs this long to spread the record that the node is leaving.
static constexpr TimeMs leaveSpreadTime { 2000 };
// Time before the process ends in which the last answers are written to callers that read slowly.
static constexpr TimeMs answerFlushTime { 200 };

void NodeDeleter::operator()(Node* node) const
{
    delete node;
}

// The address at which callers reach this node.
static Endpoint advertisedAddress(const Settings& settings)
{
    if (settings.listeners.forward.port)
        return settings.listeners.forward;
    return settings.listeners.control.port ? settings.listeners.control : settings.http;
}

static MembershipOptions membershipOptions(const NodeOptions& options, uint64_t cluster, const MacKey& key)
{
    const auto& settings = options.settings;
    MembershipOptions out;
    out.identity = { .name = settings.node, .udpAddress = toString(settings.peer), .tcpAddress = toString(settings.peer), .httpAddress = toString(advertisedAddress(settings)), .domain = settings.failureDomain };
    out.cluster = cluster;
    out.key = key;
    for (const auto& seed : settings.seeds)
        out.seeds.push_back(toString(seed));
    out.startedAtUtc = options.startedAtUtc;
    out.seed = options.seed;
    return out;
}

static RouterOptions routerOptions(const NodeOptions& options)
{
    RouterOptions out;
    out.self = idOfName<NodeId>(options.settings.node);
    out.domain = options.settings.failureDomain;
    out.seed = options.seed + 1;
    return out;
}

Node::Node(NodeOptions given)
    : options(std::move(given))
    , self(idOfName<NodeId>(options.settings.node))
    , owner { self, static_cast<uint64_t>(options.startedAtUtc.value) }
    , cluster(hash64(options.settings.cluster))
    , key { options.settings.peerKey }
    , now(options.startedAtUtc)
    , random(options.seed + 2)
    , frameSequence(firstSequence(options.startedAtUtc))
    , decisions(self)
    , membership(makeMembership(membershipOptions(options, cluster, key), now))
    , router(routerOptions(options))
    , forward(makeForwardState(options))
{
}

void addLog(Node& node, LogLevel level, std::string code, Step step, std::string peer, std::string text, std::vector<std::pair<std::string, std::string>> fields)
{
    node.out.log.push_back({ level, std::move(code), step, std::move(peer), std::move(text), std::move(fields) });
}

std::string formatCallId(CallId id)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string out(16, '0');
    for (size_t n = 0; n < out.size(); ++n)
        out[n] = digits[(id.value >> (60 - 4 * n)) & 15];
    return out;
}

std::optional<CallId> parseCallId(std::string_view text)
{
    CallId id;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id.value, 16);
    if (text.size() != 16 || ec != std::errc {} || end != text.data() + text.size() || !id)
        return std::nullopt;
    return id;
}

Result<NodePtr> makeNode(NodeOptions options, TimeMs now)
{
    NodePtr node(new Node(std::move(options)));
    node->now = now;
    BOOST_LEAF_CHECK(openGroups(*node));
    BOOST_LEAF_CHECK(restoreView(*node));
    // Published before the first datagram: members would otherwise treat this node as one without a data folder.
    publishStatus(*node);
    restoreUpstreams(*node);
    return node;
}

static void handleDiskCompletion(Node& node, const DiskCompletion& completion)
{
    if (handleViewStored(node, completion) || handleUpstreamsStored(node, completion))
        return;
    const auto it = node.groups.find(completion.group);
    if (it != node.groups.end())
        diskCompleted(*it->second.replica, completion.request, completion.ok, completion.error);
}

static void handleUpstreamEvent(Node& node, UpstreamEvent&& event)
{
    if (handleForwardEvent(node, event) || handleDutyEvent(node, event))
        return;
    if (!handleOrderEvent(node, event) && !handlePlatformEvent(node, event))
        handleCallEvent(node, std::move(event));
}

static void processInputs(Node& node, Inputs&& inputs)
{
    if (inputs.drain && !node.draining) {
        node.draining = true;
        node.drainSince = node.now;
        node.out.closeWhenIdle = true;
        publishStatus(node);
    }
    for (const auto& completion : inputs.completions)
        handleDiskCompletion(node, completion);
    for (const GroupId id : inputs.pinning) {
        if (const auto it = node.groups.find(id); it != node.groups.end())
            takeSnapshot(*it->second.replica);
    }
    for (const auto& datagram : inputs.datagrams)
        receiveDatagram(node, datagram.from, datagram.bytes);
    for (const auto& frame : inputs.frames)
        receiveFrame(node, frame);
    for (auto& event : inputs.events)
        handleUpstreamEvent(node, std::move(event));
    for (auto& request : inputs.requests)
        handleRequest(node, std::move(request));
    for (const ExchangeId exchange : inputs.disconnected) {
        dropEvacuationOrder(node, exchange);
        dropVersionOrder(node, exchange);
        if (!handleForwardCallerDisconnect(node, exchange))
            handleCallerDisconnect(node, exchange);
    }
    if (!inputs.seeds.empty())
        node.membership.options.seeds = inputs.seeds;
}

// A node that leaves is first off the address list, then serves until callers have let go of its address and its calls
// have ended, hands its leaderships over, and only then tells the others that it has left.
static void tickDrain(Node& node)
{
    if (!node.draining)
        return;
    const auto& timings = node.options.settings.timings;
    const TimeMs drainingFor = node.now - node.drainSince;
    // An answer tells callers more than the close of their connections would.
    if (drainingFor >= timings.drainLimit - answerFlushTime) {
        endForwards(node);
        endCalls(node);
    }
    const bool idle = drainingFor >= timings.entryValid && node.calls.empty() && node.forward.calls.empty();
    if (!node.left && (idle || drainingFor >= timings.drainLimit)) {
        node.left = true;
        node.leftAt = node.now;
        for (auto& [id, group] : node.groups)
            transferLeadership(*group.replica);
        leave(node.membership, node.now, node.membershipOutputs);
        addLog(node, LogLevel::Info, "node_left", Step::Command, {}, idle ? "all calls have completed" : "the drain limit has expired", { { "forwarded_cut", std::to_string(node.forward.calls.size()) } });
    }
    // Requests can arrive until the process ends, because callers cache the address.
    if (!node.calls.empty() || !node.forward.calls.empty())
        node.lastBusyAt = node.now;
    const bool answered = node.now - node.lastBusyAt >= answerFlushTime;
    if (node.left && (drainingFor >= timings.drainLimit || (answered && node.now - node.leftAt >= leaveSpreadTime)))
        node.out.stop = true;
}

static void tickAll(Node& node)
{
    tickMembership(node);
    flushMembership(node);
    tickGroups(node);
    tickBootstrap(node);
    tickControl(node);
    tickLeader(node);
    tickReclaims(node);
    tickStoredUpstreams(node);
    tickForward(node);
    tickControlCalls(node);
    tickCatchUp(node);
    tickEvacuations(node);
    tickDuties(node);
    tickVersionOrders(node);
    tickEvidence(node);
    tickDemand(node);
    tickLeases(node);
    tickExplain(node);
    tickApplies(node);
    tickDrain(node);
}

// Below the time after which senders give up and turn to another node, so that what was read after a shorter stall is still wanted.
static constexpr TimeMs minStall { 700 };
// Connections that were opened during a stall are accepted and read in later polls than the first, and bytes that the network holds are sent
// again.
static constexpr TimeMs unknownAgeTime { 1000 };

static void noteStall(Node& node, TimeMs stall)
{
    if (stall < minStall)
        return;
    node.resumedAt = node.now;
    node.lastStall = stall;
    addLog(node, LogLevel::Warning, "resumed", Step::Receive, {}, "the process stood still", { { "stalled_ms", std::to_string(stall.value) } });
}

bool isInputAgeUnknown(const Node& node)
{
    return node.resumedAt && node.now - *node.resumedAt < unknownAgeTime;
}

void step(Node& node, TimeMs now, Inputs&& inputs, Outputs& out)
{
    INVARIANT(now >= node.now, "the time of a node is monotonic", "now", now.value, "was", node.now.value);
    const TimeMs pause = now - std::exchange(node.now, now);
    std::swap(node.out, out);
    noteStall(node, pause);
    const bool allInputPassed = inputs.isEmpty();
    processInputs(node, std::move(inputs));
    if (allInputPassed && acceptsCallers(node))
        tickForwardCalls(node);
    if (now >= node.nextTick) {
        node.nextTick = now + node.options.settings.timings.tick;
        tickAll(node);
    }
    // Deadlines are checked only when all received answers have been processed.
    if (allInputPassed) {
        tickCalls(node);
        proposeEvacuationOrders(node);
        proposeVersionOrders(node);
    }
    flushGroups(node);
    tickControl(node);
    flushMembership(node);
    std::swap(node.out, out);
}

}
