#include "forward/Overload.h"

namespace siskinshunt {

// A request is refused when the backlog before it exceeds the first multiple of its route's target and its whole expected wait exceeds the
// second.
static constexpr double overloadBacklogRatio = 1.0;
static constexpr double overloadWaitRatio = 1.4;
// Both multiples are reduced to this part for accounts above their share.
static constexpr double limitedPart = 0.75;

bool isOverloaded(const TargetChoice& choice, TimeMs routeTarget, bool limited)
{
    const auto target = static_cast<double>(routeTarget.value) * (limited ? limitedPart : 1);
    return choice.backlogMs > target * overloadBacklogRatio && choice.waitMs > target * overloadWaitRatio;
}

}
