#include "forward/FleetPlan.h"

#include "forward/PrefillEstimator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace siskinshunt {

// Time constants: of the average load, which follows a burst within its length, and of the best pace.
static constexpr double demandMemorySeconds = 3;
static constexpr double paceMemorySeconds = 60;

void updateEstimate(DemandEstimate& estimate, double tokens, double seconds)
{
    const double keep = std::exp(-seconds / demandMemorySeconds);
    estimate.promptTokensPerSecond = estimate.promptTokensPerSecond * keep + tokens / seconds * (1 - keep);
    estimate.observedSeconds = std::min(estimate.observedSeconds + seconds, demandMemorySeconds * 10);
    estimate.peakTokensPerMs = std::max(estimate.peakTokensPerMs * std::exp(-seconds / paceMemorySeconds), estimate.tokensPerMs);
}

double promptTokensPerSecond(const DemandEstimate& estimate)
{
    const double weight = 1 - std::exp(-estimate.observedSeconds / demandMemorySeconds);
    return weight > 0 ? estimate.promptTokensPerSecond / weight : 0;
}

double planningTokensPerMs(const DemandEstimate& estimate)
{
    if (estimate.tokensPerMs <= 0)
        return PrefillEstimator {}.tokensPerMs;
    return std::max(estimate.tokensPerMs, estimate.peakTokensPerMs * minPrefillRateFraction);
}

double busyEngines(const FleetPlanOptions& options, const BackendRule& backend, const FleetDemand& demand)
{
    const double reading = demand.tokensPerMs > 0 ? demand.promptTokensPerSecond / (demand.tokensPerMs * 1000) : 0;
    const double slots = backend.slots ? demand.running / backend.slots : 0;
    return reading + options.slotWeight * slots;
}

static double priceOf(const BackendRule& backend, const std::string& domain)
{
    const auto it = std::find_if(backend.prices.begin(), backend.prices.end(), [&](const auto& price) { return price.domain == domain; });
    return it == backend.prices.end() ? 1 : it->factor;
}

// Spreads a number over the domains in rounds, the cheapest first, up to each one's limit.
static uint32_t spread(uint32_t wanted, const std::vector<std::string>& domains, const std::map<std::string, uint32_t>& room, std::map<std::string, uint32_t>& out)
{
    bool placed = true;
    while (wanted && placed) {
        placed = false;
        for (const auto& domain : domains) {
            if (!wanted || out[domain] >= room.at(domain))
                continue;
            ++out[domain];
            --wanted;
            placed = true;
        }
    }
    return wanted;
}

// The factor for this many busy engines, between its value for few and its least one.
static double evenedOut(const FleetPlanOptions& options, double factor, double least, double busy)
{
    if (busy <= options.fullFactorEngines || factor <= least)
        return factor;
    return least + (factor - least) * std::sqrt(options.fullFactorEngines / busy);
}

std::map<std::string, DomainPlan> planFleet(const FleetPlanOptions& options, const BackendRule& backend, double busy, const std::map<std::string, DomainFleet>& present, bool supply)
{
    std::vector<std::string> domains;
    uint32_t reclaimablePresent = 0;
    for (const auto& [domain, fleet] : present) {
        domains.push_back(domain);
        reclaimablePresent += fleet.reclaimable;
    }
    std::stable_sort(domains.begin(), domains.end(), [&](const auto& a, const auto& b) { return priceOf(backend, a) < priceOf(backend, b); });
    const auto total = static_cast<uint32_t>(std::ceil(busy * evenedOut(options, options.capacityFactor, options.minCapacityFactor, busy))) + options.spareEngines;
    const uint32_t least = backend.minInstances * static_cast<uint32_t>(domains.size());
    uint32_t onDemand = std::max(least, static_cast<uint32_t>(std::ceil(busy * evenedOut(options, options.onDemandFactor, options.minOnDemandFactor, busy))));
    const uint32_t loosePlanned = total > onDemand ? total - onDemand : 0;
    if (!supply) {
        const auto needed = std::min(total, static_cast<uint32_t>(std::ceil(busy * options.fallbackFactor)) + options.spareEngines);
        onDemand = std::max(onDemand, needed - std::min(needed, reclaimablePresent));
    }
    std::map<std::string, uint32_t> room;
    std::map<std::string, uint32_t> fixed;
    std::map<std::string, uint32_t> loose;
    for (const auto& domain : domains)
        room[domain] = backend.maxInstances;
    // The domains with the same number of instances share the loss of one of them best.
    spread(onDemand, domains, room, fixed);
    for (const auto& domain : domains)
        room[domain] = backend.maxInstances - fixed[domain];
    spread(loosePlanned, domains, room, loose);
    std::map<std::string, DomainPlan> plan;
    for (const auto& domain : domains)
        plan[domain] = { fixed[domain], loose[domain] };
    return plan;
}

}
