#include "routing/Router.h"

#include "base/Hash.h"
#include "base/Invariant.h"
#include "routing/Pools.h"

#include <algorithm>

namespace siskinshunt {

namespace {
    constexpr size_t maxRecent = 256;

    uint64_t callKey(CallId call, uint32_t attempt) { return combineHash(call.value, attempt); }

    Pool& poolOf(Router& router, const TargetRow& row) { return router.pools[row.target.pool]; }

    uint32_t allocateSlot(Router& router)
    {
        if (router.freeSlots.empty()) {
            router.rows.emplace_back();
            return static_cast<uint32_t>(router.rows.size() - 1);
        }
        const uint32_t slot = router.freeSlots.back();
        router.freeSlots.pop_back();
        const auto generation = static_cast<uint8_t>(router.rows[slot].generation + 1);
        router.rows[slot] = {};
        router.rows[slot].generation = generation;
        return slot;
    }

    void resetRow(TargetRow& row)
    {
        ++row.generation;
        row.load = {};
        row.measuredAt = { -1000000 };
        row.othersTokens = 0;
        row.othersCalls = 0;
        row.hintAccuracy = 1;
        row.health = {};
    }

    RecentCall* findRecent(TargetRow& row, uint64_t key)
    {
        const auto it = std::find_if(row.recent.begin(), row.recent.end(), [&](const auto& call) { return call.key == key; });
        return it == row.recent.end() ? nullptr : &*it;
    }

    void endPrefill(TargetRow& row, const OwnCall& call)
    {
        auto& tokens = row.ownTokens[call.priority];
        INVARIANT(tokens >= call.tokens, "own prefill backlog covers the call", "backlog", tokens, "call", call.tokens);
        tokens -= call.tokens;
    }

    /// Updates the hint accuracy of an upstream from the ratio of actual to expected cache hits.
    void recordCacheHit(TargetRow& row, const OwnCall& call, uint32_t cachedTokens)
    {
        constexpr double weight = 0.05; // Averages over about the last 20 replies with an expected cache hit.
        if (!call.cachedTokens)
            return;
        const double confirmedFraction = std::min(1.0, static_cast<double>(cachedTokens) / call.cachedTokens);
        row.hintAccuracy += weight * (confirmedFraction - row.hintAccuracy);
    }

