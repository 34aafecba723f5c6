#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// Upstreams in need name in their answers how many requests they take from all nodes together. The nodes tell each other of such
// limits with their load reports, and a few of them share each one.

/// Records the limit that the head of an answer names, or that it names none any more.
void recordAnsweredLimit(Node&, const ForwardCall&, const HttpHeaders&);
/// Applies the limits that another node reports. Returns those that were news, so that a hub can pass them on.
std::vector<UpstreamId> applyReportedLimits(Node&, const std::vector<ReportedLimit>&);
/// Limits of these upstreams as told to other nodes.
std::vector<ReportedLimit> reportedLimits(const Node&, const std::set<UpstreamId>&);
/// Follows changes of the membership in the shares of this node.
void tickUpstreamLimits(Node&);

}
