#pragma once

#include "wire/Envelope.h"

#include <bitset>
#include <unordered_map>

namespace siskinshunt {

struct ReplayOptions {
    TimeMs window { 30000 }; ///< Largest difference between send time and the receiver's wall clock, both ways.
    size_t maxSenders = 1024; ///< Memory bound: about 200 bytes per sender.
};

/// Recognises repeated messages of one transport. A message passes if its send time is within the window and its
/// sequence was not seen among the last 1024 of its sender. Messages that arrive out of order pass once.
class ReplayWindow {
public:
    explicit ReplayWindow(ReplayOptions options = {})
        : m_options(options)
    {
    }

    /// None, Stale or Replay; on None the sequence counts as seen. Call only after the MAC has been checked.
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
    TimeMs m_evictedUpTo { INT64_MIN }; ///< A sender that was evicted passes again only with later send times.
};

}
