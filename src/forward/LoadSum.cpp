#include "forward/LoadSum.h"

#include <algorithm>

namespace siskinshunt {

// A total below this part of the last one is that of a node that has started again.
static constexpr double newProcessPart = 0.5;

void addTotals(RisingSum& state, NodeId node, const std::map<std::string, double>& totals)
{
    const auto [known, first] = state.last.try_emplace(node);
    for (const auto& [name, total] : totals) {
        auto& last = known->second[name];
        auto& sum = state.sum[name];
        // Costs that were given back lower a total a little; what is spent next makes up for it.
        const bool newProcess = total < last * newProcessPart;
        if (!first)
            sum += newProcess ? std::max(total, 0.0) : std::max(total - last, 0.0);
        last = newProcess ? total : std::max(total, last);
    }
}

void keepReport(SentReports& state, SentReport report)
{
    state.reports.push_back(std::move(report));
    if (state.reports.size() > SentReports::kept)
        state.reports.pop_front();
}

const SentReport* findReport(const SentReports& state, uint64_t number)
{
    const auto it = std::find_if(state.reports.begin(), state.reports.end(), [number](const auto& report) { return report.number == number; });
    return it == state.reports.end() ? nullptr : &*it;
}

std::map<UpstreamId, TargetLoad> withoutReport(std::map<UpstreamId, TargetLoad> sum, const SentReport* own)
{
    if (!own)
        return sum;
    for (const auto& [id, load] : own->loads) {
        if (const auto it = sum.find(id); it != sum.end())
            it->second -= load;
    }
    return sum;
}

}
