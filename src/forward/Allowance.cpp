#include "forward/Allowance.h"

#include "base/Hash.h"
#include "forward/MonotonicCounter.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

// A token bucket admits at most rate * window + capacity in any window, so the platform's limit bounds the capacity.
static double bucketCapacity(const AllowanceOptions& options, const AllowanceRule& rule)
{
    const double tolerance = options.overshoot * (rule.rate * options.window.seconds() + rule.burst) + options.slack;
    return rule.burst + options.slackFraction * tolerance;
}

// Age of peer totals on arrival.
static TimeMs reportDelay(const Allowances& state)
{
    return std::max(state.reportDelay, state.options.minReportDelay);
}

// Estimated spending of other nodes on the account that this node has not been told of.
static double estimatedUnreported(const Allowances& state, TimeMs now, const std::string& account)
{
    double sum = 0;
    for (const auto& [node, peer] : state.peers) {
        const auto it = peer.accounts.find(account);
        if (it != peer.accounts.end())
            sum += it->second.rate * (std::max(now - peer.lastReportAt, TimeMs {}) + reportDelay(state)).seconds();
    }
    return sum;
}

static double peerRate(const Allowances& state, const std::string& account)
{
    double sum = 0;
    for (const auto& [node, peer] : state.peers) {
        if (const auto it = peer.accounts.find(account); it != peer.accounts.end())
            sum += it->second.rate;
    }
    return sum;
}

// Whether every other node has reported for this long.
static bool hasReportsOf(const Allowances& state, TimeMs now, TimeMs duration)
{
    return std::all_of(state.peers.begin(), state.peers.end(), [&](const auto& it) { return now - it.second.firstReportAt >= duration; });
}

static void recordHistory(Allowances& state, TimeMs now, const std::string& account, double spent, bool isFirst, double total)
{
    static constexpr TimeMs slotLength { 250 };
    if (state.buckets.contains(account))
        return;
    if (total <= 0 && spent <= 0)
        return;
    auto& history = state.histories[account];
    history.complete = history.complete && !isFirst;
    if (spent <= 0)
        return;
    auto& slots = history.slots;
    if (slots.empty() || now - slots.back().first >= slotLength)
        slots.emplace_back(now, 0);
    slots.back().second += spent;
    while (now - slots.front().first > state.options.window * 3) {
        slots.pop_front();
        history.complete = false;
    }
}

// Level of the bucket when this node first uses it: the level that it would have had if this node had followed the spending of the others.
static double initialLevel(const Allowances& state, TimeMs now, const AllowanceRule& rule, double capacity, double full)
{
    const auto it = state.histories.find(rule.name);
    if (it == state.histories.end())
        return full;
    const auto& [complete, slots] = it->second;
    const double share = capacity / static_cast<double>(std::max(state.peers.size() + 1, state.nodes));
    // Until the rates of the others are known, a node that has started begins with its share.
    if (!complete && !hasReportsOf(state, now, state.options.rateTimeConstant * 2))
        return share;
    // The less of the allowance the others use, the fuller the bucket is; at its full rate it may be empty.
    const double unused = capacity * (1 - std::min(1.0, peerRate(state, rule.name) / rule.rate));
    double level = complete ? full : std::max(share, unused);
    TimeMs last = slots.empty() ? now : slots.front().first;
    for (const auto& [at, spent] : slots) {
        level = std::min(full, level + rule.rate * (at - last).seconds()) - spent;
        last = at;
    }
    level += rule.rate * (now - last).seconds();
    return complete ? level : std::max(share, level);
}

// Factor on the rate at which a contended account spends. It falls by one over twice the tokens that may be spent at the full rate before a
// change is known everywhere; a steeper fall makes the level oscillate.
static double levelFactor(const Allowances& state, const Allowances::Bucket& bucket, double level)
{
    const double unseen = bucket.rate * reportDelay(state).seconds();
    return std::max(0.1, 1 + (level - state.options.contendedLevel * bucket.capacity) / (2 * unseen));
}

