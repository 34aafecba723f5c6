#include "versions/Rollout.h"

#include <algorithm>
#include <cmath>
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
// In a short time limit the first requests and the last burst share the time: the burst needs this much of it to show a fault of load.
static constexpr TimeMs shortRollout { 10000 };
static constexpr double shortBurstLoad = 1.7;
static constexpr TimeMs shortSettleTime { 350 };
static constexpr TimeMs minLastBurstLength { 1400 };
static constexpr TimeMs minProbeLength { 600 };
static constexpr double maxProbeDelayFraction = 0.15;
// The trial keeps the requests that a version gets from the switch until it is taken back: those of the drain and some more, at least of this part of
// the time limit, and at most those of the margin.
static constexpr double keptFraction = 0.06;
static constexpr TimeMs takeBackTime { 50 };
// The first requests come soon and without load, so that a version that fails always is found with few of them.
static constexpr TimeMs probeDelay { 1000 };
static constexpr double probeShare = 0.1;
static constexpr double probeRequests = 10;
static constexpr TimeMs maxProbeLength { 3000 };
static constexpr double firstBurstFraction = 0.2;
static constexpr double burstPauseFraction = 0.15;
// Part of the exposure limit that is planned with: requests are counted when they have been sent, and reported later.
static constexpr double plannedExposure = 0.97;
static constexpr double rateWeight = 0.2; // Of a new window, in the rate of requests.
// The first step may come in the same moment as the order: a single request would then count as a rate of a thousand in a second.
static constexpr TimeMs minRateWindow { 200 };
// Results that a completion needs since the last burst began, and on each route: of 16 results of a version that fails half of its requests, four are
// failures in 99 of 100 cases, and of 14 three.
static constexpr double neededResults = 16;
static constexpr double neededOnRoute = 14;
// Standard deviations that the results may fall short of the requests that were offered: chance draws them.
static constexpr double offeredDeviations = 3;
// None of as many requests is not chance.
static constexpr double minOffered = 8;
// Part of what the version may get that goes to routes with few requests; the rest is for the load of an instance.
static constexpr double routesFraction = 0.4;
// Part of the time in which these are planned; the rest makes up for chance.
static constexpr double routesTime = 0.75;
// The other versions keep some requests, with which the results are compared.
static constexpr double maxRouteShare = 0.85;
// A longer last burst would leave too little of the time for others.
static constexpr double maxLastBurstFraction = 0.4;
// A leader that takes over an order waits so long for the reports of all nodes, and longer for those of nodes that are silent.
static constexpr TimeMs minTakeOverTime { 700 };
static constexpr TimeMs maxTakeOverTime { 1500 };
static constexpr TimeMs maxFirstStepDelay { 1000 };
// After a restart of all voters the leader learns of the entry nodes one by one: that no one has sent a request is believed after this time only.
static constexpr TimeMs noRequestsTime { 4000 };
// Part of the margin that is left for the commit when a completion had to wait for reports.
static constexpr TimeMs shortCommitTime { 300 };
// Results after the switch are judged in windows of this length.
static constexpr TimeMs switchWindow { 500 };
// Results of other versions with which a version in use is compared.
static constexpr uint32_t minComparable = 20;
// Change of a share that the entry nodes are told.
static constexpr double shareChange = 0.2;
// Time after which what the entry nodes did is in the reports.
static constexpr TimeMs reportDelay { 300 };

static TimeMs fractionOf(TimeMs time, double fraction)
{
    return TimeMs { static_cast<int64_t>(fraction * static_cast<double>(time.value)) };
}

// Time from the end of a burst until its results have been reported.
static TimeMs settleTimeOf(TimeMs within)
{
    return isShortRollout(within) ? shortSettleTime : settleTime;
}

static TimeMs firstRequestsAt(const Rollout& rollout)
{
    return rollout.startedAt + std::min(probeDelay, fractionOf(rollout.within, maxProbeDelayFraction));
}

static TimeMs completionTimeOf(const Rollout& rollout)
{
    return rollout.startedAt + rollout.within - completionMargin(rollout.within);
}

// When the results of the trial have to be there.
static TimeMs trialEndOf(const Rollout& rollout)
{
    return completionTimeOf(rollout) - settleTimeOf(rollout.within);
}

