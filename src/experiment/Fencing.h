#pragma once

#include "experiment/Json.h"

#include <map>

namespace siskinshunt {

/// Ids of the orders that a stand-in has accepted, and the highest fencing number (epoch, sequence).
class OrderLog {
public:
    enum class Verdict : uint8_t {
        Accepted,
        Duplicate, ///< An order with this id was accepted before; it is not executed again.
        Stale, ///< The fencing number is lower than the highest one, and this stand-in checks it.
    };

    explicit OrderLog(bool checksFencing)
        : m_checksFencing(checksFencing)
    {
    }

    /// Checks an order with members `id`, `epoch` and `sequence`, and records it unless it is Old.
    Verdict checkAndRecord(const Json& order);
    size_t staleOrdersAccepted() const { return m_staleAccepted; } ///< Orders accepted after one with a higher fencing number.

private:
    bool m_checksFencing;
    std::pair<int64_t, int64_t> m_highestNumber { -1, -1 };
    std::map<std::string, bool, std::less<>> m_acceptedIds;
    size_t m_staleAccepted = 0;
};

}
