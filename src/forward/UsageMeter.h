#pragma once

#include "base/TimeMs.h"

#include <cstdint>
#include <map>
#include <string>

namespace siskinshunt {

/// Requests that began to run, by account.
using UsageCounts = std::map<std::string, uint64_t>;

/// Counts what began to run in windows of true time. Window n begins n times the window's length after the start of 1970.
struct UsageMeter {
    TimeMs window { 5000 };
    TimeMs retention { 60000 }; ///< Older windows are dropped.
    std::map<int64_t, UsageCounts> windows; ///< By number.
};

int64_t usageWindowAt(const UsageMeter&, TimeMs utc);
void recordUsage(UsageMeter&, TimeMs utc, const std::string& account);
void expireUsage(UsageMeter&, TimeMs utc);

}
