#pragma once

#include "base/LogRecord.h"

#include <string>

namespace siskinshunt {

/// Sets up the process log: one JSON object per line on standard output, with time (UTC), level, node, code, step, peer,
/// text and the record's fields.
void startLog(const std::string& node, LogLevel minimum);

void setLogLevel(LogLevel minimum);

/// Queues a line. Never blocks: lines beyond the buffer are dropped, and a later line says how many.
void writeLog(const LogRecord&);

/// Writes the queued lines as far as standard output takes them without blocking.
void flushLog();

}
