#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// Parameters of a benchmark run and the function that reports its results.
struct BenchContext {
    bool quick = false; ///< Short runs, so that all benchmarks together take less than 45 s.
    uint64_t seed = 1;
    std::string proxy; ///< "IP:port" of a daemon started by tools/bench; empty: none.
    std::vector<std::string> services; ///< "IP:port" of the services behind it.
    std::vector<std::string> engines; ///< "IP:port" of the engines behind it.
    /// Prints one JSON line {"name","value","unit","seed","size"} on standard output.
    std::function<void(std::string_view name, double value, std::string_view unit, std::string_view size)> report;
};

using BenchFunction = void (*)(const BenchContext&);

/// Registers a benchmark at program start. Define one static object per benchmark in its source file.
struct BenchRegistration {
    BenchRegistration(const char* name, BenchFunction);
};

}
