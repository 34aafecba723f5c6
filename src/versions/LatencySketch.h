#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace siskinshunt {

/// Sparse, mergeable histogram of latencies in milliseconds. Bucket bounds are 4% apart; only used buckets are encoded.
class LatencySketch {
public:
    void record(double milliseconds, uint32_t count = 1);
    void merge(const LatencySketch&);
    void clear() { m_buckets.clear(); }
    /// Halves all counts, so that old values lose weight.
    void halve();

    uint64_t count() const;
    /// Upper bound of the bucket of the quantile q in [0, 1], in ms; 0 when empty.
    double quantile(double q) const;
    /// Number of values above the limit in ms. Values in the same bucket as the limit do not count.
    uint64_t countOver(double milliseconds) const;

    template <class Archive>
    void serialize(Archive& archive) { archive(m_buckets); }

private:
    std::vector<std::pair<uint16_t, uint32_t>> m_buckets; ///< Bucket number and count, ordered by bucket.
};

}
