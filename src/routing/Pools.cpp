#include "routing/Pools.h"

#include "routing/Subset.h"

#include <algorithm>

namespace siskinshunt {

static VersionGroup& groupFor(Pool& pool, const std::string& version)
{
    const auto it = std::find_if(pool.groups.begin(), pool.groups.end(), [&](const auto& group) { return group.version == version; });
    if (it != pool.groups.end())
        return *it;
    pool.groups.push_back({ .version = version });
    return pool.groups.back();
}

static void buildSubset(const Router& router, VersionGroup& group)
{
    std::vector<SubsetMember> members;
    for (uint32_t slot : group.members)
        members.push_back({ slot, router.rows[slot].hash, router.rows[slot].ownDomain });
    for (uint32_t slot : chooseSubset(members, router.options.subsetSize, router.options.self.value))
        group.subset.push_back({ slot, router.rows[slot].hash });
}

static void releaseEjected(Router& router, Pool& pool)
{
    const auto sooner = [&](uint32_t a, uint32_t b) { return router.rows[a].health.ejectedUntil < router.rows[b].health.ejectedUntil; };
    std::sort(pool.ejectedSlots.begin(), pool.ejectedSlots.end(), sooner);
    while (pool.ejectedSlots.size() > ejectionLimit(pool.members)) {
        router.rows[pool.ejectedSlots.front()].health.ejected = false;
        pool.ejectedSlots.erase(pool.ejectedSlots.begin());
    }
}

void refreshPool(Router& router, Pool& pool)
{
    if (!pool.stale)
        return;
    pool.stale = false;
    pool.groups.clear();
    pool.ejectedSlots.clear();
    pool.members = 0;
    for (uint32_t slot = 0; slot < router.rows.size(); ++slot) {
        const auto& row = router.rows[slot];
        if (!row.used || !row.target.acceptsWork || &router.pools[row.target.pool] != &pool)
            continue;
        ++pool.members;
        groupFor(pool, row.target.version).members.push_back(slot);
        if (row.health.ejected)
            pool.ejectedSlots.push_back(slot);
    }
    for (auto& group : pool.groups)
        buildSubset(router, group);
    releaseEjected(router, pool);
}

const VersionGroup* findGroup(const Pool& pool, std::string_view version)
{
    const auto it = std::find_if(pool.groups.begin(), pool.groups.end(), [&](const auto& group) { return group.version == version; });
    return it == pool.groups.end() ? nullptr : &*it;
}

void recordSentTokens(Pool& pool, int priority, uint32_t tokens)
{
    constexpr double decay = 0.998; // Averages over about the last 500 calls.
    for (auto& it : pool.recentTokens)
        it *= decay;
    pool.recentTokens[priority] += tokens;
}

double shareUpToPriority(const Pool& pool, int priority)
{
    double upTo = 0;
    double all = 0;
    for (int n = 0; n < priorityCount; ++n) {
        all += pool.recentTokens[n];
        upTo += n <= priority ? pool.recentTokens[n] : 0;
    }
    return all > 0 ? upTo / all : 1;
}

void recordCallDuration(Pool& pool, TimeMs duration)
{
    constexpr double weight = 0.02; // Averages over about the last 50 calls.
    pool.callMs += weight * (static_cast<double>(duration.value) - pool.callMs);
}

}
