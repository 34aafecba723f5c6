#include "forward/Overload.h"

namespace siskinshunt {

// A request is refused when the backlog before it exceeds the first multiple of its route's target and its whole expected wait exceeds the
// second.
static constexpr double overloadBacklogRatio = 1.0;
static constexpr double overloadWaitRatio = 1.4;

bool isOverloaded(const TargetChoice& choice, TimeMs routeTarget)
{
    const auto target = static_cast<double>(routeTarget.value);
    return choice.backlogMs > target * overloadBacklogRatio && choice.waitMs > target * overloadWaitRatio;
}

}
