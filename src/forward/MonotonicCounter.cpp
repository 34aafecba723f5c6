#include "forward/MonotonicCounter.h"

#include <algorithm>

namespace siskinshunt {

// Returned costs are those of a few requests, so they do not lower a total below this part of it.
static constexpr double newProcessPart = 0.5;

double advanceCounter(double& highest, double total)
{
    const bool newProcess = total < highest * newProcessPart;
    const double rise = newProcess ? std::max(total, 0.0) : std::max(total - highest, 0.0);
    highest = newProcess ? total : std::max(total, highest);
    return rise;
}

}
