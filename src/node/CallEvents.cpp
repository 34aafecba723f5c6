#include "api/ModelRequest.h"
#include "node/Answers.h"
#include "node/CallFlow.h"
#include "node/ExplainFlow.h"
#include "node/MovesFlow.h"
#include "node/OnceFlow.h"
#include "rules/RuleMatch.h"

#include <algorithm>
#include <charconv>

namespace siskinshunt {

static constexpr uint32_t maxUnchargedRetries = 20;
static constexpr size_t maxAnswerBytes = 16 << 20;

// Whether the answer names another call or attempt than the one that was sent, so that it belongs to another request.
static bool isCrossed(const NodeCall& call, const HttpHeaders& headers)
{
    const auto named = findHeader(headers, headers::call);
    const auto attempt = findHeader(headers, headers::attempt);
    return (!named.empty() && named != formatCallId(call.id)) || (!attempt.empty() && attempt != std::to_string(call.attempts));
}

static void detachDispatch(Node& node, NodeCall& call, CallEnd end, bool cancel)
{
    if (!call.dispatch)
        return;
    if (recordEnd(node.router, call.id, call.attempts, end, node.now))
        addLog(node, LogLevel::Warning, "upstream_ejected", Step::Route, call.upstreamName, "the upstream failed repeatedly and is ejected for a while");
    if (cancel)
        node.out.cancels.push_back(call.dispatch);
    node.byDispatch.erase(call.dispatch);
    call.dispatch = 0;
}

static bool isReclaimAnnounced(const Node& node, UpstreamId id)
{
    const Upstream* upstream = findUpstream(node.membership.upstreams, id);
    return !upstream || upstream->leavingSince.has_value();
}

// Takes a retry for a call whose attempt has failed.
static RetryDecision takeRetry(Node& node, NodeCall& call)
{
    // The system itself is responsible for calls interrupted by a reclaim, so such a retry is charged neither to the attempts of the
    // call nor to the retry budget.
    if (isReclaimAnnounced(node, call.upstream) && call.unchargedRetries < maxUnchargedRetries) {
        ++call.unchargedRetries;
        node.counters.add("retries_after_reclaim");
        return { RetryVerdict::Retry, TimeMs { 10 } };
    }
    const FailedAttempt failed { .repeat = call.repeat, .possiblySent = call.dispatchState != DispatchState::NothingSent, .attempts = static_cast<int>(call.attempts - call.unchargedRetries), .deadline = call.deadline, .service = {} };
    const auto decision = decideRetry(node.retryBudgets[call.route], findRetry(*node.rules, call.route), failed, node.now, node.random);
    if (decision.verdict == RetryVerdict::Retry)
        node.counters.add("retries");
    return decision;
}

static void waitForRetry(Node& node, NodeCall& call, TimeMs delay, const std::string& reason)
{
    explainCall(node, call.stream.offset ? DecisionCode::Resume : DecisionCode::Retry, call, reason + ", after " + std::to_string(call.stream.offset) + " tokens");
    if (call.repeat == Repeat::Once)
        return returnToReserved(node, call);
    // The dispatch state stays: an earlier attempt may have run whatever becomes of the next one.
    call.stage = CallStage::Waiting;
    call.retryAt = node.now + delay;
}

void retryCall(Node& node, NodeCall& call, std::string reason)
{
    const bool possiblySent = call.dispatchState != DispatchState::NothingSent;
    if (call.repeat == Repeat::Once && possiblySent)
        return recordUnknown(node, call, std::move(reason));
    if (call.headForwarded && !canResume(call.stream))
        return refuseCall(node, call, RefusalCode::UpstreamFailed, "the stream broke and its engine does not number its events: " + reason, retryAfterOf(node, call));
    const auto decision = takeRetry(node, call);
    // A caller that already has a part of its stream can wait for the budget.
    call.needsRetry = call.headForwarded && decision.verdict == RetryVerdict::NoBudget;
    if (decision.verdict != RetryVerdict::Retry && !call.needsRetry)
        return refuseCall(node, call, RefusalCode::UpstreamFailed, reason + " (" + std::string(nameOf(decision.verdict)) + ")", retryAfterOf(node, call));
    waitForRetry(node, call, decision.delay, reason);
}

static void recordFailedAttempt(Node& node, NodeCall& call, UpstreamFailure failure, const std::string& detail)
{
    addLog(node, LogLevel::Info, "dispatch_failed", Step::Receive, call.upstreamName, std::string(nameOf(failure)) + ": " + detail,
        { { "call", formatCallId(call.id) }, { "attempt", std::to_string(call.attempts) }, { "rule_line", std::to_string(call.origin.line) } });
    if (call.isModel)
        recordMoveOutcome(node, call, true);
    detachDispatch(node, call, CallEnd::Failed, false);
}

static void failDispatch(Node& node, NodeCall& call, UpstreamFailure failure, const std::string& detail)
{
    const bool silent = failure == UpstreamFailure::Silent;
    if (silent) {
        node.counters.add("silent_connections");
        node.out.discardedPools.push_back(call.address);
    }
    recordFailedAttempt(node, call, failure, detail);
    // A silent connection can be caused by the network path, so the same upstream is tried once more on a new connection.
    if (silent && call.silentUpstream != call.upstream)
        call.silentUpstream = call.upstream;
    else
        call.avoid.push_back(call.upstream);
    retryCall(node, call, call.upstreamName + " failed: " + std::string(nameOf(failure)));
}

// Fails a dispatch whose answer is still arriving but cannot be used, and cancels it.
static void failAndCancel(Node& node, NodeCall& call, UpstreamFailure failure, const std::string& detail)
{
    const DispatchId dispatch = call.dispatch;
    failDispatch(node, call, failure, detail);
    node.out.cancels.push_back(dispatch);
}

static void handleHead(Node& node, NodeCall& call, UpstreamEvent& event)
{
    if (isCrossed(call, event.headers)) {
        node.counters.add("crossed_answers");
        failAndCancel(node, call, UpstreamFailure::Malformed, "the answer belongs to another call or attempt");
        return;
    }
    call.status = event.status;
    const bool streaming = event.status == 200 && isEventStream(event.headers);
    if (call.headForwarded && !streaming) {
        // The caller already has the head of a successful stream, so only a stream can continue it.
        failAndCancel(node, call, UpstreamFailure::Malformed, "the engine that was to go on answered without a stream: status " + std::to_string(event.status));
        return;
    }
    call.answerHeaders = std::move(event.headers);
    call.stage = CallStage::Answering;
    call.streaming = streaming;
    if (!call.streaming || call.headForwarded || !call.exchange)
        return;
    call.headForwarded = true;
    HttpHeaders headers { { std::string(headers::contentType), "text/event-stream" }, { "Cache-Control", "no-store" },
        { std::string(headers::call), formatCallId(call.id) }, { std::string(headers::run), std::string(nameOf(RunStatus::Ran)) } };
    node.out.answers.push_back({ call.exchange, AnswerPart::Head, 200, std::move(headers), {} });
}

static ClassHistograms* findHistograms(Node& node, const NodeCall& call)
{
    const auto it = node.histograms.find({ call.account, call.className });
    return it == node.histograms.end() ? nullptr : &it->second;
}

static void recordToken(Node& node, NodeCall& call)
{
    if (!call.firstTokenSeen) {
        call.firstTokenSeen = true;
        const bool first = !call.firstTokenEver;
        call.firstTokenEver = true;
        if (first)
            call.firstTokenAt = node.now;
    } else if (auto* histograms = findHistograms(node, call))
        histograms->betweenTokens.record(static_cast<uint64_t>((node.now - call.lastTokenAt).value) * 1000);
    call.lastTokenAt = node.now;
}

// Forwards one event. Returns false if events are missing, so that the stream has to be resumed.
static bool handleStreamEvent(Node& node, NodeCall& call, const ServerEvent& event)
{
    const uint64_t before = call.stream.offset;
    const auto verdict = acceptEvent(call.stream, event);
    switch (verdict) {
    case EventVerdict::Gap:
        return false;
    case EventVerdict::Duplicate:
    case EventVerdict::Late:
        node.counters.add("stream_events_" + std::string(nameOf(verdict)));
        return true;
    case EventVerdict::Forward:
    case EventVerdict::Complete:
        break;
    }
    if (call.stream.offset != before || !call.stream.numbered)
        recordToken(node, call);
    parseUsage(event.data, call.usage);
    if (call.exchange)
        node.out.answers.push_back({ call.exchange, AnswerPart::Body, 0, {}, toBytes(event) });
    return true;
}

static void handleBody(Node& node, NodeCall& call, const std::string& bytes)
{
    if (!call.streaming) {
        call.body += bytes;
        if (call.body.size() > maxAnswerBytes) {
            failAndCancel(node, call, UpstreamFailure::Malformed, "the answer is over 16 MiB");
        }
        return;
    }
    bool ok = call.reader.feed(bytes);
    while (ok) {
        const auto event = call.reader.next();
        if (!event)
            return;
        ok = handleStreamEvent(node, call, *event);
    }
    node.counters.add("stream_gaps");
    failAndCancel(node, call, UpstreamFailure::Malformed, "events are missing in the stream");
}

static void finishModelCall(Node& node, NodeCall& call)
{
    if (!call.streaming)
        parseUsage(call.body, call.usage);
    const auto cached = static_cast<uint32_t>(call.usage.cachedTokens);
    recordFirstToken(node.router, call.id, call.attempts, call.blocks, cached, call.firstTokenSeen ? call.firstTokenAt : node.now);
    node.counters.add("tokens_prompt", call.usage.promptTokens);
    node.counters.add("tokens_cached", call.usage.cachedTokens);
    node.counters.add("tokens_completion", call.usage.completionTokens);
    recordCompletion(node, call);
    recordMoveOutcome(node, call, false);
}

static bool isRetryableError(const NodeCall& call)
{
    return call.repeat == Repeat::Yes && !call.streaming && (call.status >= 500 || call.status == 429);
}

// Repeats the call, or sends the upstream's own answer if that is not possible.
static void handleErrorAnswer(Node& node, NodeCall& call)
{
    const std::string status = "status " + std::to_string(call.status);
    recordFailedAttempt(node, call, UpstreamFailure::Closed, status);
    call.avoid.push_back(call.upstream);
    const auto decision = takeRetry(node, call);
    if (decision.verdict == RetryVerdict::Retry)
        return waitForRetry(node, call, decision.delay, call.upstreamName + " failed: " + status);
    explainCall(node, DecisionCode::Refuse, call, call.upstreamName + " answered with " + status + " (" + std::string(nameOf(decision.verdict)) + ")");
    answerWhole(node, call, call.status, call.answerHeaders, std::move(call.body));
    endCall(node, call, nameOf(RefusalCode::UpstreamFailed));
}

static void handleEnd(Node& node, NodeCall& call)
{
    if (isRetryableError(call))
        return handleErrorAnswer(node, call);
    call.dispatchState = DispatchState::Answered;
    if (call.streaming && !call.stream.done) {
        call.dispatchState = DispatchState::PossiblySent;
        return failDispatch(node, call, UpstreamFailure::Closed, "the stream ended without its end mark");
    }
    if (call.isModel)
        finishModelCall(node, call);
    detachDispatch(node, call, CallEnd::Done, false);
    if (call.repeat == Repeat::Once)
        return recordAnswer(node, call);
    if (!call.streaming)
        answerWhole(node, call, call.status, call.answerHeaders, std::move(call.body));
    else if (call.exchange) {
        node.out.answers.push_back({ call.exchange, AnswerPart::End, 0, {}, {} });
        node.byExchange.erase(call.exchange);
        call.exchange = 0;
    }
    endCall(node, call, "ok");
}

void handleCallEvent(Node& node, UpstreamEvent&& event)
{
    const auto it = node.byDispatch.find(event.dispatch);
    if (it == node.byDispatch.end()) {
        node.counters.add("late_upstream_events");
        return;
    }
    NodeCall* call = findCall(node, it->second);
    if (!call || call->dispatch != event.dispatch)
        return;
    switch (event.kind) {
    case UpstreamEventKind::Sending:
        call->dispatchState = DispatchState::PossiblySent;
        call->stage = CallStage::Sent;
        return;
    case UpstreamEventKind::Head:
        return handleHead(node, *call, event);
    case UpstreamEventKind::Body:
        return handleBody(node, *call, event.bytes);
    case UpstreamEventKind::End:
        return handleEnd(node, *call);
    case UpstreamEventKind::Failed:
        return failDispatch(node, *call, event.failure, event.detail);
    }
}

static bool hasOtherUpstream(Node& node, const NodeCall& call)
{
    const std::vector<UpstreamId> avoid { call.upstream };
    return hasCandidate(node.router, { .pool = call.pool, .route = call.route, .avoid = avoid }, node.now);
}

void moveCall(Node& node, CallId id)
{
    NodeCall* call = findCall(node, id);
    // A once call cannot be moved; it is expected to finish before the reclaim.
    if (!call || !call->dispatch || call->repeat == Repeat::Once)
        return;
    // The run may end before the reclaim, and until then it is worth more than none.
    if (!hasOtherUpstream(node, *call))
        return;
    node.counters.add("calls_moved_before_reclaim");
    addLog(node, LogLevel::Info, "call_moved", Step::Route, call->upstreamName, "moved off an upstream that is about to be reclaimed",
        { { "call", formatCallId(id) }, { "offset", std::to_string(call->stream.offset) } });
    detachDispatch(node, *call, CallEnd::Cancelled, true);
    call->avoid.push_back(call->upstream);
    retryCall(node, *call, "the upstream is being reclaimed");
}

}
