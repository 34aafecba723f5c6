#include "forward/RequestCost.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

// Time constant of the sums over prefills, in observations. The cost of a pair is a property of the model, so it may be learned slowly.
static constexpr double memoryPrefills = 1000;
static constexpr double minPrefills = 60;
// Time constant of the typical deviation, in observations.
static constexpr double deviationMemory = 100;
// Longer observations come from engines that hang or were suspended, as for the prefill rate.
static constexpr double maxPrefillMs = 5000;
// Plausible ranges, far wider than those of any known engine.
static constexpr double minTokensPerMs = 2;
static constexpr double maxTokensPerMs = 1000;
static constexpr double maxTokensPerMillionPairs = 500;
// Least variance of tokens and of pairs relative to their squared means, and least part of it that is not common to both.
static constexpr double minVariation = 1e-3;
// In the model, parts of 0.25, 0.5 and 1 serve alike; without a random part, nodes with the same reports choose the same engines.
static constexpr double jitterPerDeviation = 0.5;
// As that of large fleets: a higher value would outweigh a cached prompt part of 6,000 tokens at 40 tokens/ms.
static constexpr double maxJitterMs = 150;

// Time constant of the sums over ended answers.
static constexpr double memoryAnswers = 100;
static constexpr double minAnswers = 20;
// Time constant of the mean over sent requests: a change of the mix shows within some tens of requests.
static constexpr double memorySent = 50;
static constexpr double minSent = 20;
// Until learned. It is the delay of requests of 1.6 s at engines of 64 slots.
static constexpr double defaultQueueDelayMs = 25;
// A wrong estimate must not make an engine with one queued request look unusable.
static constexpr double maxQueueDelayMs = 500;
// Backends with a learned time. Names of backends that the rules no longer have stay until there are more.
static constexpr size_t maxBackends = 256;
// Range of the correction of expected by observed times in a slot.
static constexpr double maxCorrection = 3;

PrefillWork prefillWork(double promptTokens, double cachedTokens)
{
    const double cached = std::clamp(cachedTokens, 0.0, std::max(0.0, promptTokens));
    return { .newTokens = std::max(0.0, promptTokens - cached), .cachedTokens = cached };
}

double equivalentTokens(const PairCost& cost, const PrefillWork& work)
{
    return work.newTokens + cost.tokensPerMillionPairs * work.millionPairs();
}

// Solves for the times per token and per pair. The cost of a pair is taken one standard error below its estimate, so that noise alone adds none.
static void fitPairCost(PairCost& cost)
{
    const auto covariance = [&](double ab, double a, double b) { return ab / cost.w - a / cost.w * (b / cost.w); };
    const double xx = covariance(cost.xx, cost.x, cost.x);
    const double xp = covariance(cost.xp, cost.x, cost.p);
    const double pp = covariance(cost.pp, cost.p, cost.p);
    const double xy = covariance(cost.xy, cost.x, cost.y);
    const double py = covariance(cost.py, cost.p, cost.y);
    const double yy = covariance(cost.yy, cost.y, cost.y);
    const double determinant = xx * pp - xp * xp;
    // Prompts of nearly one length do not tell tokens from pairs.
    const auto varies = [&](double variance, double sum) { return variance > minVariation * (sum / cost.w) * (sum / cost.w); };
    if (!varies(xx, cost.x) || !varies(pp, cost.p) || determinant <= minVariation * xx * pp)
        return;
    const double perToken = (xy * pp - py * xp) / determinant;
    const double perPair = (py * xx - xy * xp) / determinant;
    const double residual = std::max(0.0, yy - perToken * xy - perPair * py);
    const double error = std::sqrt(residual * xx / determinant / std::max(1.0, cost.n - 3));
    cost.fitted = true;
    cost.baseMs = (cost.y - perToken * cost.x - perPair * cost.p) / cost.w;
    cost.msPerToken = perToken;
    cost.msPerMillionPairs = perPair;
    const double tokenMs = std::clamp(perToken, 1 / maxTokensPerMs, 1 / minTokensPerMs);
    cost.tokensPerMillionPairs = std::clamp((perPair - error) / tokenMs, 0.0, maxTokensPerMillionPairs);
}

// Engines that were busier than known, or were slow for a moment, give observations far off the fit. They count less (Huber's weights).
static double outlierWeight(PairCost& cost, double x, double p, double y)
{
    if (!cost.fitted)
        return 1;
    const double deviation = std::abs(y - cost.baseMs - cost.msPerToken * x - cost.msPerMillionPairs * p);
    const double typical = cost.deviationMs;
    cost.deviationMs = typical > 0 ? typical + (deviation - typical) / deviationMemory : deviation;
    return typical > 0 && deviation > typical ? typical / deviation : 1;
}

