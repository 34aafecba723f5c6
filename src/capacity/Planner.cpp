#include "capacity/Capacity.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace siskinshunt {

namespace {

    PoolKey poolOf(const InstanceView& it) { return { it.model, it.domain, it.machine, it.kind }; }

    std::string describe(const PoolKey& key)
    {
        return key.model + " on " + key.machine + " in " + key.domain + ", " + std::string(nameOf(key.kind));
    }

    const InstanceShape* shapeOf(const CapacityInputs& inputs, const std::string& machine, const std::string& model)
    {
        const auto it = std::find_if(inputs.shapes.begin(), inputs.shapes.end(), [&](const auto& shape) { return shape.machine == machine && shape.model == model; });
        return it == inputs.shapes.end() ? nullptr : &*it;
    }

    /// Input of the plan for one model.
    struct ModelState {
        std::vector<PoolCandidate> pools;
        std::map<PoolKey, uint32_t> present; ///< Instances that serve or start, without leaving and stopped ones.
        uint32_t starting = 0;
        bool hasUnstoppable = false; ///< Some present instances cannot be stopped.
    };

    class PlanningRun {
    public:
        PlanningRun(CapacityPlanner& planner, TimeMs now, const CapacityInputs& inputs)
            : m_planner(planner)
            , m_now(now)
            , m_inputs(inputs)
        {
            for (const auto& it : inputs.instances)
                m_views[it.id] = &it;
        }

        CapacityOutputs run()
        {
            reconcileStarts();
            reconcileStops();
            countPresent();
            const auto needs = forecastDemand(m_planner, m_now, m_inputs);
            std::set<std::string> models;
            for (const auto& [model, need] : needs)
                models.insert(model);
            for (const auto& rule : m_inputs.rules)
                models.insert(rule.model);
            for (const auto& [model, state] : m_models)
                models.insert(model);
            for (const auto& model : models) {
                const auto need = needs.find(model);
                planModel(model, need == needs.end() ? ModelNeed {} : need->second);
            }
            return std::move(m_out);
        }

    private:
        void addNote(std::string code, std::string instance, std::string text) { m_out.notes.push_back({ std::move(code), std::move(instance), std::move(text) }); }

        void addIntent(InstanceAction kind, const std::string& id, const PoolKey& pool, std::string reason, const RuleOrigin& rule = {})
        {
            m_out.intents.push_back({ kind, id, pool, std::move(reason), rule });
            if (kind == InstanceAction::Stop)
                m_planner.stops[id] = m_now;
        }

        TimeMs lateAfter(const PoolKey& pool) const
        {
            const InstanceShape* shape = shapeOf(m_inputs, pool.machine, pool.model);
            const TimeMs startTime = shape ? shape->startTime : 60_s;
            return { static_cast<int64_t>(static_cast<double>(startTime.value) * m_planner.options.lateFactor) };
        }

        /// Code and text of the reason to abandon the start; empty if there is none. An abandoned start is also stopped, so
        /// that it cannot come up beside its replacement.
        std::pair<std::string, std::string> startFailure(const OpenStart& start) const
        {
            if (start.accepted && m_now - start.lastListed > m_planner.options.absenceTimeout)
                return { "start_died", "accepted, but no longer listed" };
            if (m_now - start.orderedAt > lateAfter(start.pool))
                return { "start_late", "not announced within " + std::to_string(lateAfter(start.pool).value) + " ms" };
            return {};
        }

        void reconcileStarts()
        {
            for (auto it = m_planner.starts.begin(); it != m_planner.starts.end();) {
                auto& [id, start] = *it;
                const auto view = m_views.find(id);
                if (view != m_views.end() && view->second->phase == InstancePhase::Running) {
                    m_planner.refusals.erase({ start.pool.domain, start.pool.machine, start.pool.kind });
                    it = m_planner.starts.erase(it);
                    continue;
                }
                if (view != m_views.end()) {
                    start.accepted = true;
                    start.lastListed = m_now;
                }
                const auto [code, text] = startFailure(start);
                if (!code.empty()) {
                    addNote(code, id, describe(start.pool) + ": " + text);
                    addIntent(InstanceAction::Stop, id, start.pool, text, start.rule);
                    it = m_planner.starts.erase(it);
                    continue;
                }
                if (!start.accepted && m_now - start.sentAt >= m_planner.options.orderRetryInterval) {
                    start.sentAt = m_now;
                    addIntent(InstanceAction::Start, id, start.pool, "repeated, no answer yet", start.rule);
                }
                ++it;
            }
        }

