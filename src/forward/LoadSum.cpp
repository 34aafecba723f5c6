#include "forward/LoadSum.h"

#include "forward/MonotonicCounter.h"

#include <algorithm>

namespace siskinshunt {

void addTotals(MonotonicSum& state, NodeId node, const std::map<std::string, double>& totals)
{
    const auto [known, first] = state.highest.try_emplace(node);
    for (const auto& [name, total] : totals) {
        const double increase = advanceCounter(known->second[name], total);
        auto& sum = state.sum[name];
        if (!first)
            sum += increase;
    }
}

void rebaseTotals(MonotonicSum& state, NodeId node, const std::map<std::string, double>& totals)
{
    state.highest[node] = totals;
}

void addReport(SentReports& state, SentReport report)
{
    state.reports.push_back(std::move(report));
    if (state.reports.size() > SentReports::maxReports)
        state.reports.pop_front();
}

const SentReport* findReport(const SentReports& state, uint64_t number)
{
    const auto it = std::find_if(state.reports.begin(), state.reports.end(), [number](const auto& report) { return report.number == number; });
    return it == state.reports.end() ? nullptr : &*it;
}

std::map<UpstreamId, TargetLoad> subtractReport(std::map<UpstreamId, TargetLoad> sum, const SentReport* own)
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
