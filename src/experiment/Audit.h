#pragma once

#include "experiment/ClientPolicy.h"

#include <map>
#include <string>
#include <vector>

namespace siskinshunt {

/// What one caller knows of a once call at the end of a run.
struct OnceRecord {
    std::string key;
    CallResult result = CallResult::Answered;
    bool outcomeUnknown = false; ///< An attempt left open whether it ran.
};

struct AuditResult {
    std::vector<std::string> doubled; ///< Keys that ran more than once.
    std::vector<std::string> falseNotRun; ///< Keys that ran although every attempt was refused as not run.
    std::vector<std::string> missing; ///< Keys that were answered but never ran.
};

/// Compares the once calls of a run with the counts of executions by key.
AuditResult auditOnceCalls(const std::vector<OnceRecord>&, const std::map<std::string, uint64_t>& executions);

}
