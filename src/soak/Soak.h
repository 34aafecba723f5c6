#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace siskinshunt {

/// Result of one randomised schedule.
struct SoakResult {
    std::map<std::string, uint64_t> faults; ///< Faults injected, by kind.
    std::string violation; ///< First violated property; empty if none. A failed INVARIANT logs and aborts the process instead.
};

/// Runs one schedule. The result depends on the seed only.
using SoakFunction = SoakResult (*)(uint64_t seed);

/// Registers a scenario at program start. Define one static object per scenario in its source file.
struct SoakRegistration {
    SoakRegistration(const char* name, SoakFunction);
};

}
