#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "rules/RuleSet.h"

#include <array>
#include <map>
#include <string>

namespace siskinshunt {

struct AllowanceOptions {
    /// The platform tolerates totals that exceed the allowance in a window by this many tokens plus the fraction
    /// `overshoot`.
    double slack = 0;
    double overshoot = 0.1;
    TimeMs window { 8000 }; ///< Window over which the platform sums the spending.
    /// Fraction of the tolerated excess that is used. The rest covers spending of other nodes that is not reported yet.
    double slackFraction = 0.35;
    TimeMs rateTimeConstant { 1000 }; ///< Of the moving average of the rates at which other nodes spend.
    TimeMs peerTimeout { 20000 }; ///< A node that stops reporting is assumed to spend at its last rate for this long.
};

/// This node's replica of the token bucket of each account; there is one bucket for the whole system. A node deducts the
/// requests that it admits from its replica at once and reports them to the others several times a second. Spending since
/// the last report of another node is estimated from its rate, so a partitioned node stays near its own share. No
/// request waits for a message to another node.
struct Allowances {
    struct Bucket {
        double level = 0; ///< Remaining tokens or requests.
        TimeMs updated;
        double spent = 0; ///< By this node since its start.
    };
    struct PeerSpending {
        double total = 0; ///< As reported.
        double rate = 0; ///< Per second, moving average.
    };
    struct Peer {
        std::map<std::string, PeerSpending> accounts;
        TimeMs firstReportAt;
        TimeMs lastReportAt;
    };

    AllowanceOptions options;
    std::map<std::string, Bucket> buckets; ///< By account.
    std::map<NodeId, Peer> peers; ///< Other nodes, or sums of several of them.
    size_t nodes = 1; ///< Number of nodes that share the allowances, including this one.
};

/// Returns whether a request of this cost is within the account's allowance, and deducts the cost if so.
bool consumeAllowance(Allowances&, TimeMs now, const AllowanceRule&, double cost);
/// Gives back the cost of a request that did not run.
void refundAllowance(Allowances&, const std::string& account, double cost);
/// Time until the cost is within the allowance, if no other request consumes it.
TimeMs timeUntilAllowance(const Allowances&, TimeMs now, const AllowanceRule&, double cost);
/// Deducts what another node has spent since its last report. `totals` counts from the start of that node.
void applyPeerSpending(Allowances&, TimeMs now, NodeId, const std::map<std::string, double>& totals);
/// Totals that this node has spent since its start, for its reports to other nodes.
std::map<std::string, double> localSpending(const Allowances&);
/// Removes nodes that have not reported for `peerTimeout`.
void expirePeers(Allowances&, TimeMs now);

}
