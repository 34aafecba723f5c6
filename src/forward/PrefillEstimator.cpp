#include "forward/PrefillEstimator.h"

#include <algorithm>

namespace siskinshunt {

// Observations that the sums remember.
static constexpr double memory = 300;
static constexpr double leastObservations = 30;
// Observations in which the best pace is forgotten: a few minutes of one node's requests.
static constexpr double bestMemory = 5000;
// Bounds of what an engine can be: far slower and far faster than any that is known.
static constexpr double slowest = 2;
static constexpr double fastest = 1000;
// Observations beyond these are of engines that hang or were frozen.
static constexpr double longestMs = 5000;

void recordPrefillTime(PrefillEstimator& pace, double tokens, double milliseconds)
{
    if (milliseconds > longestMs || tokens < 0)
        return;
    const double keep = 1 - 1 / memory;
    pace.n = pace.n * keep + 1;
    pace.x = pace.x * keep + tokens;
    pace.y = pace.y * keep + milliseconds;
    pace.xx = pace.xx * keep + tokens * tokens;
    pace.xy = pace.xy * keep + tokens * milliseconds;
    const double spread = pace.n * pace.xx - pace.x * pace.x;
    if (pace.n < leastObservations || spread <= 0)
        return;
    const double slope = std::clamp((pace.n * pace.xy - pace.x * pace.y) / spread, 1 / fastest, 1 / slowest);
    pace.calibrated = true;
    pace.peakTokensPerMs = std::max(pace.peakTokensPerMs * (1 - 1 / bestMemory), 1 / slope);
    pace.tokensPerMs = std::max(1 / slope, pace.peakTokensPerMs * minPrefillRateFraction);
    pace.baseMs = std::max(0.0, (pace.y - pace.x / pace.tokensPerMs) / pace.n);
}

}
