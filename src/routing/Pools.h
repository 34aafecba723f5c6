#pragma once

#include "routing/Router.h"

namespace siskinshunt {

/// Rebuilds the lists of a stale pool: version groups, subsets and ejected members. Releases ejected members if more than
/// half of the pool would be ejected after it has shrunk.
void refreshPool(Router&, Pool&);

/// Returns the group of the version, or null.
const VersionGroup* findGroup(const Pool&, std::string_view version);

/// Updates the decayed distribution of sent prompt tokens over priorities.
void recordSentTokens(Pool&, int priority, uint32_t tokens);

/// Fraction (0 to 1) of the recently sent tokens that have the given priority or a more urgent one.
double shareUpToPriority(const Pool&, int priority);

/// Updates the smoothed call duration.
void recordCallDuration(Pool&, TimeMs);

}
