#include "experiment/FaultPlan.h"

#include "base/Random.h"

#include <algorithm>
#include <optional>
#include <set>

namespace siskinshunt {

static constexpr TimeMs faultFreeEnd { 5000 };

namespace {

    class Planner {
    public:
        explicit Planner(const FaultPlanOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_end(options.duration - faultFreeEnd)
            , m_daemonBusyUntil(options.daemons)
            , m_engineBusyUntil(options.engines)
            , m_domainBusyUntil(options.domains)
        {
        }

        std::vector<FaultStep> makePlan();

    private:
        using Generator = void (Planner::*)(TimeMs);

        void add(TimeMs at, FaultAction action, std::string target, std::string arguments = {})
        {
            m_steps.push_back({ at, action, std::move(target), std::move(arguments) });
        }

        std::string pick(const char* what, uint32_t count) { return what + std::string("-") + std::to_string(1 + m_random.below(count)); }

        /// End time of a fault that lasts for a random time from `low` to `high` milliseconds, but not into the fault-free end of
        /// the plan.
        TimeMs endOf(TimeMs at, int64_t low, int64_t high) { return std::min(m_end, at + TimeMs { m_random.between(low, high) }); }

        std::optional<uint32_t> pickDaemon(TimeMs at);
        void killDaemon(TimeMs at);
        void stopDaemon(TimeMs at);
        void wipeDaemon(TimeMs at);
        void reclaim(TimeMs at, const char* what, std::vector<TimeMs>& busyUntil, FaultAction startAction, FaultAction endAction);
        void reclaimEngine(TimeMs at);
        void reclaimDomain(TimeMs at);
        void refuseStarts(TimeMs at);
        void badVersion(TimeMs at);
        void raceOperators(TimeMs at);
        void freezeConnections(TimeMs at);
        void dropAnswers(TimeMs at);

        FaultPlanOptions m_options;
        Random m_random;
        TimeMs m_end;
        std::vector<TimeMs> m_daemonBusyUntil;
        TimeMs m_versionBusyUntil;
        std::vector<TimeMs> m_engineBusyUntil;
        std::vector<TimeMs> m_domainBusyUntil;
        std::vector<FaultStep> m_steps;
        bool m_wiped = false;
        TimeMs m_votersProtectedUntil; ///< No voter fails before this time, so that a wiped voter can catch up.
    };

    std::string daemonName(uint32_t n) { return "daemon-" + std::to_string(n + 1); }

    std::optional<uint32_t> Planner::pickDaemon(TimeMs at)
    {
        const auto n = static_cast<uint32_t>(m_random.below(m_options.daemons));
        if (m_daemonBusyUntil[n] > at || (n < m_options.voters && m_votersProtectedUntil > at))
            return std::nullopt;
        return n;
    }

    void Planner::killDaemon(TimeMs at)
    {
        const auto n = pickDaemon(at);
        if (!n)
            return;
        const auto endAt = endOf(at, 500, 8000);
        add(at, FaultAction::Kill, daemonName(*n));
        add(endAt, FaultAction::Restart, daemonName(*n));
        m_daemonBusyUntil[*n] = endAt + TimeMs { 2000 };
    }

    void Planner::stopDaemon(TimeMs at)
    {
        const auto n = pickDaemon(at);
        if (!n)
            return;
        const auto endAt = endOf(at, 1000, 15000);
        add(at, FaultAction::Stop, daemonName(*n));
        add(endAt, FaultAction::Continue, daemonName(*n));
        m_daemonBusyUntil[*n] = endAt + TimeMs { 2000 };
    }

    void Planner::wipeDaemon(TimeMs at)
    {
        constexpr TimeMs repairTime { 10000 };
        const bool busy = std::any_of(m_daemonBusyUntil.begin(), m_daemonBusyUntil.begin() + m_options.voters, [&](TimeMs until) { return until + repairTime > at; });
        if (m_wiped || busy || m_options.voters < 3 || at + repairTime > m_end)
            return;
        const auto n = static_cast<uint32_t>(m_random.below(m_options.voters));
        add(at, FaultAction::Wipe, daemonName(n));
        m_wiped = true;
        m_votersProtectedUntil = at + repairTime;
        m_daemonBusyUntil[n] = m_votersProtectedUntil;
    }

