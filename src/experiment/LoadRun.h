#pragma once

#include "experiment/Arrivals.h"
#include "experiment/LoadTally.h"

#include <string>
#include <vector>

namespace siskinshunt {

struct LoadOptions {
    std::string config; ///< Load file.
    uint64_t seed = 1;
    TimeMs duration { 10000 };
    std::vector<std::string> targets; ///< Addresses of the system.
    std::string arrivals; ///< Recorded arrival file; empty: Poisson arrivals.
    std::string record; ///< Where to write the arrivals of this run; empty: nowhere.
    std::string out; ///< JSON file; empty: none.
    std::string html; ///< HTML file; empty: none.
    bool json = false; ///< JSON instead of a table on standard output.
    bool strict = false; ///< Connections that broke after the request was sent count as cut.
};

/// Runs the load and prints its report. Returns an exit code: 1 when a check failed, 2 when the input is wrong, 3 when no
/// call reached the system or the stand-ins could not be asked for the executions.
int runLoad(const LoadOptions&);

}
