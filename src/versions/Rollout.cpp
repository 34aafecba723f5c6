#include "versions/Rollout.h"

#include <algorithm>
#include <array>
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
// The first requests come soon and without load, so that a version that fails always is found with few of them.
static constexpr TimeMs probeDelay { 1000 };
static constexpr double probeShare = 0.1;
static constexpr double probeRequests = 10;
static constexpr TimeMs maxProbeLength { 3000 };
static constexpr double firstBurstFraction = 0.2;
static constexpr double burstPauseFraction = 0.15;
// Part of the exposure limit that is planned with: requests are counted when they have been sent, and reported later.
static constexpr double plannedExposure = 0.95;
// A version is bad with this many failures or slow requests more than the other versions explain.
static constexpr uint64_t minBad = 4;
static constexpr double excessFailureRate = 0.08;
static constexpr double excessSlowRate = 0.25;
static constexpr double expectedFactor = 1.5;
// Standard deviations of the expected number that chance may add.
static constexpr double chanceDeviations = 2.5;
// The node with the most bad results is left out in a second look, since its path may be at fault: the others must have this many, or
// hardly any results and the node this many. With fewer nodes none is left out.
static constexpr size_t minNodesToLeaveOut = 3;
static constexpr uint64_t minBadElsewhere = 2;
static constexpr double chanceDeviationsElsewhere = 1;
static constexpr uint64_t minTrialsElsewhere = 4;
static constexpr uint64_t minBadOfOne = 8;
// Taken off the rates of a few windows, so that chance alone does not raise them.
static constexpr double recentDeviations = 0.5;
static constexpr double windowDeviations = 0.2;
static constexpr uint64_t minBaseline = 20;
static constexpr double slowFactor = 3;
static constexpr double recentWeight = 0.75; // Of the former windows, in the counts of the other versions.
static constexpr double rateWeight = 0.2; // Of a new window, in the rate of requests.
// The first step may come in the same moment as the order: a single request would then count as a rate of a thousand in a second.
static constexpr TimeMs minRateWindow { 200 };
// Requests in the time limit below which no burst is owed: nearly all of them may go to a bad version.
static constexpr double fewRequests = 40;

RolloutCounts& RolloutCounts::operator+=(const RolloutCounts& other)
{
    started += other.started;
    ended += other.ended;
    failures += other.failures;
    milliseconds += other.milliseconds;
    timed += other.timed;
    slow += other.slow;
    paced += other.paced;
    pace += other.pace;
    comparedPaces += other.comparedPaces;
    slowPaces += other.slowPaces;
    return *this;
}

// A node that has started again reports from 0.
static RolloutCounts increaseOf(const RolloutCounts& now, const RolloutCounts& last)
{
    if (now.started < last.started || now.ended < last.ended)
        return now;
    const auto minus = [](uint32_t a, uint32_t b) { return a > b ? a - b : 0; };
    return { .started = now.started - last.started,
        .ended = now.ended - last.ended,
        .failures = minus(now.failures, last.failures),
        .milliseconds = now.milliseconds - last.milliseconds,
        .timed = minus(now.timed, last.timed),
        .slow = minus(now.slow, last.slow),
        .paced = minus(now.paced, last.paced),
        .pace = now.pace - last.pace,
        .comparedPaces = minus(now.comparedPaces, last.comparedPaces),
        .slowPaces = minus(now.slowPaces, last.slowPaces) };
}

// `deviations`: standard deviations of the hits that are taken off.
static double rateOf(uint64_t hits, uint64_t trials, double deviations)
{
    const auto n = static_cast<double>(hits);
    return trials ? std::max(0.0, n - deviations * std::sqrt(n)) / static_cast<double>(trials) : 0;
}

static void decay(RolloutCounts& counts)
{
    for (auto* n : { &counts.ended, &counts.failures, &counts.timed, &counts.slow, &counts.comparedPaces, &counts.slowPaces })
        *n = static_cast<uint32_t>(*n * recentWeight);
}

namespace {

    // Rates of the other versions on one route.
    struct UsualRates {
        double failures = 0;
        double slow = 0;
        double slowPaces = 0;
    };

}

