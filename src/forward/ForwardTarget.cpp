#include "forward/ForwardTarget.h"

#include <algorithm>

namespace siskinshunt {

// A target that cannot be reached is left alone this long at first, which is about one announcement interval.
static constexpr TimeMs firstAvoidance { 500 };
static constexpr TimeMs longestAvoidance { 4000 };
// A full upstream has places again after about one request.
static constexpr TimeMs refusedAvoidance { 60 };
// Answers that the moving average remembers: enough to tell 40% of failures from the 14% that some services have anyway.
static constexpr double averageMemory = 20;
static constexpr double badFailureShare = 0.3;
static constexpr double leastAnswers = 8;

static TargetLoad reportedOf(const ForwardTargets& table, UpstreamId id)
{
    TargetLoad sum;
    for (const auto& [node, loads] : table.reported) {
        if (const auto it = loads.find(id); it != loads.end())
            sum += it->second;
    }
    return sum;
}

ForwardTarget& upsertTarget(ForwardTargets& table, const ForwardTarget& announced)
{
    auto& entry = table.entries[announced.id];
    if (entry.backend != announced.backend) {
        if (!entry.backend.empty())
            std::erase(table.byBackend[entry.backend], announced.id);
        table.byBackend[announced.backend].push_back(announced.id);
    }
    // Nodes may have reported load of a target before this one has heard of it.
    if (!entry.id)
        entry.others = reportedOf(table, announced.id);
    const bool known = entry.id && entry.incarnation == announced.incarnation;
    ForwardTarget next = announced;
    if (known) {
        next.lastByteAt = entry.lastByteAt;
        next.failuresInRow = entry.failuresInRow;
        next.failureRate = entry.failureRate;
        next.failureRateWeight = entry.failureRateWeight;
        next.backoffUntil = entry.backoffUntil;
        next.backoffDuration = entry.backoffDuration;
    }
    next.own = entry.own;
    next.others = entry.others;
    entry = std::move(next);
    return entry;
}

void removeTarget(ForwardTargets& table, UpstreamId id)
{
    const auto it = table.entries.find(id);
    if (it == table.entries.end())
        return;
    std::erase(table.byBackend[it->second.backend], id);
    table.entries.erase(it);
}

ForwardTarget* findTarget(ForwardTargets& table, UpstreamId id)
{
    const auto it = table.entries.find(id);
    return it == table.entries.end() ? nullptr : &it->second;
}

static void sumReports(ForwardTargets& table)
{
    for (auto& [id, target] : table.entries)
        target.others = reportedOf(table, id);
}

void applyLoadReport(ForwardTargets& table, TimeMs now, NodeId node, const std::map<UpstreamId, TargetLoad>& loads)
{
    auto& known = table.reported[node];
    for (const auto& [id, load] : known) {
        if (ForwardTarget* target = findTarget(table, id))
            target->others -= load;
    }
    for (const auto& [id, load] : loads) {
        if (ForwardTarget* target = findTarget(table, id))
            target->others += load;
    }
    known = loads;
    table.reportedAt[node] = now;
}

void applyFleetLoadReport(ForwardTargets& table, TimeMs now, NodeId from, const std::map<UpstreamId, TargetLoad>& loads)
{
    table.reported = { { from, loads } };
    table.reportedAt = { { from, now } };
    sumReports(table);
}

void expireLoadReports(ForwardTargets& table, TimeMs now, TimeMs silence)
{
    bool changed = false;
    for (auto it = table.reportedAt.begin(); it != table.reportedAt.end();) {
        if (now - it->second <= silence) {
            ++it;
            continue;
        }
        changed = table.reported.erase(it->first) || changed;
        it = table.reportedAt.erase(it);
    }
    if (changed)
        sumReports(table);
}

static void avoid(ForwardTarget& target, TimeMs now)
{
    target.backoffDuration = std::clamp(target.backoffDuration * 2, firstAvoidance, longestAvoidance);
    target.backoffUntil = now + target.backoffDuration;
}

void recordOutcome(ForwardTarget& target, TimeMs now, TargetOutcome outcome)
{
    if (outcome == TargetOutcome::Refused) {
        target.backoffUntil = std::max(target.backoffUntil, now + refusedAvoidance);
        return;
    }
    const bool failed = outcome != TargetOutcome::Answered;
    const double weight = std::min(target.failureRateWeight + 1, averageMemory);
    target.failureRate += ((failed ? 1.0 : 0.0) - target.failureRate) / weight;
    target.failureRateWeight = weight;
    target.failuresInRow = failed ? target.failuresInRow + 1 : 0;
    if (outcome == TargetOutcome::Unreachable)
        return avoid(target, now);
    if (failed && target.failureRateWeight >= leastAnswers && target.failureRate >= badFailureShare)
        return avoid(target, now);
    if (!failed && target.failureRate < badFailureShare)
        target.backoffDuration = {};
}

}
