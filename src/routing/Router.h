#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Random.h"
#include "base/TimeMs.h"
#include "fleet/Upstream.h"
#include "routing/Ejection.h"
#include "routing/PrefixIndex.h"
#include "routing/VersionSplit.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

constexpr int priorityCount = 10;

struct RouterOptions {
    NodeId self;
    std::string domain; ///< Failure domain of this node.
    uint64_t seed = 1;
    uint32_t rendezvousCandidates = 2; ///< Candidates by rendezvous hash of the prefix.
    uint32_t randomCandidates = 2;
    uint32_t subsetSize = 64; ///< Upstreams of one pool and version that this node uses.
    double targetFraction = 0.3; ///< Part of the first-token target that the expected time may take.
    /// Part of an upstream's places that each step of priority leaves free for more urgent calls that may come.
    double reservedPerPriority = 0.04;
    uint32_t nodes = 1; ///< Nodes that share the places an upstream reported free; membership gives their number.
    double reservedWithoutTarget = 0.65; ///< Further part that calls without a target leave free.
    double crossDomainMs = 2; ///< Added to the expected time of upstreams of other failure domains.
    double loadWeight = 3; ///< Weight of the calls at an upstream against the uncached prefill, per call and step time.
    double prefillWeight = 1.5; ///< Weight of uncached prefill; above 1 it counts the cached blocks that it evicts.
    double priceWeight = 1; ///< Exponent of the price in the cost of a choice.
    uint32_t affinityBlocks = 4; ///< The rendezvous key of a prompt covers at most this many blocks.
    uint32_t indexCapacity = 1 << 16; ///< Blocks of the prefix index.
    TimeMs sharedClockOffset; ///< Added to `now` for times that nodes agree on.
    EjectionOptions ejection;
};

/// What the router needs to know of one upstream. The node fills it from the upstream table and the rules.
struct RoutingTarget {
    UpstreamId id;
    std::string pool; ///< Model or service name.
    std::string version;
    std::string domain;
    UpstreamKind kind = UpstreamKind::Engine;
    EngineRole role = EngineRole::Mixed;
    uint64_t incarnation = 0;
    bool acceptsWork = true; ///< False: leaving, reclaimed, draining or expired.
    double pricePerHour = 1;
    double reclaimRisk = 0; ///< Expected reclaims per hour.
};

enum class ChoiceReason : uint8_t {
    NoUpstream, ///< The pool has no upstream that may take work and was not tried before.
    CheapestUnderTarget, ///< Several candidates meet the target; this one costs least.
    LowestExpectedTime, ///< None meets the target.
    FullLoadRunner, ///< Bound by the version split.
    RecoveryProbe, ///< An ejected upstream is tried again.
    LeastLoaded, ///< A plain service.
    HeldBack, ///< No upstream: the places left are kept for more urgent calls. Queue the call and ask again.
};

template <>
inline constexpr auto enumNames<ChoiceReason> = std::to_array<EnumName<ChoiceReason>>({
    { ChoiceReason::NoUpstream, "no_upstream" },
    { ChoiceReason::CheapestUnderTarget, "cheapest_under_target" },
    { ChoiceReason::LowestExpectedTime, "lowest_expected_time" },
    { ChoiceReason::FullLoadRunner, "full_load_runner" },
    { ChoiceReason::RecoveryProbe, "recovery_probe" },
    { ChoiceReason::LeastLoaded, "least_loaded" },
    { ChoiceReason::HeldBack, "held_back" },
});

struct RouteRequest {
    std::string_view pool; ///< Model or service name.
    std::string_view route;
    std::span<const uint64_t> blocks; ///< Chained hashes of the full prompt blocks; empty for services.
    uint32_t promptTokens = 0; ///< Tokens to have in the KV cache before the first new token.
    uint32_t outputTokens = 0; ///< Expected.
    int priority = 5; ///< 0 is served first, 9 last.
    std::optional<TimeMs> firstTokenTarget;
    bool canQueue = false; ///< The caller can queue the call, so the choice may be `HeldBack`.
    bool repeatable = true; ///< Calls that may not be repeated are never used as probes.
    std::span<const UpstreamId> avoid; ///< Upstreams that were tried before.
};

/// A choice and why it was made, for the explain record.
struct Choice {
    UpstreamId upstream; ///< None if there is no upstream.
    ChoiceReason reason = ChoiceReason::NoUpstream;
    double expectedMs = 0; ///< Until the first token: queue and prefill.
    double queueMs = 0;
    double prefillMs = 0;
    uint32_t cachedTokens = 0; ///< Expected prefix cache hit.
    uint32_t candidates = 0; ///< Upstreams that were compared.
    UpstreamId runnerUp; ///< The next best candidate, if any.
    double runnerUpMs = 0; ///< Its expected time.
};

