#pragma once

#include "api/HttpMessage.h"
#include "api/ModelRequest.h"
#include "api/RunWord.h"
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
    Waiting, ///< Waits for its back-off to pass.
    Connecting,
    Sent,
    Answering, ///< The answer's head has arrived.
    Recording, ///< Once call: the outcome is being committed.
    Joining, ///< The key is in flight elsewhere; its outcome is looked up.
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
    // What was asked.
    CallId id;
    ExchangeId exchange = 0; ///< 0: the caller has its answer or went away, or the call was taken over.
    std::string account;
    double weight = 1;
    std::string className;
    int priority = 5;
    std::string route;
    RuleOrigin origin; ///< Of the route rule.
    Repeat repeat = Repeat::Yes;
    std::string pool; ///< Model or service name.
    bool isModel = false;
    HttpRequest request; ///< As it goes to the upstream, without the headers of the dispatch.
    ModelRequest model; ///< Its prompt is dropped once the blocks are known.
    std::vector<uint64_t> blocks;
    TimeMs arrived;
    TimeMs deadline; ///< Instant.
    std::optional<TimeMs> firstTokenTarget;
    bool admitted = false; ///< Counted by the limiter.

    // How far it has come.
    CallStage stage = CallStage::Queued;
    DispatchState dispatchState = DispatchState::NothingSent;
    uint32_t attempts = 0; ///< Dispatches so far.
    uint32_t unchargedRetries = 0; ///< Dispatches again that a reclaim forced; they are not charged to the retry budget.
    DispatchId dispatch = 0; ///< 0: none under way.
    UpstreamId upstream;
    std::string upstreamName;
    std::string address;
    std::string version;
    uint32_t expectedCached = 0; ///< Prompt tokens that the upstream is thought to have cached.
    std::vector<UpstreamId> avoid; ///< Upstreams that failed this call.
    UpstreamId silentUpstream; ///< Its connection went silent; it gets one more try on a new connection.
    TimeMs retryAt;
    TimeMs dispatchedAt;
    TimeMs nextPoll; ///< Joining.
    uint64_t queuedBytes = 0; ///< Counted against the node's bound while queued.

    // The answer so far.
    uint16_t status = 0;
    HttpHeaders answerHeaders;
    std::string body; ///< Of an answer that is forwarded whole.
    bool streaming = false; ///< The upstream answers with an event stream.
    bool headForwarded = false;
    EventReader reader;
    StreamState stream;
    Usage usage;
    TimeMs firstTokenAt;
    TimeMs lastTokenAt;
    bool firstTokenSeen = false; ///< Of this dispatch.
    bool firstTokenEver = false;

    // Once calls.
    std::string key;
    GroupId group;
    CallOwner owner;
    uint32_t ledgerAttempt = 0;
    bool reservedInLedger = false; ///< A takeover could still run it: "not run" needs a committed refusal.
    bool dispatchedInLedger = false; ///< If nothing is sent after all, a refusal is recorded, so that its key can be used again.
    bool reservedDispatched = false; ///< Reservation and dispatch are committed in one entry.
    bool refusalPending = false;
    CallId joined; ///< The earlier call with the same key, whose outcome this caller gets; the ledger knows it by this id.
    TimeMs recordDeadline; ///< The answer is given by then even if its record is not committed.
};

}
