#include "node/UpstreamLimits.h"

#include "node/ForwardReport.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

static constexpr TimeMs shareInterval { 200 };
// A limit that does not change is reported again after this time, for nodes that have started since.
static constexpr TimeMs repeatInterval { 1000 };

// An upstream that is brittle and fails is back after some seconds, and inherits what the others have said before.
static constexpr TimeMs brittleRetention { 20000 };

static void changeLimit(Node& node, ForwardTarget& target, const std::optional<double>& perSecond, TimeMs namedAt, LogLevel level, const std::string& source)
{
    auto& limit = target.limit;
    const bool changed = perSecond != limit.perSecond;
    limit.perSecond = perSecond;
    limit.namedAt = namedAt;
    if (!changed)
        return;
    setShare(limit, node.now, target.id, node.self, sendingNodes(node));
    addLog(node, level, "upstream_limit", Step::Receive, target.name, perSecond ? "the upstream names a limit of its requests per second" : "the upstream names no limit any more",
        { { "per_second", perSecond ? std::to_string(*perSecond) : std::string("-") }, { "share", std::to_string(limit.share) }, { "source", source } });
}

void recordAnsweredLimit(Node& node, const ForwardCall& call, const HttpHeaders& headers)
{
    ForwardTarget* target = findTarget(node.forward.targets, call.target);
    if (!target || target->incarnation != call.targetIncarnation)
        return;
    const auto text = findHeader(headers, node.forward.headers.rateLimit);
    const auto perSecond = parseDecimal(text);
    if (!perSecond && !text.empty()) {
        addLog(node, LogLevel::Warning, "upstream_limit", Step::Decode, call.targetName, "the limit is not a decimal number; it is ignored", { { "request", call.requestId } });
        return;
    }
    auto& limit = target->limit;
    // Answers on several connections overtake each other, so one without a limit counts only if its request was sent later.
    if (!perSecond && (!limit.perSecond || call.sentAt <= limit.namedAt))
        return;
    if (perSecond != limit.perSecond || node.now - limit.reportedAt >= repeatInterval) {
        limit.reportedAt = node.now;
        node.forward.limitsToReport.insert(target->id);
    }
    changeLimit(node, *target, perSecond, node.now, LogLevel::Info, "request " + call.requestId);
}

static void updatePlaces(Node& node, ForwardTarget& target, const std::vector<NodeId>& nodes)
{
    setPlaces(target.brittle, target.id, target.slots, node.self, nodes);
}

static void changeBrittle(Node& node, ForwardTarget& target, const std::optional<double>& refusalsPerSecond, const ForwardCall& call)
{
    auto& brittle = target.brittle;
    const bool changed = refusalsPerSecond != brittle.refusalsPerSecond;
    brittle.refusalsPerSecond = refusalsPerSecond;
    brittle.namedAt = node.now;
    if (!changed)
        return;
    updatePlaces(node, target, sendingNodes(node));
    addLog(node, target.id == call.target ? LogLevel::Info : LogLevel::Debug, "upstream_brittle", Step::Receive, target.name, refusalsPerSecond ? "the upstream fails if it has to refuse many requests" : "the upstream bears refusals again",
        { { "refusals_per_second", refusalsPerSecond ? std::to_string(*refusalsPerSecond) : std::string("-") }, { "places", std::to_string(brittle.places) }, { "nodes", std::to_string(brittle.nodes) }, { "request", call.requestId } });
}

// What one upstream says holds for all of its backend.
static void recordBrittleBackend(Node& node, const ForwardCall& call, double refusals)
{
    auto& targets = node.forward.targets;
    node.forward.brittle[call.backend] = { .refusalsPerSecond = refusals, .namedAt = node.now };
    for (const UpstreamId id : targets.byBackend[call.backend]) {
        ForwardTarget& target = targets.entries.at(id);
        if (target.id == call.target || !target.brittle.refusalsPerSecond)
            changeBrittle(node, target, refusals, call);
    }
}

