#pragma once

#include "forward/TargetChoice.h"

namespace siskinshunt {

/// Whether the backlog at the chosen target would make a request miss its route's target for the first event. Such a request would delay
/// others and be of little use itself. The request's own size is no reason to refuse it.
/// `limited`: the account is above its fair share of the backend (see FairAdmission.h), so a shorter backlog is enough; this leaves room for
/// accounts within theirs while the shares are not up to date.
bool isOverloaded(const TargetChoice&, TimeMs routeTarget, bool limited = false);

}
