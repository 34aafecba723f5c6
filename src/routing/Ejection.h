#pragma once

#include "base/EnumNames.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>

namespace siskinshunt {

struct EjectionOptions {
    uint32_t failures = 5; ///< Consecutive failures that eject.
    TimeMs base { 5000 }; ///< Duration of the first ejection; doubles with each further one.
    TimeMs cap { 60000 };
    TimeMs probeInterval { 1000 }; ///< Between probes of one upstream after its ejection has passed.
};

enum class Health : uint8_t {
    Healthy,
    Ejected, ///< Gets no calls.
    Probing, ///< Gets one call per probe interval until one succeeds or fails.
};

template <>
inline constexpr auto enumNames<Health> = std::to_array<EnumName<Health>>({
    { Health::Healthy, "healthy" },
    { Health::Ejected, "ejected" },
    { Health::Probing, "probing" },
});

/// Outcome counters of one upstream.
struct UpstreamHealth {
    uint32_t consecutiveFailures = 0;
    uint32_t ejections = 0; ///< Since the last success; sets the duration.
    TimeMs ejectedUntil;
    TimeMs nextProbe;
    bool ejected = false; ///< Until a probe succeeds.
};

Health healthAt(const UpstreamHealth&, TimeMs now);

/// Ejected upstreams a pool of this size may have: half of it, rounded down.
uint32_t ejectionLimit(uint32_t poolSize);

/// Records a failure. `ejectedInPool` counts the ejected upstreams of the pool. True if it was ejected now.
bool recordFailure(UpstreamHealth&, const EjectionOptions&, uint32_t ejectedInPool, uint32_t poolSize, TimeMs now);

/// Records a success. True if it ended an ejection.
bool recordSuccess(UpstreamHealth&);

/// Takes the probe that is due; false if none is.
bool tryAcquireProbe(UpstreamHealth&, const EjectionOptions&, TimeMs now);

}
