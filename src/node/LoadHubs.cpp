#include "node/LoadHubs.h"

#include "node/ForwardFlow.h"
#include "node/ForwardReport.h"
#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/Peers.h"
#include "node/Scaling.h"
#include "node/UpstreamLimits.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace siskinshunt {

// Interval between reports and between sums in a failure domain of up to `nodesPerInterval` nodes. It grows with the number of
// nodes, so that the cost at the hub stays constant.
static constexpr TimeMs hubInterval { 150 };
static constexpr size_t nodesPerInterval = 32;
// The same for updates.
static constexpr TimeMs hubUpdateInterval { 50 };
// Between two updates of an entry node.
static constexpr TimeMs minUpdateInterval { 40 };
// A node that has not reported for this time is left out of the sums.
static constexpr TimeMs reporterTimeout { 2000 };
// Added to the number of a node's reports when it begins to report to another hub. A hub tells by it that it has missed reports which another hub has
// got, and not frames that were lost.
static constexpr uint64_t hubChangeStep = 1000;
// Bound on the placed parts kept between two sums. A part that is left out may be prefilled a second time elsewhere.
static constexpr size_t maxPlacedInSum = 4000;

static TimeMs intervalFor(TimeMs interval, size_t nodes)
{
    return interval * static_cast<int64_t>(1 + nodes / nodesPerInterval);
}

bool usesLoadHubs(const Node& node)
{
    return forwardNodeCount(node) > maxDirectReporters;
}

// The hub of each failure domain: a voter if there is one, since voters do not serve callers. All nodes with the same view of
// the membership choose the same hubs.
static std::map<std::string, NodeId> hubsByDomain(const Node& node)
{
    std::map<std::string, std::pair<bool, uint64_t>> best;
    const auto consider = [&best](const std::string& domain, NodeId id, bool voter) {
        const std::pair rank(!voter, id.value);
        const auto [it, fresh] = best.try_emplace(domain, rank);
        if (!fresh)
            it->second = std::min(it->second, rank);
    };
    if (!node.draining)
        consider(node.options.settings.failureDomain, node.self, static_cast<bool>(node.options.voter));
    for (const auto& [id, member] : node.membership.members) {
        if (isAlive(node.membership, id) && !member.status.draining)
            consider(member.identity.domain, id, static_cast<bool>(member.status.voter));
    }
    std::map<std::string, NodeId> out;
    for (const auto& [domain, rank] : best)
        out[domain] = NodeId { rank.second };
    return out;
}

NodeId domainHub(const Node& node)
{
    const auto hubs = hubsByDomain(node);
    const auto it = hubs.find(node.options.settings.failureDomain);
    return it == hubs.end() ? NodeId {} : it->second;
}

std::vector<NodeId> loadHubs(const Node& node)
{
    std::vector<NodeId> out;
    for (const auto& [domain, hub] : hubsByDomain(node))
        out.push_back(hub);
    return out;
}

size_t domainNodeCount(const Node& node)
{
    return static_cast<size_t>(std::count_if(node.membership.members.begin(), node.membership.members.end(), [&](const auto& it) {
        return it.second.identity.domain == node.options.settings.failureDomain && isAlive(node.membership, it.first);
    }));
}

void reportToHub(Node& node)
{
    auto& forward = node.forward;
    auto& hubs = forward.hubs;
    forward.nextReport = node.now + intervalFor(hubInterval, domainNodeCount(node));
    const NodeId hub = domainHub(node);
    if (hub != hubs.hub) {
        const Member* member = findMember(node.membership, hub);
        addLog(node, LogLevel::Info, "load_hub", Step::Send, member ? member->identity.name : hub == node.self ? node.options.settings.node
                                                                                                               : std::string {},
            "this node now reports its load to this hub");
        hubs.hub = hub;
        hubs.lastReportNumber += hubChangeStep;
    }
    if (hub == node.self || !hub)
        return;
    HubReportFrame frame { .number = ++hubs.lastReportNumber, .load = collectOwnLoad(node) };
    addReport(hubs.sent, { frame.number, loadsOf(frame.load.loads), frame.load.spent, node.now });
    sendFrame(node, hub, FrameKind::HubReport, {}, encode(frame));
    hubs.loadChanged = false;
}

