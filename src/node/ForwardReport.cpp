#include "node/ForwardFlow.h"
#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/Peers.h"
#include "node/Scaling.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

// Between reports of load to the other entry nodes, up to this many of them; with more the pause grows, so that the cost
// per node stays the same.
static constexpr TimeMs reportInterval { 100 };
static constexpr size_t reportNodes = 8;
static constexpr TimeMs expiryInterval { 500 };
// Reports of a node that has not been heard of for this long no longer count as load.
static constexpr TimeMs reportSilence { 2000 };
static constexpr TimeMs leavingKept { 60000 };
static constexpr size_t maxPlaced = 2000;

size_t forwardNodes(const Node& node)
{
    size_t n = 1;
    for (const auto& [id, member] : node.membership.members) {
        if (!member.status.voter && (isAlive(node.membership, id) || member.status.state == MemberState::Suspect))
            ++n;
    }
    return std::max(n, node.forward.allowances.peers.size() + 1);
}

static bool takesCallers(const Node& node)
{
    return node.options.settings.listeners.forward.port != 0;
}

static ReportedLoad reportOf(const ForwardTarget& target)
{
    ReportedLoad out { .upstream = target.id, .running = static_cast<float>(target.own.running), .unread = {} };
    for (size_t n = 0; n < out.unread.size(); ++n)
        out.unread[n] = static_cast<float>(target.own.unread[n]);
    return out;
}

static TargetLoad loadOf(const ReportedLoad& reported)
{
    TargetLoad out { .running = std::max(0.0, static_cast<double>(reported.running)), .unread = {} };
    for (size_t n = 0; n < reported.unread.size(); ++n)
        out.unread[n] = std::max(0.0, static_cast<double>(reported.unread[n]));
    return out;
}

static void reportLoad(Node& node)
{
    auto& forward = node.forward;
    const size_t nodes = forwardNodes(node);
    const auto scale = static_cast<int64_t>(std::max<size_t>(1, nodes / reportNodes));
    forward.nextReport = node.now + reportInterval * scale;
    ForwardLoadFrame frame { .loads = {}, .placed = std::move(forward.placed), .spent = spendingOf(forward.allowances), .toRead = forward.toRead, .tokensPerMs = static_cast<float>(forward.choice.pace.tokensPerMs) };
    forward.placed.clear();
    if (frame.placed.size() > maxPlaced)
        frame.placed.resize(maxPlaced);
    for (const auto& [id, target] : forward.targets.entries) {
        if (target.own.running > 0)
            frame.loads.push_back(reportOf(target));
    }
    const std::string body = encode(frame);
    const NodeId leader = decisionLeader(node);
    for (const auto& [id, member] : node.membership.members) {
        if ((!member.status.voter || id == leader) && isAlive(node.membership, id))
            sendFrame(node, id, FrameKind::ForwardLoad, {}, body);
    }
}

void receiveForwardLoad(Node& node, NodeId from, std::string_view body)
{
    auto frame = handle([&]() -> Result<ForwardLoadFrame> { return decode<ForwardLoadFrame>(body, maxForwardLoadBytes); },
        [&](const Error& error) {
            addLog(node, LogLevel::Warning, "bad_load_report", Step::Decode, error.peer, error.detail);
            return ForwardLoadFrame {};
        });
    std::map<UpstreamId, TargetLoad> loads;
    for (const auto& load : frame.loads)
        loads[load.upstream] = loadOf(load);
    takeReport(node.forward.targets, node.now, from, loads);
    takeSpending(node.forward.allowances, node.now, from, frame.spent);
    takeBackendDemand(node, from, frame);
    if (!takesCallers(node))
        return;
    for (const auto& placed : frame.placed)
        notePart(node.forward.parts, node.now, placed.part, placed.upstream);
}

static void expireForward(Node& node)
{
    auto& forward = node.forward;
    forward.nextExpiry = node.now + expiryInterval;
    expireReports(forward.targets, node.now, reportSilence);
    expirePeers(forward.allowances, node.now);
    expireParts(forward.parts, node.now);
    expireUsage(forward.usage, node.now);
    std::erase_if(forward.leaving, [&](const auto& it) { return node.now - it.second.second > leavingKept; });
}

void tickForward(Node& node)
{
    if (node.now >= node.forward.nextExpiry)
        expireForward(node);
    if (!takesCallers(node))
        return;
    tickForwardCalls(node);
    if (node.now >= node.forward.nextReport)
        reportLoad(node);
}

}
