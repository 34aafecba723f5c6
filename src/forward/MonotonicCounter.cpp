#include "forward/MonotonicCounter.h"

#include <algorithm>

namespace siskinshunt {

// Refunds are for a few requests, so they do not lower a counter below this fraction of its highest value.
static constexpr double restartFraction = 0.5;

double advanceCounter(double& highest, double total)
{
    const bool restarted = total < highest * restartFraction;
    const double increase = restarted ? std::max(total, 0.0) : std::max(total - highest, 0.0);
    highest = restarted ? total : std::max(total, highest);
    return increase;
}

}
