#include "experiment/Fencing.h"

namespace siskinshunt {

OrderLog::Verdict OrderLog::checkAndRecord(const Json& order)
{
    if (m_ids.contains(order["id"].asText()))
        return Verdict::Duplicate;
    const std::pair number { order["epoch"].asInt(), order["sequence"].asInt() };
    if (number < m_highest) {
        if (m_checks)
            return Verdict::Stale;
        ++m_oldTaken;
    }
    m_highest = std::max(m_highest, number);
    m_ids.emplace(order["id"].asText(), true);
    return Verdict::Accepted;
}

}
