#include "versions/VersionCircuitBreaker.h"

namespace siskinshunt {

bool VersionCircuitBreaker::isOutage(Route& route, TimeMs now) const
{
    while (!route.old.empty() && route.old.front().second + m_settings.window < now)
        route.old.pop_front();
    uint64_t requests = 0;
    uint64_t failures = 0;
    for (const auto& it : route.old) {
        requests += it.requests;
        failures += it.failures;
    }
    return requests > 0 && static_cast<double>(failures) >= m_settings.outageFailureRate * static_cast<double>(requests);
}

bool VersionCircuitBreaker::record(TimeMs now, std::string_view name, bool newVersion, bool failed)
{
    auto it = m_routes.find(name);
    if (it == m_routes.end())
        it = m_routes.emplace(std::string(name), Route {}).first;
    Route& route = it->second;
    if (!newVersion) {
        const TimeMs second { now.value / 1000 * 1000 };
        if (route.old.empty() || route.old.back().second < second)
            route.old.push_back({ .second = second });
        ++route.old.back().requests;
        route.old.back().failures += failed;
        isOutage(route, now);
        return false;
    }
    if (tripped())
        return false;
    if (!failed) {
        route.failures.clear();
        return false;
    }
    route.failures.push_back(now);
    while (route.failures.front() + m_settings.window < now || route.failures.size() > m_settings.failureThreshold)
        route.failures.pop_front();
    if (route.failures.size() < m_settings.failureThreshold || isOutage(route, now))
        return false;
    m_reason = std::to_string(m_settings.failureThreshold) + " failures in a row on route " + std::string(name);
    return true;
}

}
