#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace siskinshunt {

/// What is known of the length of an answer before it starts.
struct OutputRequest {
    std::string_view account;
    std::string_view route;
    double hint = 0; ///< Tokens that the caller expects; 0 without a hint.
    double limit = 0; ///< Maximum number of tokens; 0 if unknown.
};

/// Expected length of an answer, in tokens. The length is treated as log-normal.
struct OutputEstimate {
    double median = 0;
    double mean = 0;
    double upper = 0; ///< Quantile 0.75.
    double spread = 0; ///< Standard deviation of the logarithm.
};

/// Decaying mean and variance of logarithms.
struct LogAverage {
    double count = 0; ///< Observations, limited to the time constant.
    double mean = 0;
    double variance = 0;
};

/// Learns the lengths of answers, and how accurate hints are, by account and route. Starts empty.
struct OutputLengths {
    struct Entry {
        LogAverage length;
        LogAverage hintError; ///< Observed by hinted tokens.
        uint64_t lastUsed = 0;
    };

    size_t maxEntries = 1024; ///< The least recently used entry is evicted when there would be more.
    std::map<std::pair<std::string, std::string>, Entry> entries; ///< By account and route; an empty account stands for all of them.
    uint64_t uses = 0;
};

OutputEstimate estimateOutput(const OutputLengths&, const OutputRequest&);
/// Records the length of a complete answer.
void recordOutput(OutputLengths&, const OutputRequest&, double tokens);

}
