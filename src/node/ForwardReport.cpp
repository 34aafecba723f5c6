#include "node/ForwardReport.h"

#include "node/ColdFlow.h"
#include "node/FairShares.h"
#include "node/ForwardFlow.h"
#include "node/ForwardRelay.h"
#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/LoadHubs.h"
#include "node/Peers.h"
#include "node/Scaling.h"
#include "node/UpstreamLimits.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

// Interval between load reports to the other entry nodes.
static constexpr TimeMs reportInterval { 100 };
static constexpr TimeMs expiryInterval { 500 };
// The load that a node reported is dropped after this time without a new report.
static constexpr TimeMs loadReportTimeout { 2000 };
static constexpr TimeMs leavingRetention { 60000 };
static constexpr size_t maxPlacedParts = 2000;

size_t forwardNodeCount(const Node& node)
{
    size_t n = 1;
    for (const auto& [id, member] : node.membership.members) {
        if (!member.status.voter && (isAlive(node.membership, id) || member.status.state == MemberState::Suspect))
            ++n;
    }
    return std::max(n, node.forward.allowances.peers.size() + 1);
}

bool acceptsCallers(const Node& node)
{
    return node.options.settings.listeners.forward.port != 0;
}

std::vector<NodeId> sendingNodes(const Node& node)
{
    std::vector<NodeId> out;
    if (acceptsCallers(node) && !node.draining)
        out.push_back(node.self);
    for (const auto& [id, member] : node.membership.members) {
        if (!member.status.voter && !member.status.draining && member.status.state <= MemberState::Suspect)
            out.push_back(id);
    }
    return out;
}

bool isOwnLoadReported(const ForwardTarget& target)
{
    // Attempts that wait for a connection are no load of the upstream, and other nodes may reach it.
    return target.own.running > 0 && !target.unreached;
}

ReportedLoad reportedLoad(UpstreamId id, const TargetLoad& load)
{
    ReportedLoad out { .upstream = id, .running = static_cast<float>(load.running), .prefillTokens = {} };
    for (size_t n = 0; n < out.prefillTokens.size(); ++n)
        out.prefillTokens[n] = static_cast<float>(load.prefillTokens[n]);
    return out;
}

static TargetLoad loadOf(const ReportedLoad& reported)
{
    TargetLoad out { .running = std::max(0.0, static_cast<double>(reported.running)), .prefillTokens = {} };
    for (size_t n = 0; n < reported.prefillTokens.size(); ++n)
        out.prefillTokens[n] = std::max(0.0, static_cast<double>(reported.prefillTokens[n]));
    return out;
}

std::map<UpstreamId, TargetLoad> loadsOf(const std::vector<ReportedLoad>& reported)
{
    std::map<UpstreamId, TargetLoad> out;
    for (const auto& load : reported)
        out[load.upstream] = loadOf(load);
    return out;
}

void recordPlacedParts(Node& node, const std::vector<PlacedPart>& placed)
{
    for (const auto& part : placed)
        recordPart(node.forward.parts, node.now, part.part, part.upstream);
}

ForwardLoadFrame collectOwnLoad(Node& node)
{
    auto& forward = node.forward;
    ForwardLoadFrame frame { .loads = {}, .placed = std::exchange(forward.placed, {}), .spent = localSpending(forward.allowances), .toRead = forward.assignedPrefillTokens, .tokensPerMs = forward.choice.prefillEstimator.calibrated ? static_cast<float>(forward.choice.prefillEstimator.tokensPerMs) : 0, .limits = reportedLimits(node, std::exchange(forward.limitsToReport, {})), .crashes = takeCrashReport(forward.quarantine, node.now) };
    if (frame.placed.size() > maxPlacedParts)
        frame.placed.resize(maxPlacedParts);
    for (const auto& [id, target] : forward.targets.entries) {
        if (isOwnLoadReported(target))
            frame.loads.push_back(reportedLoad(id, target.own));
    }
    return frame;
}

