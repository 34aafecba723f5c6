#include "node/Duties.h"

#include "node/ForwardReport.h"
#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/Peers.h"
#include "node/Scaling.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

// Entry nodes resend the counts of their latest windows at this interval, so that a new leader receives them soon.
static constexpr TimeMs usageInterval { 500 };
// Number of past windows that an entry node resends; must cover more than the usageDue time of the settings.
static constexpr int64_t repeatedWindows = 4;
// Minimum time between the end of a window and its commit; all requests that started in the window are counted by then.
static constexpr TimeMs settleDelay { 700 };
// If the counts of a node are missing, a window is committed after usageDue divided by this value.
static constexpr int64_t dueDivisor = 2;
static constexpr TimeMs callTimeout { 1500 };
static constexpr TimeMs callRetryDelay { 400 };
static constexpr TimeMs commitTimeout { 2000 };
static constexpr size_t maxUsageBytes = 1 << 20;

static void sendUsage(Node& node)
{
    if (node.now < node.duties.nextUsageReport || !acceptsCallers(node))
        return;
    node.duties.nextUsageReport = node.now + usageInterval;
    const NodeId leader = decisionLeader(node);
    if (!leader || leader == node.self)
        return;
    const auto& meter = node.forward.usage;
    UsageFrame frame { .current = usageWindowAt(meter, node.now), .windows = {} };
    for (auto it = meter.windows.lower_bound(frame.current - repeatedWindows); it != meter.windows.end(); ++it)
        frame.windows.insert(*it);
    sendFrame(node, leader, FrameKind::Usage, {}, encode(frame));
}

void receiveUsage(Node& node, NodeId from, std::string_view body)
{
    auto frame = decodeOr<UsageFrame>(body, maxUsageBytes);
    if (!frame.current)
        return countDrop(node, DropReason::BadBody);
    node.duties.reportedTo[from] = frame.current;
    for (auto& [window, counts] : frame.windows)
        node.duties.reports[window][from] = std::move(counts);
}

static void acquireDuties(Node& node)
{
    DutyState next;
    next.epoch = node.leader.epoch;
    next.readyAt = node.now + node.options.settings.duties.lease;
    next.nextUsageReport = node.duties.nextUsageReport;
    next.reports = std::move(node.duties.reports);
    next.reportedTo = std::move(node.duties.reportedTo);
    next.demand = std::move(node.duties.demand);
    node.duties = std::move(next);
    addLog(node, LogLevel::Info, "duties_taken", Step::Order, {}, "this node now holds the duties", { { "epoch", std::to_string(node.leader.epoch) }, { "ready_in_ms", std::to_string(node.options.settings.duties.lease.value) } });
}

static void releaseDuties(Node& node)
{
    for (const DispatchId dispatch : { node.duties.usageDispatch, node.duties.scaleDispatch }) {
        if (dispatch)
            node.out.cancels.push_back(dispatch);
    }
    node.duties.usageDispatch = node.duties.scaleDispatch = 0;
    node.duties.epoch = 0;
    addLog(node, LogLevel::Info, "duties_left", Step::Order, {}, "this node is no longer the decision leader");
}

static bool haveAllReported(const Node& node, int64_t window)
{
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.voter || !isAlive(node.membership, id))
            continue;
        const auto it = node.duties.reportedTo.find(id);
        if (it == node.duties.reportedTo.end() || it->second <= window)
            return false;
    }
    return true;
}

static void commitWindow(Node& node, int64_t window)
{
    CommitUsage command { .window = window, .counts = {} };
    for (const auto& [from, counts] : node.duties.reports[window]) {
        for (const auto& [account, n] : counts)
            command.counts[account] += n;
    }
    if (command.counts.empty())
        return;
    node.duties.committing.insert(window);
    proposeCommand(node, decisionGroup, encodeControlCommand(command), commitTimeout, [window](Node& node, bool, const std::string&) { node.duties.committing.erase(window); });
}

// Returns the oldest window for which a usage report can still be due.
static int64_t oldestWindow(const Node& node)
{
    const auto& settings = node.options.settings.duties;
    return (node.now - settings.usageDue - settings.usageWindow).value / settings.usageWindow.value;
}

