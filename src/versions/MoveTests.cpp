#include "versions/MoveSteps.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace siskinshunt {

static constexpr TimeMs windowLength { 1000 };
static constexpr TimeMs halvingInterval { 300000 };
static constexpr double decayPerWindow = 0.933; // Halves the counts in 10 windows.
static constexpr double rateSmoothing = 0.01; // Weight of one window in the moving average of a route's rate.
static constexpr size_t testsPerRoute = 1 + latencyMeasures;
// Above this share of the new version, the old one has too little traffic to show an outage of both.
static constexpr double comparableShare = 0.5;
// Evidence of the old version is halved only above this count, because a smaller sample gives an inaccurate error rate.
static constexpr uint64_t minRequestsToHalve = 20000;
// Largest accepted ratio of the new version's odds of an error to the old one's in a check. An outage of both versions
// leaves the odds equal.
static constexpr double allowedOddsRatio = 1.5;
// Latency is compared only from this many requests of the old version on; with fewer, its quantiles are too inaccurate.
static constexpr uint64_t minBaselineRequests = 100;

struct LatencyMeasure {
    const char* name;
    bool firstToken;
    double quantile;
    double allowed; ///< Accepted share of the new version's requests above `slower` times the old version's quantile.
};

// A version that is exactly `slower` times as slow has a share of 1 - quantile. The margin above that covers the error of
// the estimated quantile and, at 90%, the uneven load of a single canary: 0.13 there gave 3 false alarms in 200 moves.
static constexpr std::array<LatencyMeasure, latencyMeasures> measures { {
    { "first token at 50%", true, 0.5, 0.55 },
    { "whole request at 50%", false, 0.5, 0.55 },
    { "first token at 90%", true, 0.9, 0.18 },
    { "whole request at 90%", false, 0.9, 0.18 },
} };
// A route is proven fast when the test rejects that at least this share of its requests is slow, measured at the median.
static constexpr double unprovenSlowShare = 0.7;

static const LatencySketch& sketchOf(const VersionEvidence& evidence, const LatencyMeasure& measure)
{
    return measure.firstToken ? evidence.firstToken : evidence.wholeRequest;
}

static void addEvidence(VersionEvidence& to, const VersionEvidence& from)
{
    to.requests += from.requests;
    to.failures += std::min(from.failures, from.requests);
    to.firstToken.merge(from.firstToken);
    to.wholeRequest.merge(from.wholeRequest);
}

void recordEvidence(ActiveMove& move, const Evidence& evidence)
{
    for (const auto& it : evidence.routes) {
        const auto route = move.routes.find(it.route);
        if (route == move.routes.end())
            continue;
        addEvidence(route->second.pendingOld, it.oldVersion);
        addEvidence(route->second.pendingNew, it.newVersion);
    }
    if (evidence.tripped && !move.bad) {
        move.bad = true;
        move.badReason = "local trip: " + evidence.tripReason.substr(0, 500);
    }
}

static void addDecaying(DecayingRate& rate, uint64_t hits, uint64_t trials)
{
    rate.hits = rate.hits * decayPerWindow + static_cast<double>(hits);
    rate.trials = rate.trials * decayPerWindow + static_cast<double>(trials);
}

/// Returns `bound`, or a higher value while the old version exceeds its usual rate, which indicates an outage of both
/// versions. Depends on the old version only, so that the tests of the new one keep their guarantee.
static double raiseBoundInOutage(double bound, double usualRate, double allowance, const DecayingRate& now)
{
    const double expected = usualRate * now.trials;
    if (now.trials < 1 || now.hits <= expected + 2 * std::sqrt(expected) + 1.5)
        return bound;
    return std::max(bound, std::min(1.0, (now.hits + 1.5 * std::sqrt(now.hits)) / now.trials + allowance));
}

/// Upper bound of the estimate of the old version's error rate.
static double oldErrorRate(const RouteTests& route)
{
    const auto failures = static_cast<double>(route.oldRecent.failures);
    return std::min(1.0, (failures + 1.5 * std::sqrt(failures + 1) + 1) / (static_cast<double>(route.oldRecent.requests) + 20));
}

/// Trials of all routes in one window, with their expected hits.
struct PooledWindow {
    uint64_t trials = 0;
    uint64_t hits = 0;
    double allowed = 0; ///< Sum of p0 over all trials.
    double variance = 0; ///< Variance of `allowed` due to estimated rates.

