#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// Upstreams in need name in their answers how many requests they take from all nodes together. The nodes tell each other of such
// limits with their load reports, and a few of them share each one.

/// Records the limit that the head of an answer names, or that it names none any more.
void recordAnsweredLimit(Node&, const ForwardCall&, const HttpHeaders&);
/// Records that the upstream fails if it has to refuse many requests, as the head of its answer says, or that this is no longer so. What one
/// upstream says holds for all of its backend.
void recordAnsweredBrittle(Node&, const ForwardCall&, const HttpHeaders&);
/// Whether the upstreams of the backend are brittle and this node has a place at none of them; other nodes have.
bool lacksPlaces(const Node&, const std::string& backend);
/// Lets an upstream that has started inherit what those of its backend have said lately: its first answer would come too late.
void inheritBrittle(Node&, ForwardTarget&);
/// Records that the upstream has refused a request for want of room. A brittle one gets no requests of this node for a while.
void recordNoRoom(Node&, ForwardTarget&);
/// Applies the limits that another node reports. Returns those that were news, so that a hub can pass them on.
std::vector<UpstreamId> applyReportedLimits(Node&, const std::vector<ReportedLimit>&);
/// Limits of these upstreams as told to other nodes.
std::vector<ReportedLimit> reportedLimits(const Node&, const std::set<UpstreamId>&);
/// Follows changes of the membership in the shares of this node.
void tickUpstreamLimits(Node&);

}