void recordPrefill(PairCost& cost, const PrefillObservation& it)
{
    const double own = it.work.newTokens;
    if (!std::isfinite(it.milliseconds) || it.milliseconds <= 0 || it.milliseconds > maxPrefillMs || own <= 0 || it.queuedTokens < 0)
        return;
    // Much of the wait behind other requests is not known to this node, because reports tell it late.
    const double part = own / (own + it.queuedTokens);
    const double x = own + it.queuedTokens;
    const double p = it.work.millionPairs();
    const double y = it.milliseconds;
    const double weight = part * part * outlierWeight(cost, x, p, y);
    const double decay = 1 - 1 / memoryPrefills;
    const auto add = [&](double& sum, double value) { sum = sum * decay + weight * value; };
    cost.n = cost.n * decay + 1;
    add(cost.w, 1);
    add(cost.x, x);
    add(cost.p, p);
    add(cost.y, y);
    add(cost.xx, x * x);
    add(cost.xp, x * p);
    add(cost.pp, p * p);
    add(cost.xy, x * y);
    add(cost.py, p * y);
    add(cost.yy, y * y);
    if (cost.n >= minPrefills && cost.w > 0)
        fitPairCost(cost);
}

double unknownWorkJitterMs(const PairCost& cost)
{
    return std::min(maxJitterMs, jitterPerDeviation * cost.deviationMs);
}

static const SlotTime* findLearned(const RequestCosts& costs, std::string_view backend)
{
    const auto it = costs.slotTimes.find(backend);
    return it != costs.slotTimes.end() && it->second.ended >= minAnswers && it->second.tokens > 0 ? &it->second : nullptr;
}

double expectedSlotMs(const RequestCosts& costs, std::string_view backend, double prefillMs, const OutputEstimate& output)
{
    const SlotTime* it = findLearned(costs, backend);
    return it ? prefillMs + output.mean * it->decodeMs / it->tokens : 0;
}

static SlotTime& slotTimeOf(RequestCosts& costs, const std::string& backend)
{
    auto& times = costs.slotTimes;
    if (times.size() >= maxBackends && !times.contains(backend))
        times.erase(std::min_element(times.begin(), times.end(), [](const auto& a, const auto& b) { return a.second.lastUsed < b.second.lastUsed; }));
    SlotTime& out = times[backend];
    out.lastUsed = ++costs.slotUses;
    return out;
}

void recordSlotUse(RequestCosts& costs, const std::string& backend, double slotMs)
{
    if (!std::isfinite(slotMs) || slotMs <= 0)
        return;
    SlotTime& it = slotTimeOf(costs, backend);
    it.sent = std::min(it.sent + 1, memorySent);
    it.sentMs += (slotMs - it.sentMs) / it.sent;
}

void recordSlotTime(RequestCosts& costs, const std::string& backend, const SlotObservation& observed)
{
    if (!std::isfinite(observed.decodeMs) || observed.decodeMs < 0 || observed.tokens < 1)
        return;
    SlotTime& it = slotTimeOf(costs, backend);
    const double decay = 1 - 1 / memoryAnswers;
    it.ended = std::min(it.ended + 1, memoryAnswers);
    it.decodeMs = it.decodeMs * decay + observed.decodeMs;
    it.tokens = it.tokens * decay + observed.tokens;
    if (observed.expectedMs <= 0)
        return;
    it.expectedMs = it.expectedMs * decay + observed.expectedMs;
    it.observedMs = it.observedMs * decay + observed.prefillMs + observed.decodeMs;
}

double meanSlotMs(const RequestCosts& costs, std::string_view backend)
{
    const SlotTime* it = findLearned(costs, backend);
    if (!it || it->sent < minSent)
        return 0;
    const double correction = it->expectedMs > 0 ? std::clamp(it->observedMs / it->expectedMs, 1 / maxCorrection, maxCorrection) : 1;
    return it->sentMs * correction;
}

double queueDelayMs(const RequestCosts& costs, std::string_view backend, double slots)
{
    const double mean = meanSlotMs(costs, backend);
    return mean > 0 ? std::min(mean / std::max(1.0, slots), maxQueueDelayMs) : defaultQueueDelayMs;
}

double engineWorkMs(double prefillMs, double slotMs, double slots)
{
    return std::max(prefillMs, slotMs / std::max(1.0, slots));
}

}
