#pragma once

#include "base/Error.h"
#include "node/Dialect.h"
#include "settings/Settings.h"

#include <memory>
#include <string>

namespace siskinshunt {

/// Configuration of runDaemon().
struct DaemonOptions {
    Settings settings;
    std::string settingsFile; ///< Reloaded on SIGHUP and when it changes; never if empty.
    std::shared_ptr<const Dialect> dialect; ///< Of the platform; if null, only the node's own interface is served.
};

/// Runs the daemon until it has left the cluster or is stopped by a signal. SIGTERM drains first; SIGINT and a second
/// SIGTERM stop immediately. Returns the exit code: 0 after leaving, 1 after a failure.
Result<int> runDaemon(const DaemonOptions&);

}
