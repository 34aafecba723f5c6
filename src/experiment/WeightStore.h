#pragma once

#include "base/TimeMs.h"

#include <algorithm>
#include <cstdint>

namespace siskinshunt {

/// Token bucket of the weight store: how many fetches may start.
class WeightStore {
public:
    WeightStore(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Takes one fetch; false when the store is over its rate.
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
