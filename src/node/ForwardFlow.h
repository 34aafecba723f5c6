#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

ForwardState makeForwardState(const NodeOptions&);

/// Puts the forwarding rules of the node's rules in force.
void setForwardRules(Node&);
/// Takes over what an upstream announced, if a backend rule names its service.
void updateForwardTarget(Node&, const Upstream&);
void removeForwardTarget(Node&, UpstreamId);
/// The upstream takes no new work from now on.
void recordLeaving(Node&, UpstreamId, uint64_t incarnation);
bool isRecordedLeaving(const Node&, UpstreamId, uint64_t incarnation);

/// Takes a request of the forwarding address.
void acceptForward(Node&, RequestArrived&&);
/// False if the exchange is not one of forwarding.
bool handleForwardCallerDisconnect(Node&, ExchangeId);
/// False if the dispatch is not one of forwarding.
bool handleForwardEvent(Node&, UpstreamEvent&);
/// Ends requests that are out of time, resumes broken ones, and reports load to the other nodes.
void tickForward(Node&);
void receiveForwardLoad(Node&, NodeId from, std::string_view body);

// Between the files of forwarding.

/// Sends the request to the best upstream, or ends it.
void startAttempt(Node&, ForwardCall&);
/// The target has read the attempt's prompt, or no longer has to.
void clearPendingPrefill(ForwardTarget&, ForwardCall&);
/// Takes the load of the attempt off its target.
void releaseTarget(Node&, ForwardCall&);
/// Ends the request with an answer of this node's own. 503 and 429 say that the request has not run.
void refuseForward(Node&, ForwardCall&, uint16_t status, const std::string& code, const std::string& text, TimeMs retryAfter = {});
/// Entry nodes that share the limits, this one included.
size_t forwardNodeCount(const Node&);
/// Looks after the requests that are under way.
void tickForwardCalls(Node&);
/// Writes the line about a request that has ended, and forgets it.
void endForward(Node&, ForwardCall&, std::string_view outcome);

}
