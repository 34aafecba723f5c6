#include "node/CatchUp.h"

#include "membership/Messages.h"
#include "node/ColdFlow.h"
#include "node/ForwardFlow.h"
#include "node/ForwardReport.h"
#include "node/LeaderFlow.h"
#include "node/LoadHubs.h"
#include "node/Peers.h"
#include "node/ViewTransfer.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

// A notice passes the decision leader and a hub, so a node has it after two intervals at most, well within a drain time of 2 s.
static constexpr TimeMs catchUpInterval { 400 };
// In a larger failure domain its nodes ask half as often, so that the hub stays within its bandwidth.
static constexpr size_t maxFrequentNodes = 32;
// Without a current answer for this long, the asked node does not know this one, has failed, or is cut off from the leader.
static constexpr TimeMs answerTimeout { 1500 };
static constexpr size_t maxNotices = 500;
static constexpr size_t maxCatchUpBytes = 32 << 10;

bool needsNotices(const Node& node)
{
    return acceptsCallers(node) || node.options.settings.listeners.control.port;
}

static NodeId domainSource(const Node& node)
{
    return acceptsCallers(node) && usesLoadHubs(node) ? domainHub(node) : NodeId {};
}

static void ask(Node& node, NodeId source, bool introduce)
{
    if (!source || source == node.self)
        return;
    const auto& position = node.catchUp.positions[source];
    const CatchUpFrame frame { position.process, position.number, introduce ? encode(ownRecord(node.membership)) : std::string {} };
    sendFrame(node, source, FrameKind::CatchUp, {}, encode(frame));
}

void introduceTo(Node& node, NodeId to)
{
    ask(node, to, true);
}

void tickCatchUp(Node& node)
{
    auto& catchUp = node.catchUp;
    if (node.now < catchUp.nextAsk || !needsNotices(node))
        return;
    const bool isBehind = node.now - catchUp.currentAt > answerTimeout;
    const NodeId hub = domainSource(node);
    catchUp.nextAsk = node.now + catchUpInterval * (hub && hub != node.self && domainNodeCount(node) > maxFrequentNodes ? 2 : 1);
    ask(node, hub, isBehind);
    if (!hub || hub == node.self || isBehind)
        ask(node, decisionLeader(node), isBehind);
}

static void learnSender(Node& node, NodeId from, const std::string& record)
{
    if (record.empty())
        return;
    const auto decoded = decodeOr<MemberRecord>(record, maxCatchUpBytes);
    if (decoded.status.id != from)
        return countDrop(node, DropReason::BadBody);
    learnMembers(node.membership, node.now, { decoded }, node.membershipOutputs);
}

void receiveCatchUp(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeOr<CatchUpFrame>(body, maxCatchUpBytes);
    learnSender(node, from, frame.sender);
    const uint64_t after = frame.process == node.owner.incarnation ? frame.number : 0;
    auto range = noticesAfter(node.forward.leaving, after, maxNotices);
    const TimeMs age = node.leadsDecisions ? TimeMs {} : node.now - node.catchUp.currentAt;
    const CatchUpReplyFrame reply { node.owner.incarnation, range.lastNumber, age, std::move(range.notices), node.view.index };
    // Sent first: with the reply, the receiver counts as informed.
    sendEvacuations(node, from);
    sendFrame(node, from, FrameKind::CatchUpReply, {}, encode(reply));
    // The sender has just started, or asks this process for the first time.
    if (frame.process != node.owner.incarnation)
        sendColdStates(node, from);
}

void receiveCatchUpReply(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeOr<CatchUpReplyFrame>(body, maxCatchUpBytes);
    if (!frame.process)
        return countDrop(node, DropReason::BadBody);
    auto& catchUp = node.catchUp;
    catchUp.currentAt = std::max(catchUp.currentAt, node.now - std::max(frame.age, TimeMs {}));
    catchUp.positions[from] = { frame.process, frame.number };
    wantView(node, from, frame.viewIndex, "catch_up");
    for (const auto& notice : frame.notices) {
        if (isRecordedLeaving(node, notice.upstream, notice.incarnation))
            continue;
        const ForwardTarget* target = findTarget(node.forward.targets, notice.upstream);
        addLog(node, LogLevel::Info, "upstream_leaving", Step::Receive, target ? target->name : std::string {}, "learned on request that the upstream accepts no new work");
        node.counters.add("leaving_learned_on_request");
        recordLeaving(node, notice.upstream, notice.incarnation);
    }
}

}
