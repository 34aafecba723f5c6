#include "base/Hash.h"
#include "base/Invariant.h"
#include "base/PrefixHash.h"
#include "routing/Pools.h"
#include "routing/Router.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

namespace {
    constexpr uint32_t maxCandidates = 16;

    struct Candidates {
        uint32_t slots[maxCandidates];
        uint32_t count = 0;

        void add(uint32_t slot)
        {
            if (count < maxCandidates && std::find(slots, slots + count, slot) == slots + count)
                slots[count++] = slot;
        }
    };

    struct Estimate {
        double queueMs = 0;
        double prefillMs = 0;
        uint32_t cachedTokens = 0;
        double cost = 0; ///< Price of the work, including the expected cost of repeating it after a reclaim.

        double expectedMs() const { return queueMs + prefillMs; }
    };

    struct Decision {
        Router& router;
        const Pool& pool;
        const RouteRequest& request;
        TimeMs now;
        double shareUpToPriority = 1;
    };

    uint64_t mixHash(uint64_t a, uint64_t b)
    {
        uint64_t z = (a ^ b) * 0x9e3779b97f4a7c15ULL;
        z = (z ^ (z >> 29)) * 0xbf58476d1ce4e5b9ULL;
        return z ^ (z >> 32);
    }

    bool isEligible(const Decision& decision, uint32_t slot)
    {
        const auto& row = decision.router.rows[slot];
        const auto& avoid = decision.request.avoid;
        return row.used && row.target.acceptsWork && !row.health.ejected
            && (avoid.empty() || std::find(avoid.begin(), avoid.end(), row.target.id) == avoid.end());
    }

    uint64_t affinityKey(const Decision& decision)
    {
        const auto& blocks = decision.request.blocks;
        if (blocks.empty())
            return 0;
        return blocks[std::min<size_t>(blocks.size(), decision.router.options.affinityBlocks) - 1];
    }

    /// Adds the upstreams with the highest rendezvous ranks for the prefix.
    void addByRendezvous(const Decision& decision, const VersionGroup& group, Candidates& out)
    {
        const uint64_t key = affinityKey(decision);
        const uint32_t count = std::min<uint32_t>(decision.router.options.rendezvousCandidates, 4);
        if (!key || !count)
            return;
        uint64_t ranks[4] {};
        uint32_t best[4] {};
        for (const auto& member : group.subset) {
            const uint64_t rank = mixHash(member.hash, key);
            if (rank <= ranks[count - 1] || !isEligible(decision, member.slot))
                continue;
            uint32_t n = count - 1;
            for (; n > 0 && ranks[n - 1] < rank; --n) {
                ranks[n] = ranks[n - 1];
                best[n] = best[n - 1];
            }
            ranks[n] = rank;
            best[n] = member.slot;
        }
        for (uint32_t n = 0; n < count && ranks[n]; ++n)
            out.add(best[n]);
    }

    /// Adds random members of the group. Adds every member if the group is no larger than the number of draws, since
    /// repeated draws can select a busy member twice and miss an idle one.
    void addRandom(Decision& decision, const VersionGroup& group, Candidates& out)
    {
        if (group.subset.size() <= decision.router.options.randomCandidates) {
            for (const auto& member : group.subset) {
                if (isEligible(decision, member.slot))
                    out.add(member.slot);
            }
            return;
        }
        for (uint32_t n = 0; n < decision.router.options.randomCandidates; ++n) {
            const uint32_t slot = group.subset[decision.router.random.below(group.subset.size())].slot;
            if (isEligible(decision, slot))
                out.add(slot);
        }
    }

