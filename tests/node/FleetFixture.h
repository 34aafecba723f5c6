#pragma once

#include "node/NodeState.h"
#include "soak/NodeFleet.h"

#include <boost/test/unit_test.hpp>

namespace siskinshunt {

/// Creates a fleet with three voters, two services of the pool "hire-desk" and three engines of the model "sound-plan".
inline std::unique_ptr<NodeFleet> makeFleet(const NodeFleetOptions& options = {})
{
    auto fleet = std::make_unique<NodeFleet>(options);
    fleet->addUpstream("desk-0", UpstreamKind::Service, "hire-desk", "lhr-depot");
    fleet->addUpstream("desk-1", UpstreamKind::Service, "hire-desk", "lhr-gulberg");
    fleet->addUpstream("runner-0", UpstreamKind::Engine, "sound-plan", "lhr-depot");
    fleet->addUpstream("runner-1", UpstreamKind::Engine, "sound-plan", "lhr-gulberg");
    fleet->addUpstream("runner-2", UpstreamKind::Engine, "sound-plan", "lhr-shahdara");
    BOOST_REQUIRE(fleet->startCluster());
    fleet->runFor(2_s);
    return fleet;
}

inline bool waitFor(NodeFleet& fleet, uint64_t caller, TimeMs limit)
{
    return fleet.runUntil([&] { return fleet.caller(caller).done; }, limit);
}

inline std::string runStatusOf(const NodeFleet::Caller& caller)
{
    const std::string header(findHeader(caller.headers, headers::run));
    return header.empty() ? NodeFleet::member(caller, "run") : header;
}

/// Checks the invariants that hold after every test: no recorded violations, and no idempotency key ran more than once.
inline void checkFleet(const NodeFleet& fleet)
{
    for (const auto& text : fleet.violations)
        BOOST_ERROR(text);
    for (const auto& [key, run] : fleet.runs)
        BOOST_CHECK_MESSAGE(run.count <= 1, "key " << key << " ran " << run.count << " times");
}

}
