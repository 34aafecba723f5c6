#pragma once

#include <cstdint>

namespace siskinshunt {

/// Seeded generator (xoshiro256**). The only source of randomness in the decision packages, so that a run can be
/// reproduced from its seed.
class Random {
public:
    explicit Random(uint64_t seed = 1);

    uint64_t next();
    /// Uniform in [0, n); 0 when n is 0.
    uint64_t below(uint64_t n);
    /// Uniform in [low, high].
    int64_t between(int64_t low, int64_t high);
    /// Uniform in [0, 1).
    double uniform();
    /// True with the given probability.
    bool chance(double probability) { return uniform() < probability; }
    /// Exponentially distributed with the given mean.
    double exponential(double mean);
    /// Normally distributed.
    double normal(double mean, double deviation);

private:
    uint64_t m_state[4];
};

}
