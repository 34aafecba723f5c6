#include "limits/Retry.h"

#include <algorithm>

namespace siskinshunt {

void creditRetryBudget(RetryBudget& budget, const RetryRule& rule)
{
    budget.retries = std::min(RetryBudget::cap, budget.retries + rule.budget);
}

TimeMs backoffDelay(const RetryRule& rule, int attempts, Random& random)
{
    const int doublings = std::clamp(attempts - 1, 0, 30);
    const TimeMs maxDelay = std::min(rule.cap, rule.base * (int64_t { 1 } << doublings));
    return { random.between(maxDelay.value / 2, maxDelay.value) };
}

RetryDecision decideRetry(RetryBudget& budget, const RetryRule& rule, const FailedAttempt& failed, TimeMs now, Random& random)
{
    if (failed.repeat == Repeat::Once && failed.possiblySent)
        return { RetryVerdict::NotRepeatable, {} };
    if (failed.attempts >= rule.attempts)
        return { RetryVerdict::NoAttemptsLeft, {} };
    const TimeMs delay = backoffDelay(rule, failed.attempts, random);
    if (now + delay + failed.service > failed.deadline)
        return { RetryVerdict::PastDeadline, {} };
    if (!tryConsumeRetry(budget))
        return { RetryVerdict::NoBudget, delay };
    return { RetryVerdict::Retry, delay };
}

std::optional<TimeMs> hedgeDelay(const RetryBudget& budget, const RetryRule& rule, Repeat repeat, TimeMs firstTokenP95)
{
    if (repeat == Repeat::Once || !rule.hedge || budget.retries < 1)
        return std::nullopt;
    return firstTokenP95;
}

bool tryConsumeRetry(RetryBudget& budget)
{
    if (budget.retries < 1)
        return false;
    budget.retries -= 1;
    return true;
}

}
