#include "versions/MoveSteps.h"

#include "base/Invariant.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace siskinshunt {

static constexpr std::array<double, 4> shareSteps { 0.1, 0.25, 0.5, 1.0 };

// Total requests of all routes after which their rates are accurate enough to split a budget.
static constexpr uint64_t minRequestsForSplit = 300;

// A new leader starts without evidence. Only after this time does little evidence mean that a route has little traffic.
static constexpr TimeMs minObservationTime { 60000 };

TimeMs latestShiftStart(const ActiveMove& move, const MoveSettings& settings)
{
    const TimeMs duration = move.rule.by - move.directive.started;
    return move.rule.by - settings.confirmMargin - TimeMs { static_cast<int64_t>(settings.shiftFraction * static_cast<double>(duration.value)) };
}

/// Splits `budget` requests/s evenly over the routes, with at most the share `cap` of each. A route with little traffic
/// thus sends a larger share of it than a busy one, and evidence accumulates at a similar rate on all routes.
static void splitBudget(std::map<std::string, RouteTests>& routes, double budget, double cap)
{
    std::vector<RouteTests*> byRate;
    byRate.reserve(routes.size());
    for (auto& [name, route] : routes)
        byRate.push_back(&route);
    std::sort(byRate.begin(), byRate.end(), [](const auto* a, const auto* b) { return a->rate < b->rate; });
    for (size_t n = 0; n < byRate.size(); ++n) {
        const double even = budget / static_cast<double>(byRate.size() - n);
        RouteTests& route = *byRate[n];
        route.share = route.rate > 0 ? std::min(cap, even / route.rate) : 0;
        budget -= route.share * route.rate;
    }
}

static void updateBurst(ActiveMove& move, const MoveSettings& settings, double dutyCycle, TimeMs now)
{
    if (now < move.nextBurst)
        return;
    move.bursting = !move.bursting || dutyCycle >= 1;
    const double pause = static_cast<double>(settings.burstLength.value) * (1 / std::max(dutyCycle, 0.01) - 1);
    move.nextBurst = now + (move.bursting ? settings.burstLength : TimeMs { static_cast<int64_t>(pause) });
}

bool planProving(ActiveMove& move, const MoveSettings& settings, TimeMs now)
{
    const bool due = now >= move.nextBurst;
    if (!due)
        return false;
    // The canary gets the load of one old runner. If that exceeds max-share, it gets it in bursts with max-share as the mean.
    const double fullLoad = 1.0 / (move.directive.oldRunners + 1);
    updateBurst(move, settings, move.rule.maxShare / fullLoad, now);
    const double share = move.directive.canary && move.bursting ? fullLoad : 0;
    double total = 0;
    uint64_t seen = 0;
    std::map<std::string, double> before;
    for (const auto& [name, route] : move.routes) {
        total += route.rate;
        seen += route.oldRecent.requests;
        before[name] = route.share;
    }
    // The split needs the rates of the routes. Until they are known, all routes send the same share.
    if (seen >= minRequestsForSplit)
        splitBudget(move.routes, share * total, std::max(share, settings.routeShareCap));
    bool changed = false;
    for (auto& [name, route] : move.routes) {
        if (seen < minRequestsForSplit)
            route.share = share;
        changed = changed || std::abs(route.share - before[name]) > 0.1 * std::max(route.share, before[name]);
    }
    return changed;
}

static double nextShare(double share)
{
    const auto it = std::upper_bound(shareSteps.begin(), shareSteps.end(), share + 1e-9);
    return it == shareSteps.end() ? 1.0 : *it;
}

static int64_t stepsLeft(double share)
{
    return std::count_if(shareSteps.begin(), shareSteps.end(), [&](double it) { return it > share + 1e-9; });
}

/// Largest share at which a new runner gets no more load than an old one had.
static double shareOfRunners(const ActiveMove& move)
{
    return move.directive.oldRunners ? std::min(1.0, static_cast<double>(move.newRunners) / move.directive.oldRunners) : 1.0;
}

static bool lacksTraffic(const RouteTests& route, const MoveSettings& settings)
{
    return !route.proven && route.newTotal.requests < settings.minProofRequests;
}

/// Routes with too little traffic for a proof can step once all others have moved at least half of theirs.
static bool canFollow(const ActiveMove& move, const MoveSettings& settings)
{
    return std::all_of(move.routes.begin(), move.routes.end(), [&](const auto& entry) {
        return lacksTraffic(entry.second, settings) || entry.second.share >= 0.5;
    });
}

static bool canStep(const ActiveMove& move, const RouteTests& route, const MoveSettings& settings, TimeMs now)
{
    const double to = nextShare(route.share);
    if (route.share >= 1 || isSuspect(move, route, settings) || (to > shareOfRunners(move) && move.newRunners < move.directive.oldRunners))
        return false;
    if (lacksTraffic(route, settings) && (!canFollow(move, settings) || now < move.observedSince + minObservationTime))
        return false;
    if (!route.proven && now < latestShiftStart(move, settings))
        return false;
    const int64_t left = move.rule.by.value - settings.confirmMargin.value - now.value;
    const int64_t stepInterval = std::max<int64_t>(0, left) / (stepsLeft(route.share) + 1);
    return now >= route.lastStep + TimeMs { std::clamp(stepInterval, settings.minStepInterval.value, settings.maxStepInterval.value) };
}

bool planShift(ActiveMove& move, const MoveSettings& settings, TimeMs now)
{
    bool changed = false;
    for (auto& [name, route] : move.routes) {
        if (!canStep(move, route, settings, now))
            continue;
        const double to = nextShare(route.share);
        INVARIANT(to > route.share && to <= 1, "a step raises the share", "route", name, "from", route.share, "to", to);
        route.share = to;
        route.lastStep = now;
        changed = true;
    }
    return changed;
}

bool allShifted(const ActiveMove& move)
{
    return std::all_of(move.routes.begin(), move.routes.end(), [](const auto& entry) { return entry.second.share >= 1; });
}

uint32_t neededRunners(const ActiveMove& move)
{
    double share = 0;
    for (const auto& [name, route] : move.routes)
        share = std::max(share, nextShare(route.share));
    return std::max<uint32_t>(1, static_cast<uint32_t>(std::ceil(share * move.directive.oldRunners)));
}

}
