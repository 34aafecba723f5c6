#include "node/VersionOrders.h"

#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>
#include <optional>

namespace siskinshunt {

// Share of a backend's requests that goes to the canary while the move is running. A faulty version can fail at any time,
// so the share stays below the 10% that the platform allows until the move ends.
static constexpr double canaryShare = 0.07;
// The move completes after this fraction of its time.
static constexpr double completionFraction = 0.8;
static constexpr TimeMs stepInterval { 300 };
static constexpr TimeMs reportInterval { 300 };
static constexpr TimeMs recordTimeout { 2000 };
// A node stops using a version after this many consecutive failures, or after this many in total above this failure rate.
static constexpr int tripConsecutiveFailures = 3;
static constexpr uint64_t tripFailures = 5;
static constexpr double tripFailureRate = 0.25;
// The leader rolls back a version that fails this much more often than the old one or is slower by this factor.
static constexpr uint64_t minRollbackFailures = 4;
static constexpr double extraFailureRate = 0.08;
static constexpr uint64_t minLatencySamples = 12;
static constexpr double maxLatencyRatio = 2.0;
static constexpr size_t maxEvidenceFrame = 512 << 10;

void followVersionOrders(Node& node)
{
    auto& state = node.versionOrders;
    for (const auto& order : node.view.versionOrders) {
        auto& known = state.orders[order.backend];
        if (known.target != order.target || known.orderedAt != order.orderedAt)
            state.followers[order.backend] = { .target = order.target };
        if (known.state != order.state || known.target != order.target)
            addLog(node, LogLevel::Info, "version_order", Step::Order, order.backend, std::string(nameOf(order.state)), { { "target", order.target }, { "sequence", std::to_string(order.sequence) }, { "reason", order.reason } });
        known = order;
    }
}

static const VersionOrder* orderOf(const Node& node, const std::string& backend)
{
    const auto it = node.versionOrders.orders.find(backend);
    return it == node.versionOrders.orders.end() ? nullptr : &it->second;
}

bool isVersionExcluded(const Node& node, const ForwardTarget& target)
{
    const VersionOrder* order = orderOf(node, target.backend);
    if (!order || order->target != target.version)
        return false;
    const auto it = node.versionOrders.followers.find(target.backend);
    return order->state == VersionOrderState::RolledBack || (order->state == VersionOrderState::Running && it != node.versionOrders.followers.end() && it->second.tripped);
}

// The only upstream of the new version that gets requests before the move ends, so that it is tested under load.
static UpstreamId canaryOf(const Node& node, const VersionOrder& order)
{
    UpstreamId canary;
    const auto ids = node.forward.targets.byBackend.find(order.backend);
    if (ids == node.forward.targets.byBackend.end())
        return canary;
    for (const UpstreamId id : ids->second) {
        const ForwardTarget& target = node.forward.targets.entries.at(id);
        if (target.version == order.target && !target.leaving && !target.evacuated && node.now >= target.backoffUntil && (!canary || id < canary))
            canary = id;
    }
    return canary;
}

std::function<bool(const ForwardTarget&)> versionFilter(Node& node, const ForwardCall& call)
{
    const VersionOrder* order = orderOf(node, call.backend);
    if (!order)
        return nullptr;
    if (order->state == VersionOrderState::Completed)
        return [target = order->target](const ForwardTarget& it) { return it.version == target; };
    const bool excluded = order->state == VersionOrderState::RolledBack || node.versionOrders.followers[call.backend].tripped;
    const UpstreamId canary = !excluded && node.random.chance(canaryShare) ? canaryOf(node, *order) : UpstreamId {};
    if (canary)
        return [canary](const ForwardTarget& it) { return it.id == canary; };
    return [target = order->target](const ForwardTarget& it) { return it.version != target; };
}

void recordVersionResult(Node& node, const ForwardCall& call, bool failed)
{
    const VersionOrder* order = orderOf(node, call.backend);
    const ForwardTarget* target = findTarget(node.forward.targets, call.target);
    if (!order || order->state != VersionOrderState::Running || !target)
        return;
    auto& follower = node.versionOrders.followers[call.backend];
    const bool isTargetVersion = target->version == order->target;
    auto& counts = follower.counts[{ call.rule->name, isTargetVersion }];
    counts.backend = call.backend;
    counts.route = call.rule->name;
    counts.target = isTargetVersion;
    ++counts.answers;
    counts.failures += failed;
    counts.milliseconds += static_cast<double>((node.now - call.sentAt).value);
    if (!isTargetVersion)
        return;
    follower.failuresInRow = failed ? follower.failuresInRow + 1 : 0;
    const bool aboveFailureRate = counts.failures >= tripFailures && static_cast<double>(counts.failures) > tripFailureRate * static_cast<double>(counts.answers);
    if (follower.tripped || (follower.failuresInRow < tripConsecutiveFailures && !aboveFailureRate))
        return;
    follower.tripped = true;
    node.versionOrders.nextReport = node.now;
    addLog(node, LogLevel::Warning, "version_tripped", Step::Route, call.backend, "this node stopped using the new version", { { "target", order->target }, { "route", call.rule->name }, { "failures", std::to_string(counts.failures) }, { "answers", std::to_string(counts.answers) } });
}

static VersionEvidenceFrame localEvidence(const Node& node)
{
    VersionEvidenceFrame frame;
    for (const auto& [backend, follower] : node.versionOrders.followers) {
        const VersionOrder* order = orderOf(node, backend);
        if (!order || order->state != VersionOrderState::Running)
            continue;
        for (const auto& [key, counts] : follower.counts)
            frame.counts.push_back(counts);
        if (follower.tripped)
            frame.tripped.push_back(backend);
    }
    return frame;
}

static void reportEvidence(Node& node)
{
    if (node.now < node.versionOrders.nextReport)
        return;
    node.versionOrders.nextReport = node.now + reportInterval;
    const auto frame = localEvidence(node);
    const NodeId leader = decisionLeader(node);
    if (frame.counts.empty() || !leader || leader == node.self)
        return;
    sendFrame(node, leader, FrameKind::VersionEvidence, {}, encode(frame));
}

void receiveVersionEvidence(Node& node, NodeId from, std::string_view body)
{
    node.versionOrders.evidence[from] = decodeOr<VersionEvidenceFrame>(body, maxEvidenceFrame);
}

namespace {

