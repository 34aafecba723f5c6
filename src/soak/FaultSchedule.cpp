#include "soak/FaultSchedule.h"

#include <algorithm>

namespace siskinshunt {

static constexpr TimeMs contactTime { 3000 }; ///< Without a disturbance for this long, a node is in touch.

FaultSchedule::FaultSchedule(uint64_t seed, NodeFleetOptions (*makeOptions)(Random&, uint64_t seed))
    : m_random(seed)
    , m_fleet(makeOptions(m_random, seed))
{
    m_voters = m_fleet.options.announceNodes;
    m_disturbedAt.resize(m_fleet.nodes.size());
}

void FaultSchedule::fail(const std::string& text)
{
    if (m_result.violation.empty())
        m_result.violation = text + " at " + std::to_string(m_fleet.now.value % 10000000) + " ms";
}

bool FaultSchedule::isInTouch(size_t node) const
{
    const TimeMs since = m_fleet.now - contactTime;
    if (!m_fleet.nodes[node].node || m_fleet.nodes[node].frozen || m_disturbedAt[node] > since || m_coreDisturbedAt > since || m_fleet.loss > 0)
        return false;
    for (size_t n = 0; n < m_voters; ++n) {
        if (n != node && (!m_fleet.nodes[n].node || m_fleet.nodes[n].frozen || m_fleet.blockedLinks[n][node] || m_fleet.blockedLinks[node][n]))
            return false;
    }
    return true;
}

void FaultSchedule::disturb(size_t node)
{
    m_disturbedAt[node] = m_fleet.now;
    if (isVoter(node))
        m_coreDisturbedAt = m_fleet.now;
}

void FaultSchedule::injectNodeFault(size_t n)
{
    auto& node = m_fleet.nodes[n];
    disturb(n);
    if (!node.node)
        return m_fleet.start(n);
    if (node.frozen)
        return m_fleet.thaw(n);
    if (m_random.chance(0.7)) {
        ++m_result.faults["kill"];
        m_fleet.kill(n, false);
    } else {
        ++m_result.faults["freeze"];
        m_fleet.freeze(n);
    }
}

void FaultSchedule::cutLinks()
{
    const size_t entry = randomEntry();
    const size_t voter = m_random.below(m_voters);
    const bool blocked = m_random.chance(0.5);
    ++m_result.faults[blocked ? "cut" : "cut healed"];
    for (const size_t n : { entry, voter })
        m_disturbedAt[n] = m_fleet.now;
    m_fleet.setLinkBlocked(entry, voter, blocked);
    if (m_random.chance(0.5) || !blocked)
        m_fleet.setLinkBlocked(voter, entry, blocked);
}

void FaultSchedule::injectFault()
{
    switch (m_random.below(6)) {
    case 0:
        ++m_result.faults["all voters killed"];
        for (size_t n = 0; n < m_voters; ++n) {
            disturb(n);
            if (m_fleet.nodes[n].node)
                m_fleet.kill(n, false);
        }
        m_fleet.runFor(TimeMs { m_random.between(100, 800) });
        for (size_t n = 0; n < m_voters; ++n) {
            disturb(n);
            m_fleet.start(n);
        }
        return;
    case 1:
        return injectNodeFault(m_random.below(m_voters));
    case 2:
    case 3:
        return injectNodeFault(randomEntry());
    case 4:
        return cutLinks();
    default:
        m_fleet.loss = m_random.chance(0.3) ? 0.1 : 0;
        if (m_fleet.loss > 0)
            ++m_result.faults["loss"];
        std::fill(m_disturbedAt.begin(), m_disturbedAt.end(), m_fleet.now);
    }
}

void FaultSchedule::recoverAll()
{
    m_fleet.loss = 0;
    for (size_t n = 0; n < m_fleet.nodes.size(); ++n) {
        m_fleet.isolate(n, false);
        if (!m_fleet.nodes[n].node || m_fleet.nodes[n].frozen)
            disturb(n);
        if (!m_fleet.nodes[n].node)
            m_fleet.start(n);
        else if (m_fleet.nodes[n].frozen)
            m_fleet.thaw(n);
    }
}

}
