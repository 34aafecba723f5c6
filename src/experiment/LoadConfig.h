#pragma once

#include "experiment/Json.h"

#include <string>
#include <vector>

namespace siskinshunt {

struct LoadAccount {
    std::string name;
    std::string token;
};

struct LoadTokenRange {
    uint32_t low = 1;
    uint32_t high = 1;
};

/// One kind of call in the load.
struct LoadMix {
    std::string name;
    size_t account = 0; ///< Index into `LoadConfig::accounts`.
    std::string className; ///< Value of Siskinshunt-Class; empty if it is not sent.
    bool service = false; ///< A call to a plain service rather than a completion.
    std::string path;
    std::string model;
    double ratePerSecond = 1;
    LoadTokenRange prompt;
    LoadTokenRange answer;
    uint32_t sharedPrefixTokens = 0; ///< Leading prompt tokens that calls have in common.
    uint32_t sharedPrefixes = 1; ///< Number of different shared prefixes.
    bool stream = false;
    double once = 0; ///< Fraction of the service calls that book with an idempotency key; the others are lookups.
    double leave = 0; ///< Fraction of the callers that cancel halfway through the answer.
    TimeMs deadline { 30000 }; ///< Timeout of an attempt.
};

struct LoadConfig {
    std::string control; ///< Control address of the stand-ins; if empty, there is no audit and no cost.
    uint32_t callers = 20; ///< Number of callers per account, each with its own cached entry address.
    bool useEntries = true; ///< Callers use GET /v1/entries rather than the targets directly.
    uint32_t attempts = 5;
    double retryShare = 0.8; ///< Probability that a caller sends a refused call again.
    TimeMs backoff { 100 }; ///< Doubles with each attempt, up to 3 s.
    std::vector<LoadAccount> accounts;
    std::vector<LoadMix> mixes;
};

/// Reads the load file (JSON with comments). Fails with Invalid; the message is one line with file, key and allowed values.
Result<LoadConfig> parseLoadConfig(const Json&, const std::string& file);

}
