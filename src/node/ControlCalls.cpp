#include "node/ControlCalls.h"

#include "node/Answers.h"
#include "node/ForwardFlow.h"
#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/Peers.h"
#include "rules/RuleParser.h"
#include "wire/Codec.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

// Operators wait about a second for an answer and then ask another node.
static constexpr TimeMs proposeTimeout { 2500 };
static constexpr TimeMs leaveTimeout { 800 };
static constexpr TimeMs unavailableRetryAfter { 300 };
// A caller's answer with fewer entry addresses of its own failure domain also names those of others.
static constexpr size_t leastEntries = 3;
static constexpr size_t maxEntries = 64;

static void answerText(Node& node, ExchangeId exchange, uint16_t status, const std::string& message)
{
    answerJson(node, exchange, status, boost::json::serialize(boost::json::object { { "message", message } }));
}

static void unavailable(Node& node, ExchangeId exchange, const std::string& message)
{
    addLog(node, LogLevel::Warning, "control_unavailable", Step::Propose, {}, message);
    answerJson(node, exchange, 503, boost::json::serialize(boost::json::object { { "message", message } }), { { "Retry-After", std::to_string(unavailableRetryAfter.seconds()) } });
}

static Group* decisionGroupOf(Node& node)
{
    const auto it = node.groups.find(decisionGroup);
    return it == node.groups.end() ? nullptr : &it->second;
}

// A read is answered by the leader alone, which knows that nothing newer has been acknowledged.
static bool answersReads(Node& node, const RequestArrived& arrived)
{
    Group* group = decisionGroupOf(node);
    if (group && leadsGroup(node, *group))
        return true;
    const NodeId leader = decisionLeader(node);
    const std::string address = leader && leader != node.self && isAlive(node.membership, leader) ? httpAddressOf(node, leader) : std::string {};
    if (address.empty()) {
        unavailable(node, arrived.exchange, "no leader is known that could confirm the answer");
        return false;
    }
    answerJson(node, arrived.exchange, 307, "{}", { { "Location", "http://" + address + arrived.request.target } });
    return false;
}

static void handleCall(Node& node, const RequestArrived& arrived, const BadCall& call)
{
    addLog(node, LogLevel::Warning, "control_refused", Step::Decode, arrived.peer, call.message, { { "status", std::to_string(call.status) }, { "target", arrived.request.target } });
    answerText(node, arrived.exchange, call.status, call.message);
}

static void propose(Node& node, ExchangeId exchange, const ControlCommand& command, const std::string& what)
{
    proposeCommand(node, decisionGroup, encodeControlCommand(command), proposeTimeout, [exchange, what](Node& node, bool applied, const std::string& reply) {
        const auto decoded = applied ? decodeControlReply(reply) : std::nullopt;
        if (!decoded)
            return unavailable(node, exchange, what + " is not known to be committed");
        addLog(node, LogLevel::Info, "control_committed", Step::Propose, what, std::string(nameOf(decoded->outcome)), { { "detail", decoded->detail }, { "revision", std::to_string(decoded->revision) } });
        if (decoded->outcome == ControlOutcome::Accepted)
            return answerJson(node, exchange, 200, "{}");
        answerText(node, exchange, decoded->outcome == ControlOutcome::Malformed ? 400 : 409, decoded->detail);
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
    if (!answersReads(node, arrived))
        return;
    if (!node.decisionLog.configurationNumber)
        return unavailable(node, arrived.exchange, "there is no configuration yet");
    answerJson(node, arrived.exchange, 200, node.decisionLog.configuration);
}

static void handleCall(Node& node, const RequestArrived& arrived, const OrderVersionCall& call)
{
    propose(node, arrived.exchange, OrderVersion { .backend = call.backend, .target = call.target, .within = call.within, .now = node.now }, "version " + call.target + " of " + call.backend);
}

static void handleCall(Node& node, const RequestArrived& arrived, const ReadVersionCall& call)
{
    if (!answersReads(node, arrived))
        return;
    const auto it = node.decisionLog.versionOrders.find(call.backend);
    if (it == node.decisionLog.versionOrders.end())
        return answerText(node, arrived.exchange, 404, "no version of " + call.backend + " has been ordered");
    answerJson(node, arrived.exchange, 200, node.options.dialect->versionBody(it->second));
}

static void tellLeaving(Node& node, const LeavingFrame& frame)
{
    LeavingFrame silent = frame;
    silent.request = 0;
    const std::string body = encode(silent);
    for (const NodeId id : liveMembers(node.membership)) {
        if (id != node.self)
            sendFrame(node, id, FrameKind::Leaving, {}, body);
    }
}

// Tells every node that the upstream takes no more work, and acknowledges it once the decision leader has told them,
// too: a node that is cut off from the leader cannot promise that the others know.
static void spreadLeaving(Node& node, ExchangeId exchange, UpstreamId upstream, uint64_t incarnation)
{
    recordLeaving(node, upstream, incarnation);
    LeavingFrame frame { ++node.controlCalls.lastRequest, upstream, incarnation };
    tellLeaving(node, frame);
    Group* group = decisionGroupOf(node);
    if (group && leadsGroup(node, *group))
        return answerJson(node, exchange, 200, "{}");
    const NodeId leader = decisionLeader(node);
    if (!leader || leader == node.self)
        return unavailable(node, exchange, "no leader is known that could spread the notice");
    node.controlCalls.leaves[frame.request] = { exchange, node.now + leaveTimeout };
    sendFrame(node, leader, FrameKind::Leaving, {}, encode(frame));
}

void receiveLeaving(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeOr<LeavingFrame>(body, 64);
    if (!frame.upstream)
        return countDrop(node, DropReason::BadBody);
    if (!isRecordedLeaving(node, frame.upstream, frame.incarnation)) {
        const ForwardTarget* target = findTarget(node.forward.targets, frame.upstream);
        addLog(node, LogLevel::Info, "upstream_leaving", Step::Receive, target ? target->name : std::string {}, "takes no new work");
    }
    recordLeaving(node, frame.upstream, frame.incarnation);
    if (!frame.request)
        return;
    Group* group = decisionGroupOf(node);
    if (!group || !leadsGroup(node, *group))
        return;
    tellLeaving(node, frame);
    sendFrame(node, from, FrameKind::LeavingNoted, {}, encode(frame));
}

void receiveLeavingNoted(Node& node, std::string_view body)
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
        unavailable(node, it->second.exchange, "the leader has not confirmed the notice in time");
        it = leaves.erase(it);
    }
}

