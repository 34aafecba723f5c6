#pragma once

#include "routing/Router.h"

namespace siskinshunt {

/// Builds the lists of a stale pool: version groups, subsets and ejected members. Releases ejected members when the pool
/// has shrunk so far that more than half of it would be ejected.
void refreshPool(Router&, Pool&);

/// Group of the version, or null.
const VersionGroup* findGroup(const Pool&, std::string_view version);

/// Updates the mix of priorities that this node sends.
void recordSentTokens(Pool&, int priority, uint32_t tokens);

/// Part of the sent tokens that are served at the priority or before it, 0 to 1.
double shareUpToPriority(const Pool&, int priority);

/// Updates the smoothed duration of a call.
void recordCallDuration(Pool&, TimeMs);

}
