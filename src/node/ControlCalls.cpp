#include "node/ControlCalls.h"

#include "node/Answers.h"
#include "node/ColdFlow.h"
#include "node/ForwardFlow.h"
#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/Peers.h"
#include "node/RegionFlow.h"
#include "rules/RuleParser.h"
#include "wire/Codec.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

// Operators time out after about a second and then retry on another node.
static constexpr TimeMs proposeTimeout { 2500 };
static constexpr TimeMs leaveTimeout { 800 };
// If fewer entry nodes are in the failure domain of the caller, the response also lists those of other domains.
static constexpr size_t minEntries = 3;
static constexpr size_t maxEntries = 64;

static Group* decisionGroupOf(Node& node)
{
    const auto it = node.groups.find(decisionGroup);
    return it == node.groups.end() ? nullptr : &it->second;
}

// Reads are answered by the leader only, since no other node knows that nothing newer has been acknowledged. Other nodes
// redirect to the leader.
static bool canAnswerReads(Node& node, const RequestArrived& arrived)
{
    Group* group = decisionGroupOf(node);
    if (group && leadsGroup(node, *group))
        return true;
    const NodeId leader = decisionLeader(node);
    const std::string address = leader && leader != node.self && isAlive(node.membership, leader) ? httpAddressOf(node, leader) : std::string {};
    if (address.empty()) {
        answerUnavailable(node, arrived.exchange, "no leader is known that could confirm the answer");
        return false;
    }
    answerJson(node, arrived.exchange, 307, "{}", { { "Location", "http://" + address + arrived.request.target } });
    return false;
}

static void handleCall(Node& node, const RequestArrived& arrived, const BadCall& call)
{
    addLog(node, LogLevel::Warning, "control_refused", Step::Decode, arrived.peer, call.message, { { "status", std::to_string(call.status) }, { "target", arrived.request.target } });
    answerMessage(node, arrived.exchange, call.status, call.message);
}

static void propose(Node& node, ExchangeId exchange, const ControlCommand& command, const std::string& what)
{
    proposeCommand(node, decisionGroup, encodeControlCommand(command), proposeTimeout, [exchange, what](Node& node, bool applied, const std::string& reply) {
        const auto decoded = applied ? decodeControlReply(reply) : std::nullopt;
        if (!decoded)
            return answerUnavailable(node, exchange, what + " is not known to be committed");
        addLog(node, LogLevel::Info, "control_committed", Step::Propose, what, std::string(nameOf(decoded->outcome)), { { "detail", decoded->detail }, { "revision", std::to_string(decoded->revision) } });
        answerControlReply(node, exchange, *decoded);
    });
}

static void handleCall(Node& node, const RequestArrived& arrived, const PutConfigurationCall& call)
{
    const auto parsed = parseRules(call.rules);
    if (!parsed.problems.empty())
        return handleCall(node, arrived, BadCall { 400, toString(parsed.problems.front(), "configuration") });
    propose(node, arrived.exchange, PutConfiguration { .number = call.number, .original = call.original, .rules = call.rules, .operatorName = arrived.peer, .now = node.now }, "configuration " + std::to_string(call.number));
}

static void handleCall(Node& node, const RequestArrived& arrived, const ReadConfigurationCall&)
{
    if (!canAnswerReads(node, arrived))
        return;
    if (!node.decisionLog.configurationNumber)
        return answerUnavailable(node, arrived.exchange, "there is no configuration yet");
    answerJson(node, arrived.exchange, 200, node.decisionLog.configuration);
}

// What a stopped process or machine reads when it goes on may be older than its sender's patience: the same call was then sent to another
// node, and others may have followed.
static bool refuseUnknownAge(Node& node, const RequestArrived& arrived)
{
    if (!isInputAgeUnknown(node))
        return false;
    addLog(node, LogLevel::Warning, "order_age_unknown", Step::Receive, arrived.peer, "refused: this node stood still and does not know when the call arrived",
        { { "target", arrived.request.target }, { "stalled_ms", std::to_string(node.lastStall.value) } });
    answerUnavailable(node, arrived.exchange, "this node stood still and does not know when the call arrived; send it again");
    return true;
}

static void handleCall(Node& node, const RequestArrived& arrived, const OrderVersionCall& call)
{
    if (!refuseUnknownAge(node, arrived))
        orderVersion(node, arrived.exchange, { .backend = call.backend, .target = call.target, .within = call.within, .now = node.now });
}

