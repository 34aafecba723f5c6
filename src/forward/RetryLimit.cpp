#include "forward/RetryLimit.h"

#include <algorithm>

namespace siskinshunt {

// Fraction of its share that a node uses. The rest is a margin, because requests are counted where they arrive and the
// window slides.
static constexpr double usableRetryFraction = 0.85;
// Fraction of the usable share that is left to answers in progress.
static constexpr double answerRetryFraction = 0.3;

static RetryUsage::Slice& sliceAt(RetryUsage& usage, const RetryLimit& limit, TimeMs now)
{
    const int64_t length = std::max<int64_t>(1, limit.window.value / static_cast<int64_t>(RetryUsage::slices));
    const int64_t number = now.value / length;
    auto& slice = usage.ring[static_cast<size_t>(number) % RetryUsage::slices];
    if (slice.number != number)
        slice = { number, 0, 0 };
    return slice;
}

void recordFirstSend(RetryUsage& usage, const RetryLimit& limit, TimeMs now, bool canResume)
{
    if (canResume)
        usage.lastResumableAt = now;
    ++sliceAt(usage, limit, now).requests;
}

bool consumeRetry(RetryUsage& usage, const RetryLimit& limit, RetryPurpose purpose, TimeMs now, size_t nodes)
{
    auto& current = sliceAt(usage, limit, now);
    double requests = 0;
    double retries = 0;
    for (const auto& slice : usage.ring) {
        if (slice.number + static_cast<int64_t>(RetryUsage::slices) <= current.number)
            continue;
        requests += slice.requests;
        retries += slice.retries;
    }
    const double allowed = (limit.ratio * requests + limit.extra / static_cast<double>(std::max<size_t>(nodes, 1))) * usableRetryFraction;
    const bool reserves = usage.lastResumableAt.value && now - usage.lastResumableAt <= limit.window;
    const double reserved = purpose == RetryPurpose::Request && reserves ? allowed * answerRetryFraction : 0;
    if (retries + 1 > allowed - reserved)
        return false;
    ++current.retries;
    return true;
}

}
