#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "rules/RuleSet.h"

#include <array>
#include <map>
#include <string>

namespace siskinshunt {

struct AccountShareOptions {
    /// The part of an account's rate that every node may use without having shown demand, split evenly.
    double evenPart = 0.3;
    TimeMs demandWindow { 2000 }; ///< Time constant of the demand average.
    TimeMs peerSilence { 1500 }; ///< Without reports for this long, a node uses no more than the even split.
    /// Tokens beyond rate and burst that the platform lets pass in any window; half of it is used, because the shares of
    /// the nodes lag behind each other.
    double slack = 0;
    /// How long a node that fell silent is still counted: it may go on spending its share.
    TimeMs keepSilentNodes { 10000 };
};

/// What this node may let pass of one account.
struct AccountBucket {
    double level = 0; ///< Tokens or requests.
    double demand = 0; ///< Asked for at this node, per second, admitted or not.
    TimeMs updated;
};

/// Splits the accounts' allowances over the nodes: each node reports the demand it sees, and takes the part of the rate
/// that its demand has in the sum. Nothing is asked for on the way of a request.
struct AccountShares {
    struct Peer {
        std::map<std::string, double> demand; ///< Per second, by account.
        TimeMs heard;
    };

    AccountShareOptions options;
    std::map<std::string, AccountBucket> buckets;
    std::map<NodeId, Peer> peers;
    size_t nodes = 1; ///< Entry nodes that may spend, this one included; at least the peers heard of.
};

/// Whether a request of this cost is within the account's allowance here; takes the cost if so.
bool takeAllowance(AccountShares&, TimeMs now, const AllowanceRule&, double cost);
/// Gives a cost back that did not come to run.
void returnAllowance(AccountShares&, const std::string& account, double cost);
/// Time until the cost is within the allowance again, if nothing else is asked for.
TimeMs allowanceIn(const AccountShares&, const AllowanceRule&, double cost);
/// Takes the demand that another node reported.
void takeDemand(AccountShares&, TimeMs now, NodeId, std::map<std::string, double> demand);
/// Demand per account to report to the others.
std::map<std::string, double> demandOf(const AccountShares&, TimeMs now);
/// Forgets nodes that have been silent for too long.
void expirePeers(AccountShares&, TimeMs now);

/// The limit of retries for one backend over all nodes: a share of the requests plus a constant, in a sliding window.
struct RetryLimit {
    TimeMs window { 10000 };
    double ratio = 0.2; ///< Retries per request.
    double extra = 0; ///< Retries beyond, over all nodes.
};

/// One node's use of it, in slices of the window.
struct RetryUse {
    static constexpr size_t slices = 20;
    struct Slice {
        int64_t number = -1;
        uint32_t requests = 0;
        uint32_t retries = 0;
    };
    std::array<Slice, slices> ring {};
};

void noteFirstSend(RetryUse&, const RetryLimit&, TimeMs now);
/// Whether one more send of a request is within this node's part; counts it if so.
bool takeRetry(RetryUse&, const RetryLimit&, TimeMs now, size_t nodes);

}
