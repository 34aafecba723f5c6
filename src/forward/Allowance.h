#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "rules/RuleSet.h"

#include <deque>
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
    TimeMs minReportDelay { 100 }; ///< Age of peer totals on arrival where it is not measured.
    // Levels as fractions of the capacity.
    double contentionLevel = 0.5; ///< Below it a bucket becomes contended.
    double freeLevel = 0.8; ///< From here on it no longer is. The gap keeps noise from lifting the limit at all nodes at once.
    TimeMs demandTimeConstant { 3000 }; ///< Of the demand that makes a bucket contended, so that a few large requests don't.
    TimeMs demandDecay { 5000 }; ///< Time constant with which the estimated demand falls at most.
    double contentionDemand = 0.95; ///< As a fraction of the rate.
    double contendedLevel = 0.4; ///< Around which a contended bucket is kept.
    TimeMs isolationTimeout { 2500 }; ///< A node that receives no reports for this long keeps to its own part of the rate.
    double isolatedShare = 0.5; ///< Part of its share of the rate that it may use at least; the others may use up the rate.
    TimeMs peerTimeout { 20000 }; ///< A node that stops reporting is assumed to spend at its last rate for this long.
};

/// This node's replica of the token bucket of each account; there is one bucket for the whole system. A node deducts the
/// requests that it admits from its replica at once and reports them to the others several times a second. Spending since
/// the last report of another node is estimated from its rate, so a partitioned node stays near its own share. No
/// request waits for a message to another node.
///
/// While an account asks for more than its rate, every node admits the same fraction of what it is asked for: the rate by the estimated demand,
/// corrected by the level of the bucket. Without it all nodes would find tokens at the same moment and overspend together.
struct Allowances {
    struct Bucket {
        double level = 0; ///< Remaining tokens or requests.
        TimeMs updated;
        double spent = 0; ///< By this node since its start.
        // Of the rule at the last use.
        double rate = 0; ///< Per second.
        double capacity = 0;
        bool contended = false; ///< The account asks for about its rate or more, so only a fraction is admitted.
        double passFraction = 1; ///< Fraction of the cost asked for that is admitted.
        double passAverage = 1; ///< Moving average over the age of the known spending.
        double demand = 0; ///< Cost asked for per second at all nodes, as estimated from the spending and `passAverage`.
        double longDemand = 0; ///< Average of `demand` over a longer time.
        double ownDemand = 0; ///< Cost asked for per second at this node, moving average.
        double ownRate = 0; ///< Cost admitted per second at this node, moving average.
        double ownRateAtReport = 0; ///< The same when a report of other nodes was last received.
        double credit = 0; ///< Part of the cost asked for that may be admitted and has not been; negative if more was admitted.
        TimeMs adjusted; ///< When the fraction and the averages were last updated.
    };
    /// What other nodes have spent on an account that this node has not met yet.
    struct History {
        bool complete = true; ///< Nothing had been spent before the first slot.
        std::deque<std::pair<TimeMs, double>> slots; ///< Start of each slot and what was spent in it.
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
    std::map<std::string, History> histories; ///< By account without a bucket.
    std::map<NodeId, Peer> peers; ///< Other nodes, or sums of several of them.
    TimeMs reportDelay; ///< Age of peer totals on arrival, moving average.
    size_t nodes = 1; ///< Number of nodes that share the allowances, including this one.
};

/// Keeps this node's replica of an account's bucket that it may not have met yet. Without regular calls it is estimated at the first request.
void followAllowance(Allowances&, TimeMs now, const AllowanceRule&);
/// Returns whether a request of this cost is within the account's allowance, and deducts the cost if so.
bool consumeAllowance(Allowances&, TimeMs now, const AllowanceRule&, double cost);
/// Gives back the cost of a request that did not run.
void refundAllowance(Allowances&, const std::string& account, double cost);
/// Time until the cost is within the allowance, if no other request consumes it.
TimeMs timeUntilAllowance(const Allowances&, TimeMs now, const AllowanceRule&, double cost);
/// Deducts what another node has spent since its last report. `totals` counts from the start of that node.
void applyPeerSpending(Allowances&, TimeMs now, NodeId, const std::map<std::string, double>& totals);
/// Deducts the estimated spending of a node since its last report, which its next report will not include.
void chargeUnreported(Allowances&, TimeMs now, NodeId);
/// Records how old the spending of this node in a received sum is, as a sample of the age of the spending of the others.
void recordReportDelay(Allowances&, TimeMs age);
/// Totals that this node has spent since its start, for its reports to other nodes.
std::map<std::string, double> localSpending(const Allowances&);
/// Removes nodes that have not reported for `peerTimeout`.
void expirePeers(Allowances&, TimeMs now);

}