        void reconcileStops()
        {
            for (auto it = m_planner.stops.begin(); it != m_planner.stops.end();) {
                const auto view = m_views.find(it->first);
                const bool due = m_now - it->second >= m_planner.options.orderRetryInterval;
                if (view == m_views.end() && due) {
                    it = m_planner.stops.erase(it);
                    continue;
                }
                if (due)
                    addIntent(InstanceAction::Stop, it->first, poolOf(*view->second), "repeated, still listed");
                ++it;
            }
        }

        void countPresent()
        {
            for (const auto& it : m_inputs.instances) {
                if (it.leaving || m_planner.stops.count(it.id))
                    continue;
                auto& state = m_models[it.model];
                ++state.present[poolOf(it)];
                state.hasUnstoppable = state.hasUnstoppable || !it.canStop;
                state.starting += it.phase == InstancePhase::Starting ? 1 : 0;
                m_starting += it.phase == InstancePhase::Starting ? 1 : 0;
            }
            for (const auto& [id, start] : m_planner.starts) {
                if (m_views.count(id))
                    continue;
                auto& state = m_models[start.pool.model];
                ++state.present[start.pool];
                ++state.starting;
                ++m_starting;
            }
        }

        bool isBackedOff(const PoolKey& key) const
        {
            const auto it = m_planner.refusals.find({ key.domain, key.machine, key.kind });
            return it != m_planner.refusals.end() && m_now < it->second.until;
        }

        /// Factor on the price for the cost of reclaims: while a replacement starts, two instances are paid for or one is missing.
        double reclaimCostFactor(const PoolKey& key, const InstanceShape& shape) const
        {
            const auto it = m_planner.reclaims.find({ key.domain, key.machine });
            if (key.kind == InstanceKind::OnDemand || it == m_planner.reclaims.end())
                return 1;
            const double age = (m_now - it->second.at).seconds() / m_planner.options.reclaimTimeConstant.seconds();
            const double startHours = shape.startTime.seconds() / 3600;
            return 1 + std::min(1.0, it->second.perHour * std::exp(-age) * startHours * 2);
        }

        void choosePools(const std::string& model, ModelState& state)
        {
            std::set<PoolKey> added;
            for (size_t rule = 0; rule < m_inputs.rules.size(); ++rule) {
                const auto& it = m_inputs.rules[rule];
                const InstanceShape* shape = shapeOf(m_inputs, it.machine, model);
                if (it.model != model || !shape)
                    continue;
                for (const auto& price : m_inputs.prices) {
                    const PoolKey key { model, it.domain, it.machine, price.kind };
                    if (price.domain != it.domain || price.machine != it.machine || (it.kind && *it.kind != price.kind) || !added.insert(key).second)
                        continue;
                    PoolCandidate choice { .key = key, .rule = rule, .tokensPerSecond = shape->tokensPerSecond, .requestsPerSecond = shape->requestsPerSecond };
                    const auto present = state.present.find(key);
                    choice.running = present == state.present.end() ? 0 : present->second;
                    choice.limit = isBackedOff(key) ? choice.running : UINT32_MAX;
                    choice.cost = price.perHour * reclaimCostFactor(key, *shape) * (choice.running ? 1 - m_planner.options.runningDiscount : 1);
                    state.pools.push_back(choice);
                }
            }
        }

