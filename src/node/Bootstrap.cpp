#include "node/Bootstrap.h"

#include "node/Groups.h"

#include <algorithm>

namespace siskinshunt {

// If seeds are missing after this time, the groups are bootstrapped with the live ones, provided they are a majority.
static constexpr TimeMs seedTimeout { 3000 };

void tickBootstrap(Node& node)
{
    const auto& settings = node.options.settings;
    if (!settings.voters.bootstrap || node.groups.empty() || settings.seeds.empty() || hasGroups(node))
        return;
    // All nodes have the same seeds in their settings at the first start, so they agree on the smallest address.
    const auto bootstrapSeed = std::min_element(settings.seeds.begin(), settings.seeds.end());
    if (*bootstrapSeed != settings.peer)
        return;
    std::vector<std::string> names;
    for (const auto& seed : settings.seeds) {
        if (seed == settings.peer)
            names.push_back(settings.node);
        for (const auto& [id, member] : node.membership.members) {
            if (member.identity.udpAddress == toString(seed) && member.status.voter && isAlive(node.membership, id))
                names.push_back(member.identity.name);
        }
    }
    const bool allAlive = names.size() == settings.seeds.size();
    const bool majorityAlive = names.size() * 2 > settings.seeds.size() && node.now - node.options.startedAtUtc > seedTimeout;
    if (!allAlive && !majorityAlive)
        return;
    handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(bootstrapGroups(node, names));
            addLog(node, LogLevel::Info, "groups_founded", Step::Propose, {}, "bootstrapped the groups with the live seeds as voters", { { "voters", std::to_string(names.size()) } });
            return true;
        },
        [&](const Error& error) {
            addLog(node, LogLevel::Error, "founding_failed", Step::Propose, error.peer, error.detail);
            return false;
        });
}

}