static void handleCall(Node& node, const RequestArrived& arrived, const ReadVersionCall& call)
{
    if (!canAnswerReads(node, arrived))
        return;
    const auto it = node.decisionLog.versionOrders.find(call.backend);
    if (it == node.decisionLog.versionOrders.end())
        return answerMessage(node, arrived.exchange, 404, "no version of " + call.backend + " has been ordered");
    answerJson(node, arrived.exchange, 200, node.options.dialect->versionBody(it->second));
}

// A member under suspicion is told as well: it may only be slow to answer.
static void broadcastLeaving(Node& node, const LeavingFrame& frame)
{
    LeavingFrame notification = frame;
    notification.request = 0;
    const std::string body = encode(notification);
    size_t told = 0;
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.state > MemberState::Suspect)
            continue;
        sendFrame(node, id, FrameKind::Leaving, {}, body);
        ++told;
    }
    const ForwardTarget* target = findTarget(node.forward.targets, frame.upstream);
    addLog(node, LogLevel::Info, "leaving_broadcast", Step::Send, target ? target->name : std::string {}, "the known members are told that the upstream accepts no new work",
        { { "told", std::to_string(told) }, { "not_alive", std::to_string(node.membership.members.size() - told) } });
}

// Logged once per incarnation. Before `recordLeaving`.
static void logLeaving(Node& node, LogLevel level, UpstreamId upstream, uint64_t incarnation)
{
    if (isRecordedLeaving(node, upstream, incarnation))
        return;
    const ForwardTarget* target = findTarget(node.forward.targets, upstream);
    addLog(node, level, "upstream_leaving", Step::Receive, target ? target->name : std::string {}, "the upstream accepts no new work");
}

// Tells all nodes that the upstream accepts no more work. The request is acknowledged only after the decision leader has
// told them as well, since a partitioned node cannot guarantee that the others are informed.
static void propagateLeaving(Node& node, ExchangeId exchange, UpstreamId upstream, uint64_t incarnation)
{
    logLeaving(node, LogLevel::Info, upstream, incarnation);
    recordLeaving(node, upstream, incarnation);
    LeavingFrame frame { ++node.controlCalls.lastRequest, upstream, incarnation };
    broadcastLeaving(node, frame);
    Group* group = decisionGroupOf(node);
    if (group && leadsGroup(node, *group))
        return answerJson(node, exchange, 200, "{}");
    const NodeId leader = decisionLeader(node);
    if (!leader || leader == node.self)
        return answerUnavailable(node, exchange, "no leader is known that could spread the notice");
    node.controlCalls.leaves[frame.request] = { exchange, node.now + leaveTimeout };
    sendFrame(node, leader, FrameKind::Leaving, {}, encode(frame));
}

void receiveLeaving(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeOr<LeavingFrame>(body, 64);
    if (!frame.upstream)
        return countDrop(node, DropReason::BadBody);
    logLeaving(node, LogLevel::Debug, frame.upstream, frame.incarnation);
    recordLeaving(node, frame.upstream, frame.incarnation);
    if (!frame.request)
        return;
    Group* group = decisionGroupOf(node);
    if (!group || !leadsGroup(node, *group))
        return;
    broadcastLeaving(node, frame);
    sendFrame(node, from, FrameKind::LeavingAcknowledged, {}, encode(frame));
}

void receiveLeavingAcknowledged(Node& node, std::string_view body)
{
    const auto frame = decodeOr<LeavingFrame>(body, 64);
    const auto it = node.controlCalls.leaves.find(frame.request);
    if (it == node.controlCalls.leaves.end())
        return;
    answerJson(node, it->second.exchange, 200, "{}");
    node.controlCalls.leaves.erase(it);
}

void tickControlCalls(Node& node)
{
    auto& leaves = node.controlCalls.leaves;
    for (auto it = leaves.begin(); it != leaves.end();) {
        if (node.now < it->second.until) {
            ++it;
            continue;
        }
        answerUnavailable(node, it->second.exchange, "the leader has not confirmed the notice in time");
        it = leaves.erase(it);
    }
}

