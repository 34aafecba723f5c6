#pragma once

#include "base/EnumNames.h"
#include "experiment/Json.h"

#include <array>
#include <map>
#include <string>

namespace siskinshunt {

enum class FaultMode : uint8_t {
    Good,
    Fail,
    Slow,
};

template <>
inline constexpr auto enumNames<FaultMode> = std::to_array<EnumName<FaultMode>>({
    { FaultMode::Good, "good" },
    { FaultMode::Fail, "fail" },
    { FaultMode::Slow, "slow" },
});

/// Simulated fault of a version and its conditions.
struct FakeVersionFault {
    FaultMode mode = FaultMode::Good;
    TimeMs from; ///< Active from this time.
    uint32_t underLoad = 0; ///< Active only while the engine serves at least this many calls.
    std::string path; ///< Active only for request paths with this prefix.
    double rate = 1; ///< Fraction of the calls that fail.
    double factor = 4; ///< Slowdown factor.
};

/// Faults by version name.
class FakeVersionFaults {
public:
    /// Sets the fault from `{"version","mode","after_ms","under_load","path","rate","factor"}`. Returns false
    /// if the mode is unknown or the version is missing.
    bool set(const Json& order, TimeMs now);
    /// Returns the fault that is active for a call, or a fault with mode Good.
    FakeVersionFault find(const std::string& version, std::string_view path, uint32_t running, TimeMs now) const;

private:
    std::map<std::string, FakeVersionFault> m_faults;
};

}
