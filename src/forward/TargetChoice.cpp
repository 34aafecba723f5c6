#include "forward/TargetChoice.h"

#include "forward/LoadSum.h"

#include <algorithm>
#include <limits>

namespace siskinshunt {

// Waiting behind a full engine costs about this much per request ahead, in ms: a slot's mean time over its slots.
static constexpr double waitPerQueuedMs = 25;
// Keeps requests of one session together while targets differ little, in ms.
static constexpr double homeBonusMs = 25;

// The work that one more node adds to an engine between two reports: about a request of 100 ms in 70 intervals.
static constexpr double spreadPerNodeMs = 1.5;
// More would outweigh a shared prompt part of 6,000 tokens at 40 tokens/ms.
static constexpr double mostSpreadMs = 150;

namespace {

    struct Ranked {
        double cost = std::numeric_limits<double>::max();
        TargetChoice choice;
    };

}

static bool isEligible(const ForwardTarget& target, const ChoiceRequest& request)
{
    if (target.leaving || std::find(request.tried.begin(), request.tried.end(), target.id) != request.tried.end())
        return false;
    return !request.allowed || request.allowed(target);
}

// Which of the targets the request's session belongs to, so that all nodes send it to the same one without talking. Goes
// by the last part that other requests may share; the very last part belongs to the request alone when there are several.
static UpstreamId homeOf(const std::vector<const ForwardTarget*>& targets, const std::vector<PromptPart>& parts)
{
    if (parts.empty())
        return {};
    const uint64_t key = parts[parts.size() > 1 ? parts.size() - 2 : 0].hash;
    UpstreamId home;
    uint64_t best = 0;
    for (const ForwardTarget* target : targets) {
        const uint64_t rank = combineHash(key, target->id.value);
        if (!home || rank > best) {
            home = target->id;
            best = rank;
        }
    }
    return home;
}

static Ranked rankEngine(const ForwardTarget& target, const PromptPartIndex& memory, const ChoiceOptions& options, const ChoiceRequest& request, TimeMs now, UpstreamId home, Random& random)
{
    const double running = target.own.running + target.others.running;
    const double prefillTokens = std::max(0.0, static_cast<double>(request.promptTokens) - cachedPrefixTokens(memory, now, request.parts, target.id));
    const double queued = std::max(0.0, running - target.slots + 1);
    const double before = target.own.prefillTokensUpTo(request.urgency) + target.others.prefillTokensUpTo(request.urgency);
    const double backlog = before / options.prefillEstimator.tokensPerMs + queued * waitPerQueuedMs;
    const double wait = options.prefillEstimator.baseMs + prefillTokens / options.prefillEstimator.tokensPerMs + backlog;
    const double domain = target.domain == options.domain ? 0 : options.crossDomainPenalty * homeBonusMs;
    // A busier engine is slower for its streams, too, which the time to the first event does not show.
    const double crowding = running / std::max(1u, target.slots) * homeBonusMs;
    const double spread = options.jitterMs > 0 ? random.uniform() * options.jitterMs : 0;
    return { wait + domain + crowding + spread - (target.id == home ? homeBonusMs : 0), { target.id, wait, prefillTokens, before + prefillTokens, backlog } };
}

static Ranked rankService(const ForwardTarget& target, const ChoiceOptions& options, Random& random)
{
    const double running = target.own.running + target.others.running;
    const double domain = target.domain == options.domain ? 0 : options.crossDomainPenalty;
    // The random part spreads nodes that see the same loads.
    const double cost = running / std::max(1u, target.slots) + domain + random.uniform() * 0.02;
    return { cost, { .target = target.id } };
}

double costJitterMs(size_t nodes)
{
    return nodes > maxDirectReporters ? std::min(mostSpreadMs, spreadPerNodeMs * static_cast<double>(nodes - maxDirectReporters)) : 0;
}

std::optional<TargetChoice> chooseTarget(const ForwardTargets& table, const PromptPartIndex& memory, const ChoiceOptions& options, const ChoiceRequest& request, TimeMs now, Random& random)
{
    const auto ids = table.byBackend.find(request.backend);
    if (ids == table.byBackend.end())
        return std::nullopt;
    std::vector<const ForwardTarget*> good;
    std::vector<const ForwardTarget*> doubtful;
    for (const UpstreamId id : ids->second) {
        const auto it = table.entries.find(id);
        if (it == table.entries.end() || !isEligible(it->second, request))
            continue;
        const bool sound = now >= it->second.backoffUntil && now - it->second.lastSeen <= options.staleAfter;
        (sound ? good : doubtful).push_back(&it->second);
    }
    const auto& candidates = good.empty() ? doubtful : good;
    if (candidates.empty())
        return std::nullopt;
    const UpstreamId home = homeOf(candidates, request.parts);
    Ranked best;
    for (const ForwardTarget* target : candidates) {
        const Ranked ranked = target->engine ? rankEngine(*target, memory, options, request, now, home, random) : rankService(*target, options, random);
        if (ranked.cost < best.cost)
            best = ranked;
    }
    return best.choice;
}

}