static bool isIsolated(const Allowances& state, TimeMs now)
{
    return !state.peers.empty() && std::all_of(state.peers.begin(), state.peers.end(), [&](const auto& it) { return now - it.second.lastReportAt > state.options.isolationTimeout; });
}

// A node without reports does not know what the others ask for, and they assume that it spends as when it last reported.
static double isolatedFraction(const Allowances& state, const Allowances::Bucket& bucket)
{
    const double share = bucket.rate / static_cast<double>(std::max<size_t>(state.nodes, 1));
    const double own = std::max(share * state.options.isolatedShare, bucket.ownRateAtReport);
    return bucket.ownDemand > own ? own / bucket.ownDemand : 1.0;
}

// Updates the fraction of the requests that this node admits.
static void adjustFraction(const Allowances& state, TimeMs now, const std::string& account, Allowances::Bucket& bucket)
{
    if (bucket.rate <= 0)
        return;
    const double elapsed = std::max(now - bucket.adjusted, TimeMs {}).seconds();
    bucket.adjusted = now;
    const double averaging = state.options.rateTimeConstant.seconds();
    const double level = std::min(bucket.capacity, bucket.level + bucket.rate * std::max(now - bucket.updated, TimeMs {}).seconds() - estimatedUnreported(state, now, account));
    const double applied = level > 0 ? bucket.passFraction : 0;
    bucket.passAverage += (applied - bucket.passAverage) * (1 - std::exp(-elapsed / (averaging + reportDelay(state).seconds())));
    bucket.ownDemand *= std::exp(-elapsed / averaging);
    bucket.ownRate *= std::exp(-elapsed / averaging);
    // With hardly anything admitted the demand can't be told from the spending.
    static constexpr double minPassAverage = 0.05;
    // The estimate falls slowly: after an overspending nothing is spent for a time, whatever is asked for.
    bucket.demand *= std::exp(-elapsed / state.options.demandDecay.seconds());
    if (bucket.passAverage >= minPassAverage) {
        const double measured = (peerRate(state, account) + bucket.ownRate) / bucket.passAverage;
        bucket.demand = std::max(bucket.demand, measured);
        bucket.longDemand += (measured - bucket.longDemand) * (1 - std::exp(-elapsed / state.options.demandTimeConstant.seconds()));
    }
    const bool asksForItsRate = bucket.longDemand > bucket.rate * state.options.contentionDemand;
    if (bucket.contended)
        bucket.contended = level < (asksForItsRate ? 1 : state.options.freeLevel) * bucket.capacity;
    else
        bucket.contended = level < state.options.contentionLevel * bucket.capacity && asksForItsRate;
    bucket.passFraction = !bucket.contended || bucket.demand <= 0 ? 1.0 : std::min(1.0, bucket.rate * levelFactor(state, bucket, level) / bucket.demand);
    if (isIsolated(state, now))
        bucket.passFraction = std::min(bucket.passFraction, isolatedFraction(state, bucket));
}

// Spending of the others per second over the last window.
static double meanOfHistory(const Allowances& state, TimeMs now, const std::string& account)
{
    const auto it = state.histories.find(account);
    if (it == state.histories.end())
        return 0;
    const TimeMs from = now - state.options.window;
    double sum = 0;
    for (const auto& [at, spent] : it->second.slots)
        sum += at >= from ? spent : 0;
    return sum / (now - from).seconds();
}

static Allowances::Bucket& refill(Allowances& state, TimeMs now, const AllowanceRule& rule)
{
    const auto [it, isNew] = state.buckets.try_emplace(rule.name);
    auto& bucket = it->second;
    bucket.rate = rule.rate;
    bucket.capacity = bucketCapacity(state.options, rule);
    // Spending that is not reported yet is in the level, so that after a pause the reports of its time are paid from the tokens of that time.
    const double full = bucket.capacity + estimatedUnreported(state, now, rule.name);
    const double added = isNew ? initialLevel(state, now, rule, bucket.capacity, full) : rule.rate * std::max(now - bucket.updated, TimeMs {}).seconds();
    bucket.level = std::min(full, bucket.level + added);
    bucket.updated = now;
    if (isNew) {
        bucket.adjusted = now;
        bucket.longDemand = meanOfHistory(state, now, rule.name);
        state.histories.erase(rule.name);
    }
    return bucket;
}