    void add(uint64_t n, uint64_t k, double p0)
    {
        trials += n;
        hits += k;
        allowed += p0 * static_cast<double>(n);
    }
};

static void addPooled(SequentialTest& test, const PooledWindow& window)
{
    // For trials with different p0, using the mean p0 does not raise the expected likelihood ratio (concavity).
    const auto n = static_cast<double>(std::max<uint64_t>(1, window.trials));
    addWindow(test, window.trials, window.hits, std::clamp((window.allowed + 1.5 * std::sqrt(window.variance)) / n, 1e-6, 0.999));
}

static void testErrors(ActiveMove& move, RouteTests& route, PooledWindow& pooled)
{
    const VersionEvidence& now = route.pendingNew;
    const double bound = oldErrorRate(route) + move.rule.errors;
    const double old = static_cast<double>(route.oldRecent.requests) + 20;
    const double usualRate = (static_cast<double>(route.oldRecent.failures) + 0.5) / old;
    const double p0 = std::min(0.999, raiseBoundInOutage(bound, usualRate, move.rule.errors, route.currentOldErrors));
    addWindow(route.errors, now.requests, now.failures, p0);
    const double tooMany = std::min(0.99, bound + std::max(move.rule.errors, 0.005));
    addWindow(route.errorsProof, now.requests, now.requests - now.failures, 1 - tooMany);
    // The pooled bound adds one uncertainty margin for all routes together instead of one for each.
    const auto n = static_cast<double>(now.requests);
    pooled.add(now.requests, now.failures, usualRate + move.rule.errors + (p0 - bound));
    pooled.variance += n * n * usualRate / old;
}

static void testLatency(ActiveMove& move, RouteTests& route, TimeMs now, std::array<PooledWindow, latencyMeasures>& pooled)
{
    for (size_t n = 0; n < measures.size(); ++n) {
        const LatencyMeasure& measure = measures[n];
        const LatencySketch& old = sketchOf(route.oldRecent, measure);
        double quantile = route.baselineLatency[n];
        if (old.count() >= minBaselineRequests) {
            const double recent = old.quantile(measure.quantile);
            const LatencySketch& window = sketchOf(route.pendingOld, measure);
            addDecaying(route.currentOldSlow[n], window.countOver(recent), window.count());
            quantile = std::max(quantile, recent);
        }
        const LatencySketch& sample = sketchOf(route.pendingNew, measure);
        if (quantile <= 0 || now < move.warmUntil)
            continue;
        const uint64_t over = sample.countOver(quantile * std::max(1.0, move.rule.slower));
        const double p0 = std::min(0.98, raiseBoundInOutage(measure.allowed, 1 - measure.quantile, measure.allowed - (1 - measure.quantile), route.currentOldSlow[n]));
        addWindow(route.slow[n], sample.count(), over, p0);
        pooled[n].add(sample.count(), over, p0);
        if (n < route.slowProof.size())
            addWindow(route.slowProof[n], sample.count(), sample.count() - over, 1 - unprovenSlowShare);
        if (route.check.until.value && route.check.measure == n + 1) {
            const LatencySketch& window = sketchOf(route.pendingOld, measure);
            const uint64_t oldOver = window.countOver(quantile);
            const auto total = static_cast<double>(sample.count() + window.count());
            route.check.events += over + oldOver;
            if (total > 0)
                addWindow(route.checkTests[n + 1], over + oldOver, over, std::clamp(static_cast<double>(sample.count()) / total, 0.01, 0.99));
        }
    }
}

static void checkErrors(RouteTests& route)
{
    if (!route.check.until.value || route.check.measure != 0)
        return;
    const VersionEvidence& now = route.pendingNew;
    const VersionEvidence& old = route.pendingOld;
    const double weighted = allowedOddsRatio * static_cast<double>(now.requests);
    const double total = weighted + static_cast<double>(old.requests);
    route.check.events += now.failures + old.failures;
    if (total > 0)
        addWindow(route.checkTests[0], now.failures + old.failures, now.failures, std::clamp(weighted / total, 0.01, 0.99));
}

static std::string percent(uint64_t count, uint64_t total)
{
    char text[64];
    std::snprintf(text, sizeof(text), "%.2f%% of %llu requests", total ? 100.0 * static_cast<double>(count) / static_cast<double>(total) : 0.0,
        static_cast<unsigned long long>(total));
    return text;
}

