#pragma once

#include "base/EnumNames.h"
#include "base/Random.h"
#include "base/TimeMs.h"
#include "rules/RuleSet.h"

#include <array>
#include <cstdint>
#include <optional>

namespace siskinshunt {

/// Retry budget of a route: each first attempt adds a fraction of a retry, up to a cap.
struct RetryBudget {
    static constexpr double cap = 20; ///< Maximum retries; bounds a retry storm after a wave of reclaims to a few calls per route and node.

    double retries = 3;
};

enum class RetryVerdict : uint8_t {
    Retry,
    NotRepeatable, ///< The call must not be repeated and may already have reached an upstream.
    NoAttemptsLeft,
    NoBudget,
    PastDeadline, ///< The backoff delay and the expected duration of an attempt exceed the deadline.
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
    bool possiblySent = true; ///< At least one byte of the call may have reached the upstream.
    int attempts = 1; ///< Number of dispatches so far.
    TimeMs deadline; ///< Instant.
    TimeMs service; ///< Expected duration of another attempt.
};

struct RetryDecision {
    RetryVerdict verdict = RetryVerdict::Retry;
    TimeMs delay; ///< Backoff delay before the retry; also set for NoBudget, as the call can wait for the budget.
};

/// Adds the credit of one first attempt to the budget.
void creditRetryBudget(RetryBudget&, const RetryRule&);

/// Backoff delay after `attempts` dispatches: uniform between half of and the full value of min(cap, base * 2^(attempts-1)).
TimeMs backoffDelay(const RetryRule&, int attempts, Random&);

/// Decides whether to retry and, if so, consumes one retry from the budget.
RetryDecision decideRetry(RetryBudget&, const RetryRule&, const FailedAttempt&, TimeMs now, Random&);

/// Delay after which to send a hedge of a call that has no first token yet. Returns nothing if the call must not be repeated,
/// hedging is disabled or the budget is empty. `firstTokenP95` is the 95th percentile of the time to first token.
std::optional<TimeMs> hedgeDelay(const RetryBudget&, const RetryRule&, Repeat, TimeMs firstTokenP95);

/// Consumes one retry from the budget, for a hedge or a call that waits for the budget. Returns false if the budget is empty.
bool tryConsumeRetry(RetryBudget&);

}
