#pragma once

#include "api/Refusal.h"
#include "node/NodeState.h"

namespace siskinshunt {

/// Shortest time after which a refused caller is told to come back.
constexpr TimeMs minimumRetryAfter { 500 };
/// For a state that another node, or this one a moment later, is not in.
constexpr TimeMs drainRetryAfter { 1000 };

/// Takes a request of a caller: checks, route, limits, then queue or dispatch.
void acceptCall(Node&, const RequestArrived&);
/// The caller closed its connection.
void handleCallerDisconnect(Node&, ExchangeId);
/// Takes what happened to the dispatch of a call.
void handleCallEvent(Node&, UpstreamEvent&&);
/// Runs deadlines, back-offs and queues.
void tickCalls(Node&);
/// Dispatches queued calls of the pool while its upstreams have room.
void pumpQueue(Node&, const std::string& pool);
/// Takes a running call off an upstream that is about to go, and dispatches it elsewhere if it may be.
void moveCall(Node&, CallId);

// For the flow of once calls.

/// Queues the call or dispatches it if an upstream has room.
void enqueueCall(Node&, NodeCall&);
/// Chooses an upstream for the call and notes it there; false if there is none. A call that may wait in the queue is also
/// held back from the places that are kept for more urgent ones.
bool chooseUpstream(Node&, NodeCall&, bool canWait);
/// Whether an upstream of the pool can take another call now.
bool poolHasRoom(Node&, const std::string& pool);
/// Dispatches the call to an upstream that the router chooses; false if there is none with room.
bool tryDispatch(Node&, NodeCall&, bool canWait);
/// Counts a call as load of its chosen upstream while the ledger commits it, so that calls that arrive meanwhile go
/// elsewhere. Sending it takes the count over; `cancelPlannedDispatch` takes it back.
void planDispatch(Node&, const NodeCall&);
void cancelPlannedDispatch(Node&, const NodeCall&);
/// Sends the request of a call whose upstream has been chosen.
void sendDispatch(Node&, NodeCall&);
/// Gives the caller its refusal and ends the call.
void refuseCall(Node&, NodeCall&, RefusalCode, std::string message, TimeMs retryAfter = {});
/// Gives the caller the whole answer.
void answerWhole(Node&, NodeCall&, uint16_t status, const HttpHeaders&, std::string body, bool stored = false);
/// Cancels the dispatch under way, if there is one.
void stopDispatch(Node&, NodeCall&);
/// Ends the call: limits, router, histograms. The call is freed.
void endCall(Node&, NodeCall&, std::string_view outcome);
/// Dispatches again after a back-off, or ends the call with the refusal that is true for it.
void retryCall(Node&, NodeCall&, std::string reason);
/// Id under which the caller can ask for the outcome: that of the first call with its key.
CallId publicCallId(const NodeCall&);
NodeCall* findCall(Node&, CallId);
NodeCall& addCall(Node&, CallId);
/// A hint when to come back, from the queue of the pool.
TimeMs retryAfterOf(const Node&, const NodeCall&);

}