static std::string describeErrors(const std::string& name, const RouteTests& route)
{
    return "route " + name + ": failed " + percent(route.newTotal.failures, route.newTotal.requests) + ", old version "
        + percent(route.oldRecent.failures, route.oldRecent.requests);
}

static std::string describeLatency(const std::string& name, const RouteTests& route, size_t measure)
{
    const LatencyMeasure& it = measures[measure];
    char text[160];
    std::snprintf(text, sizeof(text), ": %s is %.0f ms, old version %.0f ms", it.name,
        sketchOf(route.newTotal, it).quantile(it.quantile),
        std::max(route.baselineLatency[measure], sketchOf(route.oldRecent, it).quantile(it.quantile)));
    return "route " + name + text;
}

static void markBad(ActiveMove& move, std::string reason)
{
    move.bad = true;
    move.badReason = std::move(reason);
}

/// False-alarm rate of one test. The tests of all routes and the pooled tests share half of the leader's rate; the tests of
/// checks share the other half.
static double testLevel(const ActiveMove& move, const MoveSettings& settings)
{
    return 0.5 * falseAlarmRateOfLeader(settings.falseAlarmRate, move.directive.leaders) / static_cast<double>(move.routes.size() + 1)
        / static_cast<double>(testsPerRoute);
}

/// Index of the first test that rejects, as in RouteCheck::measure; -1 if none does.
template <class Tests>
static int firstRejectingTest(const Tests& tests, double level)
{
    if (rejects(tests.errors, level))
        return 0;
    for (size_t n = 0; n < tests.slow.size(); ++n) {
        if (rejects(tests.slow[n], level))
            return static_cast<int>(n) + 1;
    }
    return -1;
}

static std::string describe(const std::string& name, const RouteTests& route, size_t measure)
{
    return measure == 0 ? describeErrors(name, route) : describeLatency(name, route, measure - 1);
}

static void restartTests(RouteTests& route)
{
    const double horizon = route.errors.horizon;
    const double gainLimit = route.slow[0].gainLimit;
    route.errors = { .horizon = horizon };
    route.slow.fill({ .horizon = horizon, .gainLimit = gainLimit });
}

static void startCheck(ActiveMove& move, RouteTests& route, size_t measure, const MoveSettings& settings, TimeMs now)
{
    route.check = { .until = now + settings.checkLength, .latest = now + settings.checkLength * 4, .measure = measure, .shareBefore = route.share };
    route.share = comparableShare;
    move.sharesChanged = true;
}

static void endCheck(ActiveMove& move, RouteTests& route)
{
    route.share = route.check.shareBefore;
    route.check = {};
    restartTests(route);
    move.sharesChanged = true;
}

static void evaluateCheck(ActiveMove& move, const std::string& name, RouteTests& route, const MoveSettings& settings, TimeMs now)
{
    if (rejects(route.checkTests[route.check.measure], testLevel(move, settings)))
        return markBad(move, describe(name, route, route.check.measure) + ", and worse than the old version at the same time");
    if (now < route.check.until)
        return;
    if (route.check.events < settings.minCheckEvents && now < route.check.latest)
        route.check.until = std::min(route.check.latest, now + settings.checkLength);
    else
        endCheck(move, route);
}

static void evaluateRoute(ActiveMove& move, const std::string& name, RouteTests& route, const MoveSettings& settings, TimeMs now)
{
    if (route.check.until.value)
        return evaluateCheck(move, name, route, settings, now);
    if (const int measure = firstRejectingTest(route, testLevel(move, settings)); measure >= 0) {
        if (route.share > comparableShare)
            return startCheck(move, route, static_cast<size_t>(measure), settings, now);
        return markBad(move, describe(name, route, static_cast<size_t>(measure)));
    }
    const double proof = settings.proofLevel;
    route.proven = route.proven
        || (rejects(route.errorsProof, proof) && rejects(route.slowProof[0], proof) && rejects(route.slowProof[1], proof));
}

static void evaluatePooled(ActiveMove& move, const MoveSettings& settings)
{
    const int measure = firstRejectingTest(move.pooled, testLevel(move, settings));
    if (measure < 0)
        return;
    std::string reason = "all routes together;";
    for (const auto& [name, route] : move.routes)
        reason += " " + describe(name, route, static_cast<size_t>(measure));
    markBad(move, std::move(reason));
}

