#include "emulator/Engine.h"

#include "base/PrefixHash.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

namespace {
    constexpr size_t maxCacheLog = 8192;

    TimeMs roundUp(double ms) { return { static_cast<int64_t>(std::ceil(ms - 1e-9)) }; }

    bool hasPrecedence(const EngineCall& a, const EngineCall& b)
    {
        return a.request.priority != b.request.priority ? a.request.priority < b.request.priority : a.arrivalOrder < b.arrivalOrder;
    }

    bool isActive(const EngineFault& fault, const Engine& engine, const EngineRequest& request)
    {
        const TimeMs at = roundUp(engine.clockMs);
        return (fault.version.empty() || fault.version == engine.options.version)
            && (fault.route.empty() || fault.route == request.route) && engine.running.size() >= fault.minRunning
            && at >= fault.from && at < fault.until;
    }

    double slowdownOf(const Engine& engine, const EngineRequest& request)
    {
        double factor = 1;
        for (const auto& fault : engine.options.faults)
            factor *= isActive(fault, engine, request) ? fault.slowdown : 1;
        return factor;
    }

    bool drawFailure(Engine& engine, const EngineRequest& request)
    {
        for (const auto& fault : engine.options.faults) {
            if (fault.errorProbability > 0 && isActive(fault, engine, request) && engine.random.chance(fault.errorProbability))
                return true;
        }
        return false;
    }

    void publishCacheEvent(Engine& engine, uint64_t block, bool added)
    {
        ++engine.cacheSequence;
        if (engine.random.chance(engine.options.cacheEventLoss))
            return;
        engine.cacheLog.push_back(
            { engine.cacheSequence, block, added, roundUp(engine.clockMs) + engine.options.cacheEventLag });
        if (engine.cacheLog.size() > maxCacheLog)
            engine.cacheLog.pop_front();
    }

    void insertPromptBlocks(Engine& engine, const std::vector<uint64_t>& blocks)
    {
        for (uint64_t block : blocks) {
            if (!engine.options.cacheBlocks || engine.cache.blocks.contains(block))
                continue;
            const uint64_t evicted = insertBlock(engine.cache, block);
            publishCacheEvent(engine, block, true);
            if (evicted)
                publishCacheEvent(engine, evicted, false);
        }
    }

    EngineEvent makeEvent(EngineEventKind kind, const EngineCall& call, TimeMs at)
    {
        return { kind, call.request.call, call.request.attempt, at, call.produced, call.cachedTokens, call.computedTokens };
    }

    void insertOrdered(std::vector<EngineCall>& calls, EngineCall&& call)
    {
        calls.insert(std::upper_bound(calls.begin(), calls.end(), call, hasPrecedence), std::move(call));
    }

    /// Computes the remaining prefill of a call after prefix cache hits and imported KV cache.
    void startPrefill(Engine& engine, EngineCall& call)
    {
        const uint32_t context = call.request.promptTokens + call.request.offset;
        const uint32_t matched = matchBlocks(engine.cache, call.request.blocks) * prefixBlockTokens;
        call.cachedTokens = std::min(matched, call.request.promptTokens - 1);
        const uint32_t known = std::min(std::max(call.cachedTokens, call.request.importedTokens), context - 1);
        call.computedTokens = context - known;
        const double importCost = engine.options.kvMsPerToken / engine.options.prefillMsPerToken;
        const uint32_t imported = known > call.cachedTokens ? known - call.cachedTokens : 0;
        call.remainingPrefill = call.computedTokens + imported * importCost;
    }

    void admit(Engine& engine)
    {
        size_t n = 0;
        for (; n < engine.waiting.size() && engine.running.size() < engine.options.maxBatch; ++n) {
            startPrefill(engine, engine.waiting[n]);
            insertOrdered(engine.running, std::move(engine.waiting[n]));
        }
        engine.waiting.erase(engine.waiting.begin(), engine.waiting.begin() + static_cast<std::ptrdiff_t>(n));
    }

    /// Plans a step for the running calls and advances the clock to its end.
    void beginStep(Engine& engine)
    {
        admit(engine);
        if (engine.running.empty())
            return;
        double duration = engine.options.stepBaseMs;
        double budget = engine.options.prefillChunk;
        for (auto& call : engine.running) {
            call.decoding = call.remainingPrefill <= 0;
            call.stepPrefill = 0;
            if (call.decoding) {
                duration += engine.options.stepPerCallMs;
                continue;
            }
            const double slowdown = slowdownOf(engine, call.request);
            const double share = std::min(budget, call.remainingPrefill * slowdown);
            call.stepPrefill = share / slowdown;
            budget -= share;
            duration += share * engine.options.prefillMsPerToken;
        }
        engine.clockMs += duration;
        engine.stepping = true;
    }

