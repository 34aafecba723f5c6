#include "forward/EntryWeights.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <tuple>

namespace siskinshunt {

// A tenth of a core is scheduled in periods of 100 ms, so its timers are late by up to 90 ms now and then although the node is sound.
static constexpr double toleratedLatenessMs = 100;
static constexpr double minFactor = 0.05;
// From the smallest factor, a node is back after 8 s; the target is 10 s.
static constexpr double risePerSecond = 1.5;
// Below this part of its usual weight, a domain is short.
static constexpr double shortDomain = 0.5;
// Time in which the usual weight of a domain falls to 37% of the way to a lower one.
static constexpr double usualFallSeconds = 600;
// Weights that differ by less are alike.
static constexpr double alikeWeights = 0.01;
static constexpr size_t minEntries = 3;
static constexpr size_t maxEntries = 64;
// A single client queries about once per period of validity, for which the decaying count is 1.58. With five voters, six to ten clients of one address
// exceed this at each.
static constexpr double queriesOfOneClient = 2;
static constexpr size_t maxClientAddresses = 1024;

void recordLateness(LatenessMeter& meter, TimeMs interval, TimeMs late)
{
    const auto lateMs = static_cast<double>(std::max(late, TimeMs {}).value);
    const double covered = static_cast<double>(interval.value) + lateMs;
    meter.weighted += lateMs * covered;
    meter.covered += covered;
}

TimeMs takeLateness(LatenessMeter& meter)
{
    const double mean = meter.covered > 0 ? meter.weighted / meter.covered : 0;
    meter = {};
    return { std::llround(mean) };
}

double latenessFactor(TimeMs lateness)
{
    const auto late = static_cast<double>(lateness.value);
    return late <= toleratedLatenessMs ? 1 : std::max(minFactor, toleratedLatenessMs / late);
}

void updateStanding(EntryStanding& standing, TimeMs now, TimeMs lateness)
{
    const double allowed = latenessFactor(lateness);
    const double seconds = standing.updated == TimeMs {} ? 0 : std::max(0.0, (now - standing.updated).seconds());
    standing.updated = now;
    standing.factor = std::min(allowed, std::max(standing.factor, minFactor) * std::pow(risePerSecond, seconds));
}

// Mean of the known values; 0 if there is none.
static double meanOf(const std::vector<EntryCapacity>& capacities, double EntryCapacity::*field)
{
    double sum = 0;
    size_t known = 0;
    for (const auto& it : capacities) {
        sum += it.*field;
        known += it.*field > 0 ? 1 : 0;
    }
    return known ? sum / static_cast<double>(known) : 0;
}

std::vector<double> relativeCapacities(const std::vector<EntryCapacity>& capacities)
{
    const double meanCpu = meanOf(capacities, &EntryCapacity::cpuShare);
    const double meanLink = meanOf(capacities, &EntryCapacity::linkMbps);
    std::vector<double> out;
    double sum = 0;
    size_t known = 0;
    for (const auto& it : capacities) {
        const double cpu = it.cpuShare > 0 ? it.cpuShare / meanCpu : std::numeric_limits<double>::infinity();
        const double link = it.linkMbps > 0 ? it.linkMbps / meanLink : std::numeric_limits<double>::infinity();
        const double scarcer = std::min(cpu, link);
        out.push_back(std::isfinite(scarcer) ? scarcer : 0);
        sum += out.back();
        known += out.back() > 0 ? 1 : 0;
    }
    const double mean = known ? sum / static_cast<double>(known) : 1;
    for (double& it : out)
        it = it > 0 ? it / mean : 1;
    return out;
}

void updateDomainWeight(DomainWeight& domain, TimeMs now, double current)
{
    const double seconds = std::max(0.0, (now - domain.updated).seconds());
    domain.updated = now;
    domain.current = current;
    domain.usual = std::max(current, current + (domain.usual - current) * std::exp(-seconds / usualFallSeconds));
}

double shareOfOtherDomains(const std::map<std::string, DomainWeight>& domains, const std::string& domain)
{
    const auto own = domains.find(domain);
    if (own == domains.end() || own->second.usual <= 0)
        return 0;
    DomainWeight others;
    for (const auto& [name, it] : domains) {
        if (name == domain)
            continue;
        others.current += it.current;
        others.usual += it.usual;
    }
    const double part = own->second.current / own->second.usual;
    if (part >= shortDomain || others.usual <= 0 || others.current / others.usual <= part)
        return 0;
    return 1 - part / shortDomain;
}

static bool areAlike(const std::vector<EntryCandidate>& candidates)
{
    const auto [least, most] = std::minmax_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return a.weight < b.weight; });
    return candidates.empty() || most->weight - least->weight <= alikeWeights * most->weight;
}

