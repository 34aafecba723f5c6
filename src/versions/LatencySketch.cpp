#include "versions/LatencySketch.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

static constexpr double bucketRatio = 1.04;
static constexpr double smallestLatency = 0.1; // ms; all shorter latencies go into the first bucket.
static constexpr uint16_t lastBucket = 470; // Upper bound about 10^4 s.

static uint16_t bucketOf(double milliseconds)
{
    if (!(milliseconds > smallestLatency))
        return 0;
    // The tolerance keeps the upper bound of a bucket inside that bucket despite rounding.
    const double bucket = std::ceil(std::log(milliseconds / smallestLatency) / std::log(bucketRatio) - 1e-6);
    return static_cast<uint16_t>(std::clamp<double>(bucket, 0, lastBucket));
}

static double upperBound(uint16_t bucket)
{
    return smallestLatency * std::pow(bucketRatio, bucket);
}

static void addCount(std::vector<std::pair<uint16_t, uint32_t>>& buckets, uint16_t bucket, uint32_t count)
{
    const auto it = std::lower_bound(buckets.begin(), buckets.end(), bucket, [](const auto& entry, uint16_t n) { return entry.first < n; });
    if (it != buckets.end() && it->first == bucket)
        it->second += count;
    else
        buckets.insert(it, { bucket, count });
}

void LatencySketch::record(double milliseconds, uint32_t count)
{
    addCount(m_buckets, bucketOf(milliseconds), count);
}

void LatencySketch::merge(const LatencySketch& other)
{
    for (const auto& [bucket, count] : other.m_buckets)
        addCount(m_buckets, std::min(bucket, lastBucket), count);
}

void LatencySketch::halve()
{
    for (auto& entry : m_buckets)
        entry.second /= 2;
    std::erase_if(m_buckets, [](const auto& entry) { return entry.second == 0; });
}

uint64_t LatencySketch::count() const
{
    uint64_t n = 0;
    for (const auto& entry : m_buckets)
        n += entry.second;
    return n;
}

double LatencySketch::quantile(double q) const
{
    const auto rank = std::max(1.0, std::ceil(q * static_cast<double>(count())));
    uint64_t seen = 0;
    for (const auto& [bucket, n] : m_buckets) {
        seen += n;
        if (static_cast<double>(seen) >= rank)
            return upperBound(bucket);
    }
    return 0;
}

uint64_t LatencySketch::countOver(double milliseconds) const
{
    const uint16_t limit = bucketOf(milliseconds);
    uint64_t n = 0;
    for (const auto& [bucket, count] : m_buckets) {
        if (bucket > limit)
            n += count;
    }
    return n;
}

}
