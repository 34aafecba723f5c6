#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

void upstreamChanged(Node&, UpstreamId);
void upstreamRemoved(Node&, UpstreamId);
/// Updates the routing targets from the upstream table, the rules and the current time.
void refreshTargets(Node&);
/// Whether this node can send new work to the upstream.
bool isNewWorkAllowed(const Node&, const Upstream&);
/// Moves calls away from upstreams that are about to be reclaimed.
void tickReclaims(Node&);

/// POST /v1/announce.
void answerAnnounce(Node&, const RequestArrived&);
/// GET /v1/entries.
void answerEntries(Node&, const RequestArrived&);

}
