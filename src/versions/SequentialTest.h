#pragma once

#include <array>
#include <cstdint>

namespace siskinshunt {

/// One-sided sequential test of a probability: "no more than p0", where p0 may change from window to window.
/// The statistic mixes likelihood ratios over alternatives and over start times, so that a change is seen late as well
/// as at once. Under p <= p0 the chance that it ever reaches 1/alpha is at most alpha (Ville's inequality).
struct SequentialTest {
    static constexpr std::array<double, 7> alternatives { 0.01, 0.03, 0.08, 0.18, 0.35, 0.6, 0.9 };

    double horizon = 3600; ///< Windows over which half of the weight is spread; the other half starts at the first one.
    /// Largest gain of one window, in nats. A limit keeps the guarantee, and lets a fault only show over several windows,
    /// which protects against bursts in which the trials are not independent.
    double gainLimit = 100;
    uint64_t windows = 0;
    std::array<double, alternatives.size()> wealth {}; ///< Of the started part, for each alternative.
    double peak = 1; ///< Largest value of the statistic.
};

/// Takes one window: `hits` of `n` independent trials, whose probability is at most `p0` under the hypothesis.
void addWindow(SequentialTest&, uint64_t n, uint64_t hits, double p0);
/// The statistic now; 1 at the start.
double statisticOf(const SequentialTest&);
/// True when the hypothesis is rejected at level `alpha` over all looks so far.
inline bool rejects(const SequentialTest& test, double alpha) { return test.peak >= 1 / alpha; }

}
