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

/// A defect of one version. All conditions have to hold for it to act.
struct EngineFault {
    std::string version; ///< Empty: any version.
    std::string route; ///< Empty: any route.
    uint32_t minRunning = 0; ///< Acts only while at least this many calls run.
    TimeMs from; ///< Acts from this instant on.
    TimeMs until = farFuture;
    double errorProbability = 0; ///< Of each call; the call fails at its first token.
    double slowdown = 1; ///< Factor on the prefill and decode time of the call.
};

struct EngineOptions {
    uint64_t seed = 1;
    std::string version = "v1";
    uint32_t maxBatch = 32; ///< Calls that run at once.
    uint32_t maxWaiting = 1000; ///< Calls that wait; more are refused.
    double stepBaseMs = 8; ///< Duration of an empty step.
    double stepPerCallMs = 0.25; ///< Added by each call that decodes in the step.
    double prefillMsPerToken = 0.05; ///< Added by each prompt token computed in the step.
    uint32_t prefillChunk = 512; ///< Prompt tokens computed in one step at most.
    uint32_t cacheBlocks = 1024; ///< Prefix cache in blocks of `prefixBlockTokens`.
    double kvMsPerToken = 0.004; ///< Cost of the export or import of KV cache.
    TimeMs startDuration; ///< From `startedAt` until the weights are loaded; calls wait until then.
    TimeMs startedAt;
    TimeMs loadLag { 500 }; ///< Age of the load that `load` gives.
    TimeMs loadInterval { 100 }; ///< Between load samples.
    TimeMs cacheEventLag { 1000 };
    double cacheEventLoss = 0.1; ///< Probability that a cache event is never published.
    bool tokenEvents = true; ///< Publish an event per token; else only first token, done and failed.
    std::vector<EngineFault> faults;
};

struct EngineRequest {
    CallId call;
    uint32_t attempt = 1;
    int priority = 5; ///< 0 is served first.
    std::string route;
    std::vector<uint64_t> blocks; ///< Chained hashes of the full prompt blocks (`base/PrefixHash.h`).
    uint32_t promptTokens = 1;
    uint32_t outputTokens = 1; ///< Length of the whole answer, tokens before `offset` included.
    uint32_t offset = 0; ///< Resume after this many tokens; they are computed as part of the prompt.
    uint32_t importedTokens = 0; ///< Leading tokens of prompt and offset whose KV cache is imported.
};

enum class SubmitResult : uint8_t {
    Accepted,
    Duplicate, ///< The call is already waiting or running.
    Full, ///< The waiting list is full.
    Leaving, ///< A reclaim notice is in force or the instance is gone.
    Invalid, ///< An offset at or past the end of the answer.
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
    FirstToken, ///< The first token of this attempt; includes that token.
    Tokens,
    Done,
    Failed,
};

enum class EngineFailure : uint8_t {
    None,
    Fault, ///< An `EngineFault` of the version.
    Reclaimed, ///< The platform took the instance.
};

struct EngineEvent {
    EngineEventKind kind = EngineEventKind::Tokens;
    CallId call;
    uint32_t attempt = 1;
    TimeMs at;
    uint32_t offset = 0; ///< Tokens of the answer that exist after this event.
    uint32_t cachedTokens = 0; ///< Prompt tokens found in the prefix cache.
    uint32_t computedTokens = 0; ///< Prompt tokens that prefill computed.
    EngineFailure failure = EngineFailure::None;
};

struct EngineLoad {
    TimeMs at; ///< When it was true.
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t capacity = 1;
    uint64_t cachedTokens = 0;
    uint64_t waitingTokens = 0; ///< Prompt tokens not yet computed, of waiting and running calls.
    double tokensPerSecond = 0; ///< Per call, at this load.
    double prefillTokensPerSecond = 0; ///< At full chunks.
};

struct CacheEvent {
    uint64_t sequence = 0; ///< Starts at 1; missing numbers are lost events.
    uint64_t block = 0;
    bool added = true; ///< False: evicted.
    TimeMs visibleAt;
};

/// One call inside an engine.
struct EngineCall {
    EngineRequest request;
    uint64_t arrivalOrder = 0; ///< Of arrival.
    double remainingPrefill = 0; ///< Prompt tokens to compute; imported ones at their lower cost.
    uint32_t cachedTokens = 0;
    uint32_t computedTokens = 0;
    uint32_t produced = 0; ///< Tokens of the answer so far, offset included.
    double progress = 0; ///< Fraction of the next token.
    double stepPrefill = 0; ///< Share of the step in progress.
    bool decoding = false; ///< Decodes in the step in progress.
    bool firstTokenEmitted = false; ///< The first token of this attempt is out.
};

/// An engine in virtual time. Drive it with the functions below; times must not decrease.
struct Engine {
    explicit Engine(EngineOptions);

    EngineOptions options;
    Random random;
    double clockMs = 0; ///< Simulated up to here.
    bool stepping = false; ///< A step is in progress and ends at `clockMs`.
    std::vector<EngineCall> waiting; ///< By priority, then arrival.
    std::vector<EngineCall> running; ///< By priority, then arrival.
    BlockCache cache;
    std::optional<TimeMs> reclaimAt;
    bool terminated = false;
    uint64_t arrivals = 0;
    uint64_t cacheSequence = 0;
    std::deque<EngineLoad> loads; ///< Samples, oldest first.
    std::deque<CacheEvent> cacheLog; ///< Bounded; older events are lost.
    TimeMs now;
};

SubmitResult submit(Engine&, EngineRequest, TimeMs now);

/// Drops a call; false if it is unknown. No event follows.
bool cancel(Engine&, CallId, TimeMs now);

/// Simulates up to `now` and returns what happened since the last call, in order of time.
std::vector<EngineEvent> advance(Engine&, TimeMs now);

/// The next instant at which `advance` has something to do; `farFuture` when idle.
TimeMs nextEventAt(const Engine&);

/// The load as reported at `now`, that is, as it was `loadLag` earlier.
EngineLoad load(const Engine&, TimeMs now);

/// Published cache events with a sequence above `since`, as of the last `advance`.
std::vector<CacheEvent> cacheEvents(const Engine&, uint64_t since);

/// Gives notice: the engine takes no new call and is gone at `at`, when the calls left fail as `Reclaimed`.
void reclaim(Engine&, TimeMs at);

/// KV cache of a running call, to be given as `importedTokens` elsewhere.
struct KvExport {
    uint32_t tokens = 0; ///< Prompt and answer tokens covered.
    uint32_t offset = 0; ///< Answer tokens covered.
    TimeMs readyAt; ///< End of the transfer.
};

/// Ends a running call here and exports its KV cache; nothing if the call is not past its prefill.
std::optional<KvExport> exportKv(Engine&, CallId, TimeMs now);

}
