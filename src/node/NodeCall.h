#pragma once

#include "api/HttpMessage.h"
#include "api/ModelRequest.h"
#include "api/RunStatus.h"
#include "base/Ids.h"
#include "calls/EventReader.h"
#include "calls/StreamState.h"
#include "ledger/CallRecord.h"
#include "node/NodeIo.h"
#include "rules/RuleSet.h"

#include <array>
#include <string>
#include <vector>

namespace siskinshunt {

enum class CallStage : uint8_t {
    Reserving, ///< Once call: the reservation is being committed.
    Queued, ///< Waits for an upstream with room.
    Committing, ///< Once call: the dispatch, or the return to the reserved state, is being committed.
    Waiting, ///< Waits for the end of its retry delay.
    Connecting,
    Sent,
    Answering, ///< The answer's head has arrived.
    Recording, ///< Once call: the outcome is being committed.
    Joining, ///< Another call with the key is in flight; its outcome is polled.
    Ended,
};

template <>
inline constexpr auto enumNames<CallStage> = std::to_array<EnumName<CallStage>>({
    { CallStage::Reserving, "reserving" },
    { CallStage::Queued, "queued" },
    { CallStage::Committing, "committing" },
    { CallStage::Waiting, "waiting" },
    { CallStage::Connecting, "connecting" },
    { CallStage::Sent, "sent" },
    { CallStage::Answering, "answering" },
    { CallStage::Recording, "recording" },
    { CallStage::Joining, "joining" },
    { CallStage::Ended, "ended" },
});

/// Row of the table of calls in flight at this node.
struct NodeCall {
    // The request.
    CallId id;
    ExchangeId exchange = 0; ///< 0: the caller has its answer or has disconnected, or the call was taken over.
    std::string account;
    double weight = 1;
    std::string className;
    int priority = 5;
    std::string route;
    RuleOrigin origin; ///< Of the route rule.
    Repeat repeat = Repeat::Yes;
    std::string pool; ///< Model or service name.
    bool isModel = false;
    HttpRequest request; ///< As sent to the upstream, without the headers of the dispatch.
    ModelRequest model; ///< The prompt is cleared once `blocks` has been computed.
    std::vector<uint64_t> blocks;
    TimeMs arrived;
    TimeMs deadline; ///< Point in time, not a duration.
    std::optional<TimeMs> firstTokenTarget;
    bool admitted = false; ///< Counted by the limiter.

    // Progress.
    CallStage stage = CallStage::Queued;
    DispatchState dispatchState = DispatchState::NothingSent;
    uint32_t attempts = 0; ///< Dispatches so far.
    uint32_t unchargedRetries = 0; ///< Retries caused by a reclaim, which are not charged to the retry budget.
    DispatchId dispatch = 0; ///< 0: none in flight.
    UpstreamId upstream;
    std::string upstreamName;
    std::string address;
    std::string version;
    uint32_t expectedCached = 0; ///< Prompt tokens that the upstream is expected to have cached.
    std::vector<UpstreamId> avoid; ///< Upstreams that failed this call.
    UpstreamId silentUpstream; ///< Upstream whose connection went silent; it is tried once more on a new connection.
    TimeMs retryAt;
    bool needsRetry = false; ///< In stage Waiting: also waits for the retry budget of its route.
    TimeMs dispatchedAt;
    TimeMs nextPoll; ///< In stage Joining: when the outcome is polled next.
    uint64_t queuedBytes = 0; ///< Bytes counted against the node's queue limit.

    // The answer so far.
    uint16_t status = 0;
    HttpHeaders answerHeaders;
    std::string body; ///< Body of an answer that is not streamed.
    bool streaming = false; ///< The upstream answers with an event stream.
    bool headForwarded = false;
    EventReader reader;
    StreamState stream;
    Usage usage;
    TimeMs firstTokenAt;
    TimeMs lastTokenAt;
    bool firstTokenSeen = false; ///< Whether the current dispatch has delivered its first token.
    bool firstTokenEver = false;

    // Once calls.
    std::string key;
    GroupId group;
    CallOwner owner;
    uint32_t ledgerAttempt = 0;
    bool reservedInLedger = false; ///< Another node can still take the call over, so "not run" requires a committed refusal.
    bool dispatchedInLedger = false; ///< If nothing is sent in the end, a refusal is recorded, so that the key can be used again.
    bool reservedDispatched = false; ///< Reservation and dispatch are committed in one entry.
    bool refusalPending = false;
    CallId joined; ///< The earlier call with the same key, whose outcome this caller receives; its id in the ledger.
    TimeMs recordDeadline; ///< The answer is sent by then even if it is not recorded.
};

}