// Whether a request is in the fraction of the cost that is admitted. The threshold varies between requests, so that nodes that see few of them
// don't all admit or refuse their first one.
static bool passesFraction(Allowances::Bucket& bucket, TimeMs now, const std::string& account, double cost)
{
    if (bucket.passFraction >= 1) {
        bucket.credit = 0;
        return true;
    }
    bucket.credit += bucket.passFraction * cost;
    const uint64_t hash = combineHash(hash64(account, static_cast<uint64_t>(now.value)), combineHash(static_cast<uint64_t>(cost), static_cast<uint64_t>(bucket.spent)));
    const double threshold = static_cast<double>(hash >> 11) / static_cast<double>(uint64_t { 1 } << 53);
    return bucket.credit >= threshold * cost;
}

void followAllowance(Allowances& state, TimeMs now, const AllowanceRule& rule)
{
    // A node that has just started does not know yet what the others have spent.
    const bool isKnown = !state.peers.empty() && hasReportsOf(state, now, state.options.rateTimeConstant * 2);
    if (rule.rate > 0 && (isKnown || state.buckets.contains(rule.name)))
        adjustFraction(state, now, rule.name, refill(state, now, rule));
}

bool consumeAllowance(Allowances& state, TimeMs now, const AllowanceRule& rule, double cost)
{
    if (rule.rate <= 0)
        return true;
    auto& bucket = refill(state, now, rule);
    adjustFraction(state, now, rule.name, bucket);
    bucket.ownDemand += cost / state.options.rateTimeConstant.seconds();
    // A request larger than the bucket is admitted when the bucket is nearly full; the debt delays later requests.
    const double needed = std::min(cost, bucket.capacity * 0.9);
    // Requests that find too few tokens earn no credit, which all nodes would spend at the same moment later.
    if (bucket.level - estimatedUnreported(state, now, rule.name) < needed || !passesFraction(bucket, now, rule.name, cost))
        return false;
    if (bucket.passFraction < 1)
        bucket.credit -= cost;
    bucket.level -= cost;
    bucket.spent += cost;
    bucket.ownRate += cost / state.options.rateTimeConstant.seconds();
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
    // A contended account does not lack tokens: the fraction that is refused now is likely refused again at once.
    const double contended = it->second.contended ? 1000 * (1 - it->second.passFraction) : 0;
    return { static_cast<int64_t>(std::max({ 0.0, contended, missing / rule.rate * 1000 })) };
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
        recordHistory(state, now, account, spent, isNew && first, total);
        if (const auto bucket = state.buckets.find(account); bucket != state.buckets.end())
            bucket->second.level -= spent;
    }
    peer.lastReportAt = now;
    for (auto& [account, bucket] : state.buckets) {
        adjustFraction(state, now, account, bucket);
        bucket.ownRateAtReport = bucket.ownRate;
    }
}

void chargeUnreported(Allowances& state, TimeMs now, NodeId node)
{
    const auto it = state.peers.find(node);
    if (it == state.peers.end())
        return;
    const double silence = std::max(now - it->second.lastReportAt, TimeMs {}).seconds();
    for (const auto& [account, spending] : it->second.accounts) {
        if (const auto bucket = state.buckets.find(account); bucket != state.buckets.end())
            bucket->second.level -= spending.rate * silence;
    }
}

void recordReportDelay(Allowances& state, TimeMs age)
{
    static constexpr int64_t weight = 10; // Reports in the moving average.
    state.reportDelay = state.reportDelay.value ? TimeMs { state.reportDelay.value + (age.value - state.reportDelay.value) / weight } : age;
}

std::map<std::string, double> localSpending(const Allowances& state)
{
    std::map<std::string, double> out;
    for (const auto& [account, bucket] : state.buckets) {
        if (bucket.spent != 0)
            out[account] = bucket.spent;
    }
    return out;
}

void expirePeers(Allowances& state, TimeMs now)
{
    std::erase_if(state.peers, [&](const auto& it) { return now - it.second.lastReportAt > state.options.peerTimeout; });
}

}