static CompactLoad compactLoad(UpstreamId id, const TargetLoad& load)
{
    CompactLoad out { .upstream = id, .running = static_cast<uint64_t>(std::ceil(load.running)) };
    for (size_t n = 0; n < out.prefillTokens.size(); ++n)
        out.prefillTokens[n] = static_cast<uint64_t>(std::ceil(load.prefillTokens[n]));
    return out;
}

static std::vector<CompactLoad> compactLoads(const std::map<UpstreamId, TargetLoad>& loads)
{
    std::vector<CompactLoad> out;
    out.reserve(loads.size());
    for (const auto& [id, load] : loads)
        out.push_back(compactLoad(id, load));
    return out;
}

static std::map<UpstreamId, TargetLoad> loadsOf(const std::vector<CompactLoad>& loads)
{
    std::map<UpstreamId, TargetLoad> out;
    for (const auto& it : loads) {
        TargetLoad& load = out[it.upstream];
        load.running = static_cast<double>(it.running);
        std::copy(it.prefillTokens.begin(), it.prefillTokens.end(), load.prefillTokens.begin());
    }
    return out;
}

static std::map<UpstreamId, TargetLoad> ownLoads(const Node& node)
{
    std::map<UpstreamId, TargetLoad> out;
    for (const auto& [id, target] : node.forward.targets.entries) {
        if (isOwnLoadReported(target))
            out[id] = target.own;
    }
    return out;
}

void updateHub(Node& node)
{
    auto& hubs = node.forward.hubs;
    if (!hubs.loadChanged || node.now < hubs.nextUpdate || !hubs.hub || hubs.hub == node.self)
        return;
    hubs.loadChanged = false;
    hubs.nextUpdate = node.now + minUpdateInterval;
    const LoadUpdateFrame frame { .number = ++hubs.lastReportNumber, .loads = compactLoads(ownLoads(node)), .included = {} };
    // The hub still has what the last complete report said of the spending.
    SentReport sent = hubs.sent.reports.empty() ? SentReport {} : hubs.sent.reports.back();
    sent.number = frame.number;
    sent.loads = loadsOf(frame.loads);
    addReport(hubs.sent, std::move(sent));
    sendFrame(node, hubs.hub, FrameKind::LoadUpdate, {}, encode(frame));
}

static void appendPlacedParts(std::vector<PlacedPart>& to, const std::vector<PlacedPart>& placed)
{
    to.insert(to.end(), placed.begin(), placed.begin() + static_cast<std::ptrdiff_t>(std::min(placed.size(), maxPlacedInSum - std::min(maxPlacedInSum, to.size()))));
}

// Moving average over about ten reports.
static void recordPrefillRate(LoadHubState& hubs, const ForwardLoadFrame& load)
{
    if (load.tokensPerMs > 0)
        hubs.tokensPerMs += (load.tokensPerMs - hubs.tokensPerMs) * (hubs.tokensPerMs > 0 ? 0.1F : 1.0F);
}

// Whether another hub has summed up the totals that the node has gathered since its last report to this one.
static bool hasReportedElsewhere(const LoadHubState& hubs, NodeId from, uint64_t number)
{
    const auto it = hubs.lastReports.find(from);
    return it != hubs.lastReports.end() && number >= it->second + hubChangeStep;
}

void receiveHubReport(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeLoad<HubReportFrame>(node, body);
    if (!frame)
        return;
    auto& hubs = node.forward.hubs;
    if (hasReportedElsewhere(hubs, from, frame->number)) {
        rebaseTotals(hubs.spent, from, frame->load.spent);
        rebaseTotals(hubs.assignedPrefillTokens, from, frame->load.toRead);
    }
    hubs.reporters[from] = { frame->number, node.now };
    hubs.lastReports[from] = frame->number;
    addTotals(hubs.spent, from, frame->load.spent);
    addTotals(hubs.assignedPrefillTokens, from, frame->load.toRead);
    recordPrefillRate(hubs, frame->load);
    appendPlacedParts(hubs.placedInDomain, frame->load.placed);
    const auto news = handleLoadReport(node, from, frame->load, true);
    hubs.limitsInDomain.insert(news.begin(), news.end());
}

void receiveDomainLoad(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeLoad<ForwardLoadFrame>(node, body);
    if (!frame)
        return;
    auto& hubs = node.forward.hubs;
    hubs.others[from] = { frame->spent, node.now };
    appendPlacedParts(hubs.placedInOtherDomains, frame->placed);
    const auto news = handleLoadReport(node, from, *frame, true);
    hubs.limitsInOtherDomains.insert(news.begin(), news.end());
}

