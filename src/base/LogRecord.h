#pragma once

#include "base/EnumNames.h"
#include "base/Error.h"

#include <array>
#include <string>
#include <utility>
#include <vector>

namespace siskinshunt {

enum class LogLevel : uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

template <>
inline constexpr auto enumNames<LogLevel> = std::to_array<EnumName<LogLevel>>({
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" },
});

/// One log line. The decision packages create it; the daemon adds the time and its node and writes it as JSON.
struct LogRecord {
    LogLevel level = LogLevel::Info;
    std::string code; ///< Stable code, such as "reclaim_started".
    Step step = Step::Command;
    std::string peer;
    std::string text;
    std::vector<std::pair<std::string, std::string>> fields;
};

}
