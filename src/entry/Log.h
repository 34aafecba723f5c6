#pragma once

#include "base/LogRecord.h"

#include <string>

namespace siskinshunt {

/// Sets up the process log: one JSON object per line on standard error, with time (UTC), level, node, code, step, peer,
/// text and the record's fields.
void startLog(const std::string& node, LogLevel minimum);

void writeLog(const LogRecord&);

}
