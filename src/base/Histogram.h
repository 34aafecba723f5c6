#pragma once

#include <array>
#include <cstdint>

namespace siskinshunt {

/// Log-linear histogram of non-negative integers (microseconds, bytes, tokens) with a fixed memory footprint.
/// Each power of two is split into 16 buckets, so the relative error of a quantile is at most 1/16.
class Histogram {
public:
    void record(uint64_t value, uint64_t count = 1);
    void merge(const Histogram&);
    void clear();

    uint64_t count() const { return m_count; }
    uint64_t sum() const { return m_sum; }
    uint64_t max() const { return m_max; }
    double mean() const { return m_count ? static_cast<double>(m_sum) / static_cast<double>(m_count) : 0; }
    /// Upper bound of the bucket that contains the quantile `q` in [0, 1]; 0 when empty.
    uint64_t quantile(double q) const;
    /// Number of recorded values less than or equal to `limit`, rounded up to a bucket boundary.
    uint64_t countAtMost(uint64_t limit) const;

private:
    static constexpr int subBits = 4;
    static constexpr int subCount = 1 << subBits;
    static constexpr int bucketCount = (40 - subBits + 1) * subCount;

    static int bucketOf(uint64_t value);
    static uint64_t upperBound(int bucket);

    std::array<uint32_t, bucketCount> m_buckets {};
    uint64_t m_count = 0;
    uint64_t m_sum = 0;
    uint64_t m_max = 0;
};

}