static std::string domainOf(const Node& node, NodeId hub)
{
    const Member* member = findMember(node.membership, hub);
    return member ? member->identity.domain : std::string {};
}

// Hubs of a failure domain follow each other, so its spending counts as that of one peer.
static void applyDomainSpending(Node& node, NodeId hub, const std::map<std::string, double>& totals, const std::map<std::string, double>* own)
{
    auto& forward = node.forward;
    const std::string domain = domainOf(node, hub);
    const auto peer = idOfName<NodeId>("domain " + domain);
    auto& spending = forward.hubs.spending[domain];
    if (addDomainSum(spending, node.now, hub, totals, own) == SumContinuity::Rebased) {
        node.counters.add("spending_hub_changed");
        chargeUnreported(forward.allowances, node.now, peer);
    }
    applyPeerSpending(forward.allowances, node.now, peer, spending.others);
}

void receiveFleetLoad(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeLoad<FleetLoadFrame>(node, body);
    if (!frame || !acceptsCallers(node))
        return;
    auto& forward = node.forward;
    const auto included = frame->included.find(node.self);
    const SentReport* own = included == frame->included.end() ? nullptr : findReport(forward.hubs.sent, included->second);
    applyFleetLoadReport(forward.targets, node.now, from, subtractReport(loadsOf(frame->loads), own));
    recordPlacedParts(node, frame->placed);
    applyReportedLimits(node, frame->limits);
    applyReportedCrashes(node, frame->crashes, false);
    if (own && own->spentAt.value)
        recordReportDelay(forward.allowances, node.now - own->spentAt);
    for (const auto& [hub, totals] : frame->spent) {
        // The sum of this node's own failure domain includes what this node has spent.
        if (hub != from || own)
            applyDomainSpending(node, hub, totals, hub == from ? &own->spent : nullptr);
    }
}

void receiveLoadUpdate(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeLoad<LoadUpdateFrame>(node, body);
    if (!frame)
        return;
    node.forward.hubs.reporters[from] = { frame->number, node.now };
    applyLoadReport(node.forward.targets, node.now, from, loadsOf(frame->loads));
}

void receiveDomainUpdate(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeLoad<LoadUpdateFrame>(node, body);
    if (frame)
        applyLoadReport(node.forward.targets, node.now, from, loadsOf(frame->loads));
}

void receiveFleetUpdate(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeLoad<LoadUpdateFrame>(node, body);
    if (!frame || !acceptsCallers(node))
        return;
    auto& forward = node.forward;
    const auto included = frame->included.find(node.self);
    const SentReport* own = included == frame->included.end() ? nullptr : findReport(forward.hubs.sent, included->second);
    applyFleetLoadReport(forward.targets, node.now, from, subtractReport(loadsOf(frame->loads), own));
}

// Loads of the nodes that report to this hub, and of the hub itself if it accepts callers.
static std::map<UpstreamId, TargetLoad> sumOfDomain(const Node& node)
{
    std::map<UpstreamId, TargetLoad> sum = acceptsCallers(node) ? ownLoads(node) : std::map<UpstreamId, TargetLoad> {};
    for (const auto& [reporter, known] : node.forward.hubs.reporters) {
        const auto it = node.forward.targets.reported.find(reporter);
        if (it == node.forward.targets.reported.end())
            continue;
        for (const auto& [id, load] : it->second)
            sum[id] += load;
    }
    return sum;
}

// Complete report on the nodes that report to this hub, and on the hub itself if it accepts callers.
static ForwardLoadFrame domainLoad(Node& node)
{
    auto& forward = node.forward;
    auto& hubs = forward.hubs;
    CrashReport crashes;
    if (acceptsCallers(node)) {
        ForwardLoadFrame own = collectOwnLoad(node);
        addTotals(hubs.spent, node.self, own.spent);
        addTotals(hubs.assignedPrefillTokens, node.self, own.toRead);
        appendPlacedParts(hubs.placedInDomain, own.placed);
        recordPrefillRate(hubs, own);
        for (const auto& limit : own.limits)
            hubs.limitsInDomain.insert(limit.upstream);
        crashes = std::move(own.crashes);
    } else {
        crashes = takeCrashReport(forward.quarantine, node.now);
    }
    ForwardLoadFrame frame { .loads = {}, .placed = std::exchange(hubs.placedInDomain, {}), .spent = hubs.spent.sum, .toRead = hubs.assignedPrefillTokens.sum, .tokensPerMs = hubs.tokensPerMs, .limits = reportedLimits(node, hubs.limitsInDomain), .crashes = std::move(crashes) };
    for (const auto& [id, load] : sumOfDomain(node))
        frame.loads.push_back(reportedLoad(id, load));
    return frame;
}

