#include "base/Histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace siskinshunt {

int Histogram::bucketOf(uint64_t value)
{
    if (value < subCount)
        return static_cast<int>(value);
    const int shift = std::bit_width(value) - 1 - subBits;
    const int bucket = (shift + 1) * subCount + static_cast<int>((value >> shift) - subCount);
    return std::min(bucket, bucketCount - 1);
}

uint64_t Histogram::upperBound(int bucket)
{
    if (bucket < subCount)
        return static_cast<uint64_t>(bucket);
    const int shift = bucket / subCount - 1;
    const uint64_t base = static_cast<uint64_t>(subCount + bucket % subCount);
    return ((base + 1) << shift) - 1;
}

void Histogram::record(uint64_t value, uint64_t count)
{
    m_buckets[static_cast<size_t>(bucketOf(value))] += static_cast<uint32_t>(count);
    m_count += count;
    m_sum += value * count;
    m_max = std::max(m_max, value);
}

void Histogram::merge(const Histogram& other)
{
    for (size_t n = 0; n < m_buckets.size(); ++n)
        m_buckets[n] += other.m_buckets[n];
    m_count += other.m_count;
    m_sum += other.m_sum;
    m_max = std::max(m_max, other.m_max);
}

void Histogram::clear()
{
    *this = Histogram {};
}

uint64_t Histogram::quantile(double q) const
{
    if (!m_count)
        return 0;
    const auto rank = std::max<uint64_t>(1, static_cast<uint64_t>(std::ceil(q * static_cast<double>(m_count))));
    uint64_t seen = 0;
    for (int n = 0; n < bucketCount; ++n) {
        seen += m_buckets[static_cast<size_t>(n)];
        if (seen >= rank)
            return std::min(upperBound(n), m_max);
    }
    return m_max;
}

uint64_t Histogram::countAtMost(uint64_t limit) const
{
    uint64_t seen = 0;
    for (int n = 0; n <= bucketOf(limit); ++n)
        seen += m_buckets[static_cast<size_t>(n)];
    return seen;
}

}