static void raise(UsualRates& rates, const RolloutCounts& counts, double deviations)
{
    rates.failures = std::max(rates.failures, rateOf(counts.failures, counts.ended, deviations));
    rates.slow = std::max(rates.slow, rateOf(counts.slow, counts.timed, deviations));
    rates.slowPaces = std::max(rates.slowPaces, rateOf(counts.slowPaces, counts.comparedPaces, deviations));
}

// Rates now, over all routes: an outage hits all versions, and a single route may have too few requests to show it.
static UsualRates currentRates(RolloutCounts& recent, const RolloutCounts& window)
{
    decay(recent);
    recent += window;
    UsualRates out;
    raise(out, recent, recentDeviations);
    raise(out, window, windowDeviations);
    return out;
}

static void addWindow(Rollout::Tested& tested, const RolloutCounts& after, const UsualRates& usual)
{
    tested.after += after;
    tested.expectedFailures += usual.failures * after.ended;
    tested.expectedSlow += usual.slow * after.timed;
    tested.expectedSlowPaces += usual.slowPaces * after.comparedPaces;
}

static Rollout::Tested& operator+=(Rollout::Tested& sum, const Rollout::Tested& it)
{
    sum.after += it.after;
    sum.expectedFailures += it.expectedFailures;
    sum.expectedSlow += it.expectedSlow;
    sum.expectedSlowPaces += it.expectedSlowPaces;
    return sum;
}

static void updateLimits(Rollout& rollout, const std::string& route, const RolloutCounts& before)
{
    auto& limits = rollout.limits[route];
    if (!limits.answer && before.ended >= minBaseline) {
        limits.answer = static_cast<float>(slowFactor * std::max(1.0, static_cast<double>(before.milliseconds) / before.ended));
        rollout.limitsChanged = true;
    }
    if (!limits.pace && before.paced >= minBaseline && before.pace > 0) {
        limits.pace = static_cast<float>(slowFactor * static_cast<double>(before.pace) / before.paced);
        rollout.limitsChanged = true;
    }
}

namespace {

    // What the reports of one step add on one route, or on all.
    struct Window {
        RolloutCounts before;
        RolloutCounts beforeTotal;
        std::map<NodeId, RolloutCounts> after;
    };

}

static std::map<std::string, Window> windowsOf(Rollout& rollout, const RolloutReports& reports)
{
    std::map<std::string, Window> windows;
    for (const auto& [node, results] : reports.nodes) {
        auto& last = rollout.last[node];
        for (const auto& it : results) {
            auto& known = last[it.route];
            for (const std::string& route : { it.route, std::string {} }) {
                Window& window = windows[route];
                window.before += increaseOf(it.before, known.before);
                window.beforeTotal += it.before;
                window.after[node] += increaseOf(it.after, known.after);
            }
            known = it;
        }
    }
    return windows;
}

static void addRequests(Rollout& rollout, const Window& all, TimeMs now)
{
    uint64_t after = 0;
    for (const auto& [node, counts] : all.after)
        after += counts.started;
    const uint64_t started = all.before.started + after;
    rollout.started += started;
    rollout.startedAfter += after;
    rollout.startedInWindow += started;
    const TimeMs elapsed = now - rollout.windowStart;
    if (elapsed < minRateWindow)
        return;
    const double perMs = static_cast<double>(std::exchange(rollout.startedInWindow, 0)) / static_cast<double>(elapsed.value);
    rollout.perMs = rollout.perMs > 0 ? rollout.perMs + rateWeight * (perMs - rollout.perMs) : perMs;
    rollout.windowStart = now;
}

static void addReports(Rollout& rollout, const RolloutReports& reports, TimeMs now)
{
    auto windows = windowsOf(rollout, reports);
    addRequests(rollout, windows[{}], now);
    const UsualRates current = currentRates(rollout.beforeRecently, windows[{}].before);
    for (const auto& [route, window] : windows) {
        if (!route.empty())
            updateLimits(rollout, route, window.beforeTotal);
        UsualRates usual = current;
        raise(usual, window.beforeTotal, 0);
        for (const auto& [node, after] : window.after) {
            addWindow(rollout.tested[route][node], after, usual);
            addWindow(rollout.testedRecently[route][node], after, usual);
        }
    }
}

namespace {

