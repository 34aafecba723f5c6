#pragma once

#include "rules/RuleSet.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// Region of each failure domain.
using DomainRegions = std::map<std::string, std::string, std::less<>>;

/// The region of the domain; empty if it is unknown.
std::string_view regionOf(const DomainRegions&, std::string_view domain);

/// The regions that a request may use.
struct AllowedRegions {
    bool restricted = false; ///< False: all regions, also unknown ones.
    std::vector<std::string> names; ///< Sorted, without duplicates.

    bool operator==(const AllowedRegions&) const = default;
};

AllowedRegions makeAllowedRegions(std::vector<std::string> names);
/// Whether the region may be used. An unknown region, which is empty, is outside every restriction.
bool allowsRegion(const AllowedRegions&, std::string_view region);
/// Whether no region is left.
bool allowsNoRegion(const AllowedRegions&);
/// The regions that both allow.
AllowedRegions intersectRegions(const AllowedRegions&, const AllowedRegions&);

/// The region constraints of one rule set.
struct RegionRules {
    std::map<std::string, AllowedRegions, std::less<>> byRoute;
    std::map<std::string, AllowedRegions, std::less<>> byAccount;
};

RegionRules makeRegionRules(const RuleSet&);
bool namesRegions(const RegionRules&);
/// The regions for a request of the account, which can be empty, on the route.
AllowedRegions allowedRegions(const RegionRules&, std::string_view route, std::string_view account);

/// The constraints of the routes of one host. Routes that name no region are ignored.
struct HostRegions {
    AllowedRegions common; ///< Allowed by all these routes.
    AllowedRegions named; ///< Allowed by at least one of them.
};

HostRegions regionsOfHost(const RuleSet&, const RegionRules&, std::string_view host);

/// The regions whose entry nodes a client of the host is told. These are the regions that all bound routes of the host allow, or else those that one of
/// them allows, together with the client's own region; all regions if none of `present`, the regions of the entry nodes, is among them.
AllowedRegions directoryRegions(const HostRegions&, std::string_view clientRegion, const std::vector<std::string_view>& present);

}
