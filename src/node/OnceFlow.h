#pragma once

#include "api/Refusal.h"
#include "node/NodeState.h"

namespace siskinshunt {

/// An idempotency key that the ledger takes.
bool isUsableKey(std::string_view key);
/// Reserves the call's key and goes on by the reply.
void startOnceCall(Node&, NodeCall&);
/// Commits the dispatch to the chosen upstream, then sends.
void commitDispatch(Node&, NodeCall&);
/// No byte has left: goes back to the reserved state under the next attempt and dispatches again.
void returnToReserved(Node&, NodeCall&);
/// Records the upstream's answer, then gives it to the caller.
void recordAnswer(Node&, NodeCall&);
/// Records that the outcome is unknown, then tells the caller.
void recordUnknown(Node&, NodeCall&, std::string reason);
/// Records a refusal, so that nobody runs the call later, then says "not run"; says "unknown" if it cannot be recorded.
void recordRefusal(Node&, NodeCall&, RefusalCode, std::string message, TimeMs retryAfter);
/// Polls the outcome of a joined call, and gives up waiting for the record of an answer.
void tickOnceCall(Node&, NodeCall&);
/// Runs a call that this node took over from a dead owner.
void takeOverCall(Node&, const CallRecord&);
/// GET /v1/calls/ID.
void answerCallState(Node&, const RequestArrived&);

}
