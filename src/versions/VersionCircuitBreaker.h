#pragma once

#include "base/TimeMs.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace siskinshunt {

struct VersionCircuitBreakerSettings {
    uint32_t failureThreshold = 5; ///< Consecutive failures of the new version on one route that open the breaker.
    TimeMs window { 30000 }; ///< Time within which these failures have to occur.
    double outageFailureRate = 0.3; ///< The breaker stays closed while the old version fails on at least this share of its requests in the window.
};

/// Circuit breaker of one node for one move. Stops traffic to the new version without waiting for the leader, and stays
/// open until the move ends.
class VersionCircuitBreaker {
public:
    explicit VersionCircuitBreaker(VersionCircuitBreakerSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Records a finished request; returns true if it opens the breaker.
    bool record(TimeMs now, std::string_view route, bool newVersion, bool failed);
    bool tripped() const { return !m_reason.empty(); }
    /// Human-readable; empty while the breaker is closed.
    const std::string& reason() const { return m_reason; }

private:
    struct OldSecond {
        TimeMs second;
        uint32_t requests = 0;
        uint32_t failures = 0;
    };
    struct Route {
        std::deque<TimeMs> failures; ///< Times of the new version's latest consecutive failures.
        std::deque<OldSecond> old; ///< Requests to the old version, per second.
    };

    bool isOutage(Route&, TimeMs now) const;

    VersionCircuitBreakerSettings m_settings;
    std::map<std::string, Route, std::less<>> m_routes;
    std::string m_reason;
};

}
