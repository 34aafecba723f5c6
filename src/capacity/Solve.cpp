#include "capacity/Capacity.h"

#include <algorithm>
#include <utility>

namespace siskinshunt {

namespace {

    /// Covered parts of the requirements. One requirement is all demand with every domain there, and one per domain is the
    /// highest class with that domain gone; each is covered when its sum reaches 1.
    class Coverage {
    public:
        Coverage(const ModelNeed& need, const std::vector<PoolCandidate>& pools, const std::vector<InstancesRule>& rules)
            : m_pools(&pools)
            , m_rules(&rules)
            , m_counts(pools.size(), 0)
            , m_ruleCounts(rules.size(), 0)
        {
            std::vector<std::string> domains;
            domains.reserve(pools.size());
            for (const auto& pool : pools)
                domains.push_back(pool.key.domain);
            std::sort(domains.begin(), domains.end());
            domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
            // Without demand there is nothing to cover.
            m_sums.assign(domains.size() + 1, need.topTokens > 0 || need.topRequests > 0 ? 0 : 1);
            m_sums[0] = need.allTokens > 0 || need.allRequests > 0 ? 0 : 1;
            for (const auto& pool : pools) {
                m_domains.push_back(static_cast<size_t>(std::lower_bound(domains.begin(), domains.end(), pool.key.domain) - domains.begin()));
                m_allShares.push_back(share(pool, need.allTokens, need.allRequests));
                m_topShares.push_back(share(pool, need.topTokens, need.topRequests));
            }
        }

        bool mayAdd(size_t n) const
        {
            return m_counts[n] < pool(n).limit && m_ruleCounts[pool(n).rule] < (*m_rules)[pool(n).rule].max;
        }

        bool mayRemove(size_t n) const
        {
            return m_counts[n] > 0 && m_ruleCounts[pool(n).rule] > (*m_rules)[pool(n).rule].min;
        }

        void change(size_t n, int by)
        {
            m_counts[n] += static_cast<uint32_t>(by);
            m_ruleCounts[pool(n).rule] += static_cast<uint32_t>(by);
            m_cost += by * pool(n).cost;
            for (size_t k = 0; k < m_sums.size(); ++k)
                m_sums[k] += by * contribution(n, k);
        }

        /// How much one more instance lowers the sum of squares of what is missing: the square favours the requirement that
        /// is furthest from covered, so that the domains are filled evenly.
        double gain(size_t n) const
        {
            double sum = 0;
            for (size_t k = 0; k < m_sums.size(); ++k) {
                const double missing = std::max(0.0, 1 - m_sums[k]);
                const double left = std::max(0.0, missing - contribution(n, k));
                sum += missing * missing - left * left;
            }
            return sum;
        }

        bool covered() const { return shortfall() < 1e-9; }
        double shortfall() const { return std::max(0.0, 1 - *std::min_element(m_sums.begin(), m_sums.end())); }
        double cost() const { return m_cost; }
        const std::vector<uint32_t>& counts() const { return m_counts; }
        size_t size() const { return m_pools->size(); }
        const PoolCandidate& pool(size_t n) const { return (*m_pools)[n]; }
        uint32_t ruleCount(size_t rule) const { return m_ruleCounts[rule]; }

    private:
        static double share(const PoolCandidate& pool, double tokens, double requests)
        {
            const double byTokens = tokens > 0 ? pool.tokensPerSecond / tokens : 1;
            const double byRequests = requests > 0 ? pool.requestsPerSecond / requests : 1;
            return std::min({ byTokens, byRequests, 1.0 });
        }

        double contribution(size_t pool, size_t requirement) const
        {
            if (requirement == 0)
                return m_allShares[pool];
            return m_domains[pool] == requirement - 1 ? 0 : m_topShares[pool];
        }

        const std::vector<PoolCandidate>* m_pools;
        const std::vector<InstancesRule>* m_rules;
        std::vector<uint32_t> m_counts;
        std::vector<uint32_t> m_ruleCounts;
        std::vector<size_t> m_domains;
        std::vector<double> m_allShares;
        std::vector<double> m_topShares;
        std::vector<double> m_sums;
        double m_cost = 0;
    };

