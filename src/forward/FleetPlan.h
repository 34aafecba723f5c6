#pragma once

#include "base/TimeMs.h"
#include "rules/RuleSet.h"

#include <map>
#include <string>

namespace siskinshunt {

struct FleetPlanOptions {
    /// Planned engines per busy engine. The number of busy engines is the minimum for an evenly distributed load, computed
    /// from the share of time that engines spend on prefill. Twice that number keeps the time to the first event near that
    /// of an idle engine and covers bursts and crashes.
    double capacityFactor = 3.0;
    /// Above this number of busy engines, the excess of the factors over `minCapacityFactor` and `minOnDemandFactor` adds
    /// engines only in proportion to the square root, because bursts of many independent callers average out.
    double fullFactorEngines = 10;
    double minCapacityFactor = 1.6;
    /// On-demand instances per busy engine: they have to carry the load when all reclaimable ones are reclaimed at once.
    double onDemandFactor = 1.25;
    double minOnDemandFactor = 1.0;
    /// Instances per busy engine that are provided on demand while no reclaimable ones are available.
    double fallbackFactor = 1.7;
    /// Weight of slots in use: an engine with all slots in use counts as this fraction of a busy engine.
    double slotWeight = 0.5;
    uint32_t spareEngines = 1; ///< Added to the plan to cover a crash.
    TimeMs peakTimeConstant { 20000 }; ///< Time constant of the decay of a load peak.
};

/// Estimate of a backend's load from the reports of nodes. The prefill rate that they estimate falls when engines are
/// overloaded, and a plan based on that lower rate would order far too many instances.
struct DemandEstimate {
    double promptTokensPerSecond = 0; ///< Prompt tokens to prefill, moving average.
    double observedSeconds = 0; ///< Since the first step, limited to a few time constants of the average.
    double tokensPerMs = 0; ///< Latest estimate of one engine's prefill rate; 0 if there is none yet.
    double peakTokensPerMs = 0; ///< Highest rate seen, with slow decay.
};

/// Adds the tokens of a step of this many seconds to the average.
void updateEstimate(DemandEstimate&, double tokens, double seconds);
/// Prompt tokens per second, corrected for the start-up bias of the moving average.
double promptTokensPerSecond(const DemandEstimate&);
/// Prefill rate of one engine to plan with.
double planningTokensPerMs(const DemandEstimate&);

/// Load of a backend over all nodes.
struct FleetDemand {
    double promptTokensPerSecond = 0; ///< Prompt tokens that engines have to prefill.
    double running = 0; ///< Requests in flight.
    double tokensPerMs = 0; ///< Prefill rate of one engine.
};

/// Instances that announce themselves in one failure domain.
struct DomainFleet {
    uint32_t onDemand = 0;
    uint32_t reclaimable = 0;
    uint32_t coldOnDemand = 0; ///< Of these, cold: they serve only a little yet, so others are not given up for them.
    uint32_t coldReclaimable = 0;
};

/// Instances that are wanted in one failure domain.
struct DomainPlan {
    uint32_t onDemand = 0;
    uint32_t reclaimable = 0;

    bool operator==(const DomainPlan&) const = default;
};

/// Number of engines that the demand would keep fully busy.
double busyEngines(const FleetPlanOptions&, const BackendRule&, const FleetDemand&);

/// Plans the number of instances for this many busy engines. Without available reclaimable instances, on-demand ones
/// replace them. `present` has an entry for each domain in which the backend runs.
std::map<std::string, DomainPlan> planFleet(const FleetPlanOptions&, const BackendRule&, double busy, const std::map<std::string, DomainFleet>& present, bool reclaimableAvailable);

}
