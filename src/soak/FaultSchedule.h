#pragma once

#include "soak/NodeFleet.h"
#include "soak/Soak.h"

namespace siskinshunt {

/// Base of randomised schedules of a fleet whose nodes fail: voters, which are the first nodes, and entry nodes.
struct FaultSchedule {
    /// Faults come at the start of each cycle; the rest of it is a quiet span in which all rules bind.
    static constexpr int cycleSteps = 50;
    static constexpr int faultSteps = 12;

    FaultSchedule(uint64_t seed, NodeFleetOptions (*makeOptions)(Random&, uint64_t seed));

    /// Starts the fleet and applies the rules; records a violation and returns false if they are not in force in time.
    bool start(const std::string& rules);
    bool isVoter(size_t node) const { return node < voters; }
    size_t randomEntry() { return voters + random.below(fleet.nodes.size() - voters); }
    /// Whether the node and all voters have run undisturbed for some time, with links in both directions.
    bool isInTouch(size_t node) const;
    void disturb(size_t node);
    void injectFault();
    /// Ends all faults.
    void recoverAll();
    /// Records a violation; the first one counts.
    void fail(const std::string&);

    Random random;
    size_t voters = 0;
    NodeFleet fleet;
    SoakResult result;
    std::vector<TimeMs> disturbedAt; ///< By node: last disturbance.
    TimeMs coreDisturbedAt;

    void injectNodeFault(size_t node);
    void cutLinks();
};

}
