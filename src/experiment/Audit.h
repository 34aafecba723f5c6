#pragma once

#include "experiment/ClientPolicy.h"

#include <map>
#include <string>
#include <vector>

namespace siskinshunt {

/// A caller's view of a once-only call at the end of a run.
struct OnceRecord {
    std::string key;
    CallResult result = CallResult::Answered;
    bool outcomeUnknown = false; ///< For at least one attempt it is unknown whether the call ran.
};

struct AuditResult {
    std::vector<std::string> doubled; ///< Keys that were executed more than once.
    std::vector<std::string> falseNotRun; ///< Keys that were executed although every attempt was refused as not run.
    std::vector<std::string> missing; ///< Keys that were answered but never executed.
};

/// Compares the once-only calls of a run with the number of executions per key.
AuditResult auditOnceCalls(const std::vector<OnceRecord>&, const std::map<std::string, uint64_t>& executions);

}
