#pragma once

#include "base/EnumNames.h"
#include "base/Random.h"
#include "base/TimeMs.h"
#include "rules/RuleSet.h"

#include <array>
#include <cstdint>
#include <optional>

namespace siskinshunt {

/// Retries that a route may still make: each first attempt earns a share of one, up to a cap.
struct RetryBudget {
    static constexpr double cap = 20; ///< Retries; bounds the storm after a wave to a few calls per route and node.

    double retries = 3;
};

enum class RetryVerdict : uint8_t {
    Retry,
    NotRepeatable, ///< A byte of a call that may not be repeated may have left.
    NoAttemptsLeft,
    NoBudget,
    PastDeadline, ///< The back-off and a usual answer time do not fit before the deadline.
};

template <>
inline constexpr auto enumNames<RetryVerdict> = std::to_array<EnumName<RetryVerdict>>({
    { RetryVerdict::Retry, "retry" },
    { RetryVerdict::NotRepeatable, "not_repeatable" },
    { RetryVerdict::NoAttemptsLeft, "no_attempts_left" },
    { RetryVerdict::NoBudget, "no_budget" },
    { RetryVerdict::PastDeadline, "past_deadline" },
});

struct FailedAttempt {
    Repeat repeat = Repeat::Yes;
    bool possiblySent = true; ///< A byte of the call may have reached the upstream.
    int attempts = 1; ///< Dispatches so far.
    TimeMs deadline; ///< Instant.
    TimeMs service; ///< Expected duration of another attempt.
};

struct RetryDecision {
    RetryVerdict verdict = RetryVerdict::Retry;
    TimeMs delay; ///< Back-off before the retry.
};

void creditRetryBudget(RetryBudget&, const RetryRule&);

/// Back-off before the attempt after `attempts` dispatches: uniform between half and all of min(cap, base * 2^(attempts-1)).
TimeMs backoffDelay(const RetryRule&, int attempts, Random&);

/// Decides on a retry and takes it from the budget.
RetryDecision decideRetry(RetryBudget&, const RetryRule&, const FailedAttempt&, TimeMs now, Random&);

/// When to send a second copy of a call that has no first token yet; nothing if the call may not be repeated, hedging is
/// off or the budget is empty. `usual` is the time within which 95 in 100 first tokens arrive.
std::optional<TimeMs> hedgeDelay(const RetryBudget&, const RetryRule&, Repeat, TimeMs usual);

/// Takes a hedge from the budget; false if it is empty.
bool tryConsumeHedge(RetryBudget&);

}
