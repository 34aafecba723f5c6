#include "limits/Limiter.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

namespace {
    bool matches(const std::string& pattern, std::string_view text) { return pattern == "*" || pattern == text; }

    LimitKey keyOf(const LimitRule& rule, std::string_view account, std::string_view className)
    {
        LimitKey out = rule.name;
        out += '\n';
        out += account;
        out += '\n';
        out += className;
        return out;
    }

    /// Sets the rates of the local token buckets according to the share in force.
    void applyShare(LimitState& state, const LimitRule& rule, TimeMs now)
    {
        const double share = shareInForce(state.lease, now);
        // A bucket with a capacity below one request would never admit any.
        const double burst = std::max(1.0, (rule.burst > 0 ? rule.burst : rule.rate) * share);
        setRate(state.requests, rule.rate * share, burst, now);
        setRate(state.tokens, rule.tokensPerSecond * share, std::max(1.0, rule.tokensPerSecond * share), now);
    }

    LimitState& stateOf(Limiter& limiter, size_t n, std::string_view account, std::string_view className, TimeMs now)
    {
        const auto& rule = limiter.rules[n];
        const LimitKey key = keyOf(rule, account, className);
        auto [it, added] = limiter.states.try_emplace(key);
        auto& state = it->second;
        if (added) {
            state.key = key;
            state.rule = n;
            recordNodeCount(state.lease, limiter.nodes);
            state.requests = { .lastRefill = now };
            state.tokens = { .lastRefill = now };
            applyShare(state, rule, now);
            state.requests.tokens = state.requests.burst;
            state.tokens.tokens = state.tokens.burst;
        }
        state.lastUsed = now;
        return state;
    }

    uint32_t concurrentLimit(const LimitState& state, const LimitRule& rule, TimeMs now)
    {
        return static_cast<uint32_t>(std::floor(rule.concurrent * shareInForce(state.lease, now) + 1e-9));
    }

    /// Checks one limit without charging it.
    LimitDecision check(LimitState& state, const LimitRule& rule, uint32_t promptTokens, const LeaseOptions& leases, TimeMs now)
    {
        LimitDecision out { .rule = state.rule };
        const TimeMs rate = rule.rate > 0 ? timeUntilAvailable(state.requests, 1, now) : 0_ms;
        const TimeMs tokens = rule.tokensPerSecond > 0 ? timeUntilAvailable(state.tokens, promptTokens, now) : 0_ms;
        if (rate > 0_ms) {
            out.verdict = LimitVerdict::OverRate;
            out.retryAfter = rate;
        } else if (rule.concurrent && state.inFlight >= concurrentLimit(state, rule, now)) {
            out.verdict = LimitVerdict::OverConcurrent;
            out.retryAfter = leases.interval * 2; // The share adapts to demand within two intervals.
        } else if (tokens > 0_ms) {
            out.verdict = LimitVerdict::OverTokens;
            out.retryAfter = tokens;
        }
        return out;
    }

    template <class Visit>
    void forEachLimit(Limiter& limiter, std::string_view account, std::string_view className, TimeMs now, Visit visit)
    {
        for (size_t n = 0; n < limiter.rules.size(); ++n) {
            if (matches(limiter.rules[n].account, account) && matches(limiter.rules[n].className, className))
                visit(stateOf(limiter, n, account, className, now), limiter.rules[n]);
        }
    }
}

void setLimits(Limiter& limiter, std::vector<LimitRule> rules, TimeMs now)
{
    std::erase_if(limiter.states, [&](const auto& it) {
        const auto& name = limiter.rules[it.second.rule].name;
        return std::none_of(rules.begin(), rules.end(), [&](const auto& rule) { return rule.name == name; });
    });
    for (auto& [key, state] : limiter.states) {
        const auto& name = limiter.rules[state.rule].name;
        const auto rule = std::find_if(rules.begin(), rules.end(), [&](const auto& it) { return it.name == name; });
        state.rule = static_cast<size_t>(rule - rules.begin());
        applyShare(state, *rule, now);
    }
    limiter.rules = std::move(rules);
}

LimitDecision admitCall(Limiter& limiter, std::string_view account, std::string_view className, uint32_t promptTokens, TimeMs now)
{
    LimitDecision out;
    forEachLimit(limiter, account, className, now, [&](LimitState& state, const LimitRule& rule) {
        recordDemand(state.lease, 1);
        state.tokenDemand += promptTokens;
        state.peakInFlight = std::max(state.peakInFlight, state.inFlight + 1);
        recordNodeCount(state.lease, limiter.nodes);
        applyShare(state, rule, now);
        const auto decision = check(state, rule, promptTokens, limiter.leases, now);
        if (decision.verdict != LimitVerdict::Admitted && decision.retryAfter >= out.retryAfter)
            out = decision;
    });
    if (out.verdict != LimitVerdict::Admitted)
        return out;
    forEachLimit(limiter, account, className, now, [&](LimitState& state, const LimitRule&) {
        charge(state.requests, 1, now);
        charge(state.tokens, promptTokens, now);
        ++state.inFlight;
    });
    return out;
}

void finishCall(Limiter& limiter, std::string_view account, std::string_view className, uint32_t outputTokens, TimeMs now)
{
    forEachLimit(limiter, account, className, now, [&](LimitState& state, const LimitRule&) {
        charge(state.tokens, outputTokens, now);
        state.tokenDemand += outputTokens;
        // The rule can have been added after the call was admitted.
        state.inFlight -= state.inFlight ? 1 : 0;
    });
}

/// Demand since the last request as a fraction of the limit: the maximum over the rule's bounds.
static double demandOf(LimitState& state, const LimitRule& rule, const LeaseOptions& leases, double requestsPerSecond)
{
    constexpr double weight = 0.5;
    state.tokensPerSecond += weight * (state.tokenDemand / leases.interval.seconds() - state.tokensPerSecond);
    const double byRate = rule.rate > 0 ? requestsPerSecond / rule.rate : 0;
    const double byConcurrent = rule.concurrent ? static_cast<double>(state.peakInFlight) / rule.concurrent : 0;
    const double byTokens = rule.tokensPerSecond > 0 ? state.tokensPerSecond / rule.tokensPerSecond : 0;
    state.tokenDemand = 0;
    state.peakInFlight = state.inFlight;
    return std::max({ byRate, byConcurrent, byTokens });
}

std::vector<LeaseRequest> leaseRequests(Limiter& limiter, NodeId self, TimeMs now)
{
    constexpr TimeMs idle { 60000 };
    std::erase_if(limiter.states, [&](const auto& it) { return !it.second.inFlight && it.second.lastUsed + idle < now; });
    std::vector<LeaseRequest> out;
    for (auto& [key, state] : limiter.states) {
        LeaseRequest request;
        if (!nextRequest(state.lease, limiter.leases, self, key, now, request))
            continue;
        request.demand = demandOf(state, limiter.rules[state.rule], limiter.leases, request.demand);
        out.push_back(std::move(request));
    }
    return out;
}

void handleLeaseGrant(Limiter& limiter, const LeaseGrant& grant, TimeMs now)
{
    const auto it = limiter.states.find(grant.key);
    if (it == limiter.states.end() || !handleGrant(it->second.lease, grant, now))
        return;
    applyShare(it->second, limiter.rules[it->second.rule], now);
}

}
