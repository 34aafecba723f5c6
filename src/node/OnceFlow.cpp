#include "node/OnceFlow.h"

#include "base/Hash.h"
#include "node/Answers.h"
#include "node/CallFlow.h"
#include "node/ExplainFlow.h"
#include "node/Groups.h"
#include "rules/RuleMatch.h"
#include "wire/Codec.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

static constexpr size_t maxKeyBytes = 256;
static constexpr TimeMs reserveTimeout { 3000 };
static constexpr TimeMs recordTimeout { 10000 };
// Longest time that a caller waits until an answer that is already known is recorded.
static constexpr TimeMs maxRecordWait { 1000 };
static constexpr TimeMs pollInterval { 150 };
static constexpr TimeMs pollTimeout { 1000 };
static constexpr TimeMs ledgerRetryAfter { 2000 };
static constexpr TimeMs refusedKeyRetryAfter { 500 };

bool isUsableKey(std::string_view key)
{
    return !key.empty() && key.size() <= maxKeyBytes;
}

namespace {

    // The part of a call that is stored in the ledger, so that another node can take the call over and run it.
    struct StoredRequest {
        HttpRequest request;
        std::string className;
        std::string route;
        std::string pool;

        template <class Archive>
        void serialize(Archive& archive) { archive(request, className, route, pool); }
    };

}

static std::string bodyDigest(const NodeCall& call)
{
    return sha256Hex(call.request.method + "\n" + call.request.target + "\n" + call.request.body);
}

// Proposes a command and calls `next` with its reply, or without one if the command is not known to be committed. Does not call
// `next` if the call has ended by then.
static void proposeForCall(Node& node, const NodeCall& call, const LedgerCommand& command, TimeMs timeout,
    std::function<void(Node&, NodeCall&, const std::optional<LedgerReply>&)> next)
{
    const CallId id = call.id;
    proposeCommand(node, call.group, encodeLedgerCommand(command), timeout, [id, next = std::move(next)](Node& node, bool applied, const std::string& reply) {
        NodeCall* call = findCall(node, id);
        if (call)
            next(node, *call, applied ? decodeLedgerReply(reply) : std::nullopt);
    });
}

static void answerFromLedger(Node& node, NodeCall& call, const LedgerReply& reply)
{
    call.joined = reply.call;
    if (reply.state == CallState::Unknown) {
        call.dispatchState = DispatchState::PossiblySent;
        return refuseCall(node, call, RefusalCode::OutcomeUnknown, "the call with this key was sent to an upstream and its outcome is not known; it is not run again");
    }
    const auto& answer = *reply.answer;
    if (!answer.ran) {
        call.dispatchState = DispatchState::NothingSent;
        return refuseCall(node, call, RefusalCode::Unavailable, "the first call with this key was refused and never run; send it again", refusedKeyRetryAfter);
    }
    call.dispatchState = DispatchState::Answered;
    if (!answer.bodyDigest.empty()) {
        const boost::json::object body { { "stored", "digest" }, { "sha256", answer.bodyDigest }, { "bytes", answer.bodyBytes },
            { "message", "the call ran; its answer was too large to keep, this is its digest" } };
        answerWhole(node, call, answer.status, { { "Content-Type", "application/json" } }, boost::json::serialize(body), true);
    } else
        answerWhole(node, call, answer.status, answer.headers, answer.body, true);
    endCall(node, call, "ok");
}

// Another node or an earlier command decides the outcome of the call: the caller, if still connected, waits for it.
static void joinOwnOutcome(Node& node, NodeCall& call)
{
    if (!call.exchange)
        return endCall(node, call, "taken_over");
    cancelPlannedDispatch(node, call);
    call.stage = CallStage::Joining;
    call.joined = call.id;
    call.dispatchState = DispatchState::PossiblySent;
    call.reservedInLedger = false;
    call.nextPoll = node.now;
}

