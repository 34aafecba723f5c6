#include "soak/FaultSchedule.h"

#include <algorithm>

namespace siskinshunt {

static constexpr TimeMs contactTime { 3000 }; ///< Without a disturbance for this long, a node is in touch.

FaultSchedule::FaultSchedule(uint64_t seed, NodeFleetOptions (*makeOptions)(Random&, uint64_t seed))
    : random(seed)
    , fleet(makeOptions(random, seed))
{
    voters = fleet.options.announceNodes;
    disturbedAt.resize(fleet.nodes.size());
}

void FaultSchedule::fail(const std::string& text)
{
    if (result.violation.empty())
        result.violation = text + " at " + std::to_string(fleet.now.value % 10000000) + " ms";
}

bool FaultSchedule::start(const std::string& rules)
{
    if (!fleet.startCluster()) {
        fail("the fleet did not start");
        return false;
    }
    const auto applied = fleet.apply(0, "forwards", 1, rules, "omar");
    if (fleet.runUntil([&] { return fleet.caller(applied).done && fleet.agreeOnRevision(2); }, 15_s))
        return true;
    fail("the rules are not in force");
    return false;
}

bool FaultSchedule::isInTouch(size_t node) const
{
    const TimeMs since = fleet.now - contactTime;
    if (!fleet.nodes[node].node || fleet.nodes[node].frozen || disturbedAt[node] > since || coreDisturbedAt > since || fleet.loss > 0)
        return false;
    for (size_t n = 0; n < voters; ++n) {
        if (n != node && (!fleet.nodes[n].node || fleet.nodes[n].frozen || fleet.blockedLinks[n][node] || fleet.blockedLinks[node][n]))
            return false;
    }
    return true;
}

void FaultSchedule::disturb(size_t node)
{
    disturbedAt[node] = fleet.now;
    if (isVoter(node))
        coreDisturbedAt = fleet.now;
}

void FaultSchedule::injectNodeFault(size_t n)
{
    auto& node = fleet.nodes[n];
    disturb(n);
    if (!node.node)
        return fleet.start(n);
    if (node.frozen)
        return fleet.thaw(n);
    if (random.chance(0.7)) {
        ++result.faults["kill"];
        fleet.kill(n, false);
    } else {
        ++result.faults["freeze"];
        fleet.freeze(n);
    }
}

void FaultSchedule::cutLinks()
{
    const size_t entry = randomEntry();
    const size_t voter = random.below(voters);
    const bool blocked = random.chance(0.5);
    ++result.faults[blocked ? "cut" : "cut healed"];
    for (const size_t n : { entry, voter })
        disturbedAt[n] = fleet.now;
    fleet.setLinkBlocked(entry, voter, blocked);
    if (random.chance(0.5) || !blocked)
        fleet.setLinkBlocked(voter, entry, blocked);
}

void FaultSchedule::injectFault()
{
    switch (random.below(6)) {
    case 0:
        ++result.faults["all voters killed"];
        for (size_t n = 0; n < voters; ++n) {
            disturb(n);
            if (fleet.nodes[n].node)
                fleet.kill(n, false);
        }
        fleet.runFor(TimeMs { random.between(100, 800) });
        for (size_t n = 0; n < voters; ++n) {
            disturb(n);
            fleet.start(n);
        }
        return;
    case 1:
        return injectNodeFault(random.below(voters));
    case 2:
    case 3:
        return injectNodeFault(randomEntry());
    case 4:
        return cutLinks();
    default:
        fleet.loss = random.chance(0.3) ? 0.1 : 0;
        if (fleet.loss > 0)
            ++result.faults["loss"];
        std::fill(disturbedAt.begin(), disturbedAt.end(), fleet.now);
    }
}

void FaultSchedule::recoverAll()
{
    fleet.loss = 0;
    for (size_t n = 0; n < fleet.nodes.size(); ++n) {
        fleet.isolate(n, false);
        if (!fleet.nodes[n].node || fleet.nodes[n].frozen)
            disturb(n);
        if (!fleet.nodes[n].node)
            fleet.start(n);
        else if (fleet.nodes[n].frozen)
            fleet.thaw(n);
    }
}

}
