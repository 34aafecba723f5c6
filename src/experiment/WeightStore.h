#pragma once

#include "base/TimeMs.h"

#include <algorithm>
#include <cstdint>

namespace siskinshunt {

/// Token bucket that limits the rate of weight fetches.
class WeightStore {
public:
    WeightStore(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Starts a fetch. Returns false if the rate limit is exceeded.
    bool tryFetch(TimeMs now)
    {
        m_tokens = std::min(m_burst, m_tokens + (now - m_at).seconds() * m_perSecond);
        m_at = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        ++m_fetches;
        return true;
    }

    uint64_t fetches() const { return m_fetches; }

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    TimeMs m_at;
    uint64_t m_fetches = 0;
};

}