// Whether this leader has led since the order was given.
static bool isFirstLeader(const Rollout& rollout)
{
    return rollout.firstStepAt <= rollout.startedAt + maxFirstStepDelay;
}

// Whether the leader knows what the nodes have done before its first step.
static bool hasTakenOver(const Rollout& rollout, const RolloutReports& reports, TimeMs now)
{
    const TimeMs elapsed = now - rollout.firstStepAt;
    return isFirstLeader(rollout) || elapsed >= maxTakeOverTime || (!reports.missing && elapsed >= minTakeOverTime);
}

static void addRequests(Rollout& rollout, const NewRequests& all, bool hasTakenOver, TimeMs now)
{
    const uint64_t started = all.before + all.after;
    rollout.started += started;
    rollout.startedAfter += all.after;
    if (!hasTakenOver) {
        // The first reports tell of the whole time since the order.
        rollout.perMs = static_cast<double>(rollout.started) / static_cast<double>(std::max<int64_t>(1, (now - rollout.startedAt).value));
        rollout.windowStart = now;
        return;
    }
    rollout.startedInWindow += started;
    const TimeMs elapsed = now - rollout.windowStart;
    if (elapsed < minRateWindow)
        return;
    const double perMs = static_cast<double>(std::exchange(rollout.startedInWindow, 0)) / static_cast<double>(elapsed.value);
    rollout.perMs = rollout.perMs > 0 ? rollout.perMs + rateWeight * (perMs - rollout.perMs) : perMs;
    rollout.windowStart = now;
}

static void addRouteRequests(Rollout& rollout, const std::map<std::string, NewRequests>& requests, TimeMs now)
{
    const double burstShare = now - reportDelay < rollout.burstEnd ? rollout.burstShare : 0;
    for (const auto& [route, added] : requests) {
        if (route.empty())
            continue;
        auto& trial = rollout.routes[route];
        const uint64_t started = added.before + added.after;
        const double offered = std::max(burstShare, trial.toldShare) * static_cast<double>(started);
        trial.started += started;
        trial.startedAfter += added.after;
        trial.offered += offered;
        rollout.offeredRecently += offered;
    }
}

// Requests that the version gets before its first burst.
static double firstRequests(const Rollout& rollout)
{
    return isUndecided(rollout.evidence) ? 2 * probeRequests : probeRequests;
}

bool isShortRollout(TimeMs within)
{
    return within < shortRollout;
}

TimeMs completionMargin(TimeMs within)
{
    const TimeMs margin = fractionOf(within, marginFraction);
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
    const TimeMs untilTakenBack = std::max(completionDrain(rollout.within) + takeBackTime, fractionOf(rollout.within, keptFraction));
    const auto kept = static_cast<double>(std::min(completionMargin(rollout.within), untilTakenBack).value);
    const double total = static_cast<double>(rollout.started) + rollout.perMs * remaining;
    const double limit = plannedExposure * (settings.exposureShare * total + settings.exposureExtra);
    const double reserved = rollout.perMs * kept + rolloutBaseShare * rollout.perMs * std::max(0.0, remaining - kept);
    const double share = std::min(1.0, (isShortRollout(rollout.within) ? shortBurstLoad : burstLoad) / instances);
    return { .left = limit - static_cast<double>(rollout.startedAfter) - reserved, .burst = share * rollout.perMs, .share = share };
}

static RolloutDecision startProbe(Rollout& rollout, TimeMs lastBurstAt, TimeMs now)
{
    const TimeMs longest = std::min(maxProbeLength, lastBurstAt - settleTimeOf(rollout.within) - now);
    if (now < firstRequestsAt(rollout) || rollout.perMs <= 0 || longest < minProbeLength)
        return {};
    rollout.probed = true;
    const double requests = firstRequests(rollout) - static_cast<double>(rollout.startedAfter);
    const TimeMs length { static_cast<int64_t>(std::min(requests / (probeShare * rollout.perMs), 1e9)) };
    rollout.burstEnd = now + std::clamp(length, minBurstLength, longest);
    rollout.burstShare = probeShare;
    return { .action = RolloutAction::Burst, .share = probeShare, .length = rollout.burstEnd - now, .reason = "first requests to one new instance" };
}

