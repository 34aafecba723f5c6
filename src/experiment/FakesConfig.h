#pragma once

#include "emulator/Engine.h"
#include "experiment/Json.h"

#include <string>
#include <vector>

namespace siskinshunt {

/// Identity that an upstream stand-in announces.
struct FakeIdentity {
    std::string name;
    std::string address;
    std::string domain;
    std::string machine;
    std::string model; ///< For a service, its name.
    std::string version;
    bool checksFencing = true;
    bool reclaimable = true;
};

struct FakeEngineConfig {
    FakeIdentity identity;
    EngineOptions engine; ///< Speeds and sizes; seed and start time are set at each start.
    TimeMs loadTime { 2000 }; ///< Time to load a version after the weight store admits the fetch.
    TimeMs keepAlive { 1000 }; ///< Interval of SSE comments before the first token; 0 disables them.
};

struct FakeServiceConfig {
    FakeIdentity identity;
    TimeMs serviceTime { 20 };
    uint32_t capacity = 32;
};

struct FakePrice {
    std::string domain;
    std::string machine;
    std::string kind;
    double perHour = 0;
};

struct FakePlatformConfig {
    std::string address; ///< Empty if there is no platform.
    bool checksFencing = true;
    TimeMs startTime { 3000 };
    std::vector<std::string> addressPool; ///< Listen addresses for instances that are started through the API.
    FakeEngineConfig engine; ///< Engine of such an instance; the order sets name, address, domain, machine, model and version.
    std::vector<FakePrice> prices;
};

struct FakeWeightsConfig {
    std::string address; ///< Empty if there is no HTTP interface.
    double perSecond = 1; ///< Fetches per second over all engines.
    double burst = 2;
};

struct FakesConfig {
    std::vector<std::string> daemons; ///< Node addresses to announce to.
    std::string announceToken;
    std::string control;
    uint64_t seed = 1;
    std::vector<FakeEngineConfig> engines;
    std::vector<FakeServiceConfig> services;
    FakePlatformConfig platform;
    FakeWeightsConfig weights;
};

/// Reads the stand-ins file (JSON with comments). Fails with Invalid; the message is one line with file, key and allowed values.
Result<FakesConfig> parseFakesConfig(const Json&, const std::string& file);

}
