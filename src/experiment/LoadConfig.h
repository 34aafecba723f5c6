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
    size_t account = 0; ///< Index into the accounts.
    std::string className; ///< Sent as Siskinshunt-Class; empty: none.
    bool service = false; ///< A plain service call; else a completion.
    std::string path;
    std::string model;
    double ratePerSecond = 1;
    LoadTokenRange prompt;
    LoadTokenRange answer;
    uint32_t sharedPrefixTokens = 0; ///< Leading prompt tokens that calls share.
    uint32_t sharedPrefixes = 1; ///< Number of different shared prefixes.
    bool stream = false;
    double once = 0; ///< Share of the service calls that book, under an idempotency key; the others look up.
    double leave = 0; ///< Share of the callers that go away mid-answer.
    TimeMs deadline { 30000 }; ///< A caller waits this long for one attempt.
};

struct LoadConfig {
    std::string control; ///< Control address of the stand-ins; empty: no audit and no cost.
    uint32_t callers = 20; ///< Callers per account, each with its own cached entry address.
    bool useEntries = true; ///< Callers ask GET /v1/entries; else they use the targets.
    uint32_t attempts = 5;
    double retryShare = 0.8; ///< Share of the callers that send a refused call again.
    TimeMs backoff { 100 }; ///< Doubles with each attempt, up to 3 s.
    std::vector<LoadAccount> accounts;
    std::vector<LoadMix> mixes;
};

/// Reads the load file (JSON with comments). Fails with Invalid: one line with file, key and what is allowed.
Result<LoadConfig> parseLoadConfig(const Json&, const std::string& file);

}
