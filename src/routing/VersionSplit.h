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

/// Share of a model's traffic that goes to one version, as set by rules and by version moves in progress.
struct VersionShare {
    std::string model;
    std::string version;
    std::string route; ///< Empty: applies to every route that has no shares of its own.
    double share = 1; ///< From 0 to 1.
    /// If set, only this upstream receives the version's calls, in phases during which it carries the same load as the other
    /// upstreams. The version's share of all calls still stays below `share`.
    UpstreamId fullLoadUpstream;
};

/// Calls that a version's share allows and that have not been sent yet.
struct ShareCredit {
    std::string version;
    double calls = 0;
};

struct VersionSplit {
    std::vector<VersionShare> shares;
    std::vector<ShareCredit> credits; ///< One per entry of `shares`.
};

/// Period of the full-load phases. It is the same on all nodes, so that their phases coincide.
constexpr TimeMs fullLoadPeriod { 20000 };

void setShares(VersionSplit&, std::vector<VersionShare>);

/// The version for the next call and the only upstream that can serve it, if the version is bound to one.
struct VersionPick {
    std::string_view version; ///< Empty: any version.
    UpstreamId fullLoadUpstream;
};

/// True if the model has shares; versions without a share then receive no calls.
bool hasShares(const VersionSplit&, std::string_view model);

/// True if calls of the route can go to the version when the picked one has no upstream: it has a share and is not bound
/// to a single upstream.
bool isFallbackVersion(const VersionSplit&, std::string_view model, std::string_view route, std::string_view version);

/// Picks a version of the model. `poolSize` is the number of upstreams of the model that accept work; `sharedNow` is a
/// clock on which the nodes agree to within about a second.
VersionPick pickVersion(VersionSplit&, std::string_view model, std::string_view route, uint32_t poolSize, TimeMs sharedNow, Random&);

}
