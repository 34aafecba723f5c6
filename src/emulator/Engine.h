#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Random.h"
#include "base/TimeMs.h"
#include "emulator/BlockCache.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

/// A simulated defect of a version. It is active only while all of its conditions hold.
struct EngineFault {
    std::string version; ///< Empty: any version.
    std::string route; ///< Empty: any route.
    uint32_t minRunning = 0; ///< Active only while at least this many calls run.
    TimeMs from; ///< Active from this time.
    TimeMs until = farFuture; ///< Exclusive.
    double errorProbability = 0; ///< Per call; the call fails instead of emitting its first token.
    double slowdown = 1; ///< Factor on the prefill and decode time of the call.
};

struct EngineOptions {
    uint64_t seed = 1;
    std::string version = "v1";
    uint32_t maxBatch = 32; ///< Maximum number of concurrently running calls.
    uint32_t maxWaiting = 1000; ///< Queue limit; further calls are refused.
    double stepBaseMs = 8; ///< Duration of an empty step.
    double stepPerCallMs = 0.25; ///< Added for each call that decodes in the step.
    double prefillMsPerToken = 0.05; ///< Added for each prompt token computed in the step.
    uint32_t prefillChunk = 512; ///< Maximum number of prompt tokens computed in one step.
    uint32_t cacheBlocks = 1024; ///< Capacity of the prefix cache in blocks of `prefixBlockTokens`.
    double kvMsPerToken = 0.004; ///< Cost of exporting or importing KV cache.
    TimeMs startDuration; ///< Time from `startedAt` until the weights are loaded; calls wait until then.
    TimeMs startedAt;
    TimeMs loadLag { 500 }; ///< Age of the sample that `load` returns.
    TimeMs loadInterval { 100 }; ///< Minimum time between load samples.
    TimeMs cacheEventLag { 1000 }; ///< Delay until a cache event becomes visible.
    double cacheEventLoss = 0.1; ///< Probability that a cache event is never published.
    bool tokenEvents = true; ///< Report every token; otherwise only first token, done and failed.
    std::vector<EngineFault> faults;
};

struct EngineRequest {
    CallId call;
    uint32_t attempt = 1;
    int priority = 5; ///< 0 is served first.
    std::string route;
    std::vector<uint64_t> blocks; ///< Chained hashes of the full prompt blocks (`base/PrefixHash.h`).
    uint32_t promptTokens = 1;
    uint32_t outputTokens = 1; ///< Length of the whole answer, including the tokens before `offset`.
    uint32_t offset = 0; ///< Resume after this many answer tokens, which are prefilled as part of the prompt.
    uint32_t importedTokens = 0; ///< Leading prompt and answer tokens whose KV cache is imported.
};

enum class SubmitResult : uint8_t {
    Accepted,
    Duplicate, ///< The call is already waiting or running.
    Full, ///< The queue is full.
    Leaving, ///< The instance has received a reclaim notice or is terminated.
    Invalid, ///< The prompt is empty, or the offset is not before the end of the answer.
};

template <>
inline constexpr auto enumNames<SubmitResult> = std::to_array<EnumName<SubmitResult>>({
    { SubmitResult::Accepted, "accepted" },
    { SubmitResult::Duplicate, "duplicate" },
    { SubmitResult::Full, "full" },
    { SubmitResult::Leaving, "leaving" },
    { SubmitResult::Invalid, "invalid" },
});

enum class EngineEventKind : uint8_t {
    FirstToken, ///< The first token of this attempt was emitted.
    Tokens,
    Done,
    Failed,
};

enum class EngineFailure : uint8_t {
    None,
    Fault, ///< Caused by an `EngineFault`.
    Reclaimed, ///< The platform reclaimed the instance.
};

