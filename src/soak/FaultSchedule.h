#pragma once

#include "soak/NodeFleet.h"
#include "soak/Soak.h"

namespace siskinshunt {

/// Base of randomised schedules of a fleet whose nodes fail: voters, which are the first nodes, and entry nodes.
class FaultSchedule {
protected:
    /// Faults come at the start of each cycle; the rest of it is a quiet span in which all rules bind.
    static constexpr int cycleSteps = 50;
    static constexpr int faultSteps = 12;

    FaultSchedule(uint64_t seed, NodeFleetOptions (*makeOptions)(Random&, uint64_t seed));

    bool isVoter(size_t node) const { return node < m_voters; }
    size_t randomEntry() { return m_voters + m_random.below(m_fleet.nodes.size() - m_voters); }
    /// Whether the node and all voters have run undisturbed for some time, with links in both directions.
    bool isInTouch(size_t node) const;
    void disturb(size_t node);
    void injectFault();
    /// Ends all faults.
    void recoverAll();
    /// Records a violation; the first one counts.
    void fail(const std::string&);

    Random m_random;
    size_t m_voters = 0;
    NodeFleet m_fleet;
    SoakResult m_result;
    std::vector<TimeMs> m_disturbedAt; ///< By node: last disturbance.
    TimeMs m_coreDisturbedAt;

private:
    void injectNodeFault(size_t node);
    void cutLinks();
};

}
