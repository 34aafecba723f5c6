#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

struct LeaseOptions {
    TimeMs interval { 500 }; ///< Interval between the requests of one holder.
    TimeMs validity { 3000 }; ///< Validity of a grant at the holder, starting when the request was sent.
    TimeMs clockSlack { 500 }; ///< The grantor counts a grant as valid for this much longer.
    double minimumShare = 0.02; ///< Fraction of the limit shared by all holders regardless of demand, so that an idle one can admit a first call.
};

/// Upper bound on the sum of the shares in use, as a multiple of the limit: grants sum to at most 1, and each holder without
/// a valid grant uses at most 1/nodes.
constexpr double leaseOvershoot = 2;

/// Key of a limit: rule name, account and class.
using LimitKey = std::string;

/// Sent by each node to the grantor once per interval.
struct LeaseRequest {
    NodeId node;
    LimitKey key;
    uint64_t sequence = 0; ///< Echoed in the grant.
    double demand = 0; ///< Offered load, admitted or not, as a fraction of the limit; can exceed 1.
    double share = 0; ///< Share currently in use, 0 to 1.
};

struct LeaseGrant {
    LimitKey key;
    uint64_t sequence = 0;
    double share = 0; ///< Granted fraction of the limit, 0 to 1.
    TimeMs validity;
    uint32_t nodes = 1; ///< Number of holders known to the grantor; the fallback share is 1/nodes.
};

/// State of a node's share of one limit.
struct LeaseHolder {
    double share = 0;
    TimeMs expiresAt { -1 };
    uint64_t sequence = 0;
    bool outstanding = false; ///< The latest request has not been granted yet. Grants for earlier requests are ignored.
    TimeMs lastRequest { -1000000 };
    uint32_t nodes = 1; ///< Highest node count seen in grants and membership.
    double arrivals = 0; ///< Calls since the last request.
    double demand = 0; ///< Smoothed arrivals per second.
};

/// Share in force: the granted share, or the fallback share (1/nodes) after the grant has expired.
double shareInForce(const LeaseHolder&, TimeMs now);

/// Records the number of nodes known to membership. The divisor of the fallback share is only ever raised.
void recordNodeCount(LeaseHolder&, uint32_t nodes);

void recordDemand(LeaseHolder&, double n);

/// Fills in the next request if one is due. Returns false otherwise.
bool nextRequest(LeaseHolder&, const LeaseOptions&, NodeId, const LimitKey&, TimeMs now, LeaseRequest& out);

/// Applies a grant. Returns false for expired, duplicate and unexpected grants, which are ignored.
bool handleGrant(LeaseHolder&, const LeaseGrant&, TimeMs now);

/// The grantor's record of the share of one limit that a node can be using.
struct GrantedShare {
    double share = 0; ///< Maximum of the last reported and the last granted share.
    uint64_t sequence = 0; ///< Sequence number of the last request.
    TimeMs expiresAt;
    double demand = 0;
    TimeMs lastRequest;
};

/// Grants shares at the decision leader. It has no durable state: until every grant of its predecessor has expired, a new
/// grantor only confirms the shares that holders report.
struct LeaseGrantor {
    LeaseOptions options;
    TimeMs startedAt;
    uint32_t nodes = 1; ///< Live nodes according to membership; a share of the unused limit is reserved for those without a grant.
    std::map<LimitKey, std::map<NodeId, GrantedShare>> limits;
};

/// Answers a request so that the shares in use never sum to more than 1. Returns nothing for a late or duplicate request, or
/// while grants of a predecessor can be valid and the holder reports no share; the holder then uses its fallback share.
std::optional<LeaseGrant> grant(LeaseGrantor&, const LeaseRequest&, TimeMs now);

/// Removes holders whose grants have expired.
void expireGrants(LeaseGrantor&, TimeMs now);

/// Sum of the shares that can be in use.
double grantedSum(const LeaseGrantor&, const LimitKey&, TimeMs now);

}
