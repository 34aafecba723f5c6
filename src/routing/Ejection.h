#pragma once

#include "base/EnumNames.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>

namespace siskinshunt {

struct EjectionOptions {
    uint32_t failures = 5; ///< Consecutive failures that cause an ejection.
    TimeMs base { 5000 }; ///< Duration of the first ejection; doubles with each further ejection.
    TimeMs cap { 60000 }; ///< Maximum duration of an ejection.
    TimeMs probeInterval { 1000 }; ///< Time between probes of one upstream after its ejection period.
};

enum class Health : uint8_t {
    Healthy,
    Ejected, ///< Receives no calls.
    Probing, ///< Receives one call per probe interval until one succeeds or fails.
};

template <>
inline constexpr auto enumNames<Health> = std::to_array<EnumName<Health>>({
    { Health::Healthy, "healthy" },
    { Health::Ejected, "ejected" },
    { Health::Probing, "probing" },
});

/// Outcome counters and ejection state of one upstream.
struct UpstreamHealth {
    uint32_t consecutiveFailures = 0;
    uint32_t ejections = 0; ///< Ejections since the last success; determines the duration of the next one.
    TimeMs ejectedUntil;
    TimeMs nextProbe;
    bool ejected = false; ///< Cleared when a call succeeds or the pool releases the upstream.
};

Health healthAt(const UpstreamHealth&, TimeMs now);

/// Maximum number of ejected upstreams in a pool of this size: half of it, rounded down.
uint32_t ejectionLimit(uint32_t poolSize);

/// Records a failure. `ejectedInPool` is the number of ejected upstreams in the pool. Returns true if this ejected the upstream.
bool recordFailure(UpstreamHealth&, const EjectionOptions&, uint32_t ejectedInPool, uint32_t poolSize, TimeMs now);

/// Records a success. Returns true if this ended an ejection.
bool recordSuccess(UpstreamHealth&);

/// Acquires a probe if one is due. Returns false otherwise.
bool tryAcquireProbe(UpstreamHealth&, const EjectionOptions&, TimeMs now);

}
