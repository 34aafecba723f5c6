#include "forward/RetryLimit.h"

#include <algorithm>

namespace siskinshunt {

// A node leaves this part of its retries unused, because requests are counted where they arrive and the window slides.
static constexpr double retryMargin = 0.85;

static RetryUsage::Slice& sliceAt(RetryUsage& use, const RetryLimit& limit, TimeMs now)
{
    const int64_t length = std::max<int64_t>(1, limit.window.value / static_cast<int64_t>(RetryUsage::slices));
    const int64_t number = now.value / length;
    auto& slice = use.ring[static_cast<size_t>(number) % RetryUsage::slices];
    if (slice.number != number)
        slice = { number, 0, 0 };
    return slice;
}

void recordFirstSend(RetryUsage& use, const RetryLimit& limit, TimeMs now)
{
    ++sliceAt(use, limit, now).requests;
}

bool consumeRetry(RetryUsage& use, const RetryLimit& limit, TimeMs now, size_t nodes)
{
    auto& current = sliceAt(use, limit, now);
    double requests = 0;
    double retries = 0;
    for (const auto& slice : use.ring) {
        if (slice.number + static_cast<int64_t>(RetryUsage::slices) <= current.number)
            continue;
        requests += slice.requests;
        retries += slice.retries;
    }
    const double allowed = (limit.ratio * requests + limit.extra / static_cast<double>(std::max<size_t>(nodes, 1))) * retryMargin;
    if (retries + 1 > allowed)
        return false;
    ++current.retries;
    return true;
}

}
