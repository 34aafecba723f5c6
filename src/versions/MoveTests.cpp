#include "versions/MoveSteps.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace siskinshunt {

static constexpr TimeMs windowLength { 1000 };
static constexpr TimeMs fadeInterval { 300000 };
static constexpr double fadePerWindow = 0.933; // Half in 10 windows.
static constexpr size_t testsPerRoute = 1 + latencyMeasures;
// A latency measure is compared only on this many requests of the old version; before, its quantiles are too rough.
static constexpr uint64_t minBaseline = 100;

struct LatencyMeasure {
    const char* name;
    bool firstToken;
    double quantile;
    double allowed; ///< Share of the new version's requests over `slower` times the old version's quantile.
};

// A version that is exactly `slower` times as slow has 1 - quantile; the rest covers the error of the estimated quantile.
static constexpr std::array<LatencyMeasure, latencyMeasures> measures { {
    { "first token at 50%", true, 0.5, 0.55 },
    { "whole request at 50%", false, 0.5, 0.55 },
    { "first token at 90%", true, 0.9, 0.13 },
    { "whole request at 90%", false, 0.9, 0.13 },
} };
// A version counts as proven fast when it rejects this share at the median.
static constexpr double slowAtMedian = 0.7;

static const LatencySketch& sketchOf(const VersionEvidence& evidence, const LatencyMeasure& measure)
{
    return measure.firstToken ? evidence.firstToken : evidence.whole;
}

static void addEvidence(VersionEvidence& to, const VersionEvidence& from)
{
    to.requests += from.requests;
    to.failures += std::min(from.failures, from.requests);
    to.firstToken.merge(from.firstToken);
    to.whole.merge(from.whole);
}

void takeEvidence(ActiveMove& move, const Evidence& evidence)
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

static void addFading(FadingRate& rate, uint64_t hits, uint64_t trials)
{
    rate.hits = rate.hits * fadePerWindow + static_cast<double>(hits);
    rate.trials = rate.trials * fadePerWindow + static_cast<double>(trials);
}

/// The bound, or the old version's present rate if that is clearly above it: then both versions suffer from something else.
static double withOutage(double bound, const FadingRate& now)
{
    if (now.trials < 1 || (now.hits - 3 * std::sqrt(now.hits)) / now.trials <= bound)
        return bound;
    return std::min(1.0, (now.hits + 2 * std::sqrt(now.hits)) / now.trials);
}

/// Upper estimate of the old version's error rate.
static double oldErrorRate(const RouteTests& route)
{
    const auto failures = static_cast<double>(route.oldRecent.failures);
    return std::min(1.0, (failures + 1.5 * std::sqrt(failures + 1) + 1) / (static_cast<double>(route.oldRecent.requests) + 20));
}

static void testErrors(ActiveMove& move, RouteTests& route)
{
    const VersionEvidence& now = route.pendingNew;
    const double bound = oldErrorRate(route) + move.rule.errors;
    const double p0 = std::min(0.999, withOutage(bound, route.oldErrorsNow));
    addWindow(route.errors, now.requests, now.failures, p0);
    const double tooMany = std::min(0.99, bound + std::max(move.rule.errors, 0.005));
    addWindow(route.errorsProof, now.requests, now.requests - now.failures, 1 - tooMany);
}

static void testLatency(ActiveMove& move, RouteTests& route, TimeMs now)
{
    for (size_t n = 0; n < measures.size(); ++n) {
        const LatencyMeasure& measure = measures[n];
        const LatencySketch& old = sketchOf(route.oldRecent, measure);
        double quantile = route.frozen[n];
        if (old.count() >= minBaseline) {
            const double recent = old.quantile(measure.quantile);
            const LatencySketch& window = sketchOf(route.pendingOld, measure);
            addFading(route.oldSlowNow[n], window.countOver(recent), window.count());
            quantile = std::max(quantile, recent);
        }
        const LatencySketch& sample = sketchOf(route.pendingNew, measure);
        if (quantile <= 0 || now < move.warmUntil)
            continue;
        const uint64_t over = sample.countOver(quantile * std::max(1.0, move.rule.slower));
        addWindow(route.slow[n], sample.count(), over, std::min(0.98, withOutage(measure.allowed, route.oldSlowNow[n])));
        if (n < route.slowProof.size())
            addWindow(route.slowProof[n], sample.count(), sample.count() - over, 1 - slowAtMedian);
    }
}

