#pragma once

#include "base/TimeMs.h"
#include "rules/RuleSet.h"

#include <map>
#include <string>

namespace siskinshunt {

struct FleetPlanOptions {
    /// Engines that the load needs at least, when it comes evenly: from an engine's share of time spent on prompts alone.
    /// Twice of it keeps the time to the first event near that of an idle engine, and covers bursts and crashes.
    double capacityFactor = 3.0;
    /// Beyond this many busy engines the part above `minCapacityFactor` and `minOnDemandFactor` grows with the square root only: bursts of
    /// many independent callers even out.
    double fullFactorEngines = 10;
    double minCapacityFactor = 1.6;
    /// What remains when all reclaimable instances are taken back at once still has to carry the load.
    double onDemandFactor = 1.25;
    double minOnDemandFactor = 1.0;
    /// What is kept up with on-demand instances while reclaimable ones cannot be had.
    double fallbackFactor = 1.7;
    /// Part of an engine's slots in use that counts as much as an engine whose time is full.
    double slotWeight = 0.5;
    uint32_t spareEngines = 1; ///< Engines on top, for a crash.
    TimeMs peakTimeConstant { 20000 }; ///< Time constant in which a former peak of the load is forgotten.
};

/// Estimate of a backend's load, from what nodes report. The pace that they learn falls when engines are crowded, and a
/// plan that follows it down orders far too many instances.
struct DemandEstimate {
    double promptTokensPerSecond = 0; ///< Prompt tokens to read, moving average.
    double observedSeconds = 0; ///< Since the first step, up to a few times the memory of the average.
    double tokensPerMs = 0; ///< Of one engine, as learnt last; 0 before.
    double peakTokensPerMs = 0; ///< The fastest pace seen, forgotten slowly.
};

/// Takes the tokens of a step of this many seconds into the average.
void updateEstimate(DemandEstimate&, double tokens, double seconds);
/// Prompt tokens per second, without the bias of an average that has just begun.
double promptTokensPerSecond(const DemandEstimate&);
/// Pace to plan with.
double planningTokensPerMs(const DemandEstimate&);

/// Load of a backend over all nodes.
struct FleetDemand {
    double promptTokensPerSecond = 0; ///< Prompt tokens that engines have to read.
    double running = 0; ///< Requests under way.
    double tokensPerMs = 0; ///< What one engine reads.
};

/// Instances that announce themselves in one failure domain.
struct DomainFleet {
    uint32_t onDemand = 0;
    uint32_t reclaimable = 0;
};

/// Instances that are wanted in one failure domain.
struct DomainPlan {
    uint32_t onDemand = 0;
    uint32_t reclaimable = 0;

    bool operator==(const DomainPlan&) const = default;
};

/// Engines that the demand keeps busy all the time.
double busyEngines(const FleetPlanOptions&, const BackendRule&, const FleetDemand&);

/// How many instances are wanted, for this many busy engines. `supply` tells whether reclaimable instances can be had at
/// the moment; without them the on-demand ones take their place. The domains are those in which the backend runs.
std::map<std::string, DomainPlan> planFleet(const FleetPlanOptions&, const BackendRule&, double busy, const std::map<std::string, DomainFleet>& present, bool supply);

}
