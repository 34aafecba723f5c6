#include "node/RegionFlow.h"

#include "node/Answers.h"
#include "node/ForwardFlow.h"

#include <algorithm>

namespace siskinshunt {

// Upstreams announce their failure domains themselves, so the number of names is not bounded by the deployment.
static constexpr size_t maxLoggedDomains = 64;
// The constraints change only with the rules.
static constexpr TimeMs noRegionRetryAfter { 5000 };

DomainRegions regionsOfSettings(const Settings& settings)
{
    DomainRegions out = settings.regions;
    if (!settings.region.empty())
        out.try_emplace(settings.failureDomain, settings.region);
    return out;
}

static bool namesRegions(const Node& node)
{
    return node.forward.routes && namesRegions(node.forward.routes->regions);
}

std::string regionOfDomain(Node& node, const std::string& domain)
{
    auto& state = node.forward.regions;
    const auto region = regionOf(state.byDomain, domain);
    if (region.empty() && namesRegions(node) && state.unknown.size() < maxLoggedDomains && state.unknown.insert(domain).second)
        addLog(node, LogLevel::Warning, "region_unknown", Step::Route, domain, "the settings name no region of the failure domain: it counts as outside every region");
    return std::string(region);
}

static void checkRegionNames(Node& node, const std::vector<RegionsRule>& rules)
{
    const auto& byDomain = node.forward.regions.byDomain;
    for (const auto& rule : rules) {
        for (const auto& name : rule.allowed) {
            const bool mapped = std::any_of(byDomain.begin(), byDomain.end(), [&](const auto& it) { return it.second == name; });
            if (!mapped)
                addLog(node, LogLevel::Warning, "region_not_mapped", Step::Route, name, "a rule names a region that no failure domain of the settings is in",
                    { { "rule_line", std::to_string(rule.origin.line) }, { "name", rule.name } });
        }
    }
}

void checkRegionRules(Node& node)
{
    node.forward.regions.unknown.clear();
    if (!namesRegions(node))
        return;
    checkRegionNames(node, node.rules->routeRegions);
    checkRegionNames(node, node.rules->accountRegions);
    for (const auto& [id, target] : node.forward.targets.entries)
        regionOfDomain(node, target.domain);
}

bool mayRelayTo(Node& node, const ForwardCall& call, NodeId id)
{
    if (!call.regions.restricted)
        return true;
    const Member* member = findMember(node.membership, id);
    return member && allowsRegion(call.regions, regionOfDomain(node, member->identity.domain));
}

bool refuseWithoutRegion(Node& node, ForwardCall& call)
{
    if (!call.regions.restricted)
        return false;
    node.counters.add("forward_bound_to_regions");
    if (!allowsNoRegion(call.regions))
        return false;
    node.counters.add("forward_without_region");
    refuseForward(node, call, 503, "no_upstream", "the route and the account allow no common region", noRegionRetryAfter);
    return true;
}

static std::string clientRegion(Node& node, const EntriesCall& call)
{
    const auto region = regionOf(node.forward.regions.byDomain, call.domain);
    return region.empty() ? call.region : std::string(region);
}

void keepEntriesInRegions(Node& node, const EntriesCall& call, std::vector<NodeId>& entries)
{
    if (!namesRegions(node))
        return;
    const HostRegions host = regionsOfHost(*node.forward.routes->rules, node.forward.routes->regions, call.host);
    if (!host.common.restricted)
        return;
    std::vector<std::string> regions;
    for (const NodeId id : entries) {
        const Member* member = findMember(node.membership, id);
        regions.push_back(member ? regionOfDomain(node, member->identity.domain) : std::string {});
    }
    const AllowedRegions allowed = directoryRegions(host, clientRegion(node, call), { regions.begin(), regions.end() });
    node.counters.add(allowed.restricted ? "directory_bound_to_regions" : "directory_outside_regions");
    size_t n = 0;
    std::erase_if(entries, [&](NodeId) { return !allowsRegion(allowed, regions[n++]); });
}

}
