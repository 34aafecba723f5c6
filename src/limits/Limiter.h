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

/// State at this node of one limit rule for one account and class.
struct LimitState {
    LimitKey key;
    size_t rule = 0; ///< Index into the rules.
    LeaseHolder lease;
    TokenBucket requests;
    TokenBucket tokens;
    uint32_t inFlight = 0;
    uint32_t peakInFlight = 0; ///< Peak since the last lease request, counting refused calls as one more.
    double tokenDemand = 0; ///< Tokens of calls, admitted or not, since the last lease request.
    double tokensPerSecond = 0; ///< Smoothed token demand.
    TimeMs lastUsed;
};

/// Limits of one node. A rule with `*` limits each account or class separately.
struct Limiter {
    std::vector<LimitRule> rules;
    LeaseOptions leases;
    uint32_t nodes = 1; ///< Live nodes according to membership.
    std::map<LimitKey, LimitState> states;
};

struct LimitDecision {
    LimitVerdict verdict = LimitVerdict::Admitted;
    TimeMs retryAfter; ///< If refused: time until the limit can admit the call.
    size_t rule = 0; ///< If refused: index of the exceeded rule.
};

/// Replaces the rules. Keeps the state, including calls in flight, of rules whose name is unchanged.
void setLimits(Limiter&, std::vector<LimitRule>, TimeMs now);

/// Admits a call if every limit that applies to the account and class allows it, and charges all of them; otherwise charges
/// none.
LimitDecision admitCall(Limiter&, std::string_view account, std::string_view className, uint32_t promptTokens, TimeMs now);

/// Records the end of an admitted call and charges its output tokens.
void finishCall(Limiter&, std::string_view account, std::string_view className, uint32_t outputTokens, TimeMs now);

/// Returns the lease requests that are due.
std::vector<LeaseRequest> leaseRequests(Limiter&, NodeId self, TimeMs now);

void handleLeaseGrant(Limiter&, const LeaseGrant&, TimeMs now);

}
