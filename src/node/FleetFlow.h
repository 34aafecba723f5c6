#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

void upstreamChanged(Node&, UpstreamId);
void upstreamRemoved(Node&, UpstreamId);
/// Brings the routing targets in line with the upstream table, the rules and the clock.
void refreshTargets(Node&);
/// Whether the upstream may get new work from this node now.
bool isNewWorkAllowed(const Node&, const Upstream&);
/// Calls on an upstream that is about to be reclaimed are taken up elsewhere before it goes.
void tickReclaims(Node&);

/// POST /v1/announce.
void answerAnnounce(Node&, const RequestArrived&);
/// GET /v1/entries.
void answerEntries(Node&, const RequestArrived&);

}
