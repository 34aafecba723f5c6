#pragma once

#include "experiment/Json.h"

#include <map>

namespace siskinshunt {

/// Orders that a stand-in has accepted: by id, and the highest fencing number (epoch, sequence) seen.
class OrderLog {
public:
    enum class Verdict : uint8_t {
        Accepted,
        Duplicate, ///< The id was accepted before; nothing is done again.
        Stale, ///< Its fencing number is lower than one seen, and this stand-in checks.
    };

    explicit OrderLog(bool checksFencing)
        : m_checksFencing(checksFencing)
    {
    }

    /// Judges an order with members `id`, `epoch` and `sequence`, and records it unless it is Old.
    Verdict checkAndRecord(const Json& order);
    size_t staleOrdersAccepted() const { return m_staleAccepted; } ///< Taken though an order with a higher number came before.

private:
    bool m_checksFencing;
    std::pair<int64_t, int64_t> m_highestNumber { -1, -1 };
    std::map<std::string, bool, std::less<>> m_acceptedIds;
    size_t m_staleAccepted = 0;
};

}
