#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <optional>
#include <vector>

namespace siskinshunt {

/// Limit of the requests that a cold upstream gets from all nodes together, and the share of it that this node uses.
struct ColdLimit {
    TimeMs until; ///< The upstream counts as cold before this time.
    double share = 0; ///< Requests per second of this node; 0 if only other nodes send to the upstream while it is cold.
    double level = 0; ///< Requests that this node may send at `updatedAt`; at most 1.
    TimeMs updatedAt;
};

/// Limit of the requests that an upstream takes from all nodes together, as it names it in its answers, and the share of it
/// that this node uses.
struct TargetLimit {
    std::optional<double> perSecond; ///< None while its answers name no limit.
    TimeMs namedAt; ///< Last answer, to this or another node, that named the limit; or the first one without a limit.
    TimeMs reportedAt; ///< When this node last told others of its own answers.
    double share = 0; ///< Requests per second of this node; 0 if only other nodes send to the upstream.
    double burst = 0; ///< Highest level.
    double level = 0; ///< Requests that this node may send at `updatedAt`.
    TimeMs updatedAt;
    ColdLimit cold; ///< Applies besides the limit that the upstream names.
};

/// A limit as told between nodes.
struct ReportedLimit {
    UpstreamId upstream;
    uint64_t incarnation = 0;
    std::optional<double> perSecond; ///< None: its answers name no limit any more.
    TimeMs age; ///< Time since the answer.

    template <class Archive>
    void serialize(Archive& archive) { archive(upstream, incarnation, perSecond, age); }
};

/// Sets the share of the node `self`. A few of the nodes share the limit, so that a request per node does not exceed it; all
/// nodes choose the same ones for an upstream, and different ones for different upstreams. A new share starts without
/// requests.
void setShare(TargetLimit&, TimeMs now, UpstreamId, NodeId self, const std::vector<NodeId>& nodes);
/// Sets until when the upstream counts as cold. If it has just become cold, this node has no share before the next setColdShare(), and
/// may then send as many requests at once: 1 to an upstream that has got none lately, otherwise 0.
void setColdUntil(TargetLimit&, TimeMs now, TimeMs until, double level = 0);
/// Sets the share of the node `self` in the `perSecond` requests that a cold upstream sustains. As with setShare(), a few of the nodes share
/// them. The share does not depend on how many nodes there are, so a node that knows only itself adds no more than one share.
void setColdShare(TargetLimit&, TimeMs now, UpstreamId, double perSecond, NodeId self, const std::vector<NodeId>& nodes);
bool isCold(const TargetLimit&, TimeMs now);
/// Whether this node may send a request now.
bool canSend(const TargetLimit&, TimeMs now);
/// Counts a request of this node.
void recordSend(TargetLimit&, TimeMs now);
/// Time until this node may send; none if only other nodes do, unless the upstream is merely cold.
std::optional<TimeMs> timeUntilSend(const TargetLimit&, TimeMs now);

}