// Used while there are few entry nodes: each reports directly to all others.
static void reportToAll(Node& node)
{
    node.forward.nextReport = node.now + reportInterval;
    const std::string body = encode(collectOwnLoad(node));
    const NodeId leader = decisionLeader(node);
    for (const auto& [id, member] : node.membership.members) {
        if ((!member.status.voter || id == leader) && isAlive(node.membership, id))
            sendFrame(node, id, FrameKind::ForwardLoad, {}, body);
    }
}

void applyReportedCrashes(Node& node, const CrashReport& report, bool relay)
{
    if (const size_t unknown = applyCrashReport(node.forward.quarantine, node.now, report, relay))
        addLog(node, LogLevel::Warning, "bad_load_report", Step::Decode, {}, "crashes or answers of an unknown kind are ignored", { { "count", std::to_string(unknown) } });
}

std::vector<UpstreamId> handleLoadReport(Node& node, NodeId from, const ForwardLoadFrame& load, bool relay)
{
    applyLoadReport(node.forward.targets, node.now, from, loadsOf(load.loads));
    recordBackendDemand(node, from, load);
    auto news = applyReportedLimits(node, load.limits);
    applyReportedCrashes(node, load.crashes, relay);
    if (!acceptsCallers(node))
        return news;
    applyPeerSpending(node.forward.allowances, node.now, from, load.spent);
    recordPlacedParts(node, load.placed);
    return news;
}

void receiveForwardLoad(Node& node, NodeId from, std::string_view body)
{
    // A malformed report counts as a report of no load.
    handleLoadReport(node, from, decodeLoad<ForwardLoadFrame>(node, body).value_or(ForwardLoadFrame {}), false);
}

static void expireForward(Node& node)
{
    auto& forward = node.forward;
    forward.nextExpiry = node.now + expiryInterval;
    expireLoadReports(forward.targets, node.now, loadReportTimeout);
    expirePeers(forward.allowances, node.now);
    expireParts(forward.parts, node.now);
    expireUsage(forward.usage, node.now);
    expireColdStates(forward.cold.states, node.now);
    expireNotices(forward.leaving, node.now, leavingRetention);
    expireRelayPeers(node);
    expireCrashEvidence(forward.quarantine, node.now);
    std::erase_if(forward.quarantineLogged, [&](uint64_t part) { return !forward.quarantine.suspects.contains(part); });
}

// Keeps the buckets of all accounts, also of those that this node has not met, so that all nodes know the same of each.
static void followAllowances(Node& node)
{
    auto& forward = node.forward;
    if (!forward.routes)
        return;
    for (const auto& rule : forward.routes->rules->allowances)
        followAllowance(forward.allowances, node.now, rule);
}

void tickForward(Node& node)
{
    auto& forward = node.forward;
    if (node.now >= forward.nextExpiry)
        expireForward(node);
    tickUpstreamLimits(node);
    tickColdUpstreams(node);
    tickLoadHub(node);
    tickFairShares(node);
    if (!acceptsCallers(node))
        return;
    if (node.now < forward.nextReport)
        return usesLoadHubs(node) ? updateHub(node) : void();
    forward.allowances.nodes = forwardNodeCount(node);
    forward.choice.jitterMs = costJitterMs(forward.allowances.nodes);
    followAllowances(node);
    if (usesLoadHubs(node))
        reportToHub(node);
    else
        reportToAll(node);
}

void endForwards(Node& node)
{
    auto& forward = node.forward;
    std::vector<ExchangeId> ids;
    for (const auto& [id, call] : forward.calls)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const ExchangeId id : ids) {
        ForwardCall& call = *forward.calls.at(id);
        cancelDispatch(node, call);
        refuseForward(node, call, call.possibleExecutions ? 504 : 503, "leaving", "the drain limit of this node ends the request");
    }
}

}