    bool recordOutcome(Router& router, TargetRow& row, uint32_t slot, CallEnd end, TimeMs now)
    {
        auto& pool = poolOf(router, row);
        refreshPool(router, pool);
        if (end == CallEnd::Done && recordSuccess(row.health))
            std::erase(pool.ejectedSlots, slot);
        if (end != CallEnd::Failed || !row.target.acceptsWork)
            return false;
        const auto ejected = static_cast<uint32_t>(pool.ejectedSlots.size());
        if (!recordFailure(row.health, router.options.ejection, ejected, pool.members, now))
            return false;
        pool.ejectedSlots.push_back(slot);
        INVARIANT(pool.ejectedSlots.size() <= ejectionLimit(pool.members), "at most half of a pool is ejected", "ejected",
            pool.ejectedSlots.size(), "members", pool.members);
        return true;
    }
}

Router::Router(RouterOptions given)
    : options(std::move(given))
    , random(options.seed)
    , index(options.indexCapacity)
{
}

void updateTarget(Router& router, const RoutingTarget& target)
{
    auto [it, added] = router.slots.try_emplace(target.id, 0);
    if (added)
        it->second = allocateSlot(router);
    auto& row = router.rows[it->second];
    if (!added && target.incarnation < row.target.incarnation)
        return;
    if (!added && target.incarnation > row.target.incarnation)
        resetRow(row);
    const bool moved = added || row.target.pool != target.pool || row.target.version != target.version
        || row.target.acceptsWork != target.acceptsWork || row.target.domain != target.domain
        || row.target.incarnation != target.incarnation;
    if (moved && !added)
        poolOf(router, row).stale = true;
    row.target = target;
    row.used = true;
    row.ownDomain = target.domain == router.options.domain;
    row.hash = target.id.value;
    if (moved)
        poolOf(router, row).stale = true;
}

void removeTarget(Router& router, UpstreamId id)
{
    const auto it = router.slots.find(id);
    if (it == router.slots.end())
        return;
    auto& row = router.rows[it->second];
    poolOf(router, row).stale = true;
    std::erase_if(router.calls, [&](const auto& call) { return call.second.slot == it->second; });
    row.used = false;
    row.target.acceptsWork = false;
    router.freeSlots.push_back(it->second);
    router.slots.erase(it);
}

void updateLoad(Router& router, UpstreamId id, const UpstreamLoad& load, TimeMs measuredAt)
{
    const auto it = router.slots.find(id);
    if (it == router.slots.end() || measuredAt <= router.rows[it->second].measuredAt)
        return;
    auto& row = router.rows[it->second];
    row.load = load;
    row.measuredAt = measuredAt;
    uint64_t ownTokens = 0;
    uint32_t ownCalls = 0;
    row.ownSinceReport = 0;
    row.ownEndedSinceReport = 0;
    for (const auto& call : row.recent) {
        row.ownSinceReport += call.sentAt > measuredAt ? 1 : 0;
        row.ownEndedSinceReport += call.sentAt <= measuredAt && call.endedAt > measuredAt && call.endedAt != farFuture ? 1 : 0;
        ownTokens += call.sentAt <= measuredAt && measuredAt < call.prefilledAt ? call.tokens : 0;
        ownCalls += call.sentAt <= measuredAt && measuredAt < call.endedAt ? 1 : 0;
    }
    row.othersTokens = load.waitingTokens > ownTokens ? load.waitingTokens - ownTokens : 0;
    const uint32_t reported = load.running + load.waiting;
    row.othersCalls = reported > ownCalls ? reported - ownCalls : 0;
    std::erase_if(row.recent, [&](const auto& call) { return call.endedAt < measuredAt; });
}

void updateCache(Router& router, UpstreamId id, uint64_t block, bool added)
{
    const auto it = router.slots.find(id);
    if (it == router.slots.end())
        return;
    const auto holder = cacheHolder(it->second, router.rows[it->second].generation);
    if (added)
        addHolder(router.index, block, holder);
    else
        removeHolder(router.index, block, holder);
}

void recordSent(Router& router, const SentCall& sent, TimeMs now)
{
    const auto it = router.slots.find(sent.upstream);
    if (it == router.slots.end())
        return;
    auto& row = router.rows[it->second];
    INVARIANT(sent.priority >= 0 && sent.priority < priorityCount, "priority in range", "priority", sent.priority);
    const uint32_t tokens = sent.promptTokens - std::min(sent.cachedTokens, sent.promptTokens);
    const uint64_t key = callKey(sent.call, sent.attempt);
    const auto [call, added] = router.calls.try_emplace(key, OwnCall { it->second, sent.priority, tokens, sent.cachedTokens, now, {} });
    if (!added)
        return;
    ++row.ownCalls;
    ++row.ownSinceReport;
    row.ownTokens[sent.priority] += tokens;
    if (row.recent.size() >= maxRecent)
        row.recent.erase(row.recent.begin());
    row.recent.push_back({ .sentAt = now, .tokens = tokens, .key = key });
    recordSentTokens(poolOf(router, row), sent.priority, tokens);
}

void recordFirstToken(Router& router, CallId id, uint32_t attempt, std::span<const uint64_t> blocks, uint32_t cachedTokens, TimeMs now)
{
    const uint64_t key = callKey(id, attempt);
    const auto it = router.calls.find(key);
    if (it == router.calls.end() || it->second.firstTokenAt)
        return;
    auto& row = router.rows[it->second.slot];
    it->second.firstTokenAt = now;
    endPrefill(row, it->second);
    if (auto* recent = findRecent(row, key))
        recent->prefilledAt = now;
    recordCacheHit(row, it->second, cachedTokens);
    recordCachedBlocks(router.index, blocks, cacheHolder(it->second.slot, row.generation));
}

bool recordEnd(Router& router, CallId id, uint32_t attempt, CallEnd end, TimeMs now)
{
    const uint64_t key = callKey(id, attempt);
    const auto it = router.calls.find(key);
    if (it == router.calls.end())
        return false;
    const OwnCall call = it->second;
    router.calls.erase(it);
    auto& row = router.rows[call.slot];
    if (!call.firstTokenAt)
        endPrefill(row, call);
    INVARIANT(row.ownCalls > 0, "own calls cover the call", "upstream", row.target.id.value);
    --row.ownCalls;
    if (auto* recent = findRecent(row, key)) {
        recent->prefilledAt = std::min(recent->prefilledAt, now);
        recent->endedAt = now;
        row.ownEndedSinceReport += recent->sentAt <= row.measuredAt ? 1 : 0;
    }
    if (end == CallEnd::Done)
        recordCallDuration(poolOf(router, row), now - call.sentAt);
    return recordOutcome(router, row, call.slot, end, now);
}

Health healthOf(const Router& router, UpstreamId id, TimeMs now)
{
    const auto it = router.slots.find(id);
    return it == router.slots.end() ? Health::Healthy : healthAt(router.rows[it->second].health, now);
}

}
