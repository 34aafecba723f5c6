#include "capacity/Capacity.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

/// Holt's linear exponential smoothing, with weights from the time between samples.
static double smooth(const CapacityOptions& options, SmoothedDemand& state, TimeMs now, double value, TimeMs ahead)
{
    if (state.at == TimeMs {}) {
        state = { now, value, 0 };
        return value;
    }
    const double passed = (now - state.at).seconds();
    if (passed > 0) {
        const double predicted = state.level + state.trend * passed;
        const double before = state.level;
        state.level = predicted + (value - predicted) * (1 - std::exp(-passed / options.levelTimeConstant.seconds()));
        state.trend += ((state.level - before) / passed - state.trend) * (1 - std::exp(-passed / options.trendTimeConstant.seconds()));
        state.at = now;
    }
    // A falling trend is not extrapolated, because a stop can wait and a start cannot.
    return std::max(0.0, state.level + std::max(0.0, state.trend) * ahead.seconds());
}

std::map<std::string, ModelNeed> forecastDemand(CapacityPlanner& planner, TimeMs now, const CapacityInputs& inputs)
{
    std::map<std::string, int> top;
    for (const auto& it : inputs.demand) {
        const auto known = top.find(it.model);
        if (known == top.end() || it.priority < known->second)
            top[it.model] = it.priority;
    }
    std::map<std::string, ModelNeed> needs;
    for (const auto& it : inputs.demand) {
        TimeMs ahead;
        for (const auto& shape : inputs.shapes) {
            if (shape.model == it.model)
                ahead = std::max(ahead, shape.startTime);
        }
        const auto& options = planner.options;
        const double tokens = smooth(options, planner.demand[{ it.model, it.className, false }], now, it.tokensPerSecond, ahead) / options.utilisation;
        const double requests = smooth(options, planner.demand[{ it.model, it.className, true }], now, it.requestsPerSecond, ahead) / options.utilisation;
        ModelNeed& need = needs[it.model];
        need.allTokens += tokens;
        need.allRequests += requests;
        if (it.priority == top[it.model]) {
            need.topTokens += tokens;
            need.topRequests += requests;
        }
    }
    return needs;
}

}
