#pragma once

#include "api/Refusal.h"
#include "node/NodeState.h"

namespace siskinshunt {

/// Lower bound of the retry hint given with a refusal.
constexpr TimeMs minimumRetryAfter { 500 };
/// Retry hint for a state that is specific to this node or passes soon, such as draining.
constexpr TimeMs drainRetryAfter { 1000 };

/// Accepts a request of a caller: checks, route, limits, then queue or dispatch.
void acceptCall(Node&, const RequestArrived&);
/// Handles the disconnect of a caller.
void handleCallerDisconnect(Node&, ExchangeId);
/// Handles an event of the dispatch of a call.
void handleCallEvent(Node&, UpstreamEvent&&);
/// Processes deadlines, retries and queues.
void tickCalls(Node&);
/// Answers all callers that still wait; called shortly before the drain limit ends the process.
void endCalls(Node&);
/// Dispatches queued calls of the pool while its upstreams have room.
void pumpQueue(Node&, const std::string& pool);
/// Cancels a running call at an upstream that is about to be reclaimed and retries it elsewhere. Once calls and calls that no
/// other upstream accepts are left alone.
void moveCall(Node&, CallId);

// Shared with the flow of once calls.

/// Queues the call or dispatches it if an upstream has room.
void enqueueCall(Node&, NodeCall&);
/// Chooses an upstream and stores it in the call; returns false if there is none. `canWait`: the call can stay queued, so that
/// it may be denied the slots reserved for more urgent calls.
bool chooseUpstream(Node&, NodeCall&, bool canWait);
/// Whether an upstream of the pool can take another call now.
bool poolHasRoom(Node&, const std::string& pool);
/// Dispatches the call to an upstream that the router chooses; returns false if none has room.
bool tryDispatch(Node&, NodeCall&, bool canWait);
/// Counts a call as load of its chosen upstream while the ledger commits it, so that calls that arrive in the meantime are
/// spread over other upstreams. `sendDispatch` takes over this load; `cancelPlannedDispatch` removes it.
void planDispatch(Node&, const NodeCall&);
void cancelPlannedDispatch(Node&, const NodeCall&);
/// Sends the request of a call whose upstream has been chosen.
void sendDispatch(Node&, NodeCall&);
/// Sends the refusal to the caller and ends the call.
void refuseCall(Node&, NodeCall&, RefusalCode, std::string message, TimeMs retryAfter = {});
/// Sends the whole answer to the caller.
void answerWhole(Node&, NodeCall&, uint16_t status, const HttpHeaders&, std::string body, bool stored = false);
/// Cancels the dispatch in flight, if there is one.
void stopDispatch(Node&, NodeCall&);
/// Ends the call: updates limits, router and histograms, then frees it.
void endCall(Node&, NodeCall&, std::string_view outcome);
/// Retries the call after a delay, or refuses it and states whether it may have run.
void retryCall(Node&, NodeCall&, std::string reason);
/// Id under which the caller can ask for the outcome: that of the first call with the same key.
CallId publicCallId(const NodeCall&);
NodeCall* findCall(Node&, CallId);
NodeCall& addCall(Node&, CallId);
/// Retry hint, estimated from the queue of the pool.
TimeMs retryAfterOf(const Node&, const NodeCall&);

}
