#pragma once

#include "base/Ids.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace siskinshunt {

/// What a delta is about; its content is read from the tables when it is sent, so that the newest state goes out.
struct DeltaKey {
    uint64_t id = 0; ///< Member or upstream.
    uint64_t home = 0; ///< For a vouch, the node that vouches.
    bool full = false; ///< Whole record instead of the short form.

    bool operator==(const DeltaKey&) const = default;
};

struct DeltaKeyHash {
    size_t operator()(const DeltaKey& key) const noexcept { return combineHash(key.id, key.home * 2 + key.full); }
};

struct Delta {
    DeltaKey key;
    uint8_t remaining = 0; ///< Sends left; each send passes the rest on to the receiver.
    NodeId source; ///< Whom it came from; not sent back.
};

/// Deltas of one priority that wait to be sent, each a bounded number of times, in turn. Newly added ones go first.
class DeltaQueue {
public:
    explicit DeltaQueue(size_t limit = 2048)
        : m_limit(limit)
    {
    }

    /// Adds, or restarts with the new number of sends. When full, the delta that waits at the back is dropped.
    void add(const DeltaKey&, uint8_t remaining, NodeId source);
    /// A peer sent the same again, so it need not get it back. `fewer`: nor is as much sending needed in all.
    void recordDuplicate(const DeltaKey&, NodeId peer, bool fewer);
    void remove(const DeltaKey&);
    bool contains(const DeltaKey& key) const { return m_index.count(key) != 0; }
    size_t size() const { return m_index.size(); }
    bool empty() const { return m_index.empty(); }

    /// Offers deltas in turn until `send` has refused one for lack of room. `send(delta)` returns Sent, Gone or NoRoom;
    /// a delta that was sent goes to the back with one send fewer.
    enum class SendResult : uint8_t {
        Sent,
        Gone, ///< No longer in the tables.
        NoRoom,
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
            if (verdict == SendResult::NoRoom)
                return;
            if (verdict == SendResult::Gone || --current->remaining == 0) {
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
