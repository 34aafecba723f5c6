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

/// How a version misbehaves, and when.
struct FakeVersionFault {
    FaultMode mode = FaultMode::Good;
    TimeMs from; ///< Instant from which it shows.
    uint32_t underLoad = 0; ///< Only while the engine serves at least this many calls.
    std::string path; ///< Only on request paths with this prefix.
    double rate = 1; ///< Share of the calls that fail.
    double factor = 4; ///< Slowness.
};

/// Faults by version name.
class FakeVersionFaults {
public:
    /// Sets the fault from `{"version","mode","after_ms","under_load","path","rate","factor"}`; false when the mode is unknown.
    bool set(const Json& order, TimeMs now);
    /// The fault that shows for a call now; mode Good when none.
    FakeVersionFault find(const std::string& version, std::string_view path, uint32_t running, TimeMs now) const;

private:
    std::map<std::string, FakeVersionFault> m_faults;
};

}
