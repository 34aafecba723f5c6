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
        double cost = 0; ///< Price of the work, the risk of recomputing it included.

        double expectedMs() const { return queueMs + prefillMs; }
    };

    struct Decision {
        Router& router;
        const Pool& pool;
        const RouteRequest& request;
        TimeMs now;
        double partUpToPriority = 1;
    };

    uint64_t mixHash(uint64_t a, uint64_t b)
    {
        uint64_t z = (a ^ b) * 0x9e3779b97f4a7c15ULL;
        z = (z ^ (z >> 29)) * 0xbf58476d1ce4e5b9ULL;
        return z ^ (z >> 32);
    }

    bool mayUse(const Decision& decision, uint32_t slot)
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

    /// The upstreams with the highest rendezvous ranks for the prefix.
    void addByRendezvous(const Decision& decision, const VersionGroup& group, Candidates& out)
    {
        const uint64_t key = affinityKey(decision);
        const uint32_t wanted = std::min<uint32_t>(decision.router.options.rendezvousCandidates, 4);
        if (!key || !wanted)
            return;
        uint64_t ranks[4] {};
        uint32_t best[4] {};
        for (const auto& member : group.subset) {
            const uint64_t rank = mixHash(member.hash, key);
            if (rank <= ranks[wanted - 1] || !mayUse(decision, member.slot))
                continue;
            uint32_t n = wanted - 1;
            for (; n > 0 && ranks[n - 1] < rank; --n) {
                ranks[n] = ranks[n - 1];
                best[n] = best[n - 1];
            }
            ranks[n] = rank;
            best[n] = member.slot;
        }
        for (uint32_t n = 0; n < wanted && ranks[n]; ++n)
            out.add(best[n]);
    }

    /// Random members of the group; all of a group that is no larger than their number, since two draws may be the same
    /// member while the other one is idle.
    void addRandom(Decision& decision, const VersionGroup& group, Candidates& out)
    {
        if (group.subset.size() <= decision.router.options.randomCandidates) {
            for (const auto& member : group.subset) {
                if (mayUse(decision, member.slot))
                    out.add(member.slot);
            }
            return;
        }
        for (uint32_t n = 0; n < decision.router.options.randomCandidates; ++n) {
            const uint32_t slot = group.subset[decision.router.random.below(group.subset.size())].slot;
            if (mayUse(decision, slot))
                out.add(slot);
        }
    }

    /// Upstreams that are thought to cache the longest known part of the prompt.
    void addHolders(const Decision& decision, const VersionGroup& group, Candidates& out)
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
            if (holder == cacheHolder(slot, row.generation) && row.target.version == group.version && mayUse(decision, slot)
                && &decision.router.pools.find(row.target.pool)->second == &decision.pool)
                out.add(slot);
        }
    }

    Candidates collect(Decision& decision, const VersionGroup& group)
    {
        Candidates out;
        addByRendezvous(decision, group, out);
        addHolders(decision, group, out);
        addRandom(decision, group, out);
        for (size_t n = 0; n < group.subset.size() && !out.count; ++n) {
            if (mayUse(decision, group.subset[n].slot))
                out.add(group.subset[n].slot);
        }
        for (size_t n = 0; n < group.members.size() && !out.count; ++n) {
            if (mayUse(decision, group.members[n]))
                out.add(group.members[n]);
        }
        return out;
    }

    /// Wait for a place in the batch: calls beyond the capacity leave at the rate at which running ones end.
    double slotWaitMs(const Decision& decision, const TargetRow& row)
    {
        const double calls = row.othersCalls + row.ownCalls + 1;
        const double excess = calls - std::max<uint32_t>(row.load.capacity, 1);
        if (excess <= 0)
            return 0;
        return excess * decision.partUpToPriority * decision.pool.callMs / std::max<uint32_t>(row.load.capacity, 1);
    }

    /// Price of the work that the call adds: its prefill, what it waits for, and the slowing of the calls beside it.
    double workCost(const Decision& decision, const TargetRow& row, const Estimate& it)
    {
        const double stepMs = row.load.tokensPerSecond > 0 ? 1000 / row.load.tokensPerSecond : 10;
        const double calls = row.othersCalls + row.ownCalls;
        const double workMs = decision.router.options.prefillWeight * it.prefillMs + it.queueMs + decision.router.options.loadWeight * calls * stepMs;
        const double risk = row.target.reclaimRisk * decision.pool.callMs / 3.6e6;
        return workMs * std::pow(row.target.pricePerHour, decision.router.options.priceWeight) * (1 + risk);
    }

    Estimate estimate(const Decision& decision, uint32_t slot)
    {
        const auto& row = decision.router.rows[slot];
        const auto& request = decision.request;
        const double rate = row.load.prefillTokensPerSecond > 0 ? row.load.prefillTokensPerSecond : 10000;
        double ahead = static_cast<double>(row.othersTokens) * decision.partUpToPriority;
        for (int n = 0; n <= request.priority; ++n)
            ahead += static_cast<double>(row.ownTokens[n]);
        Estimate out;
        const uint32_t blocks = expectedBlocks(decision.router.index, request.blocks, cacheHolder(slot, row.generation));
        const auto expected = static_cast<uint32_t>(blocks * prefixBlockTokens * row.hintAccuracy);
        out.cachedTokens = std::min(expected, request.promptTokens ? request.promptTokens - 1 : 0);
        const double uncached = request.promptTokens - out.cachedTokens;
        out.queueMs = ahead / rate * 1000 + slotWaitMs(decision, row) + (row.ownDomain ? 0 : decision.router.options.crossDomainMs);
        out.prefillMs = uncached / rate * 1000;
        out.cost = workCost(decision, row, out);
        return out;
    }

    void fill(Choice& choice, const Router& router, uint32_t slot, const Estimate& best)
    {
        choice.upstream = router.rows[slot].target.id;
        choice.expectedMs = best.expectedMs();
        choice.queueMs = best.queueMs;
        choice.prefillMs = best.prefillMs;
        choice.cachedTokens = best.cachedTokens;
        INVARIANT(router.rows[slot].target.acceptsWork, "the chosen upstream may take work", "upstream", choice.upstream.value);
    }

    Choice single(const Decision& decision, uint32_t slot, ChoiceReason reason)
    {
        Choice out { .reason = reason, .candidates = 1 };
        fill(out, decision.router, slot, estimate(decision, slot));
        return out;
    }

    bool better(const Estimate& a, bool aUnder, const Estimate& b, bool bUnder)
    {
        if (aUnder != bUnder)
            return aUnder;
        return aUnder ? a.cost < b.cost : a.expectedMs() < b.expectedMs();
    }

    /// True if the call would take a place that is kept for more urgent calls. The nodes see the same late report, so each
    /// uses only its part of the places that were free; else all of them would fill the places at once.
    bool takesReserved(const Decision& decision, const TargetRow& row)
    {
        const auto& options = decision.router.options;
        // On an idle upstream even the last class delays nobody.
        if (row.othersCalls + row.ownCalls == 0)
            return false;
        const double reserved = options.reservedPerPriority * decision.request.priority + (decision.request.firstTokenTarget ? 0 : options.reservedWithoutTarget);
        const double limit = std::max<uint32_t>(row.load.capacity, 1) * (1 - std::min(reserved, 0.9));
        const double room = std::max(0.0, limit - row.load.running - row.load.waiting);
        // Nodes that use the same upstream: all of them, unless the pool is larger than a node's subset.
        const double sharing = std::min(1.0, static_cast<double>(options.subsetSize) / std::max<uint32_t>(decision.pool.members, 1));
        const double part = room / std::max(1.0, options.nodes * sharing) + row.ownEndedSinceReport + decision.router.random.uniform();
        return row.othersCalls + row.ownCalls + 1 > limit || row.ownSinceReport + 1 > part;
    }

    Choice compare(const Decision& decision, const Candidates& candidates)
    {
        const double limit = decision.request.firstTokenTarget
            ? static_cast<double>(decision.request.firstTokenTarget->value) * decision.router.options.targetFraction
            : 1e18;
        Choice out { .candidates = candidates.count };
        Estimate best;
        bool bestUnder = false;
        uint32_t bestSlot = 0;
        for (uint32_t n = 0; n < candidates.count; ++n) {
            const Estimate it = estimate(decision, candidates.slots[n]);
            const bool under = it.expectedMs() <= limit;
            const bool wins = !n || better(it, under, best, bestUnder);
            if (n) {
                const Estimate& loser = wins ? best : it;
                const uint32_t loserSlot = wins ? bestSlot : candidates.slots[n];
                if (!out.runnerUp || loser.expectedMs() < out.runnerUpMs) {
                    out.runnerUp = decision.router.rows[loserSlot].target.id;
                    out.runnerUpMs = loser.expectedMs();
                }
            }
            if (!wins)
                continue;
            best = it;
            bestUnder = under;
            bestSlot = candidates.slots[n];
        }
        if (decision.request.canQueue && takesReserved(decision, decision.router.rows[bestSlot]))
            return { .reason = ChoiceReason::HeldBack, .expectedMs = best.expectedMs(), .candidates = candidates.count };
        out.reason = bestUnder ? ChoiceReason::CheapestUnderTarget : ChoiceReason::LowestExpectedTime;
        fill(out, decision.router, bestSlot, best);
        return out;
    }

    /// Calls in flight per place, own failure domain first at equal load.
    double serviceLoad(const TargetRow& row)
    {
        return (row.othersCalls + row.ownCalls + (row.ownDomain ? 0 : 0.5)) / std::max<uint32_t>(row.load.capacity, 1);
    }

    Choice leastLoaded(const Decision& decision, const Candidates& candidates)
    {
        Choice out { .reason = ChoiceReason::LeastLoaded, .candidates = candidates.count };
        uint32_t best = candidates.slots[0];
        for (uint32_t n = 1; n < candidates.count; ++n) {
            if (serviceLoad(decision.router.rows[candidates.slots[n]]) < serviceLoad(decision.router.rows[best]))
                best = candidates.slots[n];
        }
        fill(out, decision.router, best, {});
        return out;
    }

    bool groupUsable(const Decision& decision, const VersionGroup& group)
    {
        return std::any_of(group.members.begin(), group.members.end(), [&](uint32_t slot) { return mayUse(decision, slot); });
    }

    /// A usable group when no version is picked, by the number of its members; prefers none over a version without a share.
    const VersionGroup* anyGroup(const Decision& decision)
    {
        const auto& pool = decision.pool;
        const auto& split = decision.router.split;
        const bool splits = hasShares(split, decision.request.pool);
        uint64_t skip = pool.members ? decision.router.random.below(pool.members) : 0;
        const VersionGroup* out = nullptr;
        for (const auto& group : pool.groups) {
            if (splits && !isFallbackVersion(split, decision.request.pool, decision.request.route, group.version))
                continue;
            if (!groupUsable(decision, group))
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
        return group && groupUsable(decision, *group) ? group : anyGroup(decision);
    }

    /// An ejected upstream whose probe is due.
    std::optional<uint32_t> dueProbe(Decision& decision, const VersionGroup& group)
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
        if (slot != router.slots.end() && mayUse(decision, slot->second))
            return single(decision, slot->second, ChoiceReason::FullLoadRunner);
    }
    const auto* group = chooseGroup(decision, pick.fullLoadUpstream ? std::string_view {} : pick.version);
    if (!group)
        return {};
    if (const auto probe = dueProbe(decision, *group))
        return single(decision, *probe, ChoiceReason::RecoveryProbe);
    const auto candidates = collect(decision, *group);
    if (!candidates.count)
        return {};
    if (router.rows[candidates.slots[0]].target.kind == UpstreamKind::Service)
        return leastLoaded(decision, candidates);
    return compare(decision, candidates);
}

}
