#pragma once

#include "base/Random.h"
#include "versions/Rollout.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <optional>
#include <utility>

namespace siskinshunt {

/// What is wrong with the version that is moved to.
enum class RolloutFault : uint8_t {
    None,
    AtOnce, ///< A part of its answers are failures.
    Late, ///< The same, from `badFrom` on.
    OneRoute, ///< The same, on the route with the fewest requests.
    UnderLoad, ///< The same, on an instance that gets at least the usual requests of one.
    Slow, ///< Its answers take four times as long.
    Silent, ///< Its answers take longer than callers wait.
    SlowStreams, ///< Its streams begin in time and take six times as long.
};

/// What happens to a sound version and the others alike, or to one node.
enum class RolloutTrouble : uint8_t {
    None,
    Outage, ///< Three tenths of all answers are failures for a second, now and then.
    LossyPath, ///< One entry node loses half of its requests to the instance that is tested.
    BusyBackend, ///< One in seven answers of every version is a failure.
};

struct RolloutScenario {
    RolloutFault fault = RolloutFault::None;
    RolloutTrouble trouble = RolloutTrouble::None;
    double failureRate = 0.5; ///< Of the faults.
    double perSecond = 60; ///< Requests of all entry nodes.
    TimeMs badFrom { 0 }; ///< Of a late fault, since the order; 0: the middle of the time limit.
    double slowdown = 1; ///< Answer times after the switch, against those before: the instances are fewer or colder.
    double quietShare = 0.1; ///< Of the requests, on the route with the fewest.
    TimeMs leaderLostAt; ///< Since the order; nobody leads until `leaderBackAt`, when another leader takes over.
    TimeMs leaderBackAt;
    int nodes = 7;
    int oldInstances = 3;
    int newInstances = 3;
    TimeMs within { 24000 };
    /// Orders for the version. Each but the last is given up for the former version `givenUpAfter` its start, and the next one follows
    /// `orderInterval` after it. The result is that of the last one.
    int orders = 1;
    TimeMs givenUpAfter;
    TimeMs orderInterval;
};

/// Requests between an order and its time limit.
struct RolloutExposure {
    TimeMs orderedAt;
    uint64_t all = 0;
    uint64_t after = 0; ///< Of these, those to the new version.
};

struct RolloutResult {
    bool completed = false;
    bool rolledBack = false;
    TimeMs endedAt; ///< Since the order.
    uint64_t all = 0; ///< Requests until the time limit.
    uint64_t after = 0; ///< Of these, those to the new version.
    std::vector<RolloutExposure> former; ///< Of the orders before the last one.
    uint64_t bad = 0; ///< Bad answers of the new version until the time limit.
    std::string reason;
};

/// Entry nodes that follow the decisions at once, callers that arrive at random, and instances without queues. Time passes in steps of 10 ms,
/// the leader steps every 300 ms on reports of the last 300 ms, and every 100 ms after the switch and with short time limits. Links and clocks are perfect, so it tells which
/// decisions the evidence supports, not how long messages take.
class RolloutModel {
public:
    RolloutModel(const RolloutScenario& scenario, uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_rollout(startRollout({}, scenario.within))
    {
        for (int n = 0; n < scenario.nodes; ++n)
            m_reports.nodes[NodeId { static_cast<uint64_t>(n + 1) }];
        m_reports.oldInstances = static_cast<size_t>(scenario.oldInstances);
        m_reports.newInstances = static_cast<size_t>(scenario.newInstances);
    }

    RolloutResult run()
    {
        static constexpr TimeMs tick { 10 };
        // A leader that comes after the limit still has to end the order.
        const TimeMs more = std::max(TimeMs {}, m_scenario.leaderBackAt + 5_s - m_scenario.within);
        for (m_now = {}; m_now <= m_rollout.startedAt + m_scenario.within + more; m_now += tick) {
            if (hasNextOrder() && m_now == m_rollout.startedAt + m_scenario.orderInterval)
                orderAgain();
            if (m_now.value % 1000 == 0)
                m_outage = m_scenario.trouble == RolloutTrouble::Outage && m_random.chance(0.1);
            endAttempts();
            for (double mean = m_scenario.perSecond / 100; mean > 0; mean -= 1) {
                if (m_random.chance(std::min(1.0, mean)))
                    arrive();
            }
            if (m_scenario.leaderBackAt.value && m_now == m_rollout.startedAt + m_scenario.leaderBackAt)
                takeOver();
            if (m_now.value % (m_rollout.switchedAt.value || isShortRollout(m_scenario.within) ? 100 : 300) == 0 && isOnTrial() && isLed())
                step();
        }
        return m_result;
    }

private:
    struct Attempt {
        TimeMs endsAt;
        TimeMs sentAt;
        NodeId node;
        size_t route = 0;
        bool after = false;
        bool failed = false;
        bool slowStream = false;
    };

    static constexpr std::array<const char*, 3> routes { "busy", "usual", "quiet" };

    bool hasNextOrder() const { return static_cast<int>(m_result.former.size()) + 1 < m_scenario.orders; }

    bool isOnTrial() const
    {
        const bool givenUp = hasNextOrder() && m_now >= m_rollout.startedAt + m_scenario.givenUpAfter;
        return !givenUp && !m_result.completed && !m_result.rolledBack;
    }

    bool isLed() const
    {
        const TimeMs elapsed = m_now - m_rollout.startedAt;
        return elapsed < m_scenario.leaderLostAt || elapsed >= m_scenario.leaderBackAt;
    }

    // The new leader has the order, and in its first step the reports of no node.
    void takeOver()
    {
        m_rollout = startRollout(m_rollout.startedAt, m_scenario.within);
        RolloutReports none { .nodes = {}, .missing = static_cast<size_t>(m_scenario.nodes), .tripped = {}, .oldInstances = m_reports.oldInstances, .newInstances = m_reports.newInstances };
        m_firstReports = std::move(none);
    }

    // As rolloutSettings() of the node.
    void orderAgain()
    {
        auto former = std::move(m_result.former);
        former.push_back({ .orderedAt = m_rollout.startedAt, .all = m_result.all, .after = m_result.after });
        m_result = { .former = std::move(former) };
        m_rollout = startRollout(m_now, m_scenario.within);
        m_reports.nodes.clear();
        for (int n = 0; n < m_scenario.nodes; ++n)
            m_reports.nodes[NodeId { static_cast<uint64_t>(n + 1) }];
        m_attempts.clear();
        m_burstEnd = {};
        m_routeShares.clear();
        m_settings.exposureExtra = RolloutSettings {}.exposureExtra / (m_scenario.orderInterval < m_scenario.within ? 2 : 1);
    }

    bool usesNew(size_t route)
    {
        if (!isOnTrial())
            return m_result.completed;
        if (m_rollout.switchedAt.value)
            return true;
        const auto share = m_routeShares.find(routes[route]);
        return m_random.chance(std::max(m_now < m_burstEnd ? m_burstShare : rolloutBaseShare, share == m_routeShares.end() ? 0 : share->second));
    }

    void arrive()
    {
        const bool counts = m_now <= m_rollout.startedAt + m_scenario.within;
        m_result.all += counts;
        Attempt attempt { .sentAt = m_now, .node = { 1 + m_random.below(static_cast<uint64_t>(m_scenario.nodes)) } };
        attempt.route = m_random.chance(0.6) ? 0 : m_random.chance(1 - m_scenario.quietShare / 0.4) ? 1
                                                                                                    : 2;
        attempt.after = usesNew(attempt.route);
        for (auto& it : m_result.former) {
            const bool isBeforeLimit = m_now < it.orderedAt + m_scenario.within;
            it.all += isBeforeLimit;
            it.after += isBeforeLimit && attempt.after;
        }
        attempt.failed = m_random.chance(m_scenario.trouble == RolloutTrouble::BusyBackend ? 1.0 / 7 : m_outage ? 0.3
                                                                                                                : 0.005);
        // A mean of 100 ms with a long tail.
        double milliseconds = 40 - 60 * std::log(1 - m_random.uniform());
        if (attempt.after) {
            m_result.after += counts;
            milliseconds = applyFault(attempt, milliseconds) * (m_rollout.switchedAt.value ? m_scenario.slowdown : 1);
        }
        attempt.endsAt = m_now + TimeMs { static_cast<int64_t>(milliseconds) };
        ++countsOf(attempt).started;
        m_result.bad += counts && attempt.after && (attempt.failed || attempt.slowStream || milliseconds > 400);
        m_attempts.push_back(attempt);
    }

    double applyFault(Attempt& attempt, double milliseconds)
    {
        if (m_scenario.trouble == RolloutTrouble::LossyPath && attempt.node == NodeId { 1 } && m_random.chance(0.5))
            attempt.failed = true;
        const auto fails = [&](bool when) { attempt.failed = attempt.failed || (when && m_random.chance(m_scenario.failureRate)); };
        switch (m_scenario.fault) {
        case RolloutFault::AtOnce:
            fails(true);
            break;
        case RolloutFault::Late:
            fails(m_now >= (m_scenario.badFrom.value ? m_scenario.badFrom : m_scenario.within / 2));
            break;
        case RolloutFault::OneRoute:
            fails(attempt.route == 2);
            break;
        case RolloutFault::UnderLoad:
            fails(isLoaded());
            break;
        case RolloutFault::Slow:
            return milliseconds * 4;
        case RolloutFault::Silent:
            attempt.failed = true;
            return 1000;
        case RolloutFault::SlowStreams:
            attempt.slowStream = true;
            break;
        case RolloutFault::None:
            break;
        }
        return milliseconds;
    }

    // Whether the tested instance, or each one after the completion, has got the usual requests of an instance in the last second.
    bool isLoaded()
    {
        m_sentAfter.push_back(m_now);
        while (m_now - m_sentAfter.front() > TimeMs { 1000 })
            m_sentAfter.pop_front();
        const double instances = m_rollout.switchedAt.value ? m_scenario.newInstances : 1;
        return static_cast<double>(m_sentAfter.size()) / instances >= m_scenario.perSecond / m_scenario.oldInstances;
    }

    RolloutCounts& countsOf(const Attempt& attempt)
    {
        auto& results = m_reports.nodes[attempt.node];
        if (results.empty()) {
            for (const char* route : routes)
                results.push_back({ .route = route });
        }
        return attempt.after ? results[attempt.route].after : results[attempt.route].before;
    }

    void endAttempts()
    {
        std::erase_if(m_attempts, [&](const Attempt& it) {
            if (it.endsAt > m_now)
                return false;
            auto& counts = countsOf(it);
            ++counts.ended;
            counts.failures += it.failed;
            counts.milliseconds += static_cast<float>((it.endsAt - it.sentAt).value);
            const auto limits = m_rollout.evidence.limits.find(routes[it.route]);
            if (limits != m_rollout.evidence.limits.end() && limits->second.answer > 0 && !it.failed) {
                ++counts.timed;
                counts.slow += static_cast<float>((it.endsAt - it.sentAt).value) > limits->second.answer;
            }
            recordPace(it, counts);
            return true;
        });
    }

    void recordPace(const Attempt& it, RolloutCounts& counts)
    {
        if (m_scenario.fault != RolloutFault::SlowStreams || it.failed)
            return;
        const double pace = 0.2 * (0.7 + 0.6 * m_random.uniform()) * (it.slowStream ? 6 : 1);
        ++counts.paced;
        counts.pace += static_cast<float>(pace);
        const float limit = m_rollout.evidence.limits[routes[it.route]].pace;
        if (limit > 0) {
            ++counts.comparedPaces;
            counts.slowPaces += static_cast<float>(pace) > limit;
        }
    }

    void step()
    {
        const auto first = std::exchange(m_firstReports, std::nullopt);
        const auto decision = stepRollout(m_rollout, first ? *first : m_reports, m_settings, m_now);
        if (m_rollout.sharesChanged)
            m_routeShares = takeRouteShares(m_rollout);
        if (decision.action == RolloutAction::Burst) {
            m_burstEnd = m_now + decision.length;
            m_burstShare = decision.share;
            return;
        }
        if (decision.action == RolloutAction::Wait || decision.action == RolloutAction::Switch)
            return;
        m_result.completed = decision.action == RolloutAction::Complete;
        m_result.rolledBack = !m_result.completed;
        m_result.endedAt = m_now;
        m_result.reason = decision.reason;
    }

    RolloutScenario m_scenario;
    Random m_random;
    Rollout m_rollout;
    RolloutReports m_reports;
    std::optional<RolloutReports> m_firstReports; ///< Of a leader that has just taken over.
    RolloutSettings m_settings;
    RolloutResult m_result;
    std::deque<Attempt> m_attempts;
    std::deque<TimeMs> m_sentAfter;
    TimeMs m_now;
    TimeMs m_burstEnd;
    double m_burstShare = 0;
    std::map<std::string, double> m_routeShares;
    bool m_outage = false;
};

/// Sums over the seeds of a scenario.
struct RolloutRates {
    int runs = 0;
    int completed = 0;
    int rolledBack = 0;
    int overExposed = 0; ///< Runs with more than a tenth of the requests, and 50, at the new version.
    uint64_t bad = 0;
    uint64_t most = 0; ///< Requests to the new version in one run.
};

inline RolloutRates runRollouts(const RolloutScenario& scenario, int seeds, uint64_t firstSeed = 1)
{
    RolloutRates out;
    for (int n = 0; n < seeds; ++n) {
        const auto result = RolloutModel(scenario, firstSeed + static_cast<uint64_t>(n)).run();
        ++out.runs;
        out.completed += result.completed;
        out.rolledBack += result.rolledBack;
        const auto isOver = [](uint64_t after, uint64_t all) { return static_cast<double>(after) > 0.1 * static_cast<double>(all) + 50; };
        out.overExposed += isOver(result.after, result.all) || std::any_of(result.former.begin(), result.former.end(), [&](const auto& it) { return isOver(it.after, it.all); });
        out.bad += result.bad;
        out.most = std::max(out.most, result.after);
    }
    return out;
}

}
