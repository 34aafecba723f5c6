#pragma once

#include "base/Ids.h"
#include "base/Random.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// Share of a model's traffic that goes to one version, as rules and open moves give it.
struct VersionShare {
    std::string model;
    std::string version;
    std::string route; ///< Empty: every route without an entry of its own.
    double share = 1; ///< 0 to 1.
    /// When set, only this upstream gets the version's calls, in phases in which its load equals that of the others.
    /// The version's share of all calls still stays under `share`.
    UpstreamId fullLoadUpstream;
};

/// Sets aside for a version what its share allows and has not used yet.
struct ShareCredit {
    std::string version;
    double calls = 0;
};

struct VersionSplit {
    std::vector<VersionShare> shares;
    std::vector<ShareCredit> credits; ///< One for each entry of `shares`.
};

/// Period of the full-load phases. All nodes share it, so that their phases coincide.
constexpr TimeMs fullLoadPeriod { 20000 };

void setShares(VersionSplit&, std::vector<VersionShare>);

/// The version for the next call and the upstream bound to it, if any.
struct VersionPick {
    std::string_view version; ///< Empty: any version.
    UpstreamId fullLoadUpstream;
};

/// True if the model has shares; versions without one then get no calls.
bool hasShares(const VersionSplit&, std::string_view model);

/// True if calls of the route may go to the version when the picked one has no upstream: it has a share and is not held to
/// one upstream.
bool isFallbackVersion(const VersionSplit&, std::string_view model, std::string_view route, std::string_view version);

/// Picks a version of the model. `poolSize` is the number of upstreams that take work of the model; `sharedNow` is a time
/// that the nodes agree on to about a second.
VersionPick pickVersion(VersionSplit&, std::string_view model, std::string_view route, uint32_t poolSize, TimeMs sharedNow, Random&);

}
