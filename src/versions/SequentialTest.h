#pragma once

#include <array>
#include <cstdint>

namespace siskinshunt {

/// One-sided sequential test of the hypothesis p <= p0 for a probability p, where p0 can differ between windows.
/// The statistic is a mixture of likelihood ratios over alternatives and start times, so that it detects a late change as
/// well as one from the start. Under p <= p0 it ever reaches 1/alpha with probability at most alpha (Ville's inequality).
struct SequentialTest {
    static constexpr std::array<double, 7> alternatives { 0.01, 0.03, 0.08, 0.18, 0.35, 0.6, 0.9 };

    double horizon = 3600; ///< Number of windows over which half of the prior weight is spread; the other half is on the first window.
    /// Largest log likelihood ratio of one window, in nats. A limit keeps the guarantee. It makes a rejection need several
    /// windows, which protects against bursts in which the trials are not independent.
    double gainLimit = 100;
    uint64_t windows = 0;
    std::array<double, alternatives.size()> wealth {}; ///< Weighted likelihood ratios of the start times so far, for each alternative.
    double peak = 1; ///< Largest value of the statistic so far.
};

/// Adds one window with `hits` of `n` independent trials. Under the hypothesis a hit has at most probability `p0`.
void addWindow(SequentialTest&, uint64_t n, uint64_t hits, double p0);
/// Current value of the statistic; 1 at the start.
double statisticOf(const SequentialTest&);
/// True when the hypothesis is rejected at level `alpha`, taken over all evaluations so far.
inline bool rejects(const SequentialTest& test, double alpha) { return test.peak >= 1 / alpha; }

}
