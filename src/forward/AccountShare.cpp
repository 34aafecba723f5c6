#include "forward/AccountShare.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

// A node leaves this part of its retries unused, because requests are counted where they arrive and the window slides.
static constexpr double retryMargin = 0.85;

static double decayed(const AccountShareOptions& options, double value, TimeMs age)
{
    return value * std::exp(-age.seconds() / options.demandWindow.seconds());
}

// The part of the account's allowance that belongs to this node, 0 to 1.
static double shareOf(const AccountShares& shares, TimeMs now, const std::string& account)
{
    const auto& options = shares.options;
    const size_t nodes = std::max(shares.nodes, shares.peers.size() + 1);
    const double even = 1.0 / static_cast<double>(nodes);
    double own = 0;
    if (const auto it = shares.buckets.find(account); it != shares.buckets.end())
        own = decayed(options, it->second.demand, now - it->second.updated);
    double sum = own;
    bool heard = shares.peers.empty();
    for (const auto& [node, peer] : shares.peers) {
        const auto it = peer.demand.find(account);
        sum += it == peer.demand.end() ? 0 : it->second;
        heard = heard || now - peer.heard <= options.peerSilence;
    }
    const double byDemand = sum > 0 ? own / sum : even;
    const double share = options.evenPart * even + (1 - options.evenPart) * byDemand;
    return heard ? share : std::min(share, even);
}

static double capacityOf(const AccountShares& shares, const AllowanceRule& rule, double share)
{
    return (rule.burst + shares.options.slack / 2) * share;
}

static AccountBucket& refill(AccountShares& shares, TimeMs now, const AllowanceRule& rule)
{
    const auto [it, fresh] = shares.buckets.try_emplace(rule.name);
    AccountBucket& bucket = it->second;
    const double share = shareOf(shares, now, rule.name);
    const double capacity = capacityOf(shares, rule, share);
    if (fresh) {
        bucket.level = capacity;
        bucket.updated = now;
    }
    const TimeMs age = std::max(now - bucket.updated, TimeMs {});
    bucket.level = std::min(capacity, bucket.level + rule.rate * share * age.seconds());
    bucket.demand = decayed(shares.options, bucket.demand, age);
    bucket.updated = now;
    return bucket;
}

bool takeAllowance(AccountShares& shares, TimeMs now, const AllowanceRule& rule, double cost)
{
    if (rule.rate <= 0)
        return true;
    AccountBucket& bucket = refill(shares, now, rule);
    bucket.demand += cost / shares.options.demandWindow.seconds();
    // A request larger than the bucket passes when the bucket is full; the debt holds back what follows.
    const double capacity = capacityOf(shares, rule, shareOf(shares, now, rule.name));
    if (bucket.level < std::min(cost, capacity * 0.9))
        return false;
    bucket.level -= cost;
    return true;
}

void returnAllowance(AccountShares& shares, const std::string& account, double cost)
{
    if (const auto it = shares.buckets.find(account); it != shares.buckets.end())
        it->second.level += cost;
}

TimeMs allowanceIn(const AccountShares& shares, const AllowanceRule& rule, double cost)
{
    const auto it = shares.buckets.find(rule.name);
    if (it == shares.buckets.end())
        return {};
    const double share = shareOf(shares, it->second.updated, rule.name);
    const double missing = std::min(cost, capacityOf(shares, rule, share)) - it->second.level;
    if (missing <= 0 || share * rule.rate <= 0)
        return {};
    return { static_cast<int64_t>(missing / (share * rule.rate) * 1000) };
}

void takeDemand(AccountShares& shares, TimeMs now, NodeId node, std::map<std::string, double> demand)
{
    shares.peers[node] = { std::move(demand), now };
}

std::map<std::string, double> demandOf(const AccountShares& shares, TimeMs now)
{
    std::map<std::string, double> out;
    for (const auto& [account, bucket] : shares.buckets)
        out[account] = decayed(shares.options, bucket.demand, std::max(now - bucket.updated, TimeMs {}));
    return out;
}

void expirePeers(AccountShares& shares, TimeMs now)
{
    std::erase_if(shares.peers, [&](const auto& it) { return now - it.second.heard > shares.options.keepSilentNodes; });
}

static RetryUse::Slice& sliceAt(RetryUse& use, const RetryLimit& limit, TimeMs now)
{
    const int64_t length = std::max<int64_t>(1, limit.window.value / static_cast<int64_t>(RetryUse::slices));
    const int64_t number = now.value / length;
    auto& slice = use.ring[static_cast<size_t>(number) % RetryUse::slices];
    if (slice.number != number)
        slice = { number, 0, 0 };
    return slice;
}

void noteFirstSend(RetryUse& use, const RetryLimit& limit, TimeMs now)
{
    ++sliceAt(use, limit, now).requests;
}

bool takeRetry(RetryUse& use, const RetryLimit& limit, TimeMs now, size_t nodes)
{
    auto& current = sliceAt(use, limit, now);
    double requests = 0;
    double retries = 0;
    for (const auto& slice : use.ring) {
        if (slice.number + static_cast<int64_t>(RetryUse::slices) <= current.number)
            continue;
        requests += slice.requests;
        retries += slice.retries;
    }
    const double allowed = (limit.ratio * requests + limit.extra / static_cast<double>(std::max<size_t>(nodes, 1))) * retryMargin;
    if (retries + 1 > allowed)
        return false;
    ++current.retries;
    return true;
}

}
