#include "routing/Ejection.h"

#include <algorithm>

namespace siskinshunt {

Health healthAt(const UpstreamHealth& health, TimeMs now)
{
    if (!health.ejected)
        return Health::Healthy;
    return now < health.ejectedUntil ? Health::Ejected : Health::Probing;
}

uint32_t ejectionLimit(uint32_t poolSize)
{
    return poolSize / 2;
}

static void eject(UpstreamHealth& health, const EjectionOptions& options, TimeMs now)
{
    const uint32_t doublings = std::min<uint32_t>(health.ejections, 16);
    health.ejectedUntil = now + std::min(options.cap, options.base * (int64_t { 1 } << doublings));
    health.nextProbe = health.ejectedUntil;
    ++health.ejections;
    health.ejected = true;
}

bool recordFailure(UpstreamHealth& health, const EjectionOptions& options, uint32_t ejectedInPool, uint32_t poolSize, TimeMs now)
{
    ++health.consecutiveFailures;
    if (health.ejected) {
        // Calls sent before the ejection can still fail; only a failed probe extends the ejection.
        if (now >= health.ejectedUntil)
            eject(health, options, now);
        return false;
    }
    if (health.consecutiveFailures < options.failures || ejectedInPool >= ejectionLimit(poolSize))
        return false;
    eject(health, options, now);
    return true;
}

bool recordSuccess(UpstreamHealth& health)
{
    const bool ended = health.ejected;
    health = {};
    return ended;
}

bool tryAcquireProbe(UpstreamHealth& health, const EjectionOptions& options, TimeMs now)
{
    if (healthAt(health, now) != Health::Probing || now < health.nextProbe)
        return false;
    health.nextProbe = now + options.probeInterval;
    return true;
}

}