static RolloutDecision startBurst(Rollout& rollout, const Budget& budget, TimeMs length, TimeMs now)
{
    rollout.burst = rollout.probed = true;
    rollout.burstEnd = now + length;
    rollout.burstShare = budget.share;
    rollout.evidence.testedRecently.clear();
    rollout.offeredRecently = 0;
    return { .action = RolloutAction::Burst, .share = budget.share, .length = length, .reason = "one new instance gets the load that each of them would carry" };
}

// At a low rate the last burst takes longer to bring the results that a completion needs.
static TimeMs lastBurstLengthOf(const Rollout& rollout, const Budget& budget)
{
    const TimeMs time = trialEndOf(rollout) - firstRequestsAt(rollout);
    if (isShortRollout(rollout.within))
        return std::clamp(time / 2, minLastBurstLength, lastBurstLength);
    const auto longest = static_cast<double>(std::max(lastBurstLength, fractionOf(rollout.within, maxLastBurstFraction)).value);
    const double length = budget.burst > 0 ? neededResults / budget.burst : longest;
    return TimeMs { static_cast<int64_t>(std::clamp(length, static_cast<double>(lastBurstLength.value), longest)) };
}

// Sets the shares of the routes so that each has the results that a completion needs. Returns the requests that this will take.
static double planRoutes(Rollout& rollout, const Budget& budget, TimeMs lastBurstAt, TimeMs now)
{
    const TimeMs end = trialEndOf(rollout);
    const auto left = routesTime * static_cast<double>((end - now).value);
    const bool isOpen = now >= firstRequestsAt(rollout) && left > 0;
    const auto elapsed = static_cast<double>((now - rollout.startedAt).value);
    const auto lastBurst = static_cast<double>((end - std::max(lastBurstAt, now)).value);
    std::map<std::string, double> lacking;
    double sum = 0;
    for (const auto& [route, it] : rollout.routes) {
        const double perMs = isOpen ? static_cast<double>(it.started) / elapsed : 0;
        const double inLastBurst = budget.share * perMs * lastBurst;
        lacking[route] = std::clamp(neededOnRoute - static_cast<double>(it.startedAfter) - inLastBurst, 0.0, maxRouteShare * perMs * left);
        sum += lacking[route];
    }
    const double forLastBurst = rollout.lastBurst ? 0 : budget.burst * static_cast<double>(minLastBurstLength.value);
    const double affordable = std::min(sum, std::max(0.0, std::min(routesFraction * budget.left, budget.left - forLastBurst)));
    for (auto& [route, it] : rollout.routes) {
        // Nothing is lacking before the first requests, or on a route without any.
        it.share = lacking[route] > 0 ? lacking[route] * affordable / sum / (static_cast<double>(it.started) / elapsed * left) : 0;
        rollout.sharesChanged = rollout.sharesChanged || std::abs(it.share - it.toldShare) > shareChange * std::max(it.share, it.toldShare);
    }
    return affordable;
}

std::map<std::string, double> takeRouteShares(Rollout& rollout)
{
    std::map<std::string, double> shares;
    rollout.sharesChanged = false;
    for (auto& [route, it] : rollout.routes) {
        it.toldShare = it.share;
        if (it.share > 0)
            shares[route] = it.share;
    }
    return shares;
}

static RolloutDecision planBurst(Rollout& rollout, const Budget& budget, TimeMs lastBurstAt, TimeMs now)
{
    const auto affordable = [&](double requests) { return TimeMs { budget.burst > 0 ? static_cast<int64_t>(std::clamp(requests / budget.burst, 0.0, 1e9)) : 0 }; };
    const TimeMs settled = settleTimeOf(rollout.within);
    const TimeMs lastLength = std::max(minBurstLength, std::min(trialEndOf(rollout) - now, lastBurstLengthOf(rollout, budget)));
    const double forRoutes = planRoutes(rollout, budget, lastBurstAt, now);
    if (now < rollout.burstEnd + settled)
        return {};
    if (rollout.lastBurst || now >= lastBurstAt) {
        // The last burst is what the completion rests on, so it is given also when it has to be short.
        // Without a rate its length and share are not known.
        if (rollout.lastBurst || now < firstRequestsAt(rollout) || (budget.burst <= 0 && now < completionTimeOf(rollout)))
            return {};
        rollout.lastBurst = true;
        return startBurst(rollout, budget, std::clamp(affordable(budget.left - forRoutes), minBurstLength, lastLength), now);
    }
    const TimeMs first = rollout.startedAt + fractionOf(rollout.within, firstBurstFraction);
    const TimeMs pause = fractionOf(rollout.within, burstPauseFraction);
    const TimeMs next = rollout.burst ? rollout.burstEnd + pause : first;
    if (rollout.probed && now >= next && now + burstLength + settled <= lastBurstAt) {
        // What the last burst needs is kept.
        const TimeMs length = std::min(burstLength, affordable(budget.left - forRoutes - budget.burst * static_cast<double>(lastLength.value)));
        if (length >= burstLength / 2)
            return startBurst(rollout, budget, length, now);
    }
    const bool isTooFew = static_cast<double>(rollout.startedAfter) < firstRequests(rollout) && now + maxProbeLength + settled <= lastBurstAt;
    return !rollout.probed || isTooFew ? startProbe(rollout, lastBurstAt, now) : RolloutDecision {};
}