// Turns the call into a waiter for the outcome of the first call with the same key.
static void joinCall(Node& node, NodeCall& call, CallId first)
{
    // The reservation was committed, but a takeover changed it before the reply arrived.
    if (first == call.id)
        return joinOwnOutcome(node, call);
    cancelPlannedDispatch(node, call);
    const ExchangeId exchange = call.exchange;
    NodeCall waiter = call;
    if (call.admitted)
        finishCall(node.limiter, call.account, call.className, 0, node.now);
    node.calls.erase(call.id);
    // Each waiter is an entry of its own in `node.calls`: several callers can wait for one call, and the call itself may run on this node.
    NodeCall& row = addCall(node, CallId { node.random.next() | 1 });
    const CallId rowId = row.id;
    row = std::move(waiter);
    row.id = rowId;
    row.admitted = false;
    row.stage = CallStage::Joining;
    row.joined = first;
    row.dispatchState = DispatchState::PossiblySent;
    row.nextPoll = node.now;
    if (exchange)
        node.byExchange[exchange] = row.id;
}

// Ends a reservation that may still be committed, so that its key does not stay reserved until the deadline.
static void abandonReservation(Node& node, const NodeCall& call)
{
    Complete complete { .call = call.id, .owner = call.owner, .attempt = 1, .answer = {}, .now = node.now };
    complete.answer.ran = false;
    complete.answer.status = statusOf(RefusalCode::LedgerUnavailable);
    proposeCommand(node, call.group, encodeLedgerCommand(complete), recordTimeout, [](Node&, bool, const std::string&) {});
}

static void handleUnknownReservation(Node& node, NodeCall& call)
{
    addLog(node, LogLevel::Warning, "reservation_unknown", Step::Propose, call.account, "no reply from the ledger within the timeout", { { "call", formatCallId(call.id) } });
    abandonReservation(node, call);
    // A reservation that includes the dispatch is never taken over, and nothing was sent, so "not run" is true. A reservation for
    // the queue may have been committed, and another node may take the call over.
    if (!call.reservedDispatched)
        call.dispatchState = DispatchState::PossiblySent;
    refuseCall(node, call, RefusalCode::LedgerUnavailable, "the ledger has no quorum at the moment", ledgerRetryAfter);
}

static void continueReserved(Node& node, NodeCall& call, const LedgerReply& reply)
{
    call.ledgerAttempt = reply.attempt;
    if (reply.state == CallState::Dispatched) {
        call.dispatchedInLedger = true;
        return sendDispatch(node, call);
    }
    call.reservedInLedger = true;
    enqueueCall(node, call);
}

// Whether the reply to a command that was proposed again shows the effect of its first proposal.
static bool isOwnEffect(const NodeCall& call, const LedgerReply& reply, CallState state, uint32_t attempt)
{
    return reply.call == call.id && reply.owner == call.owner && reply.state == state && reply.attempt == attempt;
}

static void handleReserveReply(Node& node, NodeCall& call, const std::optional<LedgerReply>& reply)
{
    if (!reply)
        return handleUnknownReservation(node, call);
    const auto expectedState = call.reservedDispatched ? CallState::Dispatched : CallState::Reserved;
    switch (reply->outcome) {
    case LedgerOutcome::Accepted:
        return continueReserved(node, call, *reply);
    case LedgerOutcome::Joined:
        if (isOwnEffect(call, *reply, expectedState, 1))
            return continueReserved(node, call, *reply);
        return joinCall(node, call, reply->call);
    case LedgerOutcome::Stored:
        return answerFromLedger(node, call, *reply);
    case LedgerOutcome::KeyReused:
        return refuseCall(node, call, RefusalCode::KeyReused, "the key was used with another request; this request was not run");
    case LedgerOutcome::KeyExpired:
        return refuseCall(node, call, RefusalCode::KeyExpired, "the key is older than its retention; use a new key");
    case LedgerOutcome::Full:
        return refuseCall(node, call, RefusalCode::LedgerFull, "the ledger has no room for a new key", ledgerRetryAfter);
    case LedgerOutcome::Conflict:
    case LedgerOutcome::NotFound:
    case LedgerOutcome::Malformed:
        return refuseCall(node, call, RefusalCode::MalformedRequest, "the ledger refused the call: " + std::string(nameOf(reply->outcome)));
    }
}