static void sendToHubs(Node& node, const ForwardLoadFrame& frame)
{
    std::set<NodeId> to { decisionLeader(node) };
    for (const auto& [domain, hub] : hubsByDomain(node))
        to.insert(hub);
    const std::string body = encode(frame);
    for (const NodeId id : to) {
        if (id && id != node.self)
            sendFrame(node, id, FrameKind::DomainLoad, {}, body);
    }
}

// Loads of all nodes.
static std::map<UpstreamId, TargetLoad> sumOfFleet(const Node& node)
{
    std::map<UpstreamId, TargetLoad> sum;
    for (const auto& [id, target] : node.forward.targets.entries) {
        TargetLoad all = target.own;
        all += target.others;
        if (all.running > 0)
            sum[id] = all;
    }
    return sum;
}

static std::map<NodeId, uint64_t> includedReports(const LoadHubState& hubs)
{
    std::map<NodeId, uint64_t> out;
    for (const auto& [id, known] : hubs.reporters)
        out[id] = known.number;
    return out;
}

static void sendToReporters(Node& node, ForwardLoadFrame&& own)
{
    auto& forward = node.forward;
    auto& hubs = forward.hubs;
    FleetLoadFrame frame { .loads = {}, .placed = std::move(own.placed), .spent = { { node.self, std::move(own.spent) } }, .included = {}, .limits = {}, .crashes = std::move(own.crashes) };
    frame.placed.insert(frame.placed.end(), hubs.placedInOtherDomains.begin(), hubs.placedInOtherDomains.end());
    hubs.placedInOtherDomains.clear();
    for (const auto& [hub, known] : hubs.others)
        frame.spent[hub] = known.spent;
    for (const auto& [id, load] : sumOfFleet(node))
        frame.loads.push_back(reportedLoad(id, load));
    frame.included = includedReports(hubs);
    hubs.limitsInOtherDomains.merge(std::exchange(hubs.limitsInDomain, {}));
    frame.limits = reportedLimits(node, std::exchange(hubs.limitsInOtherDomains, {}));
    const std::string body = encode(frame);
    for (const auto& [id, known] : hubs.reporters)
        sendFrame(node, id, FrameKind::FleetLoad, {}, body);
}

static void sendUpdates(Node& node)
{
    auto& hubs = node.forward.hubs;
    hubs.nextSumUpdate = node.now + intervalFor(hubUpdateInterval, hubs.reporters.size());
    const std::string ofDomain = encode(LoadUpdateFrame { .loads = compactLoads(sumOfDomain(node)), .included = {} });
    for (const auto& [domain, hub] : hubsByDomain(node)) {
        if (hub && hub != node.self)
            sendFrame(node, hub, FrameKind::DomainUpdate, {}, ofDomain);
    }
    const std::string ofFleet = encode(LoadUpdateFrame { .loads = compactLoads(sumOfFleet(node)), .included = includedReports(hubs) });
    for (const auto& [id, known] : hubs.reporters)
        sendFrame(node, id, FrameKind::FleetUpdate, {}, ofFleet);
}

void tickLoadHub(Node& node)
{
    auto& hubs = node.forward.hubs;
    if (hubs.reporters.empty())
        return;
    if (node.now < hubs.nextSum) {
        if (node.now >= hubs.nextSumUpdate)
            sendUpdates(node);
        return;
    }
    hubs.nextSumUpdate = node.now + intervalFor(hubUpdateInterval, hubs.reporters.size());
    hubs.nextSum = node.now + intervalFor(hubInterval, hubs.reporters.size());
    std::erase_if(hubs.reporters, [&](const auto& it) { return node.now - it.second.lastHeardAt > reporterTimeout; });
    std::erase_if(hubs.others, [&](const auto& it) { return node.now - it.second.lastHeardAt > reporterTimeout; });
    ForwardLoadFrame frame = domainLoad(node);
    sendToHubs(node, frame);
    sendToReporters(node, std::move(frame));
}

}