    /// Adds the upstreams that are expected to cache the longest known prefix of the prompt.
    void addCacheHolders(const Decision& decision, const VersionGroup& group, Candidates& out)
    {
        const auto& index = decision.router.index;
        const auto& blocks = decision.request.blocks;
        size_t low = 0;
        size_t high = blocks.size();
        while (low < high) {
            const size_t middle = (low + high + 1) / 2;
            if (findBlock(index, blocks[middle - 1]))
                low = middle;
            else
                high = middle - 1;
        }
        const auto* entry = low ? findBlock(index, blocks[low - 1]) : nullptr;
        if (!entry)
            return;
        for (CacheHolder holder : entry->holders) {
            if (!holder.value)
                continue;
            const uint32_t slot = slotOf(holder);
            const auto& row = decision.router.rows[slot];
            if (holder == cacheHolder(slot, row.generation) && row.target.version == group.version && isEligible(decision, slot)
                && &decision.router.pools.find(row.target.pool)->second == &decision.pool)
                out.add(slot);
        }
    }

    Candidates collectCandidates(Decision& decision, const VersionGroup& group)
    {
        Candidates out;
        addByRendezvous(decision, group, out);
        addCacheHolders(decision, group, out);
        addRandom(decision, group, out);
        for (size_t n = 0; n < group.subset.size() && !out.count; ++n) {
            if (isEligible(decision, group.subset[n].slot))
                out.add(group.subset[n].slot);
        }
        for (size_t n = 0; n < group.members.size() && !out.count; ++n) {
            if (isEligible(decision, group.members[n]))
                out.add(group.members[n]);
        }
        return out;
    }

    /// Expected wait for a batch slot: calls beyond the capacity start at the rate at which running calls end.
    double slotWaitMs(const Decision& decision, const TargetRow& row)
    {
        const double calls = row.othersCalls + row.ownCalls + 1;
        const double excess = calls - std::max<uint32_t>(row.load.capacity, 1);
        if (excess <= 0)
            return 0;
        return excess * decision.shareUpToPriority * decision.pool.callMs / std::max<uint32_t>(row.load.capacity, 1);
    }

    /// Price of the work that the call adds: prefill, queueing and the slowdown of the calls in the same batch.
    double workCost(const Decision& decision, const TargetRow& row, const Estimate& it)
    {
        const double stepMs = row.load.tokensPerSecond > 0 ? 1000 / row.load.tokensPerSecond : 10;
        const double calls = row.othersCalls + row.ownCalls;
        const double workMs = decision.router.options.prefillWeight * it.prefillMs + it.queueMs + decision.router.options.loadWeight * calls * stepMs;
        const double expectedReclaims = row.target.reclaimRisk * decision.pool.callMs / 3.6e6;
        return workMs * std::pow(row.target.pricePerHour, decision.router.options.priceWeight) * (1 + expectedReclaims);
    }

    Estimate estimate(const Decision& decision, uint32_t slot)
    {
        const auto& row = decision.router.rows[slot];
        const auto& request = decision.request;
        const double rate = row.load.prefillTokensPerSecond > 0 ? row.load.prefillTokensPerSecond : 10000;
        double queuedTokens = static_cast<double>(row.othersTokens) * decision.shareUpToPriority;
        for (int n = 0; n <= request.priority; ++n)
            queuedTokens += static_cast<double>(row.ownTokens[n]);
        Estimate out;
        const uint32_t blocks = expectedBlocks(decision.router.index, request.blocks, cacheHolder(slot, row.generation));
        const auto expected = static_cast<uint32_t>(blocks * prefixBlockTokens * row.hintAccuracy);
        out.cachedTokens = std::min(expected, request.promptTokens ? request.promptTokens - 1 : 0);
        const double uncached = request.promptTokens - out.cachedTokens;
        out.queueMs = queuedTokens / rate * 1000 + slotWaitMs(decision, row) + (row.ownDomain ? 0 : decision.router.options.crossDomainMs);
        out.prefillMs = uncached / rate * 1000;
        out.cost = workCost(decision, row, out);
        return out;
    }

    void fillChoice(Choice& choice, const Router& router, uint32_t slot, const Estimate& best)
    {
        choice.upstream = router.rows[slot].target.id;
        choice.expectedMs = best.expectedMs();
        choice.queueMs = best.queueMs;
        choice.prefillMs = best.prefillMs;
        choice.cachedTokens = best.cachedTokens;
        INVARIANT(router.rows[slot].target.acceptsWork, "the chosen upstream accepts work", "upstream", choice.upstream.value);
    }