static void handleCall(Node& node, const RequestArrived& arrived, const AnnounceCall& call)
{
    Announcement announced = call.announcement;
    const auto id = idOfName<UpstreamId>(announced.name);
    const Upstream* known = findUpstream(node.membership.upstreams, id);
    const bool wasLeaving = isRecordedLeaving(node, id, announced.incarnation) || (known && known->announced.incarnation == announced.incarnation && known->announced.leaving);
    // A delayed announcement does not cancel the leaving state of an upstream.
    const bool announcesLeaving = announced.leaving;
    announced.leaving = announced.leaving || wasLeaving;
    const auto upsert = announce(node.membership, node.now, announced, node.membershipOutputs);
    if (upsert == UpsertResult::Collision || upsert == UpsertResult::Full || upsert == UpsertResult::TooLarge)
        return handleCall(node, arrived, BadCall { 400, "the announcement was refused: " + std::string(nameOf(upsert)) });
    if (const Upstream* upstream = findUpstream(node.membership.upstreams, id)) {
        updateForwardTarget(node, *upstream);
        if (call.coldRemaining)
            recordColdStatement(node, *upstream, announced.incarnation, announced.sequence, *call.coldRemaining);
    }
    // An upstream resends a notice that was not acknowledged; a delayed one still applies to its incarnation.
    if (announcesLeaving)
        return propagateLeaving(node, arrived.exchange, id, announced.incarnation);
    answerJson(node, arrived.exchange, 200, "{}");
}

static void handleCall(Node& node, const RequestArrived& arrived, const LeaveCall& call)
{
    // A late call would mark an upstream as leaving that has started again under its name.
    if (refuseUnknownAge(node, arrived))
        return;
    const auto id = idOfName<UpstreamId>(call.name);
    const Upstream* known = findUpstream(node.membership.upstreams, id);
    // Other nodes may know a later incarnation than this one, or only they know the upstream. Incarnations are start times in the
    // dialect of the platform, so all incarnations up to now are marked as leaving.
    const uint64_t incarnation = std::max(known ? known->announced.incarnation : 0, static_cast<uint64_t>(std::max<int64_t>(0, node.now.value)));
    if (known && !known->announced.leaving) {
        // The record is updated as well, so that nodes that start later receive the state by gossip.
        Announcement leavingRecord = known->announced;
        leavingRecord.leaving = true;
        leavingRecord.sequence = std::max(leavingRecord.sequence, known->localSequence) + 1;
        announce(node.membership, node.now, leavingRecord, node.membershipOutputs);
    }
    addLog(node, LogLevel::Info, "upstream_leaves", Step::Announce, call.name, "the upstream is shutting down", { { "known", known ? "yes" : "no" } });
    propagateLeaving(node, arrived.exchange, id, incarnation);
}

static void answerEvacuationOrder(Node& node, const EvacuationOrder& order, const std::optional<ControlReply>& reply, const std::string& problem)
{
    if (!reply)
        return answerUnavailable(node, order.exchange, problem);
    answerControlReply(node, order.exchange, *reply);
}

static void handleCall(Node& node, const RequestArrived& arrived, const OrderEvacuationCall& call)
{
    if (refuseUnknownAge(node, arrived))
        return;
    orderEvacuation(node, { .exchange = arrived.exchange, .domain = call.domain, .operatorName = arrived.peer, .start = call.start, .arrivedAt = node.now, .done = answerEvacuationOrder });
}

static void handleCall(Node& node, const RequestArrived& arrived, const EntriesCall& call)
{
    std::vector<NodeId> entries;
    for (const auto& [id, member] : node.membership.members) {
        const auto& status = member.status;
        if (isAlive(node.membership, id) && !status.draining && !status.voter && status.rulesRevision)
            entries.push_back(id);
    }
    keepEntriesInRegions(node, call, entries);
    std::vector<std::string> sameDomain;
    std::vector<std::string> otherDomains;
    for (const NodeId id : entries) {
        const auto& identity = node.membership.members.at(id).identity;
        (identity.domain == call.domain ? sameDomain : otherDomains).push_back(identity.httpAddress);
    }
    std::sort(sameDomain.begin(), sameDomain.end());
    std::sort(otherDomains.begin(), otherDomains.end());
    if (sameDomain.size() < minEntries)
        sameDomain.insert(sameDomain.end(), otherDomains.begin(), otherDomains.end());
    if (sameDomain.size() > maxEntries)
        sameDomain.resize(maxEntries);
    if (sameDomain.empty())
        return answerUnavailable(node, arrived.exchange, "no entry node is known");
    answerJson(node, arrived.exchange, 200, node.options.dialect->entriesBody(sameDomain, node.options.settings.timings.entryValid));
}

void handleControlCall(Node& node, const RequestArrived& arrived)
{
    if (!node.options.dialect)
        return answerMessage(node, arrived.exchange, 404, "this node has no dialect for such calls");
    const ControlCall call = node.options.dialect->decode(arrived.request, arrived.peer);
    std::visit([&](const auto& it) { handleCall(node, arrived, it); }, call);
}

}
