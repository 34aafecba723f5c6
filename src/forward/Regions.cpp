#include "forward/Regions.h"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace siskinshunt {

std::string_view regionOf(const DomainRegions& regions, std::string_view domain)
{
    const auto it = regions.find(domain);
    return it == regions.end() ? std::string_view {} : std::string_view(it->second);
}

AllowedRegions makeAllowedRegions(std::vector<std::string> names)
{
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return { .restricted = true, .names = std::move(names) };
}

bool allowsRegion(const AllowedRegions& allowed, std::string_view region)
{
    if (!allowed.restricted)
        return true;
    return !region.empty() && std::binary_search(allowed.names.begin(), allowed.names.end(), region);
}

bool allowsNoRegion(const AllowedRegions& allowed)
{
    return allowed.restricted && allowed.names.empty();
}

AllowedRegions intersectRegions(const AllowedRegions& a, const AllowedRegions& b)
{
    if (!a.restricted)
        return b;
    if (!b.restricted)
        return a;
    AllowedRegions out { .restricted = true, .names = {} };
    std::set_intersection(a.names.begin(), a.names.end(), b.names.begin(), b.names.end(), std::back_inserter(out.names));
    return out;
}

static std::map<std::string, AllowedRegions, std::less<>> allowedByName(const std::vector<RegionsRule>& rules)
{
    std::map<std::string, AllowedRegions, std::less<>> out;
    for (const auto& rule : rules)
        out[rule.name] = makeAllowedRegions(rule.allowed);
    return out;
}

RegionRules makeRegionRules(const RuleSet& rules)
{
    return { .byRoute = allowedByName(rules.routeRegions), .byAccount = allowedByName(rules.accountRegions) };
}

bool namesRegions(const RegionRules& rules)
{
    return !rules.byRoute.empty() || !rules.byAccount.empty();
}

AllowedRegions allowedRegions(const RegionRules& rules, std::string_view route, std::string_view account)
{
    const auto ofRoute = rules.byRoute.find(route);
    const auto ofAccount = rules.byAccount.find(account);
    return intersectRegions(ofRoute == rules.byRoute.end() ? AllowedRegions {} : ofRoute->second, ofAccount == rules.byAccount.end() ? AllowedRegions {} : ofAccount->second);
}

static bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

HostRegions regionsOfHost(const RuleSet& rules, const RegionRules& regions, std::string_view host)
{
    if (const auto colon = host.rfind(':'); colon != std::string_view::npos)
        host = host.substr(0, colon);
    HostRegions out;
    std::vector<std::string> named;
    // Most rule sets name no region, and configurations can have thousands of routes.
    if (regions.byRoute.empty())
        return out;
    for (const auto& forward : rules.forwards) {
        const auto it = regions.byRoute.find(forward.name);
        if (it == regions.byRoute.end() || !equalIgnoringCase(forward.host, host))
            continue;
        out.common = intersectRegions(out.common, it->second);
        named.insert(named.end(), it->second.names.begin(), it->second.names.end());
    }
    if (out.common.restricted)
        out.named = makeAllowedRegions(std::move(named));
    return out;
}

static AllowedRegions withRegion(AllowedRegions allowed, std::string_view region)
{
    if (!region.empty())
        allowed.names.emplace_back(region);
    return makeAllowedRegions(std::move(allowed.names));
}

AllowedRegions directoryRegions(const HostRegions& host, std::string_view clientRegion, const std::vector<std::string_view>& present)
{
    if (!host.common.restricted)
        return {};
    for (const AllowedRegions* allowed : { &host.common, &host.named }) {
        AllowedRegions out = withRegion(*allowed, clientRegion);
        if (std::any_of(present.begin(), present.end(), [&](std::string_view region) { return allowsRegion(out, region); }))
            return out;
    }
    return {};
}

}
