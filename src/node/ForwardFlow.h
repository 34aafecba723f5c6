#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

ForwardState makeForwardState(const NodeOptions&);

/// Applies the forwarding rules of the rule set in force.
void setForwardRules(Node&);
/// Updates the forwarding target of an upstream from its announcement.
void updateForwardTarget(Node&, const Upstream&);
void removeForwardTarget(Node&, UpstreamId);
/// Records that the upstream is leaving; it gets no new requests from then on.
void recordLeaving(Node&, UpstreamId, uint64_t incarnation);
bool isRecordedLeaving(const Node&, UpstreamId, uint64_t incarnation);

/// Handles a request that arrived at the forwarding address.
void acceptForward(Node&, RequestArrived&&);
/// Handles the disconnect of a caller. Returns false if the exchange is not a forwarded request.
bool handleForwardCallerDisconnect(Node&, ExchangeId);
/// Handles an event of a dispatch. Returns false if the dispatch does not belong to a forwarded request.
bool handleForwardEvent(Node&, UpstreamEvent&);
/// Expires old state of forwarding and reports load to the other nodes.
void tickForward(Node&);
/// Ends requests whose deadline has passed, and retries or resumes silent and waiting ones. Must not be called while bytes that
/// arrived wait to be passed on: after a stall of the process, every upstream would look silent.
void tickForwardCalls(Node&);
/// Ends all requests that are being forwarded, before the process ends.
void endForwards(Node&);
void receiveForwardLoad(Node&, NodeId from, std::string_view body);

// Internal to forwarding.

/// Sends the request to the best upstream, or refuses it if there is none.
void startAttempt(Node&, ForwardCall&);
/// Where one attempt goes.
struct AttemptDestination {
    std::string name; ///< Of an upstream or another entry node.
    std::string address; ///< "IP:PORT".
    HttpRequest request;
    bool unreached = false; ///< A connection is unlikely, as the last attempt there, or those to all upstreams, failed.
};

/// Starts the attempt: sends its request.
void dispatchAttempt(Node&, ForwardCall&, AttemptDestination&&);
/// Gives the cost of the request back to the account's allowance.
void refundCall(Node&, ForwardCall&);
/// Whether a healthy upstream is left to which the request was not sent yet.
bool canSendElsewhere(const Node&, const ForwardCall&);
/// Lets a stream in progress wait for an upstream or, with `needsPermit`, for a retry permit, and at least for `pause`. Its time
/// bounds the wait.
void waitToResume(Node&, ForwardCall&, bool needsPermit, TimeMs pause = {});
/// Subtracts the pending prefill tokens of the attempt from its target, once the prompt has been read or the attempt has ended.
void clearPendingPrefill(ForwardTarget&, ForwardCall&);
/// Subtracts the load of the attempt from its target.
void releaseTarget(Node&, ForwardCall&);
/// Closes the connection of the attempt, if there is one.
void cancelDispatch(Node&, ForwardCall&);
/// Ends the request with an error response of this node. Statuses 503 and 429 state that the request was not run.
void refuseForward(Node&, ForwardCall&, uint16_t status, const std::string& code, const std::string& text, TimeMs retryAfter = {});
/// Number of entry nodes that share the limits, including this one.
size_t forwardNodeCount(const Node&);
/// Logs and counts the end of a request, and frees it.
void endForward(Node&, ForwardCall&, std::string_view outcome);

}
