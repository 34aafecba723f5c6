#pragma once

#include "forward/TargetChoice.h"

namespace siskinshunt {

/// Whether the backlog at the chosen target would make a request miss its route's target for the first event. Such a request would delay
/// others and be of little use itself. The request's own size is no reason to refuse it.
bool isOverloaded(const TargetChoice&, TimeMs routeTarget);

}
