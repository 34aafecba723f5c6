#include "limits/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

static double tokensAt(const TokenBucket& bucket, TimeMs now)
{
    const double elapsed = std::max(0.0, (now - bucket.lastRefill).seconds());
    return std::min(bucket.burst, bucket.tokens + elapsed * bucket.rate);
}

static void refill(TokenBucket& bucket, TimeMs now)
{
    bucket.tokens = tokensAt(bucket, now);
    bucket.lastRefill = std::max(bucket.lastRefill, now);
}

void setRate(TokenBucket& bucket, double rate, double burst, TimeMs now)
{
    refill(bucket, now);
    bucket.rate = rate;
    bucket.burst = burst;
    bucket.tokens = std::min(bucket.tokens, burst);
}

bool tryConsume(TokenBucket& bucket, double n, TimeMs now)
{
    if (bucket.rate <= 0)
        return true;
    refill(bucket, now);
    if (bucket.tokens < n - 1e-9)
        return false;
    bucket.tokens -= n;
    return true;
}

void charge(TokenBucket& bucket, double n, TimeMs now)
{
    if (bucket.rate <= 0)
        return;
    refill(bucket, now);
    bucket.tokens -= n;
}

TimeMs timeUntilAvailable(const TokenBucket& bucket, double n, TimeMs now)
{
    if (bucket.rate <= 0)
        return {};
    const double missing = std::min(n, bucket.burst) - tokensAt(bucket, now);
    return { missing <= 1e-9 ? 0 : static_cast<int64_t>(std::ceil(missing / bucket.rate * 1000)) };
}

}