    Choice singleCandidate(const Decision& decision, uint32_t slot, ChoiceReason reason)
    {
        Choice out { .reason = reason, .candidates = 1 };
        fillChoice(out, decision.router, slot, estimate(decision, slot));
        return out;
    }

    bool isBetter(const Estimate& a, bool aMeetsTarget, const Estimate& b, bool bMeetsTarget)
    {
        if (aMeetsTarget != bMeetsTarget)
            return aMeetsTarget;
        return aMeetsTarget ? a.cost < b.cost : a.expectedMs() < b.expectedMs();
    }

    /// True if the call would use capacity that is reserved for more urgent calls. All nodes see the same delayed load
    /// report, so each node uses only its share of the free slots; otherwise they would all fill the same slots at once.
    bool usesReservedCapacity(const Decision& decision, const TargetRow& row)
    {
        const auto& options = decision.router.options;
        // On an idle upstream a call of the lowest priority delays no other call.
        if (row.othersCalls + row.ownCalls == 0)
            return false;
        const double reserved = options.reservedPerPriority * decision.request.priority + (decision.request.firstTokenTarget ? 0 : options.reservedWithoutTarget);
        const double limit = std::max<uint32_t>(row.load.capacity, 1) * (1 - std::min(reserved, 0.9));
        const double freeSlots = std::max(0.0, limit - row.load.running - row.load.waiting);
        // Fraction of the nodes that use the same upstream: all of them, unless the pool is larger than a node's subset.
        const double nodeFraction = std::min(1.0, static_cast<double>(options.subsetSize) / std::max<uint32_t>(decision.pool.members, 1));
        const double nodeShare = freeSlots / std::max(1.0, options.nodes * nodeFraction) + row.ownEndedSinceReport + decision.router.random.uniform();
        return row.othersCalls + row.ownCalls + 1 > limit || row.ownSinceReport + 1 > nodeShare;
    }

    Choice chooseByExpectedTime(const Decision& decision, const Candidates& candidates)
    {
        const double limit = decision.request.firstTokenTarget
            ? static_cast<double>(decision.request.firstTokenTarget->value) * decision.router.options.targetFraction
            : 1e18;
        Choice out { .candidates = candidates.count };
        Estimate best;
        bool bestMeetsTarget = false;
        uint32_t bestSlot = 0;
        for (uint32_t n = 0; n < candidates.count; ++n) {
            const Estimate it = estimate(decision, candidates.slots[n]);
            const bool meetsTarget = it.expectedMs() <= limit;
            const bool isBest = !n || isBetter(it, meetsTarget, best, bestMeetsTarget);
            if (n) {
                const Estimate& other = isBest ? best : it;
                const uint32_t otherSlot = isBest ? bestSlot : candidates.slots[n];
                if (!out.runnerUp || other.expectedMs() < out.runnerUpMs) {
                    out.runnerUp = decision.router.rows[otherSlot].target.id;
                    out.runnerUpMs = other.expectedMs();
                }
            }
            if (!isBest)
                continue;
            best = it;
            bestMeetsTarget = meetsTarget;
            bestSlot = candidates.slots[n];
        }
        if (decision.request.canQueue && usesReservedCapacity(decision, decision.router.rows[bestSlot]))
            return { .reason = ChoiceReason::HeldBack, .expectedMs = best.expectedMs(), .candidates = candidates.count };
        out.reason = bestMeetsTarget ? ChoiceReason::CheapestUnderTarget : ChoiceReason::LowestExpectedTime;
        fillChoice(out, decision.router, bestSlot, best);
        return out;
    }

    /// Calls in flight relative to capacity; at equal load, upstreams of the own failure domain rank first.
    double serviceLoad(const TargetRow& row)
    {
        return (row.othersCalls + row.ownCalls + (row.ownDomain ? 0 : 0.5)) / std::max<uint32_t>(row.load.capacity, 1);
    }