/// A call that this node sent. `attempt` tells repeated dispatches of one call apart.
struct SentCall {
    CallId call;
    uint32_t attempt = 1;
    UpstreamId upstream;
    int priority = 5;
    uint32_t promptTokens = 0;
    uint32_t cachedTokens = 0; ///< Expected prefix cache hit, from the choice.
};

enum class CallEnd : uint8_t {
    Done,
    Failed, ///< Counts against the upstream.
    Cancelled, ///< Says nothing about the upstream.
};

/// A dispatched call that the router still counts.
struct OwnCall {
    uint32_t slot = 0;
    int priority = 5;
    uint32_t tokens = 0; ///< Expected to need prefill.
    uint32_t cachedTokens = 0; ///< Expected prefix cache hit.
    TimeMs sentAt;
    std::optional<TimeMs> firstTokenAt;
};

/// A call for the reconciliation of load reports, which are older than it may be.
struct RecentCall {
    TimeMs sentAt;
    TimeMs prefilledAt = farFuture;
    TimeMs endedAt = farFuture;
    uint32_t tokens = 0;
    uint64_t key = 0;
};

/// Row of the routing table.
struct TargetRow {
    RoutingTarget target;
    bool used = false;
    bool ownDomain = false;
    uint8_t generation = 1; ///< Of its prefix cache.
    uint64_t hash = 0; ///< Of its id, for rendezvous.
    UpstreamLoad load; ///< As reported.
    TimeMs measuredAt { -1000000 };
    uint64_t othersTokens = 0; ///< Reported prefill backlog that is not this node's.
    uint32_t othersCalls = 0; ///< Reported calls that are not this node's.
    uint32_t ownCalls = 0; ///< In flight.
    uint32_t ownSinceReport = 0; ///< Sent after the load report was true.
    uint32_t ownEndedSinceReport = 0; ///< Of the own calls in the report, those that have ended.
    uint64_t ownTokens[priorityCount] {}; ///< Prefill backlog of own calls by priority.
    double hintAccuracy = 1; ///< Smoothed part of the expected prefix cache hits that replies confirmed.
    std::vector<RecentCall> recent;
    UpstreamHealth health;
};

struct SubsetSlot {
    uint32_t slot = 0;
    uint64_t hash = 0; ///< Of the upstream's id; kept here so that the rendezvous scan stays in one array.
};

/// Upstreams of one pool and version.
struct VersionGroup {
    std::string version;
    std::vector<uint32_t> members; ///< Slots that may take work.
    std::vector<SubsetSlot> subset; ///< Those this node uses.
};

struct Pool {
    std::vector<VersionGroup> groups;
    uint32_t members = 0; ///< Over all groups, those that may take work.
    double recentTokens[priorityCount] {}; ///< Sent by this node, decayed; the mix of priorities.
    double callMs = 2000; ///< Smoothed duration of a call.
    std::vector<uint32_t> ejectedSlots; ///< Members that are ejected; at most half of the members.
    bool stale = true; ///< The lists above have to be built again.
};

struct StringHash {
    using is_transparent = void;
    size_t operator()(std::string_view text) const noexcept { return hash64(text); }
};

/// Routing state of one node.
struct Router {
    explicit Router(RouterOptions);

    RouterOptions options;
    Random random;
    PrefixIndex index;
    VersionSplit split;
    std::vector<TargetRow> rows;
    std::vector<uint32_t> freeSlots;
    std::unordered_map<UpstreamId, uint32_t> slots;
    std::unordered_map<std::string, Pool, StringHash, std::equal_to<>> pools;
    std::unordered_map<uint64_t, OwnCall> calls; ///< By hash of call and attempt.
};

/// Adds an upstream or takes over its new data. A new incarnation starts with an empty cache and a clean record.
void updateTarget(Router&, const RoutingTarget&);

void removeTarget(Router&, UpstreamId);

/// Takes a load report that was true at `measuredAt` (arrival less the reporting lag).
void updateLoad(Router&, UpstreamId, const UpstreamLoad&, TimeMs measuredAt);

/// Takes a cache event of an upstream.
void updateCache(Router&, UpstreamId, uint64_t block, bool added);

/// Chooses the upstream of a call. Takes the recovery probe that is due and the credit of a version, but does not record
/// the call as sent.
Choice choose(Router&, const RouteRequest&, TimeMs now);

/// Counts a dispatched call until its end.
void recordSent(Router&, const SentCall&, TimeMs now);

/// Takes the first token and the count of prompt tokens that the reply says were cached.
void recordFirstToken(Router&, CallId, uint32_t attempt, std::span<const uint64_t> blocks, uint32_t cachedTokens, TimeMs now);

/// Ends a dispatched call. True if the upstream was ejected by it.
bool recordEnd(Router&, CallId, uint32_t attempt, CallEnd, TimeMs now);

/// Health of an upstream as this node sees it; healthy if it is unknown.
Health healthOf(const Router&, UpstreamId, TimeMs now);

}
