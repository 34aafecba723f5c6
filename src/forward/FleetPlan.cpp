#include "forward/FleetPlan.h"

#include "forward/PrefillEstimator.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace siskinshunt {

// Time constants of the average load, short enough to follow a burst while it lasts, and of the peak prefill rate.
static constexpr double demandTimeConstantSeconds = 3;
static constexpr double peakTimeConstantSeconds = 60;

void updateEstimate(DemandEstimate& estimate, double tokens, double seconds)
{
    const double decay = std::exp(-seconds / demandTimeConstantSeconds);
    estimate.promptTokensPerSecond = estimate.promptTokensPerSecond * decay + tokens / seconds * (1 - decay);
    estimate.observedSeconds = std::min(estimate.observedSeconds + seconds, demandTimeConstantSeconds * 10);
    estimate.peakTokensPerMs = std::max(estimate.peakTokensPerMs * std::exp(-seconds / peakTimeConstantSeconds), estimate.tokensPerMs);
}

double promptTokensPerSecond(const DemandEstimate& estimate)
{
    const double weight = 1 - std::exp(-estimate.observedSeconds / demandTimeConstantSeconds);
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
    const double prefill = demand.tokensPerMs > 0 ? demand.promptTokensPerSecond / (demand.tokensPerMs * 1000) : 0;
    const double slots = backend.slots ? demand.running / backend.slots : 0;
    return prefill + options.slotWeight * slots;
}

static double priceOf(const BackendRule& backend, const std::string& domain)
{
    const auto it = std::find_if(backend.prices.begin(), backend.prices.end(), [&](const auto& price) { return price.domain == domain; });
    return it == backend.prices.end() ? 1 : it->factor;
}

// Distributes instances over the domains round-robin, the cheapest first, up to each domain's capacity. Returns the rest.
static uint32_t distribute(uint32_t count, const std::vector<std::string>& domains, const std::map<std::string, uint32_t>& capacity, std::map<std::string, uint32_t>& out)
{
    bool progress = true;
    while (count && progress) {
        progress = false;
        for (const auto& domain : domains) {
            if (!count || out[domain] >= capacity.at(domain))
                continue;
            ++out[domain];
            --count;
            progress = true;
        }
    }
    return count;
}

// Scales the factor from its value for few busy engines towards its minimum.
static double scaledFactor(const FleetPlanOptions& options, double factor, double minimum, double busy)
{
    if (busy <= options.fullFactorEngines || factor <= minimum)
        return factor;
    return minimum + (factor - minimum) * std::sqrt(options.fullFactorEngines / busy);
}

std::map<std::string, DomainPlan> planFleet(const FleetPlanOptions& options, const BackendRule& backend, double busy, const std::map<std::string, DomainFleet>& present, bool reclaimableAvailable)
{
    std::vector<std::string> domains;
    uint32_t reclaimablePresent = 0;
    for (const auto& [domain, fleet] : present) {
        domains.push_back(domain);
        reclaimablePresent += fleet.reclaimable;
    }
    std::stable_sort(domains.begin(), domains.end(), [&](const auto& a, const auto& b) { return priceOf(backend, a) < priceOf(backend, b); });
    const auto total = static_cast<uint32_t>(std::ceil(busy * scaledFactor(options, options.capacityFactor, options.minCapacityFactor, busy))) + options.spareEngines;
    const uint32_t minimum = backend.minInstances * static_cast<uint32_t>(domains.size());
    uint32_t onDemand = std::max(minimum, static_cast<uint32_t>(std::ceil(busy * scaledFactor(options, options.onDemandFactor, options.minOnDemandFactor, busy))));
    const uint32_t reclaimableWanted = total > onDemand ? total - onDemand : 0;
    if (!reclaimableAvailable) {
        const auto needed = std::min(total, static_cast<uint32_t>(std::ceil(busy * options.fallbackFactor)) + options.spareEngines);
        onDemand = std::max(onDemand, needed - std::min(needed, reclaimablePresent));
    }
    std::map<std::string, uint32_t> capacity;
    std::map<std::string, uint32_t> onDemandByDomain;
    std::map<std::string, uint32_t> reclaimableByDomain;
    for (const auto& domain : domains)
        capacity[domain] = backend.maxInstances;
    // Equal numbers per domain minimize the loss when a domain fails.
    distribute(onDemand, domains, capacity, onDemandByDomain);
    for (const auto& domain : domains)
        capacity[domain] = backend.maxInstances - onDemandByDomain[domain];
    distribute(reclaimableWanted, domains, capacity, reclaimableByDomain);
    std::map<std::string, DomainPlan> plan;
    for (const auto& domain : domains)
        plan[domain] = { onDemandByDomain[domain], reclaimableByDomain[domain] };
    return plan;
}

}
