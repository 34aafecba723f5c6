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
    uint32_t rendezvousCandidates = 2; ///< Candidates chosen by rendezvous hashing of the prefix.
    uint32_t randomCandidates = 2;
    uint32_t subsetSize = 64; ///< Maximum number of upstreams of one pool and version that this node uses.
    double targetFraction = 0.3; ///< Fraction of the first-token target that the expected time may use.
    /// Fraction of an upstream's capacity reserved for more urgent calls, per priority level below the most urgent one.
    double reservedPerPriority = 0.04;
    uint32_t nodes = 1; ///< Nodes that share the capacity an upstream reported as free; set from membership.
    double reservedWithoutTarget = 0.65; ///< Additional fraction reserved from calls without a first-token target.
    double crossDomainMs = 2; ///< Added to the expected time of upstreams in other failure domains.
    double loadWeight = 3; ///< Cost per call in flight and decoding step, relative to uncached prefill time.
    double prefillWeight = 1.5; ///< Weight of uncached prefill; a value above 1 accounts for the cached blocks that it evicts.
    double priceWeight = 1; ///< Exponent of the price in the cost of a candidate.
    uint32_t affinityBlocks = 4; ///< Maximum number of leading prompt blocks in the rendezvous key.
    uint32_t indexCapacity = 1 << 16; ///< Maximum number of blocks in the prefix index.
    TimeMs sharedClockOffset; ///< Added to `now` to get the time shared by all nodes.
    EjectionOptions ejection;
};

/// Routing data of one upstream, filled in by the node from the upstream table and the rules.
struct RoutingTarget {
    UpstreamId id;
    std::string pool; ///< Model or service name.
    std::string version;
    std::string domain;
    UpstreamKind kind = UpstreamKind::Engine;
    EngineRole role = EngineRole::Mixed;
    uint64_t incarnation = 0;
    bool acceptsWork = true; ///< False if the upstream is leaving, reclaimed, draining or expired.
    double pricePerHour = 1;
    double reclaimRisk = 0; ///< Expected reclaims per hour.
};

enum class ChoiceReason : uint8_t {
    NoUpstream, ///< The pool has no upstream that accepts work and was not tried before.
    CheapestUnderTarget, ///< The cheapest of the candidates that meet the target.
    LowestExpectedTime, ///< No candidate meets the target.
    FullLoadRunner, ///< Selected by the version split.
    RecoveryProbe, ///< Probe of an ejected upstream.
    LeastLoaded, ///< Used for plain services.
    HeldBack, ///< No upstream: the free capacity is reserved for more urgent calls. Queue the call and try again.
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
    std::span<const uint64_t> blocks; ///< Chained hashes of the complete prompt blocks; empty for services.
    uint32_t promptTokens = 0; ///< Tokens that must be in the KV cache before the first new token.
    uint32_t outputTokens = 0; ///< Expected output length.
    int priority = 5; ///< From 0 (most urgent) to 9.
    std::optional<TimeMs> firstTokenTarget;
    bool canQueue = false; ///< The caller can queue the call, so the result can be `HeldBack`.
    bool repeatable = true; ///< Calls that must not be repeated are never used as probes.
    std::span<const UpstreamId> avoid; ///< Upstreams that were already tried.
};

/// A routing decision and its reason, for the explain record.
struct Choice {
    UpstreamId upstream; ///< Empty if no upstream was chosen.
    ChoiceReason reason = ChoiceReason::NoUpstream;
    double expectedMs = 0; ///< Expected time to first token: queueing and prefill.
    double queueMs = 0;
    double prefillMs = 0;
    uint32_t cachedTokens = 0; ///< Expected prefix cache hit.
    uint32_t candidates = 0; ///< Number of upstreams compared.
    UpstreamId runnerUp; ///< The next best candidate, if any.
    double runnerUpMs = 0; ///< Expected time to first token of the runner-up.
};

/// A call dispatched by this node. `attempt` distinguishes repeated dispatches of one call.
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
    Failed, ///< Counts as a failure of the upstream.
    Cancelled, ///< Does not affect the health of the upstream.
};

