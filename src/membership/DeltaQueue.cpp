#include "membership/DeltaQueue.h"

namespace siskinshunt {

void DeltaQueue::add(const DeltaKey& key, uint8_t remaining, NodeId source)
{
    remove(key);
    if (remaining == 0)
        return;
    if (m_index.size() >= m_limit)
        remove(m_deltas.back().key);
    m_deltas.push_front({ key, remaining, source });
    m_index[key] = m_deltas.begin();
}

void DeltaQueue::recordDuplicate(const DeltaKey& key, NodeId peer, bool reduceTransmits)
{
    const auto it = m_index.find(key);
    if (it == m_index.end())
        return;
    it->second->source = peer;
    if (reduceTransmits && --it->second->remaining == 0)
        remove(key);
}

void DeltaQueue::remove(const DeltaKey& key)
{
    const auto it = m_index.find(key);
    if (it == m_index.end())
        return;
    m_deltas.erase(it->second);
    m_index.erase(it);
}

}
