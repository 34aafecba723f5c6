#include "capacity/Capacity.h"

#include <algorithm>
#include <utility>

namespace siskinshunt {

namespace {

    /// Coverage of the requirements. The first requirement is all demand with every domain available. There is one more per
    /// domain: the demand of the highest class without that domain. A requirement is covered when its sum reaches 1.
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
            // Requirements without demand are covered from the start.
            m_sums.assign(domains.size() + 1, need.topTokens > 0 || need.topRequests > 0 ? 0 : 1);
            m_sums[0] = need.allTokens > 0 || need.allRequests > 0 ? 0 : 1;
            for (const auto& pool : pools) {
                m_domains.push_back(static_cast<size_t>(std::lower_bound(domains.begin(), domains.end(), pool.key.domain) - domains.begin()));
                m_allShares.push_back(share(pool, need.allTokens, need.allRequests));
                m_topShares.push_back(share(pool, need.topTokens, need.topRequests));
            }
        }

        bool canAdd(size_t n) const
        {
            return m_counts[n] < pool(n).limit && m_ruleCounts[pool(n).rule] < (*m_rules)[pool(n).rule].max;
        }

        bool canRemove(size_t n) const
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

        /// Reduction of the sum of squared shortfalls by one more instance. The square favours the requirement with the
        /// largest shortfall, so that the domains are filled evenly.
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
                    if (coverage.pool(n).rule == rule && coverage.canAdd(n) && (best == coverage.size() || coverage.pool(n).cost < coverage.pool(best).cost))
                        best = n;
                }
                if (best == coverage.size())
                    break;
                coverage.change(best, 1);
            }
        }
    }

    constexpr size_t noPoolIndex = SIZE_MAX;

    /// Greedily adds the instance with the best ratio of gain to cost until all requirements are covered or no instance helps.
    /// Adds no instance of pool `excluded`.
    void addUntilCovered(Coverage& coverage, size_t excluded = noPoolIndex)
    {
        while (!coverage.covered()) {
            size_t best = coverage.size();
            double bestRatio = 0;
            for (size_t n = 0; n < coverage.size(); ++n) {
                if (n == excluded || !coverage.canAdd(n))
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

    /// Removes instances that no requirement needs, the most expensive first and those of pool `last` at the end.
    void removeSurplus(Coverage& coverage, size_t last = noPoolIndex)
    {
        std::vector<size_t> order(coverage.size());
        for (size_t n = 0; n < order.size(); ++n)
            order[n] = n;
        std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
            return std::pair(b == last, coverage.pool(a).cost) > std::pair(a == last, coverage.pool(b).cost);
        });
        for (const size_t n : order) {
            while (coverage.canRemove(n)) {
                coverage.change(n, -1);
                if (coverage.covered())
                    continue;
                coverage.change(n, 1);
                break;
            }
        }
    }

    /// Removes the given numbers of instances of two pools and covers the requirements again without pool `a`. Keeps the
    /// result if it is cheaper.
    bool tryRemoving(Coverage& best, size_t a, int countA, size_t b, int countB)
    {
        Coverage trial = best;
        for (const auto& [pool, count] : { std::pair(a, countA), std::pair(b, countB) }) {
            for (int k = 0; k < count; ++k) {
                if (!trial.canRemove(pool))
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

    /// Adds `count` instances of a pool and removes the surplus elsewhere. Keeps the result if it is cheaper.
    bool tryAdding(Coverage& best, size_t pool, int count)
    {
        Coverage trial = best;
        for (int k = 0; k < count; ++k) {
            if (!trial.canAdd(pool))
                return false;
            trial.change(pool, 1);
        }
        removeSurplus(trial, pool);
        if (trial.cost() >= best.cost() - 1e-9)
            return false;
        best = trial;
        return true;
    }

    /// Local search: improves the greedy solution by small exchanges until none lowers the cost. The limit on passes bounds
    /// the run time and in practice does not affect the result, since each pass lowers the cost.
    void improveByExchanges(Coverage& best)
    {
        bool changed = true;
        for (int pass = 0; changed && pass < 8; ++pass) {
            changed = false;
            for (size_t a = 0; a < best.size(); ++a) {
                for (int count = 1; count <= 2; ++count) {
                    changed = tryRemoving(best, a, count, a, 0) || changed;
                    changed = tryAdding(best, a, count) || changed;
                }
                for (size_t b = a + 1; b < best.size(); ++b) {
                    if (!best.canRemove(a) || !best.canRemove(b))
                        continue;
                    changed = tryRemoving(best, a, 1, b, 1) || changed;
                    changed = tryRemoving(best, b, 1, a, 1) || changed;
                    changed = tryRemoving(best, a, 2, b, 1) || changed;
                    changed = tryRemoving(best, b, 2, a, 1) || changed;
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
        improveByExchanges(coverage);
    }
    return { coverage.counts(), coverage.cost(), coverage.shortfall() };
}

}
