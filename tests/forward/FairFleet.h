#pragma once

#include "base/TimeMs.h"

#include <cstdint>
#include <functional>
#include <string>

namespace siskinshunt {

/// Load on a model of 60 engines as at Fjordvern, with 16 accounts whose sizes follow a Zipf distribution with exponent 1.2.
struct FairLoad {
    std::function<double(int account)> factor; ///< What each account sends during the overload, relative to its usual.
    TimeMs duration { 6000 }; ///< Of the overload.
    size_t enginesGone = 0; ///< Take nothing new from half a second after its start on, and are gone in the middle of the overload.
    int repeats = 0; ///< A refused request is repeated at once so many times, at any node; 0: once, when it was told to return.
};

enum class FairPolicy : uint8_t {
    Backlog, ///< A request is refused if the backlog at the best engine is too long.
    NodeQueues, ///< Each node queues its requests by start-time fair queueing.
    Shares, ///< Shares by account, over all nodes.
};

struct FairResult {
    double leastShare = 1; ///< Least ratio over the accounts of the work served in time to what the account is entitled to.
    std::string leastAccount;
    double used = 0; ///< Of the engines' time during the overload.
    double inTime = 0; ///< Part of the offered work that was served in time.
    std::string starved; ///< Accounts and classes of which nothing was served in time.
    uint64_t refusedByShares = 0;
};

FairResult runFairFleet(const FairLoad&, FairPolicy, size_t nodes, TimeMs reportAge);

}
