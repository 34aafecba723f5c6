#pragma once

#include "base/EnumNames.h"
#include "base/Random.h"
#include "forward/ForwardTarget.h"
#include "forward/PrefillEstimator.h"
#include "forward/PromptParts.h"
#include "forward/Regions.h"
#include "forward/RequestCost.h"

#include <functional>
#include <optional>

namespace siskinshunt {

/// Parameters for choosing a target.
struct ChoiceOptions {
    std::string domain; ///< This node's failure domain, which is preferred.
    /// Cost of a target in another failure domain as a fraction of a slot, because traffic between domains is charged.
    double crossDomainPenalty = 0.05;
    /// Range of the random part of an engine's cost. Without it, nodes with the same reports would all choose the same
    /// engine until the next reports. It grows with the number of nodes.
    double jitterMs = 0;
    PrefillEstimator prefillEstimator; ///< Updated from observations while running.
    RequestCosts costs; ///< The same.
    /// A target that was not seen for longer is chosen only if there is no healthy one. As UpstreamTableOptions::noNewWorkAfter,
    /// so that a target counts as stale as soon as its last observer withdraws its observation.
    TimeMs staleAfter { 3000 };
};

/// One request that needs a target.
struct ChoiceRequest {
    std::string_view backend;
    std::vector<PromptPart> parts;
    uint32_t promptTokens = 0;
    int urgency = urgencyLevels - 1;
    std::vector<UpstreamId> tried; ///< Excluded.
    bool triesUnreached = false; ///< Prefers targets that were not reached lately.
    std::function<bool(const ForwardTarget&)> allowed; ///< Filter by version; null accepts all targets.
    const AllowedRegions* regions = nullptr; ///< Targets elsewhere are excluded; null: the request is bound to none.
};

/// Range of the random part of the cost for this number of entry nodes; 0 while they report to each other directly.
double costJitterMs(size_t nodes);

struct TargetChoice {
    UpstreamId target;
    double waitMs = 0; ///< Expected time to the first event; 0 unless the target is an engine.
    double prefillTokens = 0; ///< Prompt tokens of the request that the target has to prefill, as equivalent tokens of a plain prompt.
    PrefillWork prefill; ///< The same, as they are.
    double tokensBeforeFirstEvent = 0; ///< The same, including those of other requests before it.
    double backlogMs = 0; ///< Share of the wait that other requests cause.
};

/// Returns the target with the lowest cost, or nothing if there is none. Targets that are backed off or stale are chosen
/// only if there is no healthy one.
std::optional<TargetChoice> chooseTarget(const ForwardTargets&, const PromptPartIndex&, const ChoiceOptions&, const ChoiceRequest&, TimeMs now, Random&);
/// Why a target gets no new requests of this node.
enum class TargetExclusion : uint8_t {
    None,
    Leaving,
    Evacuated, ///< Its failure domain gets no new requests.
    Paused, ///< It has refused a request and wants none before some time.
    OverLimit, ///< It takes no more requests of this node now.
    NoPlace, ///< It is brittle, and this node has no further place there.
    AddressTaken,
    Misdirected,
    Tried,
    NotAllowed, ///< By its version.
    Region, ///< It is not in a region that the request may use.
};

template <>
inline constexpr auto enumNames<TargetExclusion> = std::to_array<EnumName<TargetExclusion>>({
    { TargetExclusion::None, "-" },
    { TargetExclusion::Leaving, "leaving" },
    { TargetExclusion::Evacuated, "evacuated" },
    { TargetExclusion::Paused, "paused" },
    { TargetExclusion::OverLimit, "over_limit" },
    { TargetExclusion::NoPlace, "no_place" },
    { TargetExclusion::AddressTaken, "address_taken" },
    { TargetExclusion::Misdirected, "misdirected" },
    { TargetExclusion::Tried, "tried" },
    { TargetExclusion::NotAllowed, "version" },
    { TargetExclusion::Region, "region" },
});

/// A target as chooseTarget() sees it.
struct TargetExplanation {
    TargetExclusion exclusion = TargetExclusion::None;
    bool healthy = false; ///< Neither backed off nor stale.
    double cost = 0; ///< The lowest one is chosen; for engines in milliseconds.
    TargetChoice choice;
};

/// All targets of the backend, in the order of their ids. The random parts of the costs are those of the next choice.
std::vector<TargetExplanation> explainTargets(const ForwardTargets&, const PromptPartIndex&, const ChoiceOptions&, const ChoiceRequest&, TimeMs now, Random);
/// Time until the first of the targets that take no more requests of this node now, because of the limits or pauses that they
/// name, takes another one; none if there is no such target. `regions`: as in ChoiceRequest.
std::optional<TimeMs> timeUntilTarget(const ForwardTargets&, const std::string& backend, TimeMs now, const AllowedRegions* regions = nullptr);
/// Whether any target that was not tried yet is healthy.
bool hasHealthyTarget(const ForwardTargets&, const ChoiceOptions&, const ChoiceRequest&, TimeMs now);

}