static std::string percent(uint64_t part, uint64_t whole)
{
    char text[64];
    std::snprintf(text, sizeof(text), "%.2f%% of %llu requests", whole ? 100.0 * static_cast<double>(part) / static_cast<double>(whole) : 0.0,
        static_cast<unsigned long long>(whole));
    return text;
}

static void judge(ActiveMove& move, const std::string& name, RouteTests& route, const MoveSettings& settings)
{
    const double level = falseAlarmOfLeader(settings.falseAlarm, move.directive.leaders) / static_cast<double>(move.routes.size())
        / static_cast<double>(testsPerRoute);
    if (rejects(route.errors, level)) {
        move.bad = true;
        move.badReason = "route " + name + ": failed " + percent(route.newTotal.failures, route.newTotal.requests)
            + ", old version " + percent(route.oldRecent.failures, route.oldRecent.requests);
        return;
    }
    for (size_t n = 0; n < measures.size(); ++n) {
        if (!rejects(route.slow[n], level))
            continue;
        char text[160];
        std::snprintf(text, sizeof(text), ": %s is %.0f ms, old version %.0f ms", measures[n].name,
            sketchOf(route.newTotal, measures[n]).quantile(measures[n].quantile),
            std::max(route.frozen[n], sketchOf(route.oldRecent, measures[n]).quantile(measures[n].quantile)));
        move.bad = true;
        move.badReason = "route " + name + text;
        return;
    }
    const double proof = settings.proofLevel;
    route.proven = route.proven
        || (rejects(route.errorsProof, proof) && rejects(route.slowProof[0], proof) && rejects(route.slowProof[1], proof));
}

static void fade(VersionEvidence& evidence)
{
    evidence.requests /= 2;
    evidence.failures /= 2;
    evidence.firstToken.halve();
    evidence.whole.halve();
}

static void fadeOld(ActiveMove& move, TimeMs now)
{
    if (now < move.fadeAt)
        return;
    move.fadeAt = now + fadeInterval;
    for (auto& [name, route] : move.routes) {
        // Without new traffic the last picture of the old version has to last.
        if (route.share < 1 && route.oldRecent.requests > 2000)
            fade(route.oldRecent);
    }
}

void testWindow(ActiveMove& move, const MoveSettings& settings, TimeMs now)
{
    if (now < move.nextWindow)
        return;
    move.nextWindow = now + windowLength;
    fadeOld(move, now);
    for (auto& [name, route] : move.routes) {
        const auto requests = static_cast<double>(route.pendingOld.requests + route.pendingNew.requests);
        route.rate = route.rate > 0 ? 0.97 * route.rate + 0.03 * requests : requests;
        addFading(route.oldErrorsNow, route.pendingOld.failures, route.pendingOld.requests);
        addEvidence(route.oldRecent, route.pendingOld);
        addEvidence(route.newTotal, route.pendingNew);
        testErrors(move, route);
        testLatency(move, route, now);
        route.pendingOld = {};
        route.pendingNew = {};
        if (!move.bad)
            judge(move, name, route, settings);
    }
}

bool isSuspect(const ActiveMove& move, const RouteTests& route, const MoveSettings& settings)
{
    if (statisticOf(route.errors) >= settings.suspicion)
        return true;
    if (std::any_of(route.slow.begin(), route.slow.end(), [&](const auto& it) { return statisticOf(it) >= settings.suspicion; }))
        return true;
    if (route.newTotal.requests < settings.thinRoute)
        return false;
    const double rate = static_cast<double>(route.newTotal.failures) / static_cast<double>(route.newTotal.requests);
    return rate > oldErrorRate(route) + 1.5 * move.rule.errors;
}

void freezeLatency(RouteTests& route)
{
    for (size_t n = 0; n < measures.size(); ++n)
        route.frozen[n] = std::max(route.frozen[n], sketchOf(route.oldRecent, measures[n]).quantile(measures[n].quantile));
}

}
