#include "versions/SequentialTest.h"

#include "base/Invariant.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

// Half of the prior weight is on a fault from the first window, the other half on faults that start in a later window.
static constexpr double weightAtStart = 0.5;
// Keeps products finite. A test with this value has already rejected at every practical level.
static constexpr double wealthLimit = 1e30;

static double startedWeight(const SequentialTest& test)
{
    return test.windows ? weightAtStart + (1 - weightAtStart) * std::min(1.0, static_cast<double>(test.windows) / test.horizon) : 0;
}

static double likelihoodRatio(double alternative, double p0, double hits, double misses, double gainLimit)
{
    const double p1 = p0 + (1 - p0) * alternative;
    return std::exp(std::min(gainLimit, hits * std::log(p1 / p0) + misses * std::log((1 - p1) / (1 - p0))));
}

void addWindow(SequentialTest& test, uint64_t n, uint64_t hits, double p0)
{
    INVARIANT(hits <= n, "there are no more hits than trials", "hits", hits, "trials", n);
    INVARIANT(p0 > 0 && test.horizon > 0, "the hypothesis allows some hits", "p0", p0);
    const double before = startedWeight(test);
    ++test.windows;
    const double added = startedWeight(test) - before;
    // With p0 near 1 no number of hits is evidence against the hypothesis.
    const bool informative = n > 0 && p0 < 0.9999;
    for (size_t k = 0; k < test.wealth.size(); ++k) {
        double& wealth = test.wealth[k];
        wealth += added;
        if (informative)
            wealth *= likelihoodRatio(SequentialTest::alternatives[k], p0, static_cast<double>(hits), static_cast<double>(n - hits), test.gainLimit);
        wealth = std::min(wealth, wealthLimit);
    }
    test.peak = std::max(test.peak, statisticOf(test));
}

double statisticOf(const SequentialTest& test)
{
    double sum = 0;
    for (const double wealth : test.wealth)
        sum += wealth;
    return sum / static_cast<double>(test.wealth.size()) + 1 - startedWeight(test);
}

}
