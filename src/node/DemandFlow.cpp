#include "node/DemandFlow.h"

#include "node/LeaderFlow.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

static constexpr TimeMs reportInterval { 1000 };
static constexpr double smoothingSeconds = 10;
static constexpr size_t maxRows = 256;
static constexpr size_t maxDemandBytes = 64 << 10;
static constexpr size_t maxNameBytes = 128;
static constexpr double maxRate = 1e9;
// Rows below this rate (about one request in three hours) are removed.
static constexpr double minTrackedRate = 1e-4;

static DemandRow* rowOf(Node& node, const NodeCall& call)
{
    const std::pair key { call.pool, call.className };
    auto& rows = node.demand.rows;
    if (!call.isModel || (!rows.contains(key) && rows.size() >= maxRows))
        return nullptr;
    return &rows[key];
}

void recordArrival(Node& node, const NodeCall& call)
{
    if (auto* row = rowOf(node, call))
        ++row->arrived;
}

void recordCompletion(Node& node, const NodeCall& call)
{
    auto* row = rowOf(node, call);
    if (!row)
        return;
    ++row->finished;
    row->completionTokens += call.usage.completionTokens;
    row->prefillTokens += call.usage.promptTokens - std::min(call.usage.promptTokens, call.usage.cachedTokens);
}

static void smoothMean(double& mean, uint64_t sum, uint64_t n, double weight)
{
    const double value = static_cast<double>(sum) / static_cast<double>(n);
    mean = mean == 0 ? value : mean + (value - mean) * weight;
}

static void smoothRow(DemandRow& row, double seconds)
{
    const double weight = 1 - std::exp(-seconds / smoothingSeconds);
    row.requestsPerSecond += (static_cast<double>(row.arrived) / seconds - row.requestsPerSecond) * weight;
    if (row.finished) {
        smoothMean(row.tokensPerRequest, row.completionTokens, row.finished, weight);
        smoothMean(row.prefillPerRequest, row.prefillTokens, row.finished, weight);
    }
    row.arrived = row.finished = row.completionTokens = row.prefillTokens = 0;
}

static DemandFrame buildReport(DemandMeter& meter, TimeMs now)
{
    const double seconds = (now - meter.lastReport).seconds();
    meter.lastReport = now;
    DemandFrame frame;
    for (auto& [key, row] : meter.rows) {
        smoothRow(row, seconds);
        frame.items.push_back({ key.first, key.second, row.requestsPerSecond, row.requestsPerSecond * row.tokensPerRequest, row.requestsPerSecond * row.prefillPerRequest });
    }
    std::erase_if(meter.rows, [](const auto& entry) { return entry.second.requestsPerSecond < minTrackedRate; });
    return frame;
}

void tickDemand(Node& node)
{
    if (node.demand.lastReport == TimeMs {})
        node.demand.lastReport = node.now;
    if (node.now - node.demand.lastReport < reportInterval)
        return;
    auto frame = buildReport(node.demand, node.now);
    if (node.leadsDecisions) {
        node.leader.capacity.demand[node.self] = { node.now, std::move(frame.items) };
        return;
    }
    if (frame.items.empty() || !node.rules || node.rules->instances.empty())
        return;
    if (const NodeId leader = decisionLeader(node))
        sendFrame(node, leader, FrameKind::Demand, {}, encode(frame));
}

static bool isValid(const DemandItem& item)
{
    const auto inRange = [](double value) { return std::isfinite(value) && value >= 0 && value <= maxRate; };
    return item.model.size() <= maxNameBytes && item.className.size() <= maxNameBytes && inRange(item.requestsPerSecond)
        && inRange(item.tokensPerSecond) && inRange(item.prefillPerSecond);
}

void receiveDemand(Node& node, NodeId from, std::string_view body)
{
    auto frame = decodeOr<DemandFrame>(body, maxDemandBytes);
    if (!node.leadsDecisions || frame.items.size() > maxRows || !std::all_of(frame.items.begin(), frame.items.end(), isValid))
        return;
    node.leader.capacity.demand[from] = { node.now, std::move(frame.items) };
}

}
