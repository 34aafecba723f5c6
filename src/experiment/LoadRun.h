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
    std::string arrivals; ///< Recorded arrival file; if empty, Poisson arrivals are generated.
    std::string record; ///< File to write the arrivals of this run to; can be empty.
    std::string out; ///< JSON output file; can be empty.
    std::string html; ///< HTML output file; can be empty.
    bool json = false; ///< Print JSON instead of tables.
    bool strict = false; ///< Fail the run if a connection broke after the request was sent.
};

/// Runs the load and prints its report. Returns an exit code: 1 if a check failed, 2 if the input is invalid, 3 if no call
/// reached the system or the executions could not be fetched from the stand-ins.
int runLoad(const LoadOptions&);

}