    void addMinimums(Coverage& coverage, const std::vector<InstancesRule>& rules)
    {
        for (size_t rule = 0; rule < rules.size(); ++rule) {
            while (coverage.ruleCount(rule) < rules[rule].min) {
                size_t best = coverage.size();
                for (size_t n = 0; n < coverage.size(); ++n) {
                    if (coverage.pool(n).rule == rule && coverage.mayAdd(n) && (best == coverage.size() || coverage.pool(n).cost < coverage.pool(best).cost))
                        best = n;
                }
                if (best == coverage.size())
                    break;
                coverage.change(best, 1);
            }
        }
    }

    constexpr size_t noPool = SIZE_MAX;

    /// Adds the instance that covers most per cost until all is covered or nothing helps; none of pool `banned`.
    void addUntilCovered(Coverage& coverage, size_t banned = noPool)
    {
        while (!coverage.covered()) {
            size_t best = coverage.size();
            double bestRatio = 0;
            for (size_t n = 0; n < coverage.size(); ++n) {
                if (n == banned || !coverage.mayAdd(n))
                    continue;
                const double ratio = coverage.gain(n) / std::max(coverage.pool(n).cost, 1e-9);
                if (ratio > bestRatio) {
                    best = n;
                    bestRatio = ratio;
                }
            }
            if (best == coverage.size())
                return;
            coverage.change(best, 1);
        }
    }

    /// Removes the dearest instances that nothing needs, those of pool `last` after all others.
    void removeSurplus(Coverage& coverage, size_t last = noPool)
    {
        std::vector<size_t> order(coverage.size());
        for (size_t n = 0; n < order.size(); ++n)
            order[n] = n;
        std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
            return std::pair(b == last, coverage.pool(a).cost) > std::pair(a == last, coverage.pool(b).cost);
        });
        for (const size_t n : order) {
            while (coverage.mayRemove(n)) {
                coverage.change(n, -1);
                if (coverage.covered())
                    continue;
                coverage.change(n, 1);
                break;
            }
        }
    }

    /// Takes the given numbers of two pools out and covers again; keeps the result if it is cheaper.
    bool retryWithout(Coverage& best, size_t a, int manyA, size_t b, int manyB)
    {
        Coverage trial = best;
        for (const auto& [pool, many] : { std::pair(a, manyA), std::pair(b, manyB) }) {
            for (int k = 0; k < many; ++k) {
                if (!trial.mayRemove(pool))
                    return false;
                trial.change(pool, -1);
            }
        }
        addUntilCovered(trial, a);
        removeSurplus(trial);
        if (!trial.covered() || trial.cost() >= best.cost() - 1e-9)
            return false;
        best = trial;
        return true;
    }

    /// Adds one of a pool and removes what it makes superfluous; keeps the result if it is cheaper.
    bool retryWith(Coverage& best, size_t pool, int many)
    {
        Coverage trial = best;
        for (int k = 0; k < many; ++k) {
            if (!trial.mayAdd(pool))
                return false;
            trial.change(pool, 1);
        }
        removeSurplus(trial, pool);
        if (trial.cost() >= best.cost() - 1e-9)
            return false;
        best = trial;
        return true;
    }

    /// Repairs the greedy choice by small exchanges until none helps. The bound on passes limits the time, not the result
    /// in practice: each pass lowers the cost.
    void improve(Coverage& best)
    {
        bool changed = true;
        for (int pass = 0; changed && pass < 8; ++pass) {
            changed = false;
            for (size_t a = 0; a < best.size(); ++a) {
                for (int many = 1; many <= 2; ++many) {
                    changed = retryWithout(best, a, many, a, 0) || changed;
                    changed = retryWith(best, a, many) || changed;
                }
                for (size_t b = a + 1; b < best.size(); ++b) {
                    if (!best.mayRemove(a) || !best.mayRemove(b))
                        continue;
                    changed = retryWithout(best, a, 1, b, 1) || changed;
                    changed = retryWithout(best, b, 1, a, 1) || changed;
                    changed = retryWithout(best, a, 2, b, 1) || changed;
                    changed = retryWithout(best, b, 2, a, 1) || changed;
                }
            }
        }
    }

}

PoolPlan solvePools(const ModelNeed& need, const std::vector<PoolCandidate>& pools, const std::vector<InstancesRule>& rules)
{
    if (pools.empty())
        return { {}, 0, 1 };
    Coverage coverage(need, pools, rules);
    addMinimums(coverage, rules);
    addUntilCovered(coverage);
    if (coverage.covered()) {
        removeSurplus(coverage);
        improve(coverage);
    }
    return { coverage.counts(), coverage.cost(), coverage.shortfall() };
}

}