// Scales the weights of nodes in other domains so that they get `share` of the connections.
static void scaleOthers(std::vector<EntryCandidate>& candidates, double share)
{
    double same = 0;
    double other = 0;
    for (const auto& it : candidates)
        (it.sameDomain ? same : other) += it.weight;
    if (same <= 0 || other <= 0 || share >= 1)
        return;
    const double scale = share / (1 - share) * same / other;
    for (auto& it : candidates)
        it.weight *= it.sameDomain ? 1 : scale;
}

// Number of nodes to sample: the largest one for which no node would have to be named with a probability above 1.
static size_t sampleSize(const std::vector<EntryCandidate>& candidates)
{
    double sum = 0;
    double most = 0;
    for (const auto& it : candidates) {
        sum += it.weight;
        most = std::max(most, it.weight);
    }
    // The tolerance keeps a sum of equal weights from losing a node by rounding.
    const auto size = most > 0 ? static_cast<size_t>(sum / most + 1e-6) : size_t { 0 };
    return std::min({ std::max(size, minEntries), maxEntries, candidates.size() });
}

// Probability with which each candidate is in a sample of the size: in proportion to its weight, at most 1.
static std::vector<double> inclusionProbabilities(const std::vector<EntryCandidate>& candidates, size_t size)
{
    std::vector<double> out(candidates.size(), 0);
    std::vector<size_t> open(candidates.size());
    std::iota(open.begin(), open.end(), size_t { 0 });
    auto left = static_cast<double>(size);
    for (size_t before = 0; before != open.size();) {
        before = open.size();
        const double sum = std::accumulate(open.begin(), open.end(), 0.0, [&](double total, size_t n) { return total + candidates[n].weight; });
        for (const size_t n : open)
            out[n] = sum > 0 ? left * candidates[n].weight / sum : 0;
        const auto certain = std::partition(open.begin(), open.end(), [&](size_t n) { return out[n] < 1; });
        left -= static_cast<double>(open.end() - certain);
        std::for_each(certain, open.end(), [&](size_t n) { out[n] = 1; });
        open.erase(certain, open.end());
    }
    return out;
}

static double uniformOf(uint64_t client, NodeId id)
{
    return (static_cast<double>(combineHash(client, id.value) >> 11) + 0.5) * 0x1p-53;
}

// Pareto sampling (Rosén 1997): the nodes with the smallest ratios of the odds of their hash to the odds of their probability. The size of the sample is
// fixed, and a node enters or leaves it only when its own rank changes, as with rendezvous hashing.
static std::vector<EntryCandidate> sampleOf(std::vector<EntryCandidate> candidates, uint64_t client)
{
    const size_t size = sampleSize(candidates);
    const auto probabilities = inclusionProbabilities(candidates, size);
    std::vector<std::pair<double, size_t>> ranks;
    for (size_t n = 0; n < candidates.size(); ++n) {
        const double u = uniformOf(client, candidates[n].id);
        const double p = probabilities[n];
        const double odds = p > 0 ? u / (1 - u) * (1 - p) / p : std::numeric_limits<double>::infinity();
        ranks.emplace_back(odds, n);
    }
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<ptrdiff_t>(size), ranks.end());
    std::vector<EntryCandidate> out;
    for (size_t n = 0; n < size; ++n)
        out.push_back(std::move(candidates[ranks[n].second]));
    return out;
}

std::vector<std::string> chooseEntries(std::vector<EntryCandidate> candidates, uint64_t client, double otherShare)
{
    const auto others = std::partition(candidates.begin(), candidates.end(), [](const auto& it) { return it.sameDomain; });
    const bool enough = others - candidates.begin() >= static_cast<ptrdiff_t>(minEntries);
    if (enough && otherShare <= 0)
        candidates.erase(others, candidates.end());
    const bool sampled = otherShare > 0 || !areAlike(candidates);
    if (otherShare > 0)
        scaleOthers(candidates, otherShare);
    if (sampled)
        candidates = sampleOf(std::move(candidates), client);
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) { return std::tie(b.sameDomain, a.address) < std::tie(a.sameDomain, b.address); });
    std::vector<std::string> out;
    for (size_t n = 0; n < std::min(candidates.size(), maxEntries); ++n)
        out.push_back(std::move(candidates[n].address));
    return out;
}

uint64_t clientKey(ClientAddresses& clients, TimeMs now, const std::string& peer, TimeMs valid)
{
    const std::string ip = peer.substr(0, peer.rfind(':'));
    if (clients.byIp.size() >= maxClientAddresses && !clients.byIp.contains(ip))
        std::erase_if(clients.byIp, [&](const auto& it) { return now - it.second.updated > valid * 5; });
    // Addresses beyond the limit of the table count as those of a single client each.
    if (clients.byIp.size() >= maxClientAddresses && !clients.byIp.contains(ip))
        return hash64(ip);
    auto& queries = clients.byIp[ip];
    const double periods = (now - queries.updated).seconds() / std::max(0.1, valid.seconds());
    queries.recent = queries.recent * std::exp(-periods) + 1;
    queries.updated = now;
    return hash64(queries.recent > queriesOfOneClient ? peer : ip);
}

}