static bool isEnough(double results, double needed, double offered)
{
    const double least = std::max(offered >= minOffered ? 1.0 : 0.0, offered - offeredDeviations * std::sqrt(offered));
    return results >= std::min(needed, least);
}

static double endedOf(const std::map<std::string, RolloutEvidence::TestedByNode>& tested, const std::string& route)
{
    const auto it = tested.find(route);
    return it == tested.end() ? 0 : sumOf(it->second).after.ended;
}

static std::string describeMissing(const RolloutReports& reports)
{
    return std::to_string(reports.missing) + " nodes do not report its results";
}

// A node that has stopped reporting may be cut off. It is waited for while there is time, and never for the greater part of the nodes.
static bool lacksReports(const Rollout& rollout, const RolloutReports& reports, TimeMs completeAt, TimeMs now)
{
    const TimeMs patience = completionMargin(rollout.within) - completionDrain(rollout.within) - shortCommitTime;
    return reports.missing > reports.recent || (reports.missing && now < completeAt + patience);
}

// Returns what is still unknown of the version; none if it can be completed. Requests that never came are none that it has not answered.
static std::optional<std::string> findEvidenceGap(const Rollout& rollout, const RolloutReports& reports, TimeMs completeAt, TimeMs now)
{
    if (lacksReports(rollout, reports, completeAt, now))
        return describeMissing(reports);
    if (!rollout.started && !isFirstLeader(rollout) && now < rollout.firstStepAt + noRequestsTime)
        return "no requests have been reported to a new leader yet";
    // Fewer requests are no load; the shares of their routes have offered them to the version.
    const bool needsLoad = static_cast<double>(rollout.started) >= neededResults || (rollout.started && !isFirstLeader(rollout));
    if ((needsLoad && !rollout.lastBurst) || now < rollout.burstEnd + settleTimeOf(rollout.within))
        return "its instances have not been tested under load";
    if (!isEnough(endedOf(rollout.evidence.testedRecently, {}), neededResults, rollout.offeredRecently))
        return "its instances have not answered the requests of the last burst";
    for (const auto& [route, it] : rollout.routes) {
        if (!isEnough(endedOf(rollout.evidence.tested, route), neededOnRoute, it.offered))
            return "its instances have not answered the requests of route " + route;
    }
    return std::nullopt;
}

static bool isDrained(const Rollout& rollout, TimeMs now)
{
    return now >= rollout.switchedAt + completionDrain(rollout.within);
}

static RolloutDecision stepSwitched(Rollout& rollout, const RolloutReports& reports, TimeMs now)
{
    if (auto fault = findFaultAfterSwitch(rollout.evidence))
        return { .action = RolloutAction::RollBack, .reason = *fault };
    if (auto fault = findTrippedNodes(reports))
        return { .action = RolloutAction::RollBack, .reason = *fault };
    // Good results of the first part of a long drain would hide a version that turns bad in it.
    if (now >= rollout.recentSince + switchWindow) {
        rollout.recentSince = now;
        rollout.evidence.testedRecently.clear();
    }
    if (!isDrained(rollout, now))
        return { .action = RolloutAction::Switch, .reason = rollout.completionReason };
    // A leader that has stood still, or is cut off, does not know the last results.
    if (reports.missing > reports.recent)
        return { .action = now < rollout.startedAt + rollout.within ? RolloutAction::Switch : RolloutAction::RollBack, .reason = describeMissing(reports) };
    return { .action = RolloutAction::Complete, .reason = rollout.completionReason };
}

