#include "forward/ForwardTarget.h"

#include <algorithm>

namespace siskinshunt {

// First backoff for an unreachable target: about one announcement interval.
static constexpr TimeMs initialBackoff { 500 };
static constexpr TimeMs maxBackoff { 4000 };
// A full upstream has a free slot again after about the time of one request.
static constexpr TimeMs refusedBackoff { 60 };
// Responses in the moving average: enough to distinguish 40% of failures from the 14% that some services normally have.
static constexpr double maxFailureRateWeight = 20;
static constexpr double backoffFailureRate = 0.3;
static constexpr double minWeightForBackoff = 8;
// Silence after which an upstream gets no new work.
static constexpr TimeMs maxHolderSilence { 3000 };

static TargetLoad totalReportedLoad(const ForwardTargets& table, UpstreamId id)
{
    TargetLoad sum;
    for (const auto& [node, loads] : table.reported) {
        if (const auto it = loads.find(id); it != loads.end())
            sum += it->second;
    }
    return sum;
}

// Of upstreams that announce the same address, the one that started last listens there, unless it is silent while the other is
// seen. Incarnations that are equal do not tell which one that is.
static bool isAddressTaken(const ForwardTargets& table, const ForwardTarget& target)
{
    return std::any_of(table.entries.begin(), table.entries.end(), [&](const auto& it) {
        const ForwardTarget& other = it.second;
        return other.incarnation > target.incarnation && other.address == target.address && !isMisdirected(other) && target.lastSeen - other.lastSeen <= maxHolderSilence;
    });
}

static void updateAddressOwner(ForwardTargets& table, const std::string& address)
{
    for (auto& [id, target] : table.entries) {
        if (target.address == address)
            target.addressTaken = isAddressTaken(table, target);
    }
}

bool isMisdirected(const ForwardTarget& target)
{
    return target.misdirectedSequence && target.sequence <= *target.misdirectedSequence;
}

ForwardTarget& upsertTarget(ForwardTargets& table, const ForwardTarget& announced)
{
    auto& entry = table.entries[announced.id];
    if (entry.backend != announced.backend) {
        if (!entry.backend.empty())
            std::erase(table.byBackend[entry.backend], announced.id);
        table.byBackend[announced.backend].push_back(announced.id);
    }
    // Other nodes may have reported load before the target became known to this node.
    if (!entry.id)
        entry.others = totalReportedLoad(table, announced.id);
    const bool known = entry.id && entry.incarnation == announced.incarnation;
    const std::string formerAddress = entry.address;
    const bool changed = !known || formerAddress != announced.address;
    ForwardTarget next = announced;
    if (known) {
        next.misdirectedSequence = entry.misdirectedSequence;
        next.addressTaken = entry.addressTaken;
        next.lastByteAt = entry.lastByteAt;
        next.failuresInRow = entry.failuresInRow;
        next.failureRate = entry.failureRate;
        next.failureRateWeight = entry.failureRateWeight;
        next.backoffUntil = entry.backoffUntil;
        next.backoffDuration = entry.backoffDuration;
        next.unreached = entry.unreached;
        next.probeUntil = entry.probeUntil;
        next.limit = entry.limit;
        next.brittle = entry.brittle;
        next.answersLeaving = entry.answersLeaving;
        next.pausedUntil = entry.pausedUntil;
        next.leaving = next.leaving || entry.answersLeaving;
    }
    next.own = entry.own;
    next.others = entry.others;
    const bool wasMisdirected = isMisdirected(entry);
    entry = std::move(next);
    if (changed || entry.addressTaken || wasMisdirected != isMisdirected(entry)) {
        updateAddressOwner(table, formerAddress);
        updateAddressOwner(table, entry.address);
    }
    return entry;
}

void removeTarget(ForwardTargets& table, UpstreamId id)
{
    const auto it = table.entries.find(id);
    if (it == table.entries.end())
        return;
    std::erase(table.byBackend[it->second.backend], id);
    const std::string address = it->second.address;
    table.entries.erase(it);
    updateAddressOwner(table, address);
}

ForwardTarget* findTarget(ForwardTargets& table, UpstreamId id)
{
    const auto it = table.entries.find(id);
    return it == table.entries.end() ? nullptr : &it->second;
}

bool isAddressKnown(const ForwardTargets& table, const std::string& address)
{
    return std::any_of(table.entries.begin(), table.entries.end(), [&](const auto& it) { return it.second.address == address; });
}

static void recomputeReportedLoads(ForwardTargets& table)
{
    for (auto& [id, target] : table.entries)
        target.others = totalReportedLoad(table, id);
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
    recomputeReportedLoads(table);
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
        recomputeReportedLoads(table);
}

static void backOff(ForwardTarget& target, TimeMs now)
{
    target.backoffDuration = std::clamp(target.backoffDuration * 2, initialBackoff, maxBackoff);
    target.backoffUntil = now + target.backoffDuration;
}

ReachedShare reachedShare(const ForwardTargets& table, const std::string& backend, TimeMs now, TimeMs staleAfter)
{
    const auto ids = table.byBackend.find(backend);
    if (ids == table.byBackend.end())
        return ReachedShare::Most;
    size_t usable = 0;
    size_t unreached = 0;
    for (const UpstreamId id : ids->second) {
        const ForwardTarget& target = table.entries.at(id);
        if (target.leaving || target.evacuated || now - target.lastSeen > staleAfter)
            continue;
        ++usable;
        unreached += target.unreached ? 1 : 0;
    }
    if (unreached && unreached == usable)
        return ReachedShare::None;
    return unreached * 2 > usable ? ReachedShare::Few : ReachedShare::Most;
}

void clearUnreached(ForwardTargets& table, const std::string& backend)
{
    for (const UpstreamId id : table.byBackend[backend]) {
        ForwardTarget& target = table.entries.at(id);
        if (!target.unreached)
            continue;
        target.unreached = false;
        target.backoffUntil = target.backoffDuration = target.probeUntil = {};
    }
}

void recordOutcome(ForwardTarget& target, TimeMs now, TargetOutcome outcome)
{
    target.unreached = outcome == TargetOutcome::Unreachable;
    target.probeUntil = {};
    if (outcome == TargetOutcome::Refused) {
        target.backoffUntil = std::max(target.backoffUntil, now + refusedBackoff);
        return;
    }
    const bool failed = outcome != TargetOutcome::Answered;
    const double weight = std::min(target.failureRateWeight + 1, maxFailureRateWeight);
    target.failureRate += ((failed ? 1.0 : 0.0) - target.failureRate) / weight;
    target.failureRateWeight = weight;
    target.failuresInRow = failed ? target.failuresInRow + 1 : 0;
    if (outcome == TargetOutcome::Unreachable)
        return backOff(target, now);
    if (failed && target.failureRateWeight >= minWeightForBackoff && target.failureRate >= backoffFailureRate)
        return backOff(target, now);
    if (!failed && target.failureRate < backoffFailureRate)
        target.backoffDuration = {};
}

void recordMisdirected(ForwardTargets& table, ForwardTarget& target, uint64_t sequence, TimeMs now)
{
    target.misdirectedSequence = sequence;
    recordOutcome(target, now, TargetOutcome::Unreachable);
    updateAddressOwner(table, target.address);
}

}