    /// Emits the next token or the failure of the call. Returns true when the call has ended.
    bool produceToken(Engine& engine, EngineCall& call, std::vector<EngineEvent>& out)
    {
        const TimeMs at = roundUp(engine.clockMs);
        const bool first = !call.firstTokenEmitted;
        call.firstTokenEmitted = true;
        if (first && drawFailure(engine, call.request)) {
            out.push_back(makeEvent(EngineEventKind::Failed, call, at));
            out.back().failure = EngineFailure::Fault;
            return true;
        }
        ++call.produced;
        if (first)
            out.push_back(makeEvent(EngineEventKind::FirstToken, call, at));
        else if (engine.options.tokenEvents)
            out.push_back(makeEvent(EngineEventKind::Tokens, call, at));
        if (call.produced < call.request.outputTokens)
            return false;
        out.push_back(makeEvent(EngineEventKind::Done, call, at));
        return true;
    }

    /// Applies the step in progress to one call. Returns true when the call has ended.
    bool applyStep(Engine& engine, EngineCall& call, std::vector<EngineEvent>& out)
    {
        if (!call.decoding) {
            call.remainingPrefill -= call.stepPrefill;
            if (call.stepPrefill <= 0 || call.remainingPrefill > 1e-6)
                return false;
            call.remainingPrefill = 0;
            insertPromptBlocks(engine, call.request.blocks);
            return produceToken(engine, call, out);
        }
        call.progress += engine.options.faults.empty() ? 1 : 1 / slowdownOf(engine, call.request);
        if (call.progress < 1 - 1e-9)
            return false;
        call.progress -= 1;
        return produceToken(engine, call, out);
    }

    void finishStep(Engine& engine, std::vector<EngineEvent>& out)
    {
        engine.stepping = false;
        // Ended calls are removed after the loop because fault conditions depend on the number of running calls.
        std::vector<uint64_t> ended;
        for (auto& call : engine.running) {
            if (applyStep(engine, call, out))
                ended.push_back(call.arrivalOrder);
        }
        if (!ended.empty())
            std::erase_if(engine.running, [&](const auto& it) { return std::find(ended.begin(), ended.end(), it.arrivalOrder) != ended.end(); });
    }

    EngineLoad currentLoad(const Engine& engine, TimeMs at)
    {
        const auto& options = engine.options;
        EngineLoad out { .at = at, .running = static_cast<uint32_t>(engine.running.size()), .waiting = static_cast<uint32_t>(engine.waiting.size()), .capacity = options.maxBatch, .cachedTokens = engine.cache.blocks.size() * prefixBlockTokens };
        double left = 0;
        for (const auto& call : engine.running)
            left += std::max(0.0, call.remainingPrefill);
        for (const auto& call : engine.waiting)
            left += call.request.promptTokens + call.request.offset;
        out.waitingTokens = static_cast<uint64_t>(left);
        const double step = options.stepBaseMs + options.stepPerCallMs * std::max<double>(1, out.running);
        out.tokensPerSecond = 1000 / step;
        out.prefillTokensPerSecond = 1000.0 * options.prefillChunk / (step + options.prefillChunk * options.prefillMsPerToken);
        return out;
    }

    void sampleLoad(Engine& engine)
    {
        const TimeMs at = roundUp(engine.clockMs);
        if (!engine.loads.empty() && at < engine.loads.back().at + engine.options.loadInterval)
            return;
        engine.loads.push_back(currentLoad(engine, at));
        while (engine.loads.size() > 2 && engine.loads[1].at + engine.options.loadLag < engine.now)
            engine.loads.pop_front();
    }

    void failAll(Engine& engine, std::vector<EngineEvent>& out, TimeMs at)
    {
        for (auto* list : { &engine.running, &engine.waiting }) {
            for (const auto& call : *list) {
                out.push_back(makeEvent(EngineEventKind::Failed, call, at));
                out.back().failure = EngineFailure::Reclaimed;
            }
            list->clear();
        }
        engine.terminated = true;
        engine.stepping = false;
        engine.cache = {};
    }

    bool sameCall(const EngineCall& it, CallId call) { return it.request.call == call; }
}

