#pragma once

#include "base/TimeMs.h"

#include <array>
#include <cstdint>

namespace siskinshunt {

/// Bytes sent and received in the last second, counted in slots of 100 ms.
class TrafficMeter {
public:
    void add(TimeMs now, size_t bytes)
    {
        advance(now);
        m_slots[static_cast<size_t>(m_slot % slotCount)] += bytes;
        m_sum += bytes;
    }
    size_t lastSecond(TimeMs now)
    {
        advance(now);
        return m_sum;
    }

private:
    static constexpr int64_t slotCount = 10;

    void advance(TimeMs now)
    {
        const int64_t slot = now.value / 100;
        if (slot - m_slot >= slotCount) {
            m_slots.fill(0);
            m_sum = 0;
            m_slot = slot;
        }
        while (m_slot < slot) {
            ++m_slot;
            auto& bytes = m_slots[static_cast<size_t>(m_slot % slotCount)];
            m_sum -= bytes;
            bytes = 0;
        }
    }

    std::array<size_t, slotCount> m_slots {};
    size_t m_sum = 0;
    int64_t m_slot = 0;
};

}