static void commitUsage(Node& node)
{
    const auto& settings = node.options.settings.duties;
    auto& duties = node.duties;
    duties.reports.erase(duties.reports.begin(), duties.reports.lower_bound(oldestWindow(node)));
    for (const auto& [window, reports] : duties.reports) {
        const TimeMs age = node.now - settings.usageWindow * (window + 1);
        if (age < settleDelay || node.decisionLog.usage.contains(window) || duties.committing.contains(window))
            continue;
        if (haveAllReported(node, window) || age > settings.usageDue / dueDivisor)
            return commitWindow(node, window);
    }
}

static DutyHolder dutyHolder(const Node& node)
{
    return { node.options.settings.node, node.duties.epoch };
}

static DispatchId dispatchDuty(Node& node, HttpRequest request)
{
    UpstreamDispatch dispatch;
    dispatch.dispatch = ++node.lastDispatch;
    dispatch.address = node.options.settings.duties.address;
    dispatch.request = std::move(request);
    dispatch.firstByteTimeout = dispatch.progressTimeout = callTimeout;
    const DispatchId id = dispatch.dispatch;
    node.out.dispatches.push_back(std::move(dispatch));
    return id;
}

static void sendUsageCall(Node& node)
{
    auto& duties = node.duties;
    if (duties.usageDispatch || node.now < duties.nextUsage)
        return;
    for (auto it = node.decisionLog.usage.lower_bound(oldestWindow(node)); it != node.decisionLog.usage.end(); ++it) {
        if (duties.sent.contains(it->first))
            continue;
        duties.usageWindow = it->first;
        duties.usageDispatch = dispatchDuty(node, node.options.dialect->usageRequest(dutyHolder(node), { it->first, it->second }));
        return;
    }
}

static void sendScaleCall(Node& node)
{
    auto& duties = node.duties;
    if (duties.scaleDispatch || node.now < duties.nextScale)
        return;
    if (const auto order = dueScaleOrder(node)) {
        duties.scaleOrder = *order;
        duties.scaleDispatch = dispatchDuty(node, node.options.dialect->scaleRequest(dutyHolder(node), *order));
        addLog(node, LogLevel::Info, "instances_ordered", Step::Order, order->backend, order->domain, { { "wanted", std::to_string(order->wanted) }, { "reclaimable", order->reclaimable ? "yes" : "no" } });
    }
}

void tickDuties(Node& node)
{
    const auto& settings = node.options.settings.duties;
    if (!node.options.dialect)
        return;
    sendUsage(node);
    if (settings.address.empty())
        return;
    const bool leads = node.leadsDecisions && node.leader.epoch;
    if (!leads) {
        if (node.duties.epoch)
            releaseDuties(node);
        return;
    }
    if (node.duties.epoch != node.leader.epoch)
        acquireDuties(node);
    if (settings.usage)
        commitUsage(node);
    if (node.now < node.duties.readyAt)
        return;
    if (settings.usage)
        sendUsageCall(node);
    if (settings.scaling)
        sendScaleCall(node);
}

static void handleUsageResponse(Node& node, uint16_t status)
{
    auto& duties = node.duties;
    const bool accepted = status >= 200 && status < 300;
    if (accepted)
        duties.sent.insert(duties.usageWindow);
    duties.nextUsage = accepted ? node.now : node.now + callRetryDelay;
    addLog(node, accepted ? LogLevel::Info : LogLevel::Warning, "usage_reported", Step::Order, node.options.settings.duties.address, accepted ? "accepted" : "not accepted", { { "window", std::to_string(duties.usageWindow) }, { "status", std::to_string(status) } });
}

bool handleDutyEvent(Node& node, const UpstreamEvent& event)
{
    auto& duties = node.duties;
    const bool usage = event.dispatch && event.dispatch == duties.usageDispatch;
    const bool scale = event.dispatch && event.dispatch == duties.scaleDispatch;
    if (!usage && !scale)
        return false;
    if (event.kind == UpstreamEventKind::Head) {
        if (usage)
            handleUsageResponse(node, event.status);
        else
            handleScaleResponse(node, event.status);
    }
    if (event.kind == UpstreamEventKind::Failed) {
        addLog(node, LogLevel::Warning, "duty_call_failed", Step::Order, node.options.settings.duties.address, std::string(nameOf(event.failure)) + ": " + event.detail);
        (usage ? duties.nextUsage : duties.nextScale) = node.now + callRetryDelay;
    }
    if (event.kind == UpstreamEventKind::End || event.kind == UpstreamEventKind::Failed)
        (usage ? duties.usageDispatch : duties.scaleDispatch) = 0;
    return true;
}

}
