#include "forward/PrefillEstimator.h"

#include <algorithm>

namespace siskinshunt {

// Time constant of the sums, in observations.
static constexpr double memoryObservations = 300;
static constexpr double minObservations = 30;
// Time constant of the peak rate, in observations: a few minutes of one node's requests.
static constexpr double peakMemoryObservations = 5000;
// Plausible range of an engine's prefill rate, far wider than that of any known engine.
static constexpr double minTokensPerMs = 2;
static constexpr double maxTokensPerMs = 1000;
// Longer observations come from engines that hang or were suspended.
static constexpr double maxObservationMs = 5000;

void recordPrefillTime(PrefillEstimator& estimator, double tokens, double milliseconds)
{
    if (milliseconds > maxObservationMs || tokens < 0)
        return;
    const double decay = 1 - 1 / memoryObservations;
    estimator.n = estimator.n * decay + 1;
    estimator.x = estimator.x * decay + tokens;
    estimator.y = estimator.y * decay + milliseconds;
    estimator.xx = estimator.xx * decay + tokens * tokens;
    estimator.xy = estimator.xy * decay + tokens * milliseconds;
    const double determinant = estimator.n * estimator.xx - estimator.x * estimator.x;
    if (estimator.n < minObservations || determinant <= 0)
        return;
    const double slope = std::clamp((estimator.n * estimator.xy - estimator.x * estimator.y) / determinant, 1 / maxTokensPerMs, 1 / minTokensPerMs);
    estimator.calibrated = true;
    estimator.peakTokensPerMs = std::max(estimator.peakTokensPerMs * (1 - 1 / peakMemoryObservations), 1 / slope);
    estimator.tokensPerMs = std::max(1 / slope, estimator.peakTokensPerMs * minPrefillRateFraction);
    estimator.baseMs = std::max(0.0, (estimator.y - estimator.x / estimator.tokensPerMs) / estimator.n);
}

}
