#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "rules/RuleSet.h"

#include <array>
#include <map>
#include <string>

namespace siskinshunt {

struct AllowanceOptions {
    /// Beyond the allowance, the platform lets this many tokens pass in a window, and as much again of `overshoot`.
    double slack = 0;
    double overshoot = 0.1;
    TimeMs window { 8000 }; ///< In which the platform adds up.
    /// Part of the slack that is used. The rest covers what other nodes have spent and not yet reported.
    double slackFraction = 0.35;
    TimeMs rateTimeConstant { 1000 }; ///< Time constant of the rates at which other nodes spend.
    TimeMs peerTimeout { 20000 }; ///< A node that fell silent counts as spending at its last rate for as long.
};

/// The allowances of all accounts as this node knows them: one bucket for the whole system. Each node takes what it lets
/// pass from its copy at once and tells the others of it several times a second. What others have spent since their last
/// report is estimated from their rate, so a node that is cut off keeps to about its own part. Nothing is asked for on the
/// way of a request.
struct Allowances {
    struct Bucket {
        double level = 0; ///< Tokens or requests.
        TimeMs updated;
        double spent = 0; ///< By this node since its start.
    };
    struct PeerSpending {
        double total = 0; ///< As reported.
        double rate = 0; ///< Per second, moving average.
    };
    struct Peer {
        std::map<std::string, PeerSpending> accounts;
        TimeMs lastReportAt;
    };

    AllowanceOptions options;
    std::map<std::string, Bucket> buckets; ///< By account.
    std::map<NodeId, Peer> peers; ///< Other nodes, or sums of several of them.
    size_t nodes = 1; ///< That share the allowances, this one included.
};

/// Whether a request of this cost is within the account's allowance; takes the cost if so.
bool consumeAllowance(Allowances&, TimeMs now, const AllowanceRule&, double cost);
/// Gives a cost back that did not come to run.
void refundAllowance(Allowances&, const std::string& account, double cost);
/// Time until the cost is within the allowance again, if nothing else is asked for.
TimeMs timeUntilAllowance(const Allowances&, TimeMs now, const AllowanceRule&, double cost);
/// Takes the totals that another node has spent since its start.
void applyPeerSpending(Allowances&, TimeMs now, NodeId, const std::map<std::string, double>& totals);
/// What this node has spent since its start, to report to the others.
std::map<std::string, double> localSpending(const Allowances&);
/// Forgets nodes that have been silent for too long.
void expirePeers(Allowances&, TimeMs now);

}
