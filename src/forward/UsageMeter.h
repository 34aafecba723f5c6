#pragma once

#include "base/TimeMs.h"

#include <cstdint>
#include <map>
#include <string>

namespace siskinshunt {

/// Number of requests that started to run, by account.
using UsageCounts = std::map<std::string, uint64_t>;

/// Counts requests that started to run, in windows of UTC time. Window n begins n window lengths after the Unix epoch.
struct UsageMeter {
    TimeMs window { 5000 };
    TimeMs retention { 60000 }; ///< Older windows are removed.
    std::map<int64_t, UsageCounts> windows; ///< By number.
};

int64_t usageWindowAt(const UsageMeter&, TimeMs utc);
void recordUsage(UsageMeter&, TimeMs utc, const std::string& account);
void expireUsage(UsageMeter&, TimeMs utc);

}
