#pragma once

#include "emulator/Engine.h"
#include "experiment/Json.h"

#include <string>
#include <vector>

namespace siskinshunt {

/// What an upstream stand-in is, as it announces it.
struct FakeIdentity {
    std::string name;
    std::string address;
    std::string domain;
    std::string machine;
    std::string model; ///< Service name for a service.
    std::string version;
    bool checksFencing = true;
    bool reclaimable = true;
};

struct FakeEngineConfig {
    FakeIdentity identity;
    EngineOptions engine; ///< Speeds and sizes; version and start time are set at each start.
    TimeMs loadTime { 2000 }; ///< Time to load a version once its weights may be fetched.
    TimeMs keepAlive { 1000 }; ///< Interval of SSE comments before the first token; 0: none.
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
    std::string address; ///< Empty: no platform.
    bool checksFencing = true;
    TimeMs startTime { 3000 };
    std::vector<std::string> addressPool; ///< Listen addresses of instances that are started through the API.
    FakeEngineConfig engine; ///< What such an instance runs; name, address, domain, machine, model and version come from the order.
    std::vector<FakePrice> prices;
};

struct FakeWeightsConfig {
    std::string address; ///< Empty: no HTTP interface.
    double perSecond = 1; ///< Fetches per second over all engines.
    double burst = 2;
};

struct FakesConfig {
    std::vector<std::string> daemons; ///< Addresses for announcements.
    std::string announceToken;
    std::string control;
    uint64_t seed = 1;
    std::vector<FakeEngineConfig> engines;
    std::vector<FakeServiceConfig> services;
    FakePlatformConfig platform;
    FakeWeightsConfig weights;
};

/// Reads the stand-ins file (JSON with comments). Fails with Invalid: one line with file, key and what is allowed.
Result<FakesConfig> parseFakesConfig(const Json&, const std::string& file);

}
