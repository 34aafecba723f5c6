#include "forward/TargetChoice.h"

#include "forward/LoadSum.h"

#include <algorithm>
#include <limits>

namespace siskinshunt {

// Keeps requests of a session at one target while the costs of targets differ little.
static constexpr double affinityBonusMs = 25;

// Work that each further node adds to an engine between two reports: about one request of 100 ms in 70 intervals.
static constexpr double jitterMsPerNode = 1.5;
// A higher value would outweigh a cached prompt part of 6,000 tokens at 40 tokens/ms.
static constexpr double maxJitterMs = 150;

// Until a request of this node at a brittle upstream has probably ended.
static constexpr TimeMs placeWait { 100 };

namespace {

    struct RankedTarget {
        double cost = std::numeric_limits<double>::max();
        TargetChoice choice;
    };

}

static bool hasPlace(const ForwardTarget& target)
{
    return hasPlace(target.brittle, target.own.running, target.others.running, target.slots);
}

static bool isInRegions(const ForwardTarget& target, const AllowedRegions* regions)
{
    return !regions || allowsRegion(*regions, target.region);
}

static TargetExclusion exclusionOf(const ForwardTarget& target, const ChoiceRequest& request, TimeMs now)
{
    if (!isInRegions(target, request.regions))
        return TargetExclusion::Region;
    if (target.leaving)
        return TargetExclusion::Leaving;
    if (target.evacuated)
        return TargetExclusion::Evacuated;
    if (now < target.pausedUntil)
        return TargetExclusion::Paused;
    if (!canSend(target.limit, now))
        return TargetExclusion::OverLimit;
    if (!hasPlace(target))
        return TargetExclusion::NoPlace;
    if (target.addressTaken)
        return TargetExclusion::AddressTaken;
    if (isMisdirected(target))
        return TargetExclusion::Misdirected;
    if (std::find(request.tried.begin(), request.tried.end(), target.id) != request.tried.end())
        return TargetExclusion::Tried;
    return !request.allowed || request.allowed(target) ? TargetExclusion::None : TargetExclusion::NotAllowed;
}

static bool isEligible(const ForwardTarget& target, const ChoiceRequest& request, TimeMs now)
{
    return exclusionOf(target, request, now) == TargetExclusion::None;
}

static bool isHealthy(const ForwardTarget& target, const ChoiceOptions& options, TimeMs now)
{
    return now >= target.backoffUntil && now >= target.probeUntil && now - target.lastSeen <= options.staleAfter;
}

// Chooses a target for the request's session by rendezvous hashing, so that all nodes choose the same one without
// communication. The key is the last prompt part that other requests may share: with several parts, the last one is
// specific to the request.
static UpstreamId affinityTarget(const std::vector<const ForwardTarget*>& targets, const std::vector<PromptPart>& parts)
{
    if (parts.empty())
        return {};
    const uint64_t key = parts[parts.size() > 1 ? parts.size() - 2 : 0].hash;
    UpstreamId preferred;
    uint64_t best = 0;
    for (const ForwardTarget* target : targets) {
        const uint64_t rank = combineHash(key, target->id.value);
        if (!preferred || rank > best) {
            preferred = target->id;
            best = rank;
        }
    }
    return preferred;
}

static RankedTarget rankEngine(const ForwardTarget& target, const PromptPartIndex& index, const ChoiceOptions& options, const ChoiceRequest& request, TimeMs now, UpstreamId preferred, Random& random)
{
    const double running = target.own.running + target.others.running;
    const PrefillWork prefill = prefillWork(request.promptTokens, cachedPrefixTokens(index, now, request.parts, target.id));
    const double prefillTokens = equivalentTokens(options.costs.pairs, prefill);
    const double queued = std::max(0.0, running - target.slots + 1);
    const double queuedTokens = target.own.prefillTokensUpTo(request.urgency) + target.others.prefillTokensUpTo(request.urgency);
    const double backlog = queuedTokens / options.prefillEstimator.tokensPerMs + queued * queueDelayMs(options.costs, target.backend, target.slots);
    const double wait = options.prefillEstimator.baseMs + prefillTokens / options.prefillEstimator.tokensPerMs + backlog;
    const double domainCost = target.domain == options.domain ? 0 : options.crossDomainPenalty * affinityBonusMs;
    // A busier engine also generates tokens more slowly, which the time to the first event does not include.
    const double crowding = running / std::max(1u, target.slots) * affinityBonusMs;
    const double jitterRange = std::max(options.jitterMs, unknownWorkJitterMs(options.costs.pairs));
    const double jitter = jitterRange > 0 ? random.uniform() * jitterRange : 0;
    return { wait + domainCost + crowding + jitter - (target.id == preferred ? affinityBonusMs : 0), { target.id, wait, prefillTokens, prefill, queuedTokens + prefillTokens, backlog } };
}

static RankedTarget rankService(const ForwardTarget& target, const ChoiceOptions& options, Random& random)
{
    const double running = target.own.running + target.others.running;
    const double domainCost = target.domain == options.domain ? 0 : options.crossDomainPenalty;
    // The random part distributes the requests of nodes that see the same loads.
    const double cost = running / std::max(1u, target.slots) + domainCost + random.uniform() * 0.02;
    return { cost, { .target = target.id } };
}

double costJitterMs(size_t nodes)
{
    return nodes > maxDirectReporters ? std::min(maxJitterMs, jitterMsPerNode * static_cast<double>(nodes - maxDirectReporters)) : 0;
}

bool hasHealthyTarget(const ForwardTargets& table, const ChoiceOptions& options, const ChoiceRequest& request, TimeMs now)
{
    const auto ids = table.byBackend.find(request.backend);
    return ids != table.byBackend.end() && std::any_of(ids->second.begin(), ids->second.end(), [&](UpstreamId id) {
        const auto it = table.entries.find(id);
        return it != table.entries.end() && isEligible(it->second, request, now) && isHealthy(it->second, options, now);
    });
}

std::optional<TimeMs> timeUntilTarget(const ForwardTargets& table, const std::string& backend, TimeMs now, const AllowedRegions* regions)
{
    const auto ids = table.byBackend.find(backend);
    std::optional<TimeMs> earliest;
    for (const UpstreamId id : ids == table.byBackend.end() ? std::vector<UpstreamId> {} : ids->second) {
        const auto it = table.entries.find(id);
        if (it == table.entries.end() || it->second.leaving || it->second.evacuated || !isInRegions(it->second, regions))
            continue;
        const ForwardTarget& target = it->second;
        const TimeMs pause = std::max(hasPlace(target) ? TimeMs {} : placeWait, target.pausedUntil - now);
        const auto limited = canSend(target.limit, now) ? TimeMs {} : timeUntilSend(target.limit, now);
        if (!limited || std::max(pause, *limited) <= TimeMs {})
            continue;
        const TimeMs wait = std::max(pause, *limited);
        earliest = std::min(earliest.value_or(wait), wait);
    }
    return earliest;
}

// Removes the targets for which the condition does not hold, unless it holds for none.
template <class Condition>
static void keepIfAny(std::vector<const ForwardTarget*>& targets, const Condition& condition)
{
    const auto first = std::stable_partition(targets.begin(), targets.end(), [&](const ForwardTarget* target) { return condition(*target); });
    if (first != targets.begin())
        targets.erase(first, targets.end());
}

std::optional<TargetChoice> chooseTarget(const ForwardTargets& table, const PromptPartIndex& index, const ChoiceOptions& options, const ChoiceRequest& request, TimeMs now, Random& random)
{
    const auto ids = table.byBackend.find(request.backend);
    if (ids == table.byBackend.end())
        return std::nullopt;
    std::vector<const ForwardTarget*> healthy;
    std::vector<const ForwardTarget*> unhealthy;
    for (const UpstreamId id : ids->second) {
        const auto it = table.entries.find(id);
        if (it == table.entries.end() || !isEligible(it->second, request, now))
            continue;
        (isHealthy(it->second, options, now) ? healthy : unhealthy).push_back(&it->second);
    }
    auto& candidates = healthy.empty() ? unhealthy : healthy;
    if (candidates.empty())
        return std::nullopt;
    // A request that has found one target unreachable should not lose its time with a second one.
    if (request.triesUnreached || !request.tried.empty())
        keepIfAny(candidates, [&](const ForwardTarget& target) { return target.unreached == request.triesUnreached; });
    const UpstreamId preferred = affinityTarget(candidates, request.parts);
    RankedTarget best;
    for (const ForwardTarget* target : candidates) {
        const RankedTarget ranked = target->engine ? rankEngine(*target, index, options, request, now, preferred, random) : rankService(*target, options, random);
        if (ranked.cost < best.cost)
            best = ranked;
    }
    return best.choice;
}

std::vector<TargetExplanation> explainTargets(const ForwardTargets& table, const PromptPartIndex& index, const ChoiceOptions& options, const ChoiceRequest& request, TimeMs now, Random random)
{
    const auto ids = table.byBackend.find(request.backend);
    std::vector<TargetExplanation> out;
    std::vector<const ForwardTarget*> candidates;
    for (const UpstreamId id : ids == table.byBackend.end() ? std::vector<UpstreamId> {} : ids->second) {
        const auto it = table.entries.find(id);
        if (it == table.entries.end())
            continue;
        out.push_back({ .exclusion = exclusionOf(it->second, request, now), .healthy = isHealthy(it->second, options, now), .cost = 0, .choice = { .target = id } });
    }
    const bool anyHealthy = std::any_of(out.begin(), out.end(), [](const auto& it) { return it.exclusion == TargetExclusion::None && it.healthy; });
    for (const auto& it : out) {
        if (it.exclusion == TargetExclusion::None && it.healthy == anyHealthy)
            candidates.push_back(&table.entries.at(it.choice.target));
    }
    const UpstreamId preferred = affinityTarget(candidates, request.parts);
    for (auto& it : out) {
        const ForwardTarget& target = table.entries.at(it.choice.target);
        const RankedTarget ranked = target.engine ? rankEngine(target, index, options, request, now, preferred, random) : rankService(target, options, random);
        it.cost = ranked.cost;
        it.choice = ranked.choice;
    }
    return out;
}

}
