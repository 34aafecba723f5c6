#pragma once

#include "base/TimeMs.h"

namespace siskinshunt {

/// Token bucket. A rate of 0 means no limit.
struct TokenBucket {
    double rate = 0; ///< Tokens per second.
    double burst = 1; ///< Tokens at most.
    double tokens = 1;
    TimeMs lastRefill; ///< Of the last refill.
};

/// Changes rate and burst; the tokens at hand are kept up to the new burst.
void setRate(TokenBucket&, double rate, double burst, TimeMs now);

/// Takes `n` tokens or none.
bool tryConsume(TokenBucket&, double n, TimeMs now);

/// Takes `n` tokens even if the bucket goes below zero; for costs known only afterwards.
void charge(TokenBucket&, double n, TimeMs now);

/// Time until `n` tokens can be taken, 0 if now; `n` above the burst counts as the burst.
TimeMs timeUntilAvailable(const TokenBucket&, double n, TimeMs now);

}