    Choice chooseLeastLoaded(const Decision& decision, const Candidates& candidates)
    {
        Choice out { .reason = ChoiceReason::LeastLoaded, .candidates = candidates.count };
        uint32_t best = candidates.slots[0];
        for (uint32_t n = 1; n < candidates.count; ++n) {
            if (serviceLoad(decision.router.rows[candidates.slots[n]]) < serviceLoad(decision.router.rows[best]))
                best = candidates.slots[n];
        }
        fillChoice(out, decision.router, best, {});
        return out;
    }

    bool hasEligibleMember(const Decision& decision, const VersionGroup& group)
    {
        return std::any_of(group.members.begin(), group.members.end(), [&](uint32_t slot) { return isEligible(decision, slot); });
    }

    /// Whether the group has eligible members and, if the model has version shares, a version that may be used with them.
    bool isFallbackGroup(const Decision& decision, const VersionGroup& group)
    {
        const auto& split = decision.router.split;
        if (hasShares(split, decision.request.pool) && !isFallbackVersion(split, decision.request.pool, decision.request.route, group.version))
            return false;
        return hasEligibleMember(decision, group);
    }

    /// Chooses a group with eligible members, at random by member count, when the version pick is empty or has no eligible
    /// member. If the model has version shares, returns null rather than a version without a share.
    const VersionGroup* chooseFallbackGroup(const Decision& decision)
    {
        const auto& pool = decision.pool;
        uint64_t skip = pool.members ? decision.router.random.below(pool.members) : 0;
        const VersionGroup* out = nullptr;
        for (const auto& group : pool.groups) {
            if (!isFallbackGroup(decision, group))
                continue;
            out = &group;
            if (skip < group.members.size())
                break;
            skip -= group.members.size();
        }
        return out;
    }

    const VersionGroup* chooseGroup(const Decision& decision, std::string_view version)
    {
        const auto* group = version.empty() ? nullptr : findGroup(decision.pool, version);
        return group && hasEligibleMember(decision, *group) ? group : chooseFallbackGroup(decision);
    }

    /// Acquires the probe of an ejected upstream, if one is due.
    std::optional<uint32_t> acquireDueProbe(Decision& decision, const VersionGroup& group)
    {
        if (!decision.request.repeatable)
            return std::nullopt;
        for (uint32_t slot : decision.pool.ejectedSlots) {
            auto& row = decision.router.rows[slot];
            if (row.target.version == group.version && tryAcquireProbe(row.health, decision.router.options.ejection, decision.now))
                return slot;
        }
        return std::nullopt;
    }
}

bool hasCandidate(Router& router, const RouteRequest& request, TimeMs now)
{
    const auto it = router.pools.find(request.pool);
    if (it == router.pools.end())
        return false;
    refreshPool(router, it->second);
    const Decision decision { router, it->second, request, now };
    return std::any_of(it->second.groups.begin(), it->second.groups.end(), [&](const auto& group) { return isFallbackGroup(decision, group); });
}

Choice choose(Router& router, const RouteRequest& request, TimeMs now)
{
    const auto it = router.pools.find(request.pool);
    if (it == router.pools.end())
        return {};
    refreshPool(router, it->second);
    Decision decision { router, it->second, request, now, shareUpToPriority(it->second, request.priority) };
    const auto pick = pickVersion(router.split, request.pool, request.route, it->second.members, now + router.options.sharedClockOffset, router.random);
    if (pick.fullLoadUpstream) {
        const auto slot = router.slots.find(pick.fullLoadUpstream);
        if (slot != router.slots.end() && isEligible(decision, slot->second))
            return singleCandidate(decision, slot->second, ChoiceReason::FullLoadRunner);
    }
    const auto* group = chooseGroup(decision, pick.fullLoadUpstream ? std::string_view {} : pick.version);
    if (!group)
        return {};
    if (const auto probe = acquireDueProbe(decision, *group))
        return singleCandidate(decision, *probe, ChoiceReason::RecoveryProbe);
    const auto candidates = collectCandidates(decision, *group);
    if (!candidates.count)
        return {};
    if (router.rows[candidates.slots[0]].target.kind == UpstreamKind::Service)
        return chooseLeastLoaded(decision, candidates);
    return chooseByExpectedTime(decision, candidates);
}

}
