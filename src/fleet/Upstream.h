#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

enum class UpstreamKind : uint8_t {
    Engine,
    Service,
};

template <>
inline constexpr auto enumNames<UpstreamKind> = std::to_array<EnumName<UpstreamKind>>({
    { UpstreamKind::Engine, "engine" },
    { UpstreamKind::Service, "service" },
});

enum class EngineRole : uint8_t {
    Mixed,
    Prefill,
    Decode,
};

template <>
inline constexpr auto enumNames<EngineRole> = std::to_array<EnumName<EngineRole>>({
    { EngineRole::Mixed, "mixed" },
    { EngineRole::Prefill, "prefill" },
    { EngineRole::Decode, "decode" },
});

/// Load as the upstream reported it, late by its reporting lag.
struct UpstreamLoad {
    uint32_t running = 0; ///< Calls being served.
    uint32_t waiting = 0; ///< Calls queued at the upstream.
    uint32_t capacity = 1; ///< Calls it can serve at once.
    uint64_t cachedTokens = 0;
    uint64_t waitingTokens = 0; ///< Prompt tokens that wait for prefill.
    double tokensPerSecond = 0; ///< Decode rate per call at the current load.
    double prefillTokensPerSecond = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(running, waiting, capacity, cachedTokens, waitingTokens, tokensPerSecond, prefillTokensPerSecond);
    }
};

/// What an upstream says of itself.
struct Announcement {
    std::string name;
    std::string address; ///< "IP:port".
    std::string domain; ///< Failure domain.
    std::string machine; ///< Machine class.
    UpstreamKind kind = UpstreamKind::Engine;
    std::string model; ///< Model of an engine, service name of a service.
    std::string version;
    std::vector<std::string> adapters;
    EngineRole role = EngineRole::Mixed;
    bool checksFencing = false;
    bool reclaimable = true;
    bool leaving = false; ///< Wants no new work.
    std::optional<TimeMs> reclaimIn; ///< Time left until the platform takes the instance.
    uint64_t incarnation = 0; ///< Rises with each start of the upstream.
    uint64_t sequence = 0; ///< Rises with each announcement of one incarnation.
    UpstreamLoad load;
};

/// A node that receives the announcements of an upstream says so to the others ("vouches") and takes it back when they
/// stop. Sequence is the announcement at which the node last changed its word.
struct Observation {
    NodeId observer;
    uint64_t sequence = 0;
    bool active = false;

    bool operator==(const Observation&) const = default;
};

/// Entry of the upstream table: the last announcement and when this node learnt of it.
struct Upstream {
    UpstreamId id;
    Announcement announced;
    /// Local clock. At a node that the upstream announces itself to: the arrival of the last announcement. At the other
    /// nodes: the last time at which a live node vouched for it.
    TimeMs lastSeen;
    std::optional<TimeMs> reclaimAt; ///< Local clock.
    std::optional<TimeMs> leavingSince; ///< Local clock; first notice of reclaim or leaving.
    bool local = false; ///< Announces itself to this node.
    uint64_t localSequence = 0; ///< Highest announcement that arrived here directly.
    uint64_t contentSequence = 0; ///< Announcement that last changed anything but the load.
    std::array<Observation, 4> observations; ///< Unused slots have no home.
};

}
