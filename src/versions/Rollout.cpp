#include "versions/Rollout.h"

#include <algorithm>
#include <utility>

namespace siskinshunt {

// Covers the drain of the other versions, the commit of the completion and the clocks of those who ask for it.
static constexpr double marginFraction = 0.05;
static constexpr TimeMs minMargin { 800 };
static constexpr TimeMs maxMargin { 3000 };
// The part of the margin that the drain leaves for the rest.
static constexpr TimeMs commitTime { 500 };
// One new instance gets this much of the load that each of them would carry.
static constexpr double burstLoad = 1.5;
// A fault that depends on the load of a second shows in the second after it.
static constexpr TimeMs burstLength { 2000 };
static constexpr TimeMs lastBurstLength { 2500 };
static constexpr TimeMs minBurstLength { 300 };
// Time in which the results of a burst have been reported.
static constexpr TimeMs settleTime { 700 };
// The first requests come soon and without load, so that a version that fails always is found with few of them.
static constexpr TimeMs probeDelay { 1000 };
static constexpr double probeShare = 0.1;
static constexpr double probeRequests = 10;
static constexpr TimeMs maxProbeLength { 3000 };
static constexpr double firstBurstFraction = 0.2;
static constexpr double burstPauseFraction = 0.15;
// Part of the exposure limit that is planned with: requests are counted when they have been sent, and reported later.
static constexpr double plannedExposure = 0.95;
static constexpr double rateWeight = 0.2; // Of a new window, in the rate of requests.
// The first step may come in the same moment as the order: a single request would then count as a rate of a thousand in a second.
static constexpr TimeMs minRateWindow { 200 };
// Requests in the time limit below which no burst is owed: nearly all of them may go to a bad version.
static constexpr double fewRequests = 40;

static void addRequests(Rollout& rollout, const NewRequests& all, TimeMs now)
{
    const uint64_t started = all.before + all.after;
    rollout.started += started;
    rollout.startedAfter += all.after;
    rollout.startedInWindow += started;
    const TimeMs elapsed = now - rollout.windowStart;
    if (elapsed < minRateWindow)
        return;
    const double perMs = static_cast<double>(std::exchange(rollout.startedInWindow, 0)) / static_cast<double>(elapsed.value);
    rollout.perMs = rollout.perMs > 0 ? rollout.perMs + rateWeight * (perMs - rollout.perMs) : perMs;
    rollout.windowStart = now;
}

// Requests that the version gets before its first burst.
static double firstRequests(const Rollout& rollout)
{
    return isUndecided(rollout.evidence) ? 2 * probeRequests : probeRequests;
}

TimeMs completionMargin(TimeMs within)
{
    const TimeMs margin { static_cast<int64_t>(marginFraction * static_cast<double>(within.value)) };
    // At least half of a short time limit remains for the evidence.
    return std::min(std::clamp(margin, minMargin, maxMargin), within / 2);
}

TimeMs completionDrain(TimeMs within)
{
    const TimeMs margin = completionMargin(within);
    return std::clamp(margin - commitTime, TimeMs {}, margin / 2);
}

Rollout startRollout(TimeMs startedAt, TimeMs within)
{
    Rollout out;
    out.startedAt = startedAt;
    out.within = within;
    out.windowStart = startedAt;
    return out;
}

namespace {

