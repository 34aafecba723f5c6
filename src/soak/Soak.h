#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace siskinshunt {

/// What one randomised schedule did.
struct SoakResult {
    std::map<std::string, uint64_t> faults; ///< Faults injected, by kind.
    std::string violation; ///< Empty, or what was violated. Broken invariants abort the process after logging.
};

/// Runs one schedule that the seed determines completely.
using SoakFunction = SoakResult (*)(uint64_t seed);

/// Registers a scenario at program start; define one static object per scenario in its source file.
struct SoakRegistration {
    SoakRegistration(const char* name, SoakFunction);
};

}