static void handleCall(Node& node, const RequestArrived& arrived, const AnnounceCall& call)
{
    Announcement announced = call.announcement;
    const auto id = idOfName<UpstreamId>(announced.name);
    const Upstream* known = findUpstream(node.membership.upstreams, id);
    const bool wasLeaving = isRecordedLeaving(node, id, announced.incarnation) || (known && known->announced.incarnation == announced.incarnation && known->announced.leaving);
    const bool late = known && (announced.incarnation < known->announced.incarnation || (announced.incarnation == known->announced.incarnation && announced.sequence <= known->localSequence));
    // A late announcement of an upstream that leaves does not bring it back.
    const bool leaves = announced.leaving;
    announced.leaving = announced.leaving || wasLeaving;
    const auto upsert = announce(node.membership, node.now, announced, node.membershipOutputs);
    if (upsert == UpsertResult::Collision || upsert == UpsertResult::Full || upsert == UpsertResult::TooLarge)
        return handleCall(node, arrived, BadCall { 400, "the announcement was refused: " + std::string(nameOf(upsert)) });
    if (const Upstream* upstream = findUpstream(node.membership.upstreams, id))
        updateForwardTarget(node, *upstream);
    if (leaves && !late)
        return spreadLeaving(node, arrived.exchange, id, announced.incarnation);
    answerJson(node, arrived.exchange, 200, "{}");
}

static void handleCall(Node& node, const RequestArrived& arrived, const LeaveCall& call)
{
    const auto id = idOfName<UpstreamId>(call.name);
    const Upstream* known = findUpstream(node.membership.upstreams, id);
    // An upstream that this node has not heard of may be known to others: every incarnation up to now is meant.
    const uint64_t incarnation = known ? known->announced.incarnation : static_cast<uint64_t>(std::max<int64_t>(0, node.now.value));
    if (known && !known->announced.leaving) {
        // As a record, too: a node that starts later learns of it by gossip.
        Announcement gone = known->announced;
        gone.leaving = true;
        gone.sequence = std::max(gone.sequence, known->localSequence) + 1;
        announce(node.membership, node.now, gone, node.membershipOutputs);
    }
    addLog(node, LogLevel::Info, "upstream_leaves", Step::Announce, call.name, "the upstream ends", { { "known", known ? "yes" : "no" } });
    spreadLeaving(node, arrived.exchange, id, incarnation);
}

static void handleCall(Node& node, const RequestArrived& arrived, const EntriesCall& call)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& [id, member] : node.membership.members) {
        const auto& status = member.status;
        if (!isAlive(node.membership, id) || status.draining || status.voter || !status.rulesRevision)
            continue;
        (member.identity.domain == call.domain ? near : far).push_back(member.identity.httpAddress);
    }
    std::sort(near.begin(), near.end());
    std::sort(far.begin(), far.end());
    if (near.size() < leastEntries)
        near.insert(near.end(), far.begin(), far.end());
    if (near.size() > maxEntries)
        near.resize(maxEntries);
    if (near.empty())
        return unavailable(node, arrived.exchange, "no entry node is known");
    answerJson(node, arrived.exchange, 200, node.options.dialect->entriesBody(near, node.options.settings.timings.entryValid));
}

void takeControlCall(Node& node, const RequestArrived& arrived)
{
    if (!node.options.dialect)
        return answerText(node, arrived.exchange, 404, "this node has no dialect for such calls");
    const ControlCall call = node.options.dialect->decode(arrived.request, arrived.peer);
    std::visit([&](const auto& it) { handleCall(node, arrived, it); }, call);
}

}