    struct Sums {
        VersionCounts before;
        VersionCounts after;
    };

}

static void addCounts(VersionCounts& sum, const VersionCounts& counts)
{
    sum.answers += counts.answers;
    sum.failures += counts.failures;
    sum.milliseconds += counts.milliseconds;
}

// Compares the counts of both versions; returns the fault of the new one, if any.
static std::optional<std::string> findFault(const Sums& sums)
{
    const auto rate = [](const VersionCounts& it) { return it.answers ? static_cast<double>(it.failures) / static_cast<double>(it.answers) : 0; };
    const auto mean = [](const VersionCounts& it) { return it.answers ? it.milliseconds / static_cast<double>(it.answers) : 0; };
    if (sums.after.failures >= minRollbackFailures && rate(sums.after) > 2 * rate(sums.before) + extraFailureRate)
        return "fails more often: " + std::to_string(sums.after.failures) + " of " + std::to_string(sums.after.answers);
    if (sums.after.answers >= minLatencySamples && sums.before.answers >= minLatencySamples && mean(sums.after) > maxLatencyRatio * mean(sums.before))
        return "is slower: " + std::to_string(static_cast<int64_t>(mean(sums.after))) + " ms against " + std::to_string(static_cast<int64_t>(mean(sums.before)));
    return std::nullopt;
}

static std::optional<std::string> findBackendFault(const Node& node, const std::string& backend)
{
    std::map<std::string, Sums> routes;
    Sums all;
    const auto addFrame = [&](const VersionEvidenceFrame& frame) {
        for (const auto& counts : frame.counts) {
            if (counts.backend != backend)
                continue;
            addCounts(counts.target ? routes[counts.route].after : routes[counts.route].before, counts);
            addCounts(counts.target ? all.after : all.before, counts);
        }
    };
    for (const auto& [from, frame] : node.versionOrders.evidence) {
        addFrame(frame);
        if (std::find(frame.tripped.begin(), frame.tripped.end(), backend) != frame.tripped.end())
            return "a node stopped using it after failures";
    }
    for (const auto& [route, sums] : routes) {
        if (auto fault = findFault(sums))
            return "on route " + route + ": " + *fault;
    }
    return findFault(all);
}

static void recordState(Node& node, VersionOrder order, VersionOrderState state, std::string reason)
{
    order.state = state;
    order.reason = std::move(reason);
    ++order.sequence;
    node.versionOrders.recording.insert(order.backend);
    addLog(node, LogLevel::Info, "version_order_ends", Step::Order, order.backend, std::string(nameOf(state)), { { "target", order.target }, { "reason", order.reason } });
    proposeCommand(node, decisionGroup, encodeControlCommand(RecordVersionOrder { .epoch = node.leader.epoch, .order = order }), recordTimeout,
        [backend = order.backend](Node& node, bool, const std::string&) { node.versionOrders.recording.erase(backend); });
}

static void stepOrder(Node& node, const VersionOrder& order)
{
    if (order.state != VersionOrderState::Running || node.versionOrders.recording.contains(order.backend))
        return;
    if (const auto fault = findBackendFault(node, order.backend))
        return recordState(node, order, VersionOrderState::RolledBack, *fault);
    const double elapsedFraction = static_cast<double>((node.now - order.orderedAt).value) / static_cast<double>(std::max<int64_t>(1, order.within.value));
    if (elapsedFraction < completionFraction)
        return;
    if (canaryOf(node, order))
        return recordState(node, order, VersionOrderState::Completed, "no fault was found in the time given");
    if (elapsedFraction >= 1)
        recordState(node, order, VersionOrderState::RolledBack, "no upstream of the version takes requests");
}

void tickVersionOrders(Node& node)
{
    reportEvidence(node);
    if (!node.leadsDecisions || !node.leader.epoch) {
        node.versionOrders.evidence.clear();
        return;
    }
    node.versionOrders.evidence[node.self] = localEvidence(node);
    for (const auto& [backend, order] : node.decisionLog.versionOrders) {
        auto& next = node.versionOrders.nextStep[backend];
        if (node.now < next)
            continue;
        next = node.now + stepInterval;
        stepOrder(node, order);
    }
}

}