struct EngineEvent {
    EngineEventKind kind = EngineEventKind::Tokens;
    CallId call;
    uint32_t attempt = 1;
    TimeMs at;
    uint32_t offset = 0; ///< Length of the answer after this event, in tokens.
    uint32_t cachedTokens = 0; ///< Prompt tokens found in the prefix cache.
    uint32_t computedTokens = 0; ///< Tokens computed in prefill.
    EngineFailure failure = EngineFailure::None;
};

struct EngineLoad {
    TimeMs at; ///< Time of the sample.
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t capacity = 1;
    uint64_t cachedTokens = 0;
    uint64_t waitingTokens = 0; ///< Prompt tokens of waiting and running calls that are still to be computed.
    double tokensPerSecond = 0; ///< Decode rate per call at this load.
    double prefillTokensPerSecond = 0; ///< Prefill rate with full chunks.
};

struct CacheEvent {
    uint64_t sequence = 0; ///< Starts at 1; gaps are lost events.
    uint64_t block = 0;
    bool added = true; ///< False: evicted.
    TimeMs visibleAt;
};

/// State of a call in an engine.
struct EngineCall {
    EngineRequest request;
    uint64_t arrivalOrder = 0;
    double remainingPrefill = 0; ///< In prompt tokens; imported tokens are weighted by their lower cost.
    uint32_t cachedTokens = 0;
    uint32_t computedTokens = 0;
    uint32_t produced = 0; ///< Tokens of the answer so far, including the offset.
    double progress = 0; ///< Fraction of the next token that is decoded.
    double stepPrefill = 0; ///< Prefill done in the step in progress.
    bool decoding = false; ///< Takes part in the step in progress as a decoding call.
    bool firstTokenEmitted = false; ///< For the current attempt.
};

/// An emulated engine in virtual time. The functions below drive it; their times must not decrease.
struct Engine {
    explicit Engine(EngineOptions);

    EngineOptions options;
    Random random;
    double clockMs = 0; ///< Time up to which the engine is simulated.
    bool stepping = false; ///< A step is in progress and ends at `clockMs`.
    std::vector<EngineCall> waiting; ///< Sorted by priority, then arrival.
    std::vector<EngineCall> running; ///< Sorted by priority, then arrival.
    BlockCache cache;
    std::optional<TimeMs> reclaimAt;
    bool terminated = false;
    uint64_t arrivals = 0;
    uint64_t cacheSequence = 0;
    std::deque<EngineLoad> loads; ///< Samples, oldest first.
    std::deque<CacheEvent> cacheLog; ///< Bounded; the oldest events are discarded.
    TimeMs now;
};

SubmitResult submit(Engine&, EngineRequest, TimeMs now);

/// Cancels a call without an event. Returns false if the call is unknown.
bool cancel(Engine&, CallId, TimeMs now);

/// Simulates up to `now` and returns the events since the previous invocation in order of time.
std::vector<EngineEvent> advance(Engine&, TimeMs now);

/// Returns the time of the next event that `advance` can produce, or `farFuture` when the engine is idle.
TimeMs nextEventAt(const Engine&);

/// Returns the load as reported at `now`, which is the latest sample that is at least `loadLag` old.
EngineLoad load(const Engine&, TimeMs now);

/// Returns the visible cache events with a sequence number above `since`, as of the last `advance`.
std::vector<CacheEvent> cacheEvents(const Engine&, uint64_t since);

/// Sends a reclaim notice: the engine refuses new calls from now on and is terminated at `at`, when the remaining calls
/// fail with `Reclaimed`.
void reclaim(Engine&, TimeMs at);

/// KV cache of a call, which another engine imports as `importedTokens`.
struct KvExport {
    uint32_t tokens = 0; ///< Prompt and answer tokens covered.
    uint32_t offset = 0; ///< Answer tokens covered.
    TimeMs readyAt; ///< End of the transfer.
};

/// Removes a running call and exports its KV cache. Returns nothing if the call has not finished its prefill.
std::optional<KvExport> exportKv(Engine&, CallId, TimeMs now);

}
