#include "experiment/Fencing.h"

namespace siskinshunt {

OrderLog::Verdict OrderLog::checkAndRecord(const Json& order)
{
    if (m_acceptedIds.contains(order["id"].asText()))
        return Verdict::Duplicate;
    const std::pair number { order["epoch"].asInt(), order["sequence"].asInt() };
    if (number < m_highestNumber) {
        if (m_checksFencing)
            return Verdict::Stale;
        ++m_staleAccepted;
    }
    m_highestNumber = std::max(m_highestNumber, number);
    m_acceptedIds.emplace(order["id"].asText(), true);
    return Verdict::Accepted;
}

}