static RolloutDecision startSwitch(Rollout& rollout, std::string reason, TimeMs now)
{
    rollout.switchedAt = rollout.recentSince = now;
    rollout.completionReason = std::move(reason);
    rollout.evidence.testedRecently.clear();
    return { .action = RolloutAction::Switch, .length = completionDrain(rollout.within), .reason = rollout.completionReason };
}

// Without evidence an order ends at its limit, and the version is rolled back: the upstreams of the others could not be brought back.
static RolloutDecision decideCompletion(Rollout& rollout, const RolloutReports& reports, TimeMs completeAt, TimeMs now)
{
    if (auto fault = findLikelyFault(rollout.evidence))
        return { .action = RolloutAction::RollBack, .reason = *fault };
    if (auto fault = findTrippedNodes(reports))
        return { .action = RolloutAction::RollBack, .reason = *fault };
    const auto gap = findEvidenceGap(rollout, reports, completeAt, now);
    if (!gap)
        return startSwitch(rollout, rollout.started ? "no fault was found under the load of an instance" : "there were no requests", now);
    return now >= rollout.startedAt + rollout.within ? RolloutDecision { .action = RolloutAction::RollBack, .reason = *gap } : RolloutDecision {};
}

// Adds the reports of a step. Returns whether they tell enough to decide on.
static bool addStep(Rollout& rollout, const RolloutReports& reports, TimeMs now)
{
    if (!rollout.firstStepAt.value)
        rollout.firstStepAt = now;
    const auto requests = recordReports(rollout.evidence, reports);
    const auto all = requests.find({});
    const bool takenOver = hasTakenOver(rollout, reports, now);
    addRequests(rollout, all == requests.end() ? NewRequests {} : all->second, takenOver, now);
    addRouteRequests(rollout, requests, now);
    return takenOver;
}

static RolloutDecision waitForInstances(const Rollout& rollout, TimeMs now)
{
    if (now < rollout.startedAt + rollout.within)
        return {};
    return { .action = RolloutAction::RollBack, .reason = "no upstream of the version takes requests" };
}

RolloutDecision stepVersionInUse(Rollout& rollout, const RolloutReports& reports, TimeMs now)
{
    const bool takenOver = addStep(rollout, reports, now);
    // Without others to go back to, an outage would end the only version that serves.
    const bool isComparable = reports.oldInstances && rollout.evidence.before.ended >= minComparable;
    const auto fault = isComparable ? findFault(rollout.evidence) : std::nullopt;
    if (fault)
        return { .action = RolloutAction::RollBack, .reason = *fault };
    if (!reports.newInstances)
        return waitForInstances(rollout, now);
    if (!takenOver)
        return {};
    if (rollout.switchedAt.value)
        return { .action = isDrained(rollout, now) ? RolloutAction::Complete : RolloutAction::Switch, .reason = rollout.completionReason };
    return now >= completionTimeOf(rollout) ? startSwitch(rollout, "the version was in use before the order", now) : RolloutDecision {};
}

RolloutDecision stepRollout(Rollout& rollout, const RolloutReports& reports, const RolloutSettings& settings, TimeMs now)
{
    const bool takenOver = addStep(rollout, reports, now);
    if (rollout.switchedAt.value)
        return stepSwitched(rollout, reports, now);
    if (auto fault = findFault(rollout.evidence))
        return { .action = RolloutAction::RollBack, .reason = *fault };
    if (!takenOver)
        return {};
    const TimeMs completeAt = completionTimeOf(rollout);
    if (!reports.newInstances)
        return waitForInstances(rollout, now);
    const Budget budget = budgetOf(rollout, reports, settings, now);
    const TimeMs lastBurstAt = trialEndOf(rollout) - lastBurstLengthOf(rollout, budget);
    if (now >= completeAt) {
        auto decision = decideCompletion(rollout, reports, completeAt, now);
        if (decision.action != RolloutAction::Wait)
            return decision;
    }
    return planBurst(rollout, budget, lastBurstAt, now);
}

}