    // One kind of bad result.
    struct Measure {
        const char* text;
        uint32_t RolloutCounts::*bad;
        uint32_t RolloutCounts::*trials;
        double Rollout::Tested::*expected;
        double allowedRate;
    };

}

static constexpr std::array<Measure, 3> measures { {
    { "fails more often", &RolloutCounts::failures, &RolloutCounts::ended, &Rollout::Tested::expectedFailures, excessFailureRate },
    { "is slower", &RolloutCounts::slow, &RolloutCounts::timed, &Rollout::Tested::expectedSlow, excessSlowRate },
    { "streams more slowly", &RolloutCounts::slowPaces, &RolloutCounts::comparedPaces, &Rollout::Tested::expectedSlowPaces, excessSlowRate },
} };

static bool isExcess(const Measure& measure, const Rollout::Tested& it, uint64_t least, double deviations)
{
    const uint32_t bad = it.after.*measure.bad;
    const double expected = it.*measure.expected;
    return bad >= least && bad > expectedFactor * expected + deviations * std::sqrt(expected) + measure.allowedRate * (it.after.*measure.trials);
}

static std::string describe(const Measure& measure, const Rollout::Tested& it)
{
    return std::string(measure.text) + ": " + std::to_string(it.after.*measure.bad) + " of " + std::to_string(it.after.*measure.trials) + ", " + std::to_string(std::lround(it.*measure.expected)) + " expected";
}

// Whether the bad results may be those of the path of one node only.
static bool isOnOnePath(const Measure& measure, const Rollout::TestedByNode& nodes)
{
    if (nodes.size() < minNodesToLeaveOut)
        return false;
    const auto worst = std::max_element(nodes.begin(), nodes.end(), [&](const auto& a, const auto& b) { return a.second.after.*measure.bad < b.second.after.*measure.bad; });
    Rollout::Tested others;
    for (const auto& [node, it] : nodes) {
        if (node != worst->first)
            others += it;
    }
    if (isExcess(measure, others, minBadElsewhere, chanceDeviationsElsewhere))
        return false;
    return others.after.*measure.trials >= minTrialsElsewhere || worst->second.after.*measure.bad < minBadOfOne;
}

static Rollout::Tested sumOf(const Rollout::TestedByNode& nodes)
{
    Rollout::Tested sum;
    for (const auto& [node, it] : nodes)
        sum += it;
    return sum;
}

static std::optional<std::string> faultOf(const Rollout::TestedByNode& nodes)
{
    const auto sum = sumOf(nodes);
    for (const Measure& measure : measures) {
        if (isExcess(measure, sum, minBad, chanceDeviations) && !isOnOnePath(measure, nodes))
            return describe(measure, sum);
    }
    return std::nullopt;
}

// Whether the results show a fault that may be one of the version or of the path of one node. The caller has found no fault of the version.
static bool isUndecided(const Rollout& rollout)
{
    const auto nodes = rollout.tested.find({});
    if (nodes == rollout.tested.end())
        return false;
    const auto sum = sumOf(nodes->second);
    return std::any_of(measures.begin(), measures.end(), [&](const Measure& it) { return isExcess(it, sum, minBad, chanceDeviations); });
}

// Requests that the version gets before its first burst.
static double firstRequests(const Rollout& rollout)
{
    return isUndecided(rollout) ? 2 * probeRequests : probeRequests;
}

static std::optional<std::string> findFault(const Rollout& rollout)
{
    for (const auto* tested : { &rollout.tested, &rollout.testedRecently }) {
        for (const auto& [route, nodes] : *tested) {
            if (auto fault = faultOf(nodes))
                return (route.empty() ? std::string() : "on route " + route + " it ") + *fault;
        }
    }
    return std::nullopt;
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
    rollout.testedRecently.clear();
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
    const auto all = rollout.testedRecently.find({});
    uint64_t n = 0;
    if (all == rollout.testedRecently.end())
        return n;
    for (const auto& [node, it] : all->second)
        n += it.after.ended;
    return n;
}

RolloutDecision stepRollout(Rollout& rollout, const RolloutReports& reports, const RolloutSettings& settings, TimeMs now)
{
    addReports(rollout, reports, now);
    if (auto fault = findFault(rollout))
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
