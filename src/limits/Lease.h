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
    TimeMs interval { 500 }; ///< Between the requests of one holder.
    TimeMs validity { 3000 }; ///< Of a grant at the holder, from the sending of its request.
    TimeMs clockSlack { 500 }; ///< The grantor counts a grant this much longer.
    double minimumShare = 0.02; ///< Of the limit, over all holders together; lets an idle holder admit a first call.
};

/// The sum of the shares in use never exceeds the limit by more than this factor: at most 1 is granted, and holders that
/// lost the grantor use at most 1/nodes each.
constexpr double leaseOvershoot = 2;

/// Key of one limit: the rule's name, account and class.
using LimitKey = std::string;

/// Sent by a node to the grantor each interval.
struct LeaseRequest {
    NodeId node;
    LimitKey key;
    uint64_t sequence = 0; ///< Repeated in the grant.
    double demand = 0; ///< Use that was asked for, admitted or not, as a part of the limit; may exceed 1.
    double share = 0; ///< In use now, 0 to 1.
};

struct LeaseGrant {
    LimitKey key;
    uint64_t sequence = 0;
    double share = 0; ///< Of the limit, 0 to 1.
    TimeMs validity;
    uint32_t nodes = 1; ///< Holders known to the grantor; 1/nodes is the share to fall back to.
};

/// Share of one limit at one node.
struct LeaseHolder {
    double share = 0;
    TimeMs expiresAt { -1 };
    uint64_t sequence = 0;
    bool outstanding = false; ///< The latest request has no grant yet. Grants of earlier ones are never taken.
    TimeMs lastRequest { -1000000 };
    uint32_t nodes = 1; ///< Most holders ever named by a grant or by the membership.
    double arrivals = 0; ///< Since the last request.
    double demand = 0; ///< Smoothed, per second.
};

/// Share in force: the granted one, or the safe one once the grant has expired.
double shareInForce(const LeaseHolder&, TimeMs now);

/// Notes the number of nodes that membership knows; raises the fall-back divisor only.
void recordNodeCount(LeaseHolder&, uint32_t nodes);

void recordDemand(LeaseHolder&, double n);

/// True when a request is due; fills it in.
bool nextRequest(LeaseHolder&, const LeaseOptions&, NodeId, const LimitKey&, TimeMs now, LeaseRequest& out);

/// Takes a grant. Late, repeated and unknown ones are ignored: false.
bool handleGrant(LeaseHolder&, const LeaseGrant&, TimeMs now);

/// What one node may be using of one limit, as the grantor knows it.
struct GrantedShare {
    double share = 0; ///< The larger of the share reported last and the one granted last.
    uint64_t sequence = 0; ///< Of the last request.
    TimeMs expiresAt;
    double demand = 0;
    TimeMs lastRequest;
};

/// Runs at the decision leader. Keeps no durable state: a new grantor only confirms what holders report until every
/// grant of its predecessor has expired.
struct LeaseGrantor {
    LeaseOptions options;
    TimeMs startedAt;
    uint32_t nodes = 1; ///< Live nodes by membership; a part of the unused limit is kept for those that hold no share yet.
    std::map<LimitKey, std::map<NodeId, GrantedShare>> limits;
};

/// Answers a request; the shares that may be in use never sum to more than 1. No answer to a late or repeated request, nor
/// while a predecessor's grants may be in force and the holder reports none: the holder then uses its safe share.
std::optional<LeaseGrant> grant(LeaseGrantor&, const LeaseRequest&, TimeMs now);

/// Forgets holders whose grants have expired.
void expireGrants(LeaseGrantor&, TimeMs now);

/// Sum of the shares that may be in use.
double grantedSum(const LeaseGrantor&, const LimitKey&, TimeMs now);

}
