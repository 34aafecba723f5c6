#include "forward/DomainSpending.h"

#include <algorithm>

namespace siskinshunt {

// A hub that is not heard for longer is taken to have been replaced; sums come several times a second.
static constexpr TimeMs maxSumGap { 1000 };
// A hub that has restarted sends a lower sum; an old sum that arrives late is followed by a newer one sooner.
static constexpr TimeMs restartConfirmation { 1000 };
static constexpr size_t maxHubs = 16;

static SumContinuity continuityOf(const DomainSpending& domain, TimeMs now, NodeId hub)
{
    if (!domain.lastHub)
        return SumContinuity::First;
    const auto it = domain.sums.find(hub);
    if (it == domain.sums.end())
        return SumContinuity::Rebased;
    // After a silence of the only hub, its nodes have reported to no other one.
    return now - it->second.heardAt <= maxSumGap || domain.lastHub == hub ? SumContinuity::Continued : SumContinuity::Rebased;
}

static double valueOf(const std::map<std::string, double>& map, const std::string& key)
{
    const auto it = map.find(key);
    return it == map.end() ? 0 : it->second;
}

// Refunds lower a node's total for a moment, but not the sum.
static double ownIncrease(DomainSpending::Sum& sum, const std::string& account, const std::map<std::string, double>* own)
{
    if (!own)
        return 0;
    double& highest = sum.own[account];
    const double increase = std::max(0.0, valueOf(*own, account) - highest);
    highest += increase;
    return increase;
}

static bool isLower(const DomainSpending::Sum& sum, const std::map<std::string, double>& totals)
{
    return std::any_of(sum.totals.begin(), sum.totals.end(), [&](const auto& it) { return valueOf(totals, it.first) < it.second; });
}

// Whether the totals are those of a hub that has restarted, so that the sum begins anew.
static bool hasRestarted(DomainSpending::Sum& sum, TimeMs now, const std::map<std::string, double>& totals)
{
    if (!isLower(sum, totals)) {
        sum.lowerSince = {};
        return false;
    }
    if (!sum.lowerSince.value)
        sum.lowerSince = now;
    return now - sum.lowerSince >= restartConfirmation;
}

static void forgetOldest(DomainSpending& domain)
{
    const auto oldest = std::min_element(domain.sums.begin(), domain.sums.end(), [](const auto& a, const auto& b) { return a.second.heardAt < b.second.heardAt; });
    domain.sums.erase(oldest);
}

SumContinuity addDomainSum(DomainSpending& domain, TimeMs now, NodeId hub, const std::map<std::string, double>& totals, const std::map<std::string, double>* own)
{
    const SumContinuity continuity = continuityOf(domain, now, hub);
    if (domain.sums.size() >= maxHubs && !domain.sums.contains(hub))
        forgetOldest(domain);
    auto& sum = domain.sums[hub];
    if (continuity != SumContinuity::Continued || hasRestarted(sum, now, totals)) {
        sum.totals = totals;
        sum.lowerSince = {};
        sum.own = own ? *own : std::map<std::string, double> {};
    }
    if (continuity == SumContinuity::First) {
        for (const auto& [account, total] : totals)
            domain.others[account] = std::max(0.0, total - valueOf(sum.own, account));
    }
    for (const auto& [account, total] : totals) {
        double& highest = sum.totals[account];
        const double increase = std::max(0.0, total - highest);
        highest += increase;
        domain.others[account] += std::max(0.0, increase - ownIncrease(sum, account, own));
    }
    sum.heardAt = domain.heardAt = now;
    domain.lastHub = hub;
    return continuity;
}

}