        /// Instance counts of the plan for an increased demand. Stops are decided with this margin.
        std::map<PoolKey, uint32_t> countsToKeep(const ModelNeed& need, const ModelState& state) const
        {
            const double factor = 1 + m_planner.options.stopMargin;
            const ModelNeed more { need.topTokens * factor, need.topRequests * factor, need.allTokens * factor, need.allRequests * factor };
            const PoolPlan plan = solvePools(more, state.pools, m_inputs.rules);
            std::map<PoolKey, uint32_t> keep;
            for (size_t n = 0; n < plan.counts.size(); ++n)
                keep[state.pools[n].key] = plan.counts[n];
            return keep;
        }

        void planModel(const std::string& model, const ModelNeed& need)
        {
            ModelState& state = m_models[model];
            choosePools(model, state);
            const PoolPlan plan = solvePools(need, state.pools, m_inputs.rules);
            if (plan.shortfall > 1e-9 && (need.allTokens > 0 || need.allRequests > 0))
                addNote("shortfall", {}, model + ": " + std::to_string(static_cast<int>(std::ceil(plan.shortfall * 100))) + "% of a requirement has no allowed instance");
            const uint32_t missing = mustDeferSavings(model, need, state, plan) ? missingOf(state, plan) : startMissing(model, state, plan);
            stopSurplus(model, need, state, plan, missing);
        }

        static uint32_t missingOf(const ModelState& state, const PoolPlan& plan)
        {
            uint32_t missing = 0;
            for (size_t n = 0; n < plan.counts.size(); ++n)
                missing += plan.counts[n] - std::min(plan.counts[n], state.pools[n].running);
            return missing;
        }

        /// Whether the present instances cover the demand and the minimum of every rule.
        bool isSufficient(const ModelNeed& need, const ModelState& state) const
        {
            std::vector<PoolCandidate> present = state.pools;
            std::map<size_t, uint32_t> byRule;
            for (auto& pool : present) {
                pool.limit = pool.running;
                byRule[pool.rule] += pool.running;
            }
            for (const auto& [rule, count] : byRule) {
                if (count < m_inputs.rules[rule].min)
                    return false;
            }
            return solvePools(need, present, m_inputs.rules).shortfall < 1e-9;
        }

        /// Whether the plan's starts only replace more expensive instances and have not yet been pending for `savingsDelay`.
        bool mustDeferSavings(const std::string& model, const ModelNeed& need, const ModelState& state, const PoolPlan& plan)
        {
            if (missingOf(state, plan) == 0 || !isSufficient(need, state)) {
                m_planner.savingsSince.erase(model);
                return false;
            }
            // Cheaper instances save nothing if the more expensive ones cannot be stopped.
            if (state.hasUnstoppable)
                return true;
            const TimeMs since = m_planner.savingsSince.try_emplace(model, m_now).first->second;
            return m_now - since < m_planner.options.savingsDelay;
        }

        /// Starts missing instances within the load slots. Returns how many instances of the plan are missing.
        uint32_t startMissing(const std::string& model, const ModelState& state, const PoolPlan& plan)
        {
            uint32_t missing = 0;
            uint32_t waiting = 0;
            for (size_t n = 0; n < plan.counts.size(); ++n) {
                const auto& pool = state.pools[n];
                for (uint32_t k = pool.running; k < plan.counts[n]; ++k) {
                    ++missing;
                    if (m_starting >= m_inputs.loadSlots) {
                        ++waiting;
                        continue;
                    }
                    ++m_starting;
                    const std::string id = m_planner.options.idPrefix + "-" + std::to_string(m_planner.nextNumber++);
                    const RuleOrigin& rule = m_inputs.rules[pool.rule].origin;
                    m_planner.starts[id] = { .pool = pool.key, .orderedAt = m_now, .sentAt = m_now, .lastListed = m_now, .rule = rule };
                    addIntent(InstanceAction::Start, id, pool.key, "plan needs " + std::to_string(plan.counts[n]) + ", " + std::to_string(pool.running) + " present", rule);
                }
            }
            if (waiting)
                addNote("weights_wait", {}, model + ": " + std::to_string(waiting) + " starts wait for the weight store");
            return missing;
        }

