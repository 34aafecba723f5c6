#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace siskinshunt {

/// Sparse histogram of latencies in milliseconds with buckets 4% apart: small on the wire, mergeable.
class LatencySketch {
public:
    void record(double milliseconds, uint32_t count = 1);
    void merge(const LatencySketch&);
    void clear() { m_buckets.clear(); }
    /// Halves all counts, so that old values fade.
    void halve();

    uint64_t count() const;
    /// Upper bound of the bucket of the quantile q in [0, 1], in ms; 0 when empty.
    double quantile(double q) const;
    /// Values over the limit in ms; those in the limit's own bucket do not count.
    uint64_t countOver(double milliseconds) const;

    template <class Archive>
    void serialize(Archive& archive) { archive(m_buckets); }

private:
    std::vector<std::pair<uint16_t, uint32_t>> m_buckets; ///< Bucket and count, ordered by bucket.
};

}
