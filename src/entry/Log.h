#pragma once

#include "base/LogRecord.h"

#include <string>

namespace siskinshunt {

/// Initializes the process log: one JSON object per line on standard output, with time (UTC), level, node, code, step,
/// peer, text and the record's fields.
void startLog(const std::string& node, LogLevel minimum);

void setLogLevel(LogLevel minimum);

/// Queues a log line and never blocks. Lines are dropped while the queue is full; a later line reports their number.
void writeLog(const LogRecord&);

/// Writes as many queued lines as standard output accepts without blocking.
void flushLog();

}
