#pragma once

#include "base/EnumNames.h"
#include "limits/Lease.h"
#include "limits/TokenBucket.h"
#include "rules/RuleSet.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

enum class LimitVerdict : uint8_t {
    Admitted,
    OverRate,
    OverConcurrent,
    OverTokens,
};

template <>
inline constexpr auto enumNames<LimitVerdict> = std::to_array<EnumName<LimitVerdict>>({
    { LimitVerdict::Admitted, "admitted" },
    { LimitVerdict::OverRate, "over_rate" },
    { LimitVerdict::OverConcurrent, "over_concurrent" },
    { LimitVerdict::OverTokens, "over_tokens" },
});

/// State of one limit rule for one account and class at this node.
struct LimitState {
    LimitKey key;
    size_t rule = 0; ///< Index into the rules.
    LeaseHolder lease;
    TokenBucket requests;
    TokenBucket tokens;
    uint32_t inFlight = 0;
    uint32_t peakInFlight = 0; ///< Since the last lease request, with a refused call.
    double tokenDemand = 0; ///< Since the last lease request.
    double tokensPerSecond = 0; ///< Smoothed.
    TimeMs lastUsed;
};

/// Limits of one node. A rule with `*` applies to each account, or class, on its own.
struct Limiter {
    std::vector<LimitRule> rules;
    LeaseOptions leases;
    uint32_t nodes = 1; ///< Live nodes by membership.
    std::map<LimitKey, LimitState> states;
};

struct LimitDecision {
    LimitVerdict verdict = LimitVerdict::Admitted;
    TimeMs retryAfter; ///< Of a refusal: earliest instant at which the limit can admit the call, as a duration.
    size_t rule = 0; ///< Index of the rule that refused.
};

/// Replaces the rules. Counts of calls in flight of unchanged keys are kept.
void setLimits(Limiter&, std::vector<LimitRule>, TimeMs now);

/// Takes from every limit that applies to the account and class, or from none.
LimitDecision admitCall(Limiter&, std::string_view account, std::string_view className, uint32_t promptTokens, TimeMs now);

/// Ends an admitted call and charges the tokens of its answer.
void finishCall(Limiter&, std::string_view account, std::string_view className, uint32_t outputTokens, TimeMs now);

/// Lease requests that are due.
std::vector<LeaseRequest> leaseRequests(Limiter&, NodeId self, TimeMs now);

void handleLeaseGrant(Limiter&, const LeaseGrant&, TimeMs now);

}