static Reserve reservationOf(const Node& node, const NodeCall& call)
{
    return {
        .account = call.account,
        .key = call.key,
        .bodyDigest = bodyDigest(call),
        .owner = call.owner,
        .call = call.id,
        .request = encode(StoredRequest { call.request, call.className, call.route, call.pool }),
        .deadline = call.deadline,
        .dispatchNow = false,
        .upstream = {},
        .now = node.now,
    };
}

void startOnceCall(Node& node, NodeCall& call)
{
    call.stage = CallStage::Reserving;
    if (node.view.ledgerGroups && node.view.ledgerGroups != node.options.settings.ledgerGroups)
        return refuseCall(node, call, RefusalCode::LedgerUnavailable, "this node's ledger_groups differs from that of the voters", ledgerRetryAfter);
    auto reserve = reservationOf(node, call);
    // If an upstream can be chosen immediately, reservation and dispatch take one commit. A call that has to queue is only reserved,
    // so that another node can take it over until it is dispatched.
    const auto queue = node.queues.find(call.pool);
    const bool queueEmpty = queue == node.queues.end() || std::all_of(queue->second.classes.begin(), queue->second.classes.end(), [](const auto& it) { return !it.second.requests; });
    if (queueEmpty && poolHasRoom(node, call.pool) && chooseUpstream(node, call, true)) {
        call.reservedDispatched = true;
        planDispatch(node, call);
        reserve.dispatchNow = true;
        reserve.upstream = call.upstreamName;
    }
    proposeForCall(node, call, reserve, std::min(reserveTimeout, std::max(TimeMs { 200 }, call.deadline - node.now)), handleReserveReply);
}

void commitDispatch(Node& node, NodeCall& call)
{
    call.stage = CallStage::Committing;
    planDispatch(node, call);
    const Dispatch dispatch { .call = call.id, .owner = call.owner, .attempt = call.ledgerAttempt, .upstream = call.upstreamName, .now = node.now };
    proposeForCall(node, call, dispatch, reserveTimeout, [](Node& node, NodeCall& call, const std::optional<LedgerReply>& reply) {
        if (reply && (reply->outcome == LedgerOutcome::Accepted || isOwnEffect(call, *reply, CallState::Dispatched, call.ledgerAttempt))) {
            call.reservedInLedger = false;
            call.dispatchedInLedger = true;
            return sendDispatch(node, call);
        }
        if (reply)
            return joinOwnOutcome(node, call);
        // It is not known whether the dispatch was committed, but nothing was sent.
        refuseCall(node, call, RefusalCode::LedgerUnavailable, "the ledger has no quorum at the moment", ledgerRetryAfter);
    });
}

void returnToReserved(Node& node, NodeCall& call)
{
    call.stage = CallStage::Committing;
    const ReturnToReserved command { .call = call.id, .owner = call.owner, .attempt = call.ledgerAttempt, .now = node.now };
    proposeForCall(node, call, command, reserveTimeout, [](Node& node, NodeCall& call, const std::optional<LedgerReply>& reply) {
        if (!reply) {
            call.reservedInLedger = true;
            return refuseCall(node, call, RefusalCode::LedgerUnavailable, "the ledger has no quorum at the moment", ledgerRetryAfter);
        }
        if (reply->outcome != LedgerOutcome::Accepted && !isOwnEffect(call, *reply, CallState::Reserved, call.ledgerAttempt + 1))
            return joinOwnOutcome(node, call);
        call.ledgerAttempt = reply->attempt;
        call.reservedInLedger = true;
        call.dispatchedInLedger = false;
        call.dispatchState = DispatchState::NothingSent;
        call.stage = CallStage::Waiting;
        call.retryAt = node.now + backoffDelay(findRetry(*node.rules, call.route), static_cast<int>(call.attempts), node.random);
    });
}