        /// Stops surplus instances that have lasted for `stopAfter`, unless instances of the model are missing or starting.
        void stopSurplus(const std::string& model, const ModelNeed& need, const ModelState& state, const PoolPlan& plan, uint32_t missing)
        {
            std::map<PoolKey, uint32_t> surplus;
            if (missing == 0 && state.starting == 0 && plan.shortfall < 1e-9) {
                const auto keep = countsToKeep(need, state);
                for (const auto& [key, present] : state.present) {
                    uint32_t target = keep.count(key) ? keep.at(key) : 0;
                    for (size_t n = 0; n < plan.counts.size(); ++n) {
                        if (state.pools[n].key == key)
                            target = std::max(target, plan.counts[n]);
                    }
                    if (present > target)
                        surplus[key] = present - target;
                }
            }
            if (surplus.empty()) {
                m_planner.surplusSince.erase(model);
                return;
            }
            const auto since = m_planner.surplusSince.try_emplace(model, m_now).first->second;
            if (m_now - since < m_planner.options.stopAfter)
                return;
            m_planner.surplusSince.erase(model);
            for (const auto& [key, count] : surplus)
                stopInstances(key, count);
        }

        void stopInstances(const PoolKey& key, uint32_t count)
        {
            for (const auto& [id, view] : m_views) {
                if (count == 0)
                    return;
                if (poolOf(*view) != key || view->leaving || !view->canStop || m_planner.stops.count(id))
                    continue;
                addIntent(InstanceAction::Stop, id, key, "surplus for " + std::to_string(m_planner.options.stopAfter.value / 1000) + " s");
                --count;
            }
        }

        CapacityPlanner& m_planner;
        TimeMs m_now;
        const CapacityInputs& m_inputs;
        std::map<std::string, const InstanceView*> m_views;
        std::map<std::string, ModelState> m_models;
        uint32_t m_starting = 0;
        CapacityOutputs m_out;
    };

}

CapacityOutputs planCapacity(CapacityPlanner& planner, TimeMs now, const CapacityInputs& inputs)
{
    return PlanningRun(planner, now, inputs).run();
}

void handleStartAccepted(CapacityPlanner& planner, TimeMs now, const std::string& id)
{
    const auto it = planner.starts.find(id);
    if (it == planner.starts.end())
        return;
    it->second.accepted = true;
    it->second.lastListed = now;
}

void handleStartRefused(CapacityPlanner& planner, TimeMs now, const std::string& id, CapacityOutputs& out)
{
    const auto it = planner.starts.find(id);
    if (it == planner.starts.end() || it->second.accepted)
        return;
    const PoolKey pool = it->second.pool;
    auto& refusal = planner.refusals[{ pool.domain, pool.machine, pool.kind }];
    // Starts that were ordered together are refused together, so they count as one refusal.
    if (now >= refusal.until) {
        refusal.count = std::min(refusal.count + 1, 16);
        refusal.until = now + std::min(planner.options.backoffCap, planner.options.backoffBase * (INT64_C(1) << (refusal.count - 1)));
    }
    out.notes.push_back({ "start_refused", id, describe(pool) + ": backed off for " + std::to_string((refusal.until - now).value) + " ms" });
    planner.starts.erase(it);
}

void recordReclaim(CapacityPlanner& planner, TimeMs now, const std::string& domain, const std::string& machine)
{
    auto& it = planner.reclaims[{ domain, machine }];
    const double memory = planner.options.reclaimTimeConstant.seconds();
    const double decay = it.perHour > 0 ? std::exp(-(now - it.at).seconds() / memory) : 0;
    it.perHour = it.perHour * decay + 3600 / memory;
    it.at = now;
}

void restoreStart(CapacityPlanner& planner, TimeMs now, const std::string& id, const PoolKey& pool, const RuleOrigin& rule)
{
    planner.starts[id] = { .pool = pool, .orderedAt = now, .sentAt = now, .lastListed = now, .rule = rule };
}

}