    // Requests that the version may still get before its last burst.
    struct Budget {
        double left = 0;
        double burst = 0; ///< Requests in each ms of a burst.
        double share = 0; ///< Of the requests, in a burst.
    };

}

static Budget budgetOf(const Rollout& rollout, const RolloutReports& reports, const RolloutSettings& settings, TimeMs now)
{
    const auto instances = static_cast<double>(std::max<size_t>(1, std::min(reports.newInstances, std::max<size_t>(1, reports.oldInstances))));
    const auto remaining = static_cast<double>(std::max<int64_t>(0, (rollout.startedAt + rollout.within - now).value));
    const auto margin = static_cast<double>(completionMargin(rollout.within).value);
    const double total = static_cast<double>(rollout.started) + rollout.perMs * remaining;
    const double limit = plannedExposure * (settings.exposureShare * total + settings.exposureExtra);
    const double reserved = rollout.perMs * margin + rolloutBaseShare * rollout.perMs * std::max(0.0, remaining - margin);
    const double share = std::min(1.0, burstLoad / instances);
    return { .left = limit - static_cast<double>(rollout.startedAfter) - reserved, .burst = share * rollout.perMs, .share = share };
}

static RolloutDecision startProbe(Rollout& rollout, TimeMs now)
{
    if (now < rollout.startedAt + probeDelay || rollout.perMs <= 0)
        return {};
    rollout.probed = true;
    const double requests = firstRequests(rollout) - static_cast<double>(rollout.startedAfter);
    const TimeMs length { static_cast<int64_t>(std::min(requests / (probeShare * rollout.perMs), 1e9)) };
    rollout.burstEnd = now + std::clamp(length, minBurstLength, maxProbeLength);
    return { .action = RolloutAction::Burst, .share = probeShare, .length = rollout.burstEnd - now, .reason = "first requests to one new instance" };
}

static RolloutDecision startBurst(Rollout& rollout, const Budget& budget, TimeMs length, TimeMs now)
{
    rollout.burst = rollout.probed = true;
    rollout.burstEnd = now + length;
    rollout.evidence.testedRecently.clear();
    return { .action = RolloutAction::Burst, .share = budget.share, .length = length, .reason = "one new instance gets the load that each of them would carry" };
}

static RolloutDecision planBurst(Rollout& rollout, const Budget& budget, TimeMs lastBurstAt, TimeMs now)
{
    const auto affordable = [&](double requests) { return TimeMs { budget.burst > 0 ? static_cast<int64_t>(std::clamp(requests / budget.burst, 0.0, 1e9)) : 0 }; };
    if (now >= lastBurstAt) {
        // The last burst is what the completion rests on, so it is given also when it has to be short.
        if (rollout.burstEnd < lastBurstAt)
            return startBurst(rollout, budget, std::clamp(affordable(budget.left), minBurstLength, lastBurstLength), now);
        return {};
    }
    const TimeMs first = rollout.startedAt + TimeMs { static_cast<int64_t>(firstBurstFraction * static_cast<double>(rollout.within.value)) };
    const TimeMs pause { static_cast<int64_t>(burstPauseFraction * static_cast<double>(rollout.within.value)) };
    const TimeMs next = rollout.burst ? rollout.burstEnd + pause : first;
    if (rollout.probed && now >= next && now + burstLength + settleTime <= lastBurstAt) {
        // What the last burst needs is kept.
        const TimeMs length = std::min(burstLength, affordable(budget.left - budget.burst * static_cast<double>(lastBurstLength.value)));
        if (length >= burstLength / 2)
            return startBurst(rollout, budget, length, now);
    }
    const bool isTooFew = static_cast<double>(rollout.startedAfter) < firstRequests(rollout) && now + maxProbeLength + settleTime <= lastBurstAt;
    return !rollout.probed || isTooFew ? startProbe(rollout, now) : RolloutDecision {};
}

// Requests that the new version has answered, or failed, since the last burst began.
static uint64_t resultsOfBurst(const Rollout& rollout)
{
    const auto all = rollout.evidence.testedRecently.find({});
    uint64_t n = 0;
    if (all == rollout.evidence.testedRecently.end())
        return n;
    for (const auto& [node, it] : all->second)
        n += it.after.ended;
    return n;
}

RolloutDecision stepRollout(Rollout& rollout, const RolloutReports& reports, const RolloutSettings& settings, TimeMs now)
{
    addRequests(rollout, recordReports(rollout.evidence, reports)[{}], now);
    if (auto fault = findFault(rollout.evidence))
        return { .action = RolloutAction::RollBack, .reason = *fault };
    const TimeMs limit = rollout.startedAt + rollout.within;
    const TimeMs completeAt = limit - completionMargin(rollout.within);
    if (!reports.newInstances)
        return now >= limit ? RolloutDecision { .action = RolloutAction::RollBack, .reason = "no upstream of the version takes requests" } : RolloutDecision {};
    const auto remaining = static_cast<double>(std::max<int64_t>(0, (limit - now).value));
    const bool hasFewRequests = static_cast<double>(rollout.started) + rollout.perMs * remaining < fewRequests;
    if (hasFewRequests)
        return now >= completeAt ? RolloutDecision { .action = RolloutAction::Complete, .reason = "no fault was found; the backend has few requests" } : RolloutDecision {};
    const TimeMs lastBurstAt = completeAt - settleTime - lastBurstLength;
    if (now >= completeAt && rollout.burst && rollout.burstEnd >= lastBurstAt && now >= rollout.burstEnd + settleTime) {
        if (resultsOfBurst(rollout))
            return { .action = RolloutAction::Complete, .reason = "no fault was found under the load of an instance" };
        return now >= limit ? RolloutDecision { .action = RolloutAction::RollBack, .reason = "its instances have answered no requests" } : RolloutDecision {};
    }
    if (now < rollout.burstEnd + settleTime)
        return {};
    return planBurst(rollout, budgetOf(rollout, reports, settings, now), lastBurstAt, now);
}

}