void recordAnswer(Node& node, NodeCall& call)
{
    call.stage = CallStage::Recording;
    call.recordDeadline = node.now + maxRecordWait;
    Complete complete { .call = call.id, .owner = call.owner, .attempt = call.ledgerAttempt, .answer = {}, .now = node.now };
    complete.answer.status = call.status;
    complete.answer.body = call.body;
    complete.answer.bodyBytes = call.body.size();
    if (const auto type = findHeader(call.answerHeaders, headers::contentType); !type.empty())
        complete.answer.headers.emplace_back(headers::contentType, std::string(type));
    proposeForCall(node, call, complete, recordTimeout, [](Node& node, NodeCall& call, const std::optional<LedgerReply>& reply) {
        if (!reply || (reply->outcome != LedgerOutcome::Accepted && reply->outcome != LedgerOutcome::Stored))
            addLog(node, LogLevel::Warning, "answer_not_recorded", Step::Propose, call.upstreamName, "the answer of a once call could not be recorded in the ledger", { { "call", formatCallId(call.id) } });
        answerWhole(node, call, call.status, call.answerHeaders, std::move(call.body));
        endCall(node, call, "ok");
    });
}

void recordUnknown(Node& node, NodeCall& call, std::string reason)
{
    call.stage = CallStage::Recording;
    call.recordDeadline = farFuture;
    const MarkUnknown command { .call = call.id, .by = call.owner, .attempt = call.ledgerAttempt, .now = node.now };
    proposeForCall(node, call, command, maxRecordWait, [reason = std::move(reason)](Node& node, NodeCall& call, const std::optional<LedgerReply>&) {
        call.dispatchState = DispatchState::PossiblySent;
        refuseCall(node, call, RefusalCode::OutcomeUnknown, "the call was sent and its outcome is not known (" + reason + "); ask GET /v1/calls/" + formatCallId(call.id));
    });
}

void recordRefusal(Node& node, NodeCall& call, RefusalCode code, std::string message, TimeMs retryAfter)
{
    if (call.refusalPending)
        return;
    call.refusalPending = true;
    call.stage = CallStage::Recording;
    stopDispatch(node, call);
    // A dispatched call is never taken over, so "not run" is true for it even if the refusal cannot be committed.
    const bool canBeTakenOver = call.reservedInLedger;
    call.recordDeadline = farFuture;
    Complete complete { .call = call.id, .owner = call.owner, .attempt = call.ledgerAttempt, .answer = {}, .now = node.now };
    complete.answer.ran = false;
    complete.answer.status = statusOf(code);
    proposeForCall(node, call, complete, maxRecordWait, [code, message = std::move(message), retryAfter, canBeTakenOver](Node& node, NodeCall& call, const std::optional<LedgerReply>& reply) {
        const bool recorded = reply && (reply->outcome == LedgerOutcome::Accepted || (reply->outcome == LedgerOutcome::Stored && reply->answer && !reply->answer->ran));
        call.reservedInLedger = false;
        call.dispatchedInLedger = false;
        if (!recorded && canBeTakenOver)
            call.dispatchState = DispatchState::PossiblySent;
        refuseCall(node, call, code, message, retryAfter);
    });
}

static void handleLookUpReply(Node& node, CallId row, bool answered, const std::string& bytes)
{
    NodeCall* call = findCall(node, row);
    if (!call || call->stage != CallStage::Joining)
        return;
    call->nextPoll = node.now + pollInterval;
    const auto reply = answered ? decodeLedgerReply(bytes) : std::nullopt;
    if (reply && reply->outcome == LedgerOutcome::Stored)
        answerFromLedger(node, *call, *reply);
}

void tickOnceCall(Node& node, NodeCall& call)
{
    if (call.stage == CallStage::Recording) {
        if (node.now < call.recordDeadline || !call.exchange)
            return;
        // The answer is valid whether or not it is recorded; recording continues in the background.
        node.counters.add("answers_before_record");
        answerWhole(node, call, call.status, call.answerHeaders, call.body);
        return;
    }
    if (node.now < call.nextPoll)
        return;
    call.nextPoll = node.now + pollTimeout;
    const CallId row = call.id;
    lookUpLedgerCall(node, call.joined, call.account, pollTimeout, [row](Node& node, bool answered, const std::string& reply) { handleLookUpReply(node, row, answered, reply); });
}

