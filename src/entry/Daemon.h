#pragma once

#include "base/Error.h"
#include "node/Dialect.h"
#include "settings/Settings.h"

#include <memory>
#include <string>

namespace siskinshunt {

/// How a daemon is run.
struct DaemonOptions {
    Settings settings;
    std::string settingsFile; ///< Read again on SIGHUP and when it changes; empty: never.
    std::shared_ptr<const Dialect> dialect; ///< Of the platform; null: only the node's own interface.
};

/// Runs a daemon with these settings until it has left or was stopped by a signal. SIGTERM drains first; SIGINT and a
/// second SIGTERM stop at once. Returns the exit code: 0 after leaving, 1 after a failure.
Result<int> runDaemon(const DaemonOptions&);

}
