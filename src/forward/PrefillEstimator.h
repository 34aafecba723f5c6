#pragma once

namespace siskinshunt {

/// Part of the best pace below which a learnt one is not believed: it is that of a queue that the observations do not show,
/// and a node that believes it waits at the engines that hold a shared part. On the Punjab days busy engines are learnt at
/// 0.53 to 0.72 of the pace of idle ones.
constexpr double minPrefillRateFraction = 0.6;

/// How long engines take to the first event, learnt from what was observed: a fixed time plus a time per prompt token
/// that had to be read before it. Decayed least squares, so that it follows engines that change.
struct PrefillEstimator {
    double tokensPerMs = 40; ///< Used until enough was observed.
    double baseMs = 40;
    bool calibrated = false; ///< From enough observations.
    double peakTokensPerMs = 0; ///< The fastest pace learnt, forgotten slowly.

    // Sums over the observations, decayed with each of them.
    double n = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
};

/// Notes that a request with this many tokens to read before its first event took this long.
void recordPrefillTime(PrefillEstimator&, double tokens, double milliseconds);

}
