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

/// Load as the upstream reported it, delayed by its reporting lag.
struct UpstreamLoad {
    uint32_t running = 0; ///< Calls in progress.
    uint32_t waiting = 0; ///< Calls queued at the upstream.
    uint32_t capacity = 1; ///< Maximum number of concurrent calls.
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

/// Announcement that an upstream sends to nodes.
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
    bool leaving = false; ///< Accepts no new work.
    std::optional<TimeMs> reclaimIn; ///< Time until the platform reclaims the instance.
    uint64_t incarnation = 0; ///< Increases with each start of the upstream.
    uint64_t sequence = 0; ///< Increases with each announcement of an incarnation.
    UpstreamLoad load;
};

/// States that a node receives the announcements of an upstream directly. The node sends it to the other nodes and
/// withdraws it when the announcements stop. `sequence` is the announcement at which `active` last changed.
struct Observation {
    NodeId observer;
    uint64_t sequence = 0;
    bool active = false;

    bool operator==(const Observation&) const = default;
};

/// Entry of the upstream table: the last announcement and when this node received it.
struct Upstream {
    UpstreamId id;
    Announcement announced;
    /// Local clock. At a node to which the upstream announces itself: the arrival of the last announcement. At the other
    /// nodes: the last time at which a live node observed it.
    TimeMs lastSeen;
    std::optional<TimeMs> reclaimAt; ///< Local clock.
    std::optional<TimeMs> leavingSince; ///< Local clock; first notice of reclaim or leaving.
    bool local = false; ///< The upstream announces itself to this node.
    /// Local clock. Until then, an upstream known only from before a restart is expected to announce itself again.
    std::optional<TimeMs> restoredUntil;
    uint64_t localSequence = 0; ///< Highest sequence that this node received directly.
    uint64_t contentSequence = 0; ///< Last announcement with a change other than the load.
    std::array<Observation, 4> observations; ///< Unused slots have no observer.
};

}
