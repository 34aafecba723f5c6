#pragma once

#include "base/TimeMs.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace siskinshunt {

struct VersionCircuitBreakerSettings {
    uint32_t failureThreshold = 5; ///< Failures of the new version in a row, on one route.
    TimeMs window { 30000 }; ///< In which they have to fall.
    double outageFailureRate = 0.3; ///< No trip while the old version fails on at least this share of its requests in the window.
};

/// Per node and move. Stops the new version at once, without the leader; stays tripped until the move ends.
class VersionCircuitBreaker {
public:
    explicit VersionCircuitBreaker(VersionCircuitBreakerSettings settings = {})
        : m_settings(settings)
    {
    }

    /// Records a finished request; returns true if this one trips.
    bool record(TimeMs now, std::string_view route, bool newVersion, bool failed);
    bool tripped() const { return !m_reason.empty(); }
    /// For people; empty if not tripped.
    const std::string& reason() const { return m_reason; }

private:
    struct OldSecond {
        TimeMs second;
        uint32_t requests = 0;
        uint32_t failures = 0;
    };
    struct Route {
        std::deque<TimeMs> failures; ///< Of the new version, in a row.
        std::deque<OldSecond> old;
    };

    bool isOutage(Route&, TimeMs now) const;

    VersionCircuitBreakerSettings m_settings;
    std::map<std::string, Route, std::less<>> m_routes;
    std::string m_reason;
};

}
