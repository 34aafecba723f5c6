#pragma once

#include "wire/Envelope.h"

#include <bitset>
#include <unordered_map>

namespace siskinshunt {

struct ReplayOptions {
    TimeMs window { 30000 }; ///< Maximum difference between the send time and the receiver's wall clock, in either direction.
    size_t maxSenders = 1024; ///< Bounds memory use: about 200 bytes per sender.
};

/// Detects replayed messages of one transport. A message is accepted if its send time is within the window and its
/// sequence is neither a duplicate nor 1024 or more below the highest of its sender. Reordered messages are accepted once.
class ReplayWindow {
public:
    explicit ReplayWindow(ReplayOptions options = {})
        : m_options(options)
    {
    }

    /// Returns None, Stale or Replay, and marks the sequence as seen on None. Requires a verified MAC.
    DropReason accept(TimeMs nowUtc, const Envelope&);
    size_t senders() const { return m_senders.size(); }

private:
    static constexpr uint64_t depth = 1024;

    struct Sender {
        uint64_t highest = 0;
        TimeMs latest; ///< Highest send time.
        std::bitset<depth> seen; ///< Bit `sequence % depth`, for sequences in (highest - depth, highest].
    };

    Sender* findOrAdd(const Envelope&);
    void evictOldest();

    ReplayOptions m_options;
    std::unordered_map<NodeId, Sender> m_senders;
    TimeMs m_evictedUpTo { INT64_MIN }; ///< An evicted sender is accepted again only with a later send time.
};

}
