#include "wire/ReplayWindow.h"

#include <algorithm>

namespace siskinshunt {

void ReplayWindow::evictOldest()
{
    const auto oldest = std::min_element(m_senders.begin(), m_senders.end(),
        [](const auto& a, const auto& b) { return a.second.latest < b.second.latest; });
    m_evictedUpTo = std::max(m_evictedUpTo, oldest->second.latest);
    m_senders.erase(oldest);
}

ReplayWindow::Sender* ReplayWindow::findOrAdd(const Envelope& envelope)
{
    const auto it = m_senders.find(envelope.sender);
    if (it != m_senders.end())
        return &it->second;
    if (envelope.sentAt <= m_evictedUpTo)
        return nullptr;
    if (m_senders.size() >= std::max<size_t>(m_options.maxSenders, 1))
        evictOldest();
    auto& sender = m_senders[envelope.sender];
    sender.highest = envelope.sequence;
    sender.latest = envelope.sentAt;
    return &sender;
}

DropReason ReplayWindow::accept(TimeMs nowUtc, const Envelope& envelope)
{
    if (envelope.sentAt < nowUtc - m_options.window || envelope.sentAt > nowUtc + m_options.window)
        return DropReason::Stale;
    Sender* sender = findOrAdd(envelope);
    if (!sender)
        return DropReason::Replay;
    const uint64_t sequence = envelope.sequence;
    if (sequence > sender->highest) {
        if (sequence - sender->highest >= depth)
            sender->seen.reset();
        else
            for (uint64_t n = sender->highest + 1; n <= sequence; ++n)
                sender->seen.reset(n % depth);
        sender->highest = sequence;
    } else if (sender->highest - sequence >= depth || sender->seen.test(sequence % depth)) {
        return DropReason::Replay;
    }
    sender->seen.set(sequence % depth);
    sender->latest = std::max(sender->latest, envelope.sentAt);
    return DropReason::None;
}

}
