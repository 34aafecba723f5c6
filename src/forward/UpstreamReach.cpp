#include "forward/UpstreamReach.h"

#include <algorithm>

namespace siskinshunt {

// Fewer upstreams can fail at the same time by themselves.
static constexpr size_t minSilent = 3;
static constexpr TimeMs probeInterval { 500 };

bool recordReached(UpstreamReach& reach, TimeMs now)
{
    const bool wasLost = reach.lost;
    resetReach(reach);
    reach.answeredAt = now;
    return wasLost;
}

bool recordUnreached(UpstreamReach& reach, TimeMs now, UpstreamId upstream, TimeMs sentAt, size_t targets)
{
    reach.unreachedAt = now;
    if (sentAt < reach.answeredAt)
        return false;
    if (std::find(reach.silent.begin(), reach.silent.end(), upstream) == reach.silent.end())
        reach.silent.push_back(upstream);
    if (reach.lost || reach.silent.size() < std::min(minSilent, targets))
        return false;
    reach.lost = true;
    reach.lostAt = now;
    return true;
}

void resetReach(UpstreamReach& reach)
{
    reach.silent.clear();
    reach.lost = false;
}

bool takeProbe(UpstreamReach& reach, TimeMs now)
{
    if (now < reach.probeAt)
        return false;
    reach.probeAt = now + probeInterval;
    return true;
}

}