void recordAnsweredBrittle(Node& node, const ForwardCall& call, const HttpHeaders& headers)
{
    ForwardTarget* answering = findTarget(node.forward.targets, call.target);
    // A node without a place hears of it only by way of others.
    if (!call.relay && (!answering || answering->incarnation != call.targetIncarnation))
        return;
    const auto text = findHeader(headers, node.forward.headers.brittle);
    const auto refusals = parseDecimal(text);
    if (refusals)
        return recordBrittleBackend(node, call, *refusals);
    if (!text.empty()) {
        addLog(node, LogLevel::Warning, "upstream_brittle", Step::Decode, call.targetName, "the number of refusals is not a decimal number; it is ignored", { { "request", call.requestId } });
        return;
    }
    // As for limits, answers overtake each other.
    if (!answering || !answering->brittle.refusalsPerSecond || call.sentAt <= answering->brittle.namedAt)
        return;
    changeBrittle(node, *answering, std::nullopt, call);
    node.forward.brittle.erase(answering->backend);
}

bool lacksPlaces(const Node& node, const std::string& backend)
{
    if (!node.forward.brittle.contains(backend))
        return false;
    const auto& targets = node.forward.targets;
    const auto ids = targets.byBackend.find(backend);
    return ids != targets.byBackend.end() && !ids->second.empty() && std::all_of(ids->second.begin(), ids->second.end(), [&](UpstreamId id) {
        const auto& brittle = targets.entries.at(id).brittle;
        return brittle.refusalsPerSecond && !brittle.places;
    });
}

void inheritBrittle(Node& node, ForwardTarget& target)
{
    const auto it = node.forward.brittle.find(target.backend);
    if (it == node.forward.brittle.end())
        return;
    target.brittle = it->second;
    updatePlaces(node, target, sendingNodes(node));
}

void recordNoRoom(Node& node, ForwardTarget& target)
{
    if (const TimeMs pause = pauseAfterRefusal(target.brittle); pause > TimeMs {})
        target.pausedUntil = std::max(target.pausedUntil, node.now + pause);
}

std::vector<UpstreamId> applyReportedLimits(Node& node, const std::vector<ReportedLimit>& reported)
{
    std::vector<UpstreamId> news;
    for (const auto& it : reported) {
        ForwardTarget* target = findTarget(node.forward.targets, it.upstream);
        const TimeMs namedAt = node.now - std::max(it.age, TimeMs {});
        const bool valid = !it.perSecond || (std::isfinite(*it.perSecond) && *it.perSecond >= 0);
        if (!target || !valid || target->incarnation != it.incarnation || namedAt <= target->limit.namedAt)
            continue;
        changeLimit(node, *target, it.perSecond, namedAt, LogLevel::Debug, "report");
        news.push_back(it.upstream);
    }
    return news;
}

std::vector<ReportedLimit> reportedLimits(const Node& node, const std::set<UpstreamId>& upstreams)
{
    std::vector<ReportedLimit> out;
    for (const UpstreamId id : upstreams) {
        const auto it = node.forward.targets.entries.find(id);
        if (it != node.forward.targets.entries.end())
            out.push_back({ id, it->second.incarnation, it->second.limit.perSecond, node.now - it->second.limit.namedAt });
    }
    return out;
}

void tickUpstreamLimits(Node& node)
{
    if (node.now < node.forward.nextShares)
        return;
    node.forward.nextShares = node.now + shareInterval;
    std::erase_if(node.forward.brittle, [&](const auto& it) { return node.now - it.second.namedAt > brittleRetention; });
    std::optional<std::vector<NodeId>> nodes;
    for (auto& [id, target] : node.forward.targets.entries) {
        // A node without a place gets no answers of the upstream itself that could end it.
        if (target.brittle.refusalsPerSecond && !node.forward.brittle.contains(target.backend))
            target.brittle = {};
        if (!target.limit.perSecond && !target.brittle.refusalsPerSecond)
            continue;
        if (!nodes)
            nodes = sendingNodes(node);
        if (target.limit.perSecond)
            setShare(target.limit, node.now, id, node.self, *nodes);
        if (target.brittle.refusalsPerSecond)
            updatePlaces(node, target, *nodes);
    }
}

}
