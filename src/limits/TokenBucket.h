#pragma once

#include "base/TimeMs.h"

namespace siskinshunt {

/// Token bucket. A rate of 0 means no limit.
struct TokenBucket {
    double rate = 0; ///< Tokens per second.
    double burst = 1; ///< Capacity in tokens.
    double tokens = 1;
    TimeMs lastRefill;
};

/// Changes rate and burst; the available tokens are kept, up to the new burst.
void setRate(TokenBucket&, double rate, double burst, TimeMs now);

/// Consumes `n` tokens and returns true if they are available; otherwise consumes none.
bool tryConsume(TokenBucket&, double n, TimeMs now);

/// Consumes `n` tokens even if the balance becomes negative; for costs that are known only afterwards.
void charge(TokenBucket&, double n, TimeMs now);

/// Time until `n` tokens are available, 0 if they already are; an `n` above the burst is treated as the burst.
TimeMs timeUntilAvailable(const TokenBucket&, double n, TimeMs now);

}