    void Planner::reclaim(TimeMs at, const char* what, std::vector<TimeMs>& busyUntil, FaultAction startAction, FaultAction endAction)
    {
        constexpr int64_t maxNoticeMs = 8000;
        const auto n = static_cast<uint32_t>(m_random.below(busyUntil.size()));
        if (busyUntil[n] > at || at + TimeMs { maxNoticeMs } > m_end)
            return;
        const auto target = what + std::string("-") + std::to_string(n + 1);
        const auto notice = m_random.between(500, maxNoticeMs);
        const auto endAt = endOf(at, maxNoticeMs, 20000);
        add(at, startAction, target, "notice_ms=" + std::to_string(notice));
        add(endAt, endAction, target);
        busyUntil[n] = endAt;
    }

    void Planner::reclaimEngine(TimeMs at)
    {
        reclaim(at, "engine", m_engineBusyUntil, FaultAction::ReclaimEngine, FaultAction::RestartEngine);
    }

    void Planner::reclaimDomain(TimeMs at)
    {
        reclaim(at, "domain", m_domainBusyUntil, FaultAction::ReclaimDomain, FaultAction::RestartDomain);
    }

    void Planner::refuseStarts(TimeMs at)
    {
        const auto target = pick("domain", m_options.domains);
        add(at, FaultAction::RefuseStarts, target);
        add(endOf(at, 2000, 15000), FaultAction::AllowStarts, target);
    }

    void Planner::badVersion(TimeMs at)
    {
        if (m_versionBusyUntil > at)
            return;
        static constexpr const char* kinds[] = { "mode=fail", "mode=slow factor=6", "mode=fail after_ms=2000", "mode=fail under_load=4", "mode=slow factor=6 under_load=4", "mode=fail path=/v1/completions" };
        const auto endAt = endOf(at, 5000, 20000);
        add(at, FaultAction::BadVersion, "version", kinds[m_random.below(std::size(kinds))]);
        add(endAt, FaultAction::GoodVersion, "version");
        m_versionBusyUntil = endAt;
    }

    void Planner::raceOperators(TimeMs at)
    {
        add(at, FaultAction::RacingOperators, "rules", m_random.chance(0.5) ? "lose_answer=yes" : "lose_answer=no");
    }

    void Planner::freezeConnections(TimeMs at) { add(at, FaultAction::FreezeConnections, pick("engine", m_options.engines)); }

    void Planner::dropAnswers(TimeMs at)
    {
        const auto target = pick("service", m_options.services);
        add(at, FaultAction::DropAnswers, target, "count=" + std::to_string(m_random.between(1, 4)));
    }

    std::vector<FaultStep> Planner::makePlan()
    {
        static constexpr Generator generators[] = { &Planner::killDaemon, &Planner::killDaemon, &Planner::stopDaemon, &Planner::wipeDaemon, &Planner::reclaimEngine, &Planner::reclaimDomain, &Planner::refuseStarts, &Planner::badVersion, &Planner::raceOperators, &Planner::freezeConnections, &Planner::dropAnswers };
        const auto gap = [&] { return TimeMs { 1 + static_cast<int64_t>(m_random.exponential(static_cast<double>(m_options.meanGap.value))) }; };
        for (TimeMs at = TimeMs { 1000 } + gap(); at + TimeMs { 1000 } < m_end; at += gap())
            (this->*generators[m_random.below(std::size(generators))])(at);
        std::stable_sort(m_steps.begin(), m_steps.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        return m_steps;
    }

}

std::vector<FaultStep> makeFaultPlan(const FaultPlanOptions& options) { return Planner(options).makePlan(); }

std::string toLine(const FaultStep& step)
{
    auto out = std::to_string(step.at.value) + " " + std::string(nameOf(step.action)) + " " + step.target;
    return step.arguments.empty() ? out : out + " " + step.arguments;
}

UnavailableVoters countUnavailableVoters(const std::vector<FaultStep>& steps, uint32_t voters)
{
    std::set<std::string> unavailable;
    UnavailableVoters out;
    for (const auto& it : steps) {
        const bool daemon = it.target.starts_with("daemon-");
        if (!daemon || std::stoul(it.target.substr(7)) > voters)
            continue;
        if (it.action == FaultAction::Kill || it.action == FaultAction::Stop)
            unavailable.insert(it.target);
        if (it.action == FaultAction::Restart || it.action == FaultAction::Continue)
            unavailable.erase(it.target);
        out.peak = std::max(out.peak, static_cast<uint32_t>(unavailable.size()));
    }
    out.atEnd = static_cast<uint32_t>(unavailable.size());
    return out;
}

}