void takeOverCall(Node& node, const CallRecord& record)
{
    if (findCall(node, record.call) || !node.rules)
        return;
    const auto stored = decodeOr<StoredRequest>(record.request, 1 << 20);
    if (stored.pool.empty())
        return;
    NodeCall& call = addCall(node, record.call);
    const auto route = std::find_if(node.rules->routes.begin(), node.rules->routes.end(), [&](const auto& rule) { return rule.name == stored.route; });
    call.account = record.account;
    call.className = stored.className;
    call.priority = findClass(*node.rules, stored.className).priority;
    call.route = stored.route;
    if (route != node.rules->routes.end())
        call.origin = route->origin;
    call.repeat = Repeat::Once;
    call.pool = stored.pool;
    call.request = stored.request;
    call.arrived = node.now;
    call.deadline = record.deadline;
    call.key = record.key;
    call.group = groupOfCall(record.call, node.options.settings.ledgerGroups);
    call.owner = node.owner;
    call.ledgerAttempt = record.attempt;
    call.reservedInLedger = true;
    addLog(node, LogLevel::Warning, "call_taken_over", Step::Route, record.account, "the owner of an accepted once call is dead; running the call on this node",
        { { "call", formatCallId(record.call) }, { "attempt", std::to_string(record.attempt) } });
    explainCall(node, DecisionCode::Takeover, call, "taken over from a dead owner under attempt " + std::to_string(record.attempt));
    node.counters.add("calls_taken_over");
    enqueueCall(node, call);
}

static void answerState(Node& node, ExchangeId exchange, CallId id, bool answered, const std::string& bytes)
{
    if (!answered)
        return refuseRequest(node, exchange, RefusalCode::LedgerUnavailable, "the ledger has no quorum at the moment", ledgerRetryAfter);
    const auto reply = decodeLedgerReply(bytes);
    if (!reply || reply->outcome == LedgerOutcome::NotFound)
        return answerRefusal(node, exchange, { RefusalCode::UnknownCall, RunStatus::Unknown, "no call with this id is kept; only once calls are, for their retention", {}, {} });
    const auto state = reply->state;
    auto run = RunStatus::Unknown;
    boost::json::object body { { "call", formatCallId(id) }, { "state", nameOf(state) } };
    if (state == CallState::Done && reply->answer) {
        run = reply->answer->ran ? RunStatus::Ran : RunStatus::NotRun;
        body["status"] = reply->answer->status;
        if (!reply->answer->bodyDigest.empty())
            body["body_sha256"] = reply->answer->bodyDigest;
        else
            body["body"] = reply->answer->body;
    }
    body["run"] = nameOf(run);
    answerJson(node, exchange, 200, boost::json::serialize(body), { { std::string(headers::run), std::string(nameOf(run)) }, { std::string(headers::call), formatCallId(id) } });
}

void answerCallState(Node& node, const RequestArrived& arrived)
{
    static constexpr std::string_view prefix = "/v1/calls/";
    const auto token = bearerToken(arrived.request);
    const auto* account = node.rules && !token.empty() ? findAccountByToken(*node.rules, sha256Hex(token)) : nullptr;
    if (!account)
        return refuseRequest(node, arrived.exchange, RefusalCode::Unauthorized, "the bearer token is missing or unknown");
    const auto id = parseCallId(pathOf(arrived.request.target).substr(prefix.size()));
    if (!id)
        return refuseRequest(node, arrived.exchange, RefusalCode::MalformedRequest, "a call id has 16 hex digits");
    const ExchangeId exchange = arrived.exchange;
    lookUpLedgerCall(node, *id, account->name, reserveTimeout, [exchange, id = *id](Node& node, bool answered, const std::string& reply) {
        answerState(node, exchange, id, answered, reply);
    });
}

}
