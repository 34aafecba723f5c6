#include "forward/Allowance.h"

#include "forward/MonotonicCounter.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace siskinshunt {

// A token bucket admits at most rate * window + capacity in any window, so the platform's limit bounds the capacity.
static double bucketCapacity(const AllowanceOptions& options, const AllowanceRule& rule)
{
    const double tolerance = options.overshoot * (rule.rate * options.window.seconds() + rule.burst) + options.slack;
    return rule.burst + options.slackFraction * tolerance;
}

// Estimated spending of other nodes on the account since their last reports.
static double estimatedUnreported(const Allowances& state, TimeMs now, const std::string& account)
{
    double sum = 0;
    for (const auto& [node, peer] : state.peers) {
        const auto it = peer.accounts.find(account);
        if (it != peer.accounts.end())
            sum += it->second.rate * std::max(now - peer.lastReportAt, TimeMs {}).seconds();
    }
    return sum;
}

// Spending rate of the other nodes on the account; none until every one has reported for long enough that its rate is known.
static std::optional<double> knownPeerRate(const Allowances& state, TimeMs now, const std::string& account)
{
    double sum = 0;
    for (const auto& [node, peer] : state.peers) {
        if (now - peer.firstReportAt < state.options.rateTimeConstant * 2)
            return std::nullopt;
        if (const auto it = peer.accounts.find(account); it != peer.accounts.end())
            sum += it->second.rate;
    }
    return sum;
}

// Level of the bucket when this node first uses it. Nodes of a large fleet meet most accounts only after others have spent on them.
static double initialLevel(const Allowances& state, TimeMs now, const AllowanceRule& rule, double capacity)
{
    const bool inUse = std::any_of(state.peers.begin(), state.peers.end(), [&](const auto& peer) {
        const auto it = peer.second.accounts.find(rule.name);
        return it != peer.second.accounts.end() && it->second.total > 0;
    });
    if (!inUse)
        return capacity;
    const double share = capacity / static_cast<double>(std::max(state.peers.size() + 1, state.nodes));
    const auto peerRate = knownPeerRate(state, now, rule.name);
    if (!peerRate)
        return share;
    // The less of the allowance the others use, the fuller the bucket is; at its full rate it may be empty.
    return std::max(share, capacity * (1 - std::min(1.0, *peerRate / rule.rate)));
}

static Allowances::Bucket& refill(Allowances& state, TimeMs now, const AllowanceRule& rule)
{
    const auto [it, isNew] = state.buckets.try_emplace(rule.name);
    auto& bucket = it->second;
    const double capacity = bucketCapacity(state.options, rule);
    const double added = isNew ? initialLevel(state, now, rule, capacity) : rule.rate * std::max(now - bucket.updated, TimeMs {}).seconds();
    bucket.level = std::min(capacity, bucket.level + added);
    bucket.updated = now;
    return bucket;
}

bool consumeAllowance(Allowances& state, TimeMs now, const AllowanceRule& rule, double cost)
{
    if (rule.rate <= 0)
        return true;
    auto& bucket = refill(state, now, rule);
    // A request larger than the bucket is admitted when the bucket is nearly full; the debt delays later requests.
    const double needed = std::min(cost, bucketCapacity(state.options, rule) * 0.9);
    if (bucket.level - estimatedUnreported(state, now, rule.name) < needed)
        return false;
    bucket.level -= cost;
    bucket.spent += cost;
    return true;
}

void refundAllowance(Allowances& state, const std::string& account, double cost)
{
    const auto it = state.buckets.find(account);
    if (it == state.buckets.end())
        return;
    it->second.level += cost;
    it->second.spent -= cost;
}

TimeMs timeUntilAllowance(const Allowances& state, TimeMs now, const AllowanceRule& rule, double cost)
{
    const auto it = state.buckets.find(rule.name);
    if (it == state.buckets.end() || rule.rate <= 0)
        return {};
    const double missing = std::min(cost, bucketCapacity(state.options, rule)) + estimatedUnreported(state, now, rule.name) - it->second.level;
    return { std::max<int64_t>(0, static_cast<int64_t>(missing / rule.rate * 1000)) };
}

void applyPeerSpending(Allowances& state, TimeMs now, NodeId node, const std::map<std::string, double>& totals)
{
    const auto [it, isNew] = state.peers.try_emplace(node);
    auto& peer = it->second;
    if (isNew)
        peer.firstReportAt = now;
    const TimeMs age = isNew ? state.options.rateTimeConstant : std::max(now - peer.lastReportAt, 1_ms);
    const double decay = std::exp(-age.seconds() / state.options.rateTimeConstant.seconds());
    for (const auto& [account, total] : totals) {
        const auto [known, first] = peer.accounts.try_emplace(account);
        auto& spending = known->second;
        const double increase = advanceCounter(spending.total, total);
        // The first report of a peer does not say when its total was spent.
        const double spent = isNew && first ? 0 : increase;
        spending.rate = spending.rate * decay + spent / age.seconds() * (1 - decay);
        if (const auto bucket = state.buckets.find(account); bucket != state.buckets.end())
            bucket->second.level -= spent;
    }
    peer.lastReportAt = now;
}

std::map<std::string, double> localSpending(const Allowances& state)
{
    std::map<std::string, double> out;
    for (const auto& [account, bucket] : state.buckets)
        out[account] = bucket.spent;
    return out;
}

void expirePeers(Allowances& state, TimeMs now)
{
    std::erase_if(state.peers, [&](const auto& it) { return now - it.second.lastReportAt > state.options.peerTimeout; });
}

}
