#pragma once

#include "api/Refusal.h"
#include "node/NodeState.h"

namespace siskinshunt {

/// Whether the ledger accepts the idempotency key.
bool isUsableKey(std::string_view key);
/// Reserves the call's key in the ledger; the reply decides how the call continues.
void startOnceCall(Node&, NodeCall&);
/// Commits the dispatch to the chosen upstream, then sends the request.
void commitDispatch(Node&, NodeCall&);
/// For a dispatch of which no byte was sent: returns the call to the reserved state under the next attempt number, then
/// dispatches it again.
void returnToReserved(Node&, NodeCall&);
/// Records the upstream's answer in the ledger, then sends it to the caller.
void recordAnswer(Node&, NodeCall&);
/// Records that the outcome is unknown, then answers the caller.
void recordUnknown(Node&, NodeCall&, std::string reason);
/// Records a refusal, so that no node runs the call later, then answers "not run". Answers "unknown" if the refusal cannot be
/// recorded and another node could still take the call over.
void recordRefusal(Node&, NodeCall&, RefusalCode, std::string message, TimeMs retryAfter);
/// Polls the outcome of a joined call, and answers the caller if recording an answer takes too long.
void tickOnceCall(Node&, NodeCall&);
/// Runs a call that this node has taken over from a dead owner.
void takeOverCall(Node&, const CallRecord&);
/// Answers GET /v1/calls/ID.
void answerCallState(Node&, const RequestArrived&);

}