static void halveEvidence(VersionEvidence& evidence)
{
    evidence.requests /= 2;
    evidence.failures /= 2;
    evidence.firstToken.halve();
    evidence.wholeRequest.halve();
}

static void halveOldEvidence(ActiveMove& move, TimeMs now)
{
    if (now < move.nextDecayAt)
        return;
    move.nextDecayAt = now + halvingInterval;
    for (auto& [name, route] : move.routes) {
        // Without traffic on the old version its last evidence cannot be renewed, so it keeps its weight.
        if (route.share < 1 && route.oldRecent.requests > minRequestsToHalve)
            halveEvidence(route.oldRecent);
    }
}

/// True while every route has enough traffic on the old version to be compared.
static bool isComparable(const ActiveMove& move)
{
    return std::all_of(move.routes.begin(), move.routes.end(),
        [](const auto& entry) { return entry.second.share <= comparableShare && !entry.second.check.until.value; });
}

void runWindowTests(ActiveMove& move, const MoveSettings& settings, TimeMs now)
{
    if (now < move.nextWindow)
        return;
    move.nextWindow = now + windowLength;
    halveOldEvidence(move, now);
    PooledWindow errors;
    std::array<PooledWindow, latencyMeasures> slow;
    const bool pool = isComparable(move);
    for (auto& [name, route] : move.routes) {
        const auto requests = static_cast<double>(route.pendingOld.requests + route.pendingNew.requests);
        ++route.rateWindows;
        // Plain mean of the first windows, then an exponential moving average.
        route.rate += (requests - route.rate) * std::max(1 / route.rateWindows, rateSmoothing);
        addDecaying(route.currentOldErrors, route.pendingOld.failures, route.pendingOld.requests);
        addEvidence(route.oldRecent, route.pendingOld);
        addEvidence(route.newTotal, route.pendingNew);
        testErrors(move, route, errors);
        testLatency(move, route, now, slow);
        checkErrors(route);
        route.pendingOld = {};
        route.pendingNew = {};
        if (!move.bad)
            evaluateRoute(move, name, route, settings, now);
    }
    if (!pool || move.bad)
        return;
    addPooled(move.pooled.errors, errors);
    for (size_t n = 0; n < slow.size(); ++n)
        addPooled(move.pooled.slow[n], slow[n]);
    evaluatePooled(move, settings);
}

template <class Tests>
static bool anyStatisticReaches(const Tests& tests, double statistic)
{
    return statisticOf(tests.errors) >= statistic
        || std::any_of(tests.slow.begin(), tests.slow.end(), [&](const auto& it) { return statisticOf(it) >= statistic; });
}

bool isSuspect(const ActiveMove& move, const RouteTests& route, const MoveSettings& settings)
{
    if (route.check.until.value || anyStatisticReaches(route, settings.suspicionThreshold) || anyStatisticReaches(move.pooled, settings.suspicionThreshold))
        return true;
    if (route.newTotal.requests < settings.minProofRequests)
        return false;
    // Also compares the error rate, less its deviation, with the accepted rate; proven routes get a larger allowance.
    const auto failures = static_cast<double>(route.newTotal.failures);
    const auto requests = static_cast<double>(route.newTotal.requests);
    const double deviation = std::sqrt(failures) * (1 + static_cast<double>(settings.minProofRequests) / requests);
    const double rate = (failures - deviation) / requests;
    return rate > oldErrorRate(route) + (route.proven ? 1.5 : 1.0) * move.rule.errors;
}

void storeBaselineLatency(RouteTests& route)
{
    for (size_t n = 0; n < measures.size(); ++n)
        route.baselineLatency[n] = std::max(route.baselineLatency[n], sketchOf(route.oldRecent, measures[n]).quantile(measures[n].quantile));
}

std::vector<RouteBaseline> baselinesOf(const ActiveMove& move)
{
    std::vector<RouteBaseline> out;
    out.reserve(move.routes.size());
    for (const auto& [name, route] : move.routes)
        out.push_back({ name, route.proven, route.oldRecent.requests, route.oldRecent.failures, route.baselineLatency });
    return out;
}

void restoreBaseline(RouteTests& route, const RouteBaseline& baseline)
{
    route.proven = baseline.proven;
    route.oldRecent.requests = baseline.requests;
    route.oldRecent.failures = baseline.failures;
    route.baselineLatency = baseline.latency;
}

}
