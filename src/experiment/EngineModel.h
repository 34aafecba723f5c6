#pragma once

#include "base/TimeMs.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

/// Speeds and sizes of one engine.
struct EngineSpeed {
    uint32_t capacity = 8; ///< Calls that it serves at once.
    double tokensPerSecond = 100; ///< Decode rate of a call that runs alone.
    double prefillTokensPerSecond = 20000; ///< Shared by the calls in prefill, one after the other.
    double batchSlowdown = 1; ///< Added to the time per token in proportion to the other running calls; 1 halves the rate at capacity.
    uint64_t cacheTokens = 65536; ///< Prompt tokens that the prefix cache holds.
};

/// One call as the engine sees it.
struct EngineCall {
    uint64_t id = 0;
    int priority = 5; ///< 0 is the highest.
    uint64_t promptTokens = 0;
    std::vector<uint64_t> blocks; ///< Chained hashes of the prompt's blocks of 256 tokens.
    uint64_t offset = 0; ///< Answer tokens that exist already; they are part of the prefill.
    uint64_t maxTokens = 1; ///< Length of the whole answer.
    double slowdown = 1; ///< Factor on the time of prefill and decode.
    bool imported = false; ///< KV cache of prompt and offset was imported.
};

/// What one call gained in a step.
struct EngineProgress {
    uint64_t id = 0;
    uint64_t tokens = 0; ///< New answer tokens.
    uint64_t cachedTokens = 0;
    bool finished = false;
};

struct CacheEvent {
    uint64_t sequence = 0;
    TimeMs at;
    uint64_t block = 0;
    bool stored = false; ///< Otherwise evicted.
};

struct EngineTotals {
    uint64_t prefilledTokens = 0;
    uint64_t cachedTokens = 0;
    uint64_t resumedTokens = 0; ///< Prefilled again because a call was resumed at an offset.
    uint64_t decodedTokens = 0;
};

/// Engine with continuous batching, prefill in order of admission and an LRU prefix cache, in virtual time.
class EngineModel {
public:
    explicit EngineModel(EngineSpeed);

    void submit(EngineCall);
    void cancel(uint64_t id);
    /// Moves the time on; returns the calls that gained tokens.
    std::vector<EngineProgress> advance(TimeMs now);
    bool idle() const { return m_running.empty() && m_waiting.empty(); }
    /// Sets the time of an idle engine, so that its next step does not count the idle time.
    void wake(TimeMs now);

    uint32_t running() const { return static_cast<uint32_t>(m_running.size()); }
    uint32_t waiting() const { return static_cast<uint32_t>(m_waiting.size()); }
    uint64_t waitingTokens() const;
    uint64_t cachedTokens() const;
    /// Decode rate per call at the current load, in tokens per second.
    double decodeRate() const;
    const EngineSpeed& speed() const { return m_speed; }
    const EngineTotals& totals() const { return m_totals; }
    const std::deque<CacheEvent>& events() const { return m_events; }
    /// Prompt tokens and offset of a running call; 0 when unknown.
    uint64_t contextOf(uint64_t id) const;

private:
    struct Running {
        EngineCall call;
        double prefillLeft = 0;
        double credit = 0;
        uint64_t produced = 0;
        uint64_t cached = 0;
    };

    void admit();
    void prefill(double seconds);
    void store(const std::vector<uint64_t>& blocks);
    void addEvent(uint64_t block, bool stored);

    EngineSpeed m_speed;
    TimeMs m_now;
    std::list<Running> m_running;
    std::deque<EngineCall> m_waiting;
    std::list<uint64_t> m_recent;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_cache;
    std::deque<CacheEvent> m_events;
    uint64_t m_eventSequence = 0;
    EngineTotals m_totals;
};

}