Engine::Engine(EngineOptions initialOptions)
    : options(std::move(initialOptions))
    , random(options.seed)
    , clockMs(static_cast<double>((options.startedAt + options.startDuration).value))
{
    cache.capacity = options.cacheBlocks;
    now = options.startedAt;
}

SubmitResult submit(Engine& engine, EngineRequest request, TimeMs now)
{
    if (engine.terminated || engine.reclaimAt)
        return SubmitResult::Leaving;
    if (request.offset >= request.outputTokens || !request.promptTokens)
        return SubmitResult::Invalid;
    for (const auto* list : { &engine.running, &engine.waiting }) {
        if (std::any_of(list->begin(), list->end(), [&](const auto& it) { return sameCall(it, request.call); }))
            return SubmitResult::Duplicate;
    }
    if (engine.waiting.size() >= engine.options.maxWaiting)
        return SubmitResult::Full;
    if (!engine.stepping)
        engine.clockMs = std::max(engine.clockMs, static_cast<double>(now.value));
    EngineCall call { .request = std::move(request), .arrivalOrder = ++engine.arrivals };
    call.produced = call.request.offset;
    insertOrdered(engine.waiting, std::move(call));
    return SubmitResult::Accepted;
}

bool cancel(Engine& engine, CallId call, TimeMs now)
{
    engine.now = std::max(engine.now, now);
    for (auto* list : { &engine.running, &engine.waiting }) {
        if (std::erase_if(*list, [&](const auto& it) { return sameCall(it, call); }))
            return true;
    }
    return false;
}

std::vector<EngineEvent> advance(Engine& engine, TimeMs now)
{
    std::vector<EngineEvent> out;
    engine.now = std::max(engine.now, now);
    const bool ends = engine.reclaimAt && *engine.reclaimAt <= now;
    const auto until = static_cast<double>(ends ? engine.reclaimAt->value : now.value);
    while (!engine.terminated && engine.clockMs <= until) {
        if (engine.stepping)
            finishStep(engine, out);
        sampleLoad(engine);
        beginStep(engine);
        if (!engine.stepping) {
            engine.clockMs = until;
            sampleLoad(engine);
            break;
        }
    }
    if (ends && !engine.terminated)
        failAll(engine, out, *engine.reclaimAt);
    return out;
}

TimeMs nextEventAt(const Engine& engine)
{
    if (engine.terminated)
        return farFuture;
    const TimeMs end = engine.reclaimAt.value_or(farFuture);
    if (!engine.stepping && engine.waiting.empty() && engine.running.empty())
        return end;
    return std::min(end, roundUp(engine.clockMs));
}

EngineLoad load(const Engine& engine, TimeMs now)
{
    const TimeMs at = now - engine.options.loadLag;
    const auto it = std::find_if(engine.loads.rbegin(), engine.loads.rend(), [&](const auto& sample) { return sample.at <= at; });
    if (it != engine.loads.rend())
        return *it;
    EngineLoad empty = currentLoad(engine, at);
    empty.running = empty.waiting = 0;
    empty.waitingTokens = empty.cachedTokens = 0;
    return empty;
}

std::vector<CacheEvent> cacheEvents(const Engine& engine, uint64_t since)
{
    std::vector<CacheEvent> out;
    for (auto it = engine.cacheLog.rbegin(); it != engine.cacheLog.rend() && it->sequence > since; ++it) {
        if (it->visibleAt <= engine.now)
            out.push_back(*it);
    }
    std::reverse(out.begin(), out.end());
    return out;
}

void reclaim(Engine& engine, TimeMs at)
{
    engine.reclaimAt = std::min(at, engine.reclaimAt.value_or(farFuture));
}

std::optional<KvExport> exportKv(Engine& engine, CallId call, TimeMs now)
{
    const auto it = std::find_if(engine.running.begin(), engine.running.end(), [&](const auto& c) { return sameCall(c, call); });
    if (engine.terminated || it == engine.running.end() || it->remainingPrefill > 0)
        return std::nullopt;
    const uint32_t offset = it->produced;
    const uint32_t tokens = it->request.promptTokens + offset;
    const double cost = tokens * engine.options.kvMsPerToken;
    engine.running.erase(it);
    // The transfer uses memory bandwidth of the engine, so it delays the step in progress.
    engine.clockMs = std::max(engine.clockMs, static_cast<double>(now.value)) + cost;
    return KvExport { tokens, offset, now + roundUp(cost) };
}

}