/// A dispatched call that has not ended.
struct OwnCall {
    uint32_t slot = 0;
    int priority = 5;
    uint32_t tokens = 0; ///< Prompt tokens expected to need prefill.
    uint32_t cachedTokens = 0; ///< Expected prefix cache hit.
    TimeMs sentAt;
    std::optional<TimeMs> firstTokenAt;
};

/// A recent call, kept to reconcile load reports that were measured before it was sent or ended.
struct RecentCall {
    TimeMs sentAt;
    TimeMs prefilledAt = farFuture;
    TimeMs endedAt = farFuture;
    uint32_t tokens = 0;
    uint64_t key = 0;
};

/// A row of the routing table.
struct TargetRow {
    RoutingTarget target;
    bool used = false;
    bool ownDomain = false;
    uint8_t generation = 1; ///< Generation of the prefix cache.
    uint64_t hash = 0; ///< Hash of the upstream's id, for rendezvous hashing.
    UpstreamLoad load; ///< Latest load report.
    TimeMs measuredAt { -1000000 };
    uint64_t othersTokens = 0; ///< Reported prefill backlog of calls from other nodes.
    uint32_t othersCalls = 0; ///< Reported calls from other nodes.
    uint32_t ownCalls = 0; ///< Calls of this node in flight.
    uint32_t ownSinceReport = 0; ///< Calls sent after the load report was measured.
    uint32_t ownEndedSinceReport = 0; ///< Calls of this node that are in the load report and have ended since.
    uint64_t ownTokens[priorityCount] {}; ///< Prefill backlog of this node's calls by priority.
    double hintAccuracy = 1; ///< Smoothed fraction of the expected prefix cache hits that replies confirmed.
    std::vector<RecentCall> recent;
    UpstreamHealth health;
};

struct SubsetSlot {
    uint32_t slot = 0;
    uint64_t hash = 0; ///< Hash of the upstream's id; stored here so that the rendezvous scan reads a single array.
};

/// Upstreams of one pool and version.
struct VersionGroup {
    std::string version;
    std::vector<uint32_t> members; ///< Slots of upstreams that accept work.
    std::vector<SubsetSlot> subset; ///< Members that this node uses.
};

struct Pool {
    std::vector<VersionGroup> groups;
    uint32_t members = 0; ///< Total number of upstreams that accept work, over all groups.
    double recentTokens[priorityCount] {}; ///< Prompt tokens sent by this node per priority, with exponential decay.
    double callMs = 2000; ///< Smoothed call duration.
    std::vector<uint32_t> ejectedSlots; ///< Ejected members, at most half of all members.
    bool stale = true; ///< The lists above must be rebuilt.
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
    std::unordered_map<uint64_t, OwnCall> calls; ///< Keyed by hash of call id and attempt.
};

/// Adds or updates an upstream. A new incarnation starts with an empty cache and no recorded failures.
void updateTarget(Router&, const RoutingTarget&);

void removeTarget(Router&, UpstreamId);

/// Applies a load report measured at `measuredAt` (time of arrival minus the reporting lag).
void updateLoad(Router&, UpstreamId, const UpstreamLoad&, TimeMs measuredAt);

/// Applies a cache event of an upstream.
void updateCache(Router&, UpstreamId, uint64_t block, bool added);

/// Chooses the upstream for a call. Consumes a recovery probe that is due and version credit, but does not record the
/// call as sent.
Choice choose(Router&, const RouteRequest&, TimeMs now);

/// Whether an upstream accepts the call, except those that it avoids. Consumes neither probes nor version credit.
bool hasCandidate(Router&, const RouteRequest&, TimeMs now);

/// Records a dispatched call, which counts as load until recordEnd().
void recordSent(Router&, const SentCall&, TimeMs now);

/// Records the first token of a call and the number of cached prompt tokens according to the reply.
void recordFirstToken(Router&, CallId, uint32_t attempt, std::span<const uint64_t> blocks, uint32_t cachedTokens, TimeMs now);

/// Records the end of a dispatched call. Returns true if this ejected the upstream.
bool recordEnd(Router&, CallId, uint32_t attempt, CallEnd, TimeMs now);

/// Health of an upstream as seen by this node; Healthy for unknown upstreams.
Health healthOf(const Router&, UpstreamId, TimeMs now);

}
