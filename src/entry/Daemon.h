#pragma once

#include "base/Error.h"
#include "settings/Settings.h"

namespace siskinshunt {

/// Runs a daemon with these settings until it has left or was stopped by a signal. SIGTERM drains first; SIGINT and a
/// second SIGTERM stop at once. Returns the exit code: 0 after leaving, 1 after a failure.
Result<int> runDaemon(const Settings&);

}
