#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace siskinshunt {

/// Identifies the subject of a delta. The content is read from the tables at send time, so the latest state is sent.
struct DeltaKey {
    uint64_t id = 0; ///< Member or upstream.
    uint64_t observer = 0; ///< For an observation, the node that made it.
    bool full = false; ///< Full record instead of the short form.

    bool operator==(const DeltaKey&) const = default;
};

struct DeltaKeyHash {
    size_t operator()(const DeltaKey& key) const noexcept { return combineHash(key.id, key.observer * 2 + key.full); }
};

struct Delta {
    DeltaKey key;
    uint8_t remaining = 0; ///< Transmissions left; each message carries the decremented count to its receiver.
    NodeId source; ///< Peer that sent the delta; it is not sent back there.
};

/// Round-robin queue of the pending deltas of one priority. Each is sent a bounded number of times; new ones are sent first.
class DeltaQueue {
public:
    explicit DeltaQueue(size_t limit = 2048)
        : m_limit(limit)
    {
    }

    /// Adds a delta, or resets an existing one to the given number of transmissions. When the queue is full, the last delta
    /// is dropped.
    void add(const DeltaKey&, uint8_t remaining, NodeId source);
    /// Records that a peer already has the delta, so that it is not sent back there. `reduceTransmits` also lowers the number
    /// of remaining transmissions by one.
    void recordDuplicate(const DeltaKey&, NodeId peer, bool reduceTransmits);
    void remove(const DeltaKey&);
    bool contains(const DeltaKey& key) const { return m_index.count(key) != 0; }
    size_t size() const { return m_index.size(); }
    bool empty() const { return m_index.empty(); }

    /// Calls `send(delta)` for each delta in turn until it returns NoSpace. A delta that was sent moves to the back with one
    /// transmission fewer.
    enum class SendResult : uint8_t {
        Sent,
        NotFound, ///< The subject is no longer in the tables; the delta is removed.
        NoSpace,
    };
    template <class Send>
    void offer(NodeId peer, Send&& send)
    {
        auto it = m_deltas.begin();
        for (size_t n = m_deltas.size(); n > 0; --n) {
            const auto current = it++;
            if (current->source == peer)
                continue;
            const SendResult verdict = send(*current);
            if (verdict == SendResult::NoSpace)
                return;
            if (verdict == SendResult::NotFound || --current->remaining == 0) {
                m_index.erase(current->key);
                m_deltas.erase(current);
            } else {
                m_deltas.splice(m_deltas.end(), m_deltas, current);
            }
        }
    }

private:
    size_t m_limit;
    std::list<Delta> m_deltas;
    std::unordered_map<DeltaKey, std::list<Delta>::iterator, DeltaKeyHash> m_index;
};

}
