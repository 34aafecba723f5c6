#include "node/Founding.h"

#include "node/Groups.h"

#include <algorithm>

namespace siskinshunt {

// Without some seed after this time, the group is founded by those that are there, if they are more than half.
static constexpr TimeMs patience { 3000 };

void tickFounding(Node& node)
{
    const auto& settings = node.options.settings;
    if (!settings.voters.bootstrap || node.groups.empty() || settings.seeds.empty() || hasGroups(node))
        return;
    // The same seeds stand in the settings of every node at the first start, so the first of them is one node.
    const auto first = std::min_element(settings.seeds.begin(), settings.seeds.end());
    if (*first != settings.peer)
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
    const bool all = names.size() == settings.seeds.size();
    const bool most = names.size() * 2 > settings.seeds.size() && node.now - node.options.startedAtUtc > patience;
    if (!all && !most)
        return;
    handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(bootstrapGroups(node, names));
            addLog(node, LogLevel::Info, "groups_founded", Step::Propose, {}, "the seeds are the first voters", { { "voters", std::to_string(names.size()) } });
            return true;
        },
        [&](const Error& error) {
            addLog(node, LogLevel::Error, "founding_failed", Step::Propose, error.peer, error.detail);
            return false;
        });
}

}
