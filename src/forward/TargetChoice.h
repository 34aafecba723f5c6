#pragma once

#include "base/Random.h"
#include "forward/PrefillEstimator.h"
#include "forward/ForwardTarget.h"
#include "forward/PromptParts.h"

#include <functional>
#include <optional>

namespace siskinshunt {

/// What the choice of a target goes by.
struct ChoiceOptions {
    std::string domain; ///< This node's failure domain, which is preferred.
    /// Share of a slot's worth that another failure domain costs: bytes between domains have a price.
    double crossDomainPenalty = 0.05;
    /// Random part of an engine's cost, in ms. Nodes that see the same reports would all send to the same engine until the
    /// next ones; it grows with their number.
    double jitterMs = 0;
    PrefillEstimator prefillEstimator; ///< Learnt while running.
    TimeMs staleAfter { 6000 }; ///< A target that has been silent for longer is chosen only if all are.
};

/// One request that needs a target.
struct ChoiceRequest {
    std::string_view backend;
    std::vector<PromptPart> parts;
    uint32_t promptTokens = 0;
    int urgency = urgencyLevels - 1;
    std::vector<UpstreamId> tried; ///< Left out.
    std::function<bool(const ForwardTarget&)> allowed; ///< By version; null: all.
};

/// Random part of the cost for this number of entry nodes: none while they report to each other directly.
double costJitterMs(size_t nodes);

struct TargetChoice {
    UpstreamId target;
    double waitMs = 0; ///< Expected time to the first event; 0 for targets that are no engines.
    double prefillTokens = 0; ///< Prompt tokens that the target has to read.
    double tokensBeforeFirstEvent = 0; ///< Prompt tokens that it has to read before the first event, those of other requests included.
    double backlogMs = 0; ///< The part of the wait that other requests cause.
};

/// The best target for the request, or nothing when there is none at all. Targets that failed lately or fell silent are
/// taken only when no other is left.
std::optional<TargetChoice> chooseTarget(const ForwardTargets&, const PromptPartIndex&, const ChoiceOptions&, const ChoiceRequest&, TimeMs now, Random&);

}
