#include "experiment/Audit.h"

namespace siskinshunt {

AuditResult auditOnceCalls(const std::vector<OnceRecord>& records, const std::map<std::string, uint64_t>& executions)
{
    AuditResult out;
    for (const auto& it : records) {
        const auto found = executions.find(it.key);
        const uint64_t count = found == executions.end() ? 0 : found->second;
        if (count > 1)
            out.doubled.push_back(it.key);
        if (count == 0 && it.result == CallResult::Answered)
            out.missing.push_back(it.key);
        const bool neverSent = it.result == CallResult::Refused || it.result == CallResult::Unreachable;
        if (count > 0 && neverSent && !it.outcomeUnknown)
            out.falseNotRun.push_back(it.key);
    }
    return out;
}

}
