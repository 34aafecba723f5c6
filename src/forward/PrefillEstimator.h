#pragma once

namespace siskinshunt {

/// Lower bound of the estimated prefill rate as a fraction of the peak rate. A lower estimate includes queueing that the
/// observations do not show, and a node that used it would wait for the engines that cache a shared prompt part. In the
/// Punjab load profiles the estimate for busy engines is 0.53 to 0.72 of the rate of idle ones.
constexpr double minPrefillRateFraction = 0.6;

/// Estimates the time that engines take to the first event: a fixed time plus a time per prompt token to prefill before
/// it. Fitted by least squares with exponentially decaying weights, so that it follows engines that change.
struct PrefillEstimator {
    double tokensPerMs = 40; ///< Default until `calibrated`.
    double baseMs = 40;
    bool calibrated = false; ///< There were enough observations for an estimate.
    double peakTokensPerMs = 0; ///< Highest rate estimated, with slow decay.

    // Decaying sums over the observations: x is the number of tokens, y the time in milliseconds.
    double n = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
};

/// Records the time to the first event of a request with this many tokens to prefill before it.
void recordPrefillTime(PrefillEstimator&, double tokens, double milliseconds);

}
