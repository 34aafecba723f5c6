#pragma once

#include "FleetFixture.h"

#include "api/AnnouncementJson.h"
#include "node/ForwardFlow.h"

namespace siskinshunt {

/// Shortest time within which a leaving upstream must get no further requests, on any deployment.
constexpr TimeMs drainBound { 2000 };
/// Shortest time after its acknowledgement within which a configuration must be in force, on any deployment.
constexpr TimeMs configurationBound { 2000 };

/// A fleet whose first nodes have a data folder and serve the control calls; all others are entry nodes.
struct EntryFleet {
    EntryFleet(int entries, int controls, int upstreams, NodeFleetOptions options = {})
        : fleet(optionsFor(entries, controls, std::move(options)))
        , controls(static_cast<size_t>(controls))
    {
        for (int n = 0; n < upstreams; ++n)
            fleet.addUpstream("desk-" + std::to_string(n), UpstreamKind::Service, "hire-desk", "lhr-depot");
        BOOST_REQUIRE(fleet.startCluster());
        BOOST_REQUIRE(fleet.runUntil([&] { return unaware("desk-0").size() == fleet.nodes.size() - this->controls; }, 20_s));
        fleet.runFor(5_s);
    }

    static NodeFleetOptions optionsFor(int entries, int controls, NodeFleetOptions options)
    {
        options.nodes = controls + entries;
        options.voters = std::min(controls, 7);
        options.disks = controls;
        options.ledgerGroups = 0;
        options.forwards = true;
        options.announceNodes = static_cast<size_t>(controls);
        options.dialect = makeFleetDialect();
        return options;
    }

    /// Entry nodes that would still send to the upstream.
    std::vector<std::string> unaware(const std::string& name)
    {
        std::vector<std::string> out;
        for (size_t n = controls; n < fleet.nodes.size(); ++n) {
            const auto& node = fleet.nodes[n].node;
            const ForwardTarget* target = node ? findTarget(node->forward.targets, idOfName<UpstreamId>(name)) : nullptr;
            if (target && !target->leaving)
                out.push_back(fleet.nodes[n].settings.node);
        }
        return out;
    }

    /// Status of the announcement's answer; 0 if there is none within a second, after which upstreams try another node.
    uint16_t announceAt(size_t node, const Announcement& announced)
    {
        const auto call = fleet.post(node, { "POST", "/", {}, toJson(announced) }, ListenerKind::Control);
        fleet.runUntil([&] { return fleet.caller(call).done; }, 1_s);
        return fleet.caller(call).done ? fleet.caller(call).status : uint16_t {};
    }

    /// Announces that the upstream leaves, at one voter after the other until one acknowledges it, as upstreams do.
    void leave(const std::string& name)
    {
        auto& announced = fleet.upstream(name).announced;
        announced.leaving = true;
        ++announced.sequence;
        for (size_t n = 0; n < 3 * controls; ++n) {
            if (announceAt(n % controls, announced) == 200)
                return;
        }
        BOOST_FAIL("no voter has acknowledged that the upstream leaves");
    }

    void checkAllAware(const std::string& name)
    {
        fleet.runFor(drainBound - 100_ms);
        const auto left = unaware(name);
        BOOST_CHECK_MESSAGE(left.empty(), left.size() << " entry nodes still send to " << name << ", among them " << (left.empty() ? "" : left.front()));
    }

    /// Sends a configuration to one control node after the other until one acknowledges it, as operators do.
    void configure(uint64_t number, const std::string& rules)
    {
        for (size_t n = 0; n < 3 * controls; ++n) {
            const auto call = fleet.putConfiguration((number + n) % controls, number, rules);
            fleet.runUntil([&] { return fleet.caller(call).done; }, 1500_ms);
            if (fleet.caller(call).done && fleet.caller(call).status == 200)
                return;
        }
        BOOST_FAIL("no control node has acknowledged configuration " << number);
    }

    /// Entry nodes on which an older rules revision is in force.
    std::vector<std::string> behind(uint64_t revision)
    {
        std::vector<std::string> out;
        for (size_t n = controls; n < fleet.nodes.size(); ++n) {
            const auto& node = fleet.nodes[n].node;
            if (node && (!node->rules || node->rules->revision < revision))
                out.push_back(fleet.nodes[n].settings.node);
        }
        return out;
    }

    void checkInForce(uint64_t revision)
    {
        const auto left = behind(revision);
        BOOST_CHECK_MESSAGE(left.empty(), left.size() << " entry nodes lack revision " << revision << ", among them " << (left.empty() ? "" : left.front()));
    }

    NodeFleet fleet;
    size_t controls; ///< Nodes with a data folder, the first ones; they serve the control calls.
};

}
