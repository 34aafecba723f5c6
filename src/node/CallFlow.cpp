#include "node/CallFlow.h"

#include "node/Answers.h"
#include "node/ExplainFlow.h"
#include "node/MovesFlow.h"
#include "node/OnceFlow.h"
#include "routing/Pools.h"
#include "rules/RuleMatch.h"

#include <algorithm>

namespace siskinshunt {

static constexpr size_t maxHistograms = 4096;

NodeCall* findCall(Node& node, CallId id)
{
    const auto it = node.calls.find(id);
    return it == node.calls.end() ? nullptr : it->second.get();
}

CallId publicCallId(const NodeCall& call)
{
    return call.joined ? call.joined : call.id;
}

NodeCall& addCall(Node& node, CallId id)
{
    auto& slot = node.calls[id];
    slot = std::make_unique<NodeCall>();
    slot->id = id;
    return *slot;
}

TimeMs retryAfterOf(const Node& node, const NodeCall& call)
{
    const auto it = node.queues.find(call.pool);
    const TimeMs wait = it == node.queues.end() ? TimeMs {} : expectedWait(it->second, call.priority, 1);
    return std::max(minimumRetryAfter, wait);
}

static ClassHistograms* histogramsOf(Node& node, const NodeCall& call)
{
    const auto key = std::make_pair(call.account, call.className);
    const auto it = node.histograms.find(key);
    if (it != node.histograms.end())
        return &it->second;
    return node.histograms.size() < maxHistograms ? &node.histograms[key] : nullptr;
}

static void recordOutcome(Node& node, const NodeCall& call, std::string_view outcome)
{
    auto* histograms = histogramsOf(node, call);
    if (!histograms)
        return;
    ++histograms->outcomes[std::string(outcome)];
    if (outcome == "ok")
        histograms->wholeCall.record(static_cast<uint64_t>((node.now - call.arrived).value) * 1000);
    if (call.firstTokenEver)
        histograms->firstToken.record(static_cast<uint64_t>((call.firstTokenAt - call.arrived).value) * 1000);
}

void stopDispatch(Node& node, NodeCall& call)
{
    if (!call.dispatch)
        return;
    recordEnd(node.router, call.id, call.attempts, CallEnd::Cancelled, node.now);
    node.out.cancels.push_back(call.dispatch);
    node.byDispatch.erase(call.dispatch);
    call.dispatch = 0;
}

static SentCall sentCallOf(const NodeCall& call, uint32_t attempt)
{
    const auto tokens = static_cast<uint32_t>(call.model.promptTokens + call.stream.offset);
    return { .call = call.id, .attempt = attempt, .upstream = call.upstream, .priority = call.priority, .promptTokens = tokens, .cachedTokens = call.expectedCached };
}

void planDispatch(Node& node, const NodeCall& call)
{
    recordSent(node.router, sentCallOf(call, call.attempts + 1), node.now);
}

void cancelPlannedDispatch(Node& node, const NodeCall& call)
{
    recordEnd(node.router, call.id, call.attempts + 1, CallEnd::Cancelled, node.now);
}

void endCall(Node& node, NodeCall& call, std::string_view outcome)
{
    recordOutcome(node, call, outcome);
    cancelPlannedDispatch(node, call);
    if (call.admitted)
        finishCall(node.limiter, call.account, call.className, static_cast<uint32_t>(call.usage.completionTokens), node.now);
    stopDispatch(node, call);
    if (call.queuedBytes) {
        node.queuedBytes -= call.queuedBytes;
        if (const auto it = node.queues.find(call.pool); it != node.queues.end())
            removeCall(it->second, call.id);
    }
    if (call.exchange)
        node.byExchange.erase(call.exchange);
    const std::string pool = call.pool;
    node.calls.erase(call.id);
    pumpQueue(node, pool);
}

// Sends a refusal to the caller. A stream that has begun ends with an error event, so that it is never cut off silently.
static void sendRefusal(Node& node, NodeCall& call, const Refusal& refusal)
{
    if (!call.exchange)
        return;
    if (!call.headForwarded)
        answerRefusal(node, call.exchange, refusal);
    else {
        node.counters.add("streams_ended_with_error");
        node.out.answers.push_back({ call.exchange, AnswerPart::Body, 0, {}, "event: error\ndata: " + refusalBody(refusal) + "\n\n" });
        node.out.answers.push_back({ call.exchange, AnswerPart::End, 0, {}, {} });
    }
    node.byExchange.erase(call.exchange);
    call.exchange = 0;
}

void refuseCall(Node& node, NodeCall& call, RefusalCode code, std::string message, TimeMs retryAfter)
{
    if (call.reservedInLedger || (call.dispatchedInLedger && call.dispatchState == DispatchState::NothingSent))
        return recordRefusal(node, call, code, std::move(message), retryAfter);
    const Refusal refusal { code, runStatusOf(call.dispatchState), std::move(message), formatCallId(publicCallId(call)), retryAfter };
    explainCall(node, code == RefusalCode::OutcomeUnknown ? DecisionCode::OutcomeUnknown : DecisionCode::Refuse, call,
        std::string(nameOf(code)) + ", " + std::string(nameOf(refusal.run)) + ": " + refusal.message);
    sendRefusal(node, call, refusal);
    endCall(node, call, nameOf(code));
}

void answerWhole(Node& node, NodeCall& call, uint16_t status, const HttpHeaders& headers, std::string body, bool stored)
{
    if (!call.exchange)
        return;
    HttpHeaders out;
    for (const auto& [name, value] : headers) {
        if (equalHeaderNames(name, headers::contentType) || equalHeaderNames(name, "Location") || equalHeaderNames(name, "ETag") || equalHeaderNames(name, headers::retryAfter))
            out.emplace_back(name, value);
    }
    out.emplace_back(headers::call, formatCallId(publicCallId(call)));
    out.emplace_back(headers::run, std::string(nameOf(runStatusOf(call.dispatchState))));
    if (stored)
        out.emplace_back("Siskinshunt-Stored", "true");
    node.out.answers.push_back({ call.exchange, AnswerPart::Whole, status, std::move(out), std::move(body) });
    node.byExchange.erase(call.exchange);
    call.exchange = 0;
}

void handleCallerDisconnect(Node& node, ExchangeId exchange)
{
    const auto it = node.byExchange.find(exchange);
    if (it == node.byExchange.end())
        return;
    const CallId id = it->second;
    node.byExchange.erase(it);
    NodeCall* call = findCall(node, id);
    if (!call)
        return;
    call->exchange = 0;
    node.counters.add("callers_gone");
    // An accepted once call continues: its caller can ask for the outcome.
    if (call->repeat == Repeat::Yes || call->stage == CallStage::Joining)
        endCall(node, *call, "caller_gone");
}

static void refuseQueued(Node& node, const std::vector<RefusedCall>& refused)
{
    for (const auto& it : refused) {
        NodeCall* call = findCall(node, it.call);
        if (!call)
            continue;
        node.queuedBytes -= call->queuedBytes;
        call->queuedBytes = 0;
        const TimeMs retryAfter = std::max(minimumRetryAfter, it.retryAfter);
        if (it.reason == QueueRefusal::Late)
            refuseCall(node, *call, RefusalCode::DeadlineUnreachable, "the call cannot be answered before its deadline", retryAfter);
        else
            refuseCall(node, *call, RefusalCode::QueueFull, it.reason == QueueRefusal::Full ? "the queue is full" : "the queue is full and the account uses the largest part of it", retryAfter);
    }
}

static TimeMs expectedService(const NodeCall& call)
{
    static constexpr int64_t tokenMs = 20;
    return call.isModel ? TimeMs { 200 + static_cast<int64_t>(call.model.maxTokens) * tokenMs } : TimeMs { 50 };
}

// How long a pool has had no upstream that accepts calls.
static TimeMs poolEmptyTime(Node& node, const std::string& pool)
{
    const auto it = node.router.pools.find(pool);
    if (it != node.router.pools.end()) {
        refreshPool(node.router, it->second);
        if (it->second.members) {
            node.poolEmptySince.erase(pool);
            return {};
        }
    }
    return node.now - node.poolEmptySince.try_emplace(pool, node.now).first->second;
}

// Longer than a restart of an upstream or a replaced announcement takes. Calls of a pool that has been empty for longer are
// refused instead of queued.
static constexpr TimeMs emptyPoolTimeout { 3000 };
static constexpr TimeMs emptyPoolRetryAfter { 2000 };

static void refuseForEmptyPool(Node& node, NodeCall& call)
{
    refuseCall(node, call, RefusalCode::NoUpstream, "no upstream of '" + call.pool + "' takes work at the moment", emptyPoolRetryAfter);
}

void enqueueCall(Node& node, NodeCall& call)
{
    if (poolEmptyTime(node, call.pool) >= emptyPoolTimeout)
        return refuseForEmptyPool(node, call);
    auto& queue = node.queues[call.pool];
    const auto& classRule = findClass(*node.rules, call.className);
    setQueueBounds(queue, call.className, call.priority, { classRule.queueRequests, classRule.queueBytes });
    call.stage = CallStage::Queued;
    call.queuedBytes = call.request.body.size() + 512;
    node.queuedBytes += call.queuedBytes;
    const QueuedCall entry {
        .call = call.id,
        .account = call.account,
        .weight = call.weight,
        .className = call.className,
        .priority = call.priority,
        .arrived = call.arrived,
        .deadline = call.deadline,
        // Bounded by half of the time: a long generation is not refused as long as it can start in time.
        .service = std::min(expectedService(call), (call.deadline - call.arrived) / 2),
        .cost = 1,
        .bytes = call.queuedBytes,
    };
    std::vector<RefusedCall> refused;
    enqueue(queue, entry, node.now, refused);
    const std::string pool = call.pool;
    refuseQueued(node, refused);
    pumpQueue(node, pool);
}

// An engine can batch a few calls beyond its stated capacity. Further calls would wait inside the engine, where the order of the
// classes does not apply, so they stay queued here.
bool poolHasRoom(Node& node, const std::string& pool)
{
    const auto it = node.router.pools.find(pool);
    if (it == node.router.pools.end())
        return false;
    refreshPool(node.router, it->second);
    for (const auto& group : it->second.groups) {
        for (const auto& entry : group.subset) {
            const auto& row = node.router.rows[entry.slot];
            if (row.ownCalls + row.othersCalls < row.load.capacity + row.load.capacity / 4 + 2)
                return true;
        }
    }
    return false;
}

void pumpQueue(Node& node, const std::string& pool)
{
    const auto it = node.queues.find(pool);
    if (it == node.queues.end())
        return;
    std::vector<RefusedCall> refused;
    while (poolHasRoom(node, pool)) {
        const auto entry = dequeue(it->second, node.now, refused);
        if (!entry)
            break;
        NodeCall* call = findCall(node, entry->call);
        if (!call)
            continue;
        // The remaining slots are reserved for more urgent calls, so no call behind this one would get one either.
        if (!tryDispatch(node, *call, true)) {
            enqueue(it->second, *entry, node.now, refused);
            break;
        }
        node.queuedBytes -= call->queuedBytes;
        call->queuedBytes = 0;
    }
    refuseQueued(node, refused);
}

// A call is denied the slots reserved for more urgent calls only for a fraction of its time to the deadline.
static bool canBeHeldBack(const Node& node, const NodeCall& call)
{
    static constexpr int64_t holdDeadlineDivisor = 10;
    static constexpr TimeMs maxHold { 20000 };
    const TimeMs hold = std::min(maxHold, (call.deadline - call.arrived) / holdDeadlineDivisor);
    return call.isModel && call.priority > 0 && node.now < call.arrived + hold;
}

bool chooseUpstream(Node& node, NodeCall& call, bool canWait)
{
    const RouteRequest request {
        .pool = call.pool,
        .route = call.route,
        .blocks = call.blocks,
        .promptTokens = static_cast<uint32_t>(call.model.promptTokens + call.stream.offset),
        .outputTokens = call.model.maxTokens,
        .priority = call.priority,
        .firstTokenTarget = call.firstTokenTarget,
        .canQueue = canWait && canBeHeldBack(node, call),
        .repeatable = call.repeat == Repeat::Yes,
        .avoid = call.avoid,
    };
    auto choice = choose(node.router, request, node.now);
    if (choice.reason == ChoiceReason::NoUpstream && !call.avoid.empty()) {
        // Every upstream has failed this call once; one of them may work again.
        call.avoid.clear();
        choice = choose(node.router, request, node.now);
    }
    const Upstream* upstream = choice.upstream ? findUpstream(node.membership.upstreams, choice.upstream) : nullptr;
    if (!upstream)
        return false;
    call.upstream = choice.upstream;
    call.expectedCached = choice.cachedTokens;
    call.upstreamName = upstream->announced.name;
    call.address = upstream->announced.address;
    call.version = upstream->announced.version;
    explainCall(node, DecisionCode::Route, call, std::string(nameOf(choice.reason)) + ", expected first token in " + std::to_string(static_cast<int64_t>(choice.expectedMs)) + " ms, " + std::to_string(choice.cachedTokens) + " tokens cached, " + std::to_string(choice.candidates) + " candidates");
    return true;
}

bool tryDispatch(Node& node, NodeCall& call, bool canWait)
{
    if (!chooseUpstream(node, call, canWait))
        return false;
    if (call.repeat == Repeat::Once)
        commitDispatch(node, call);
    else
        sendDispatch(node, call);
    return true;
}

static HttpHeaders dispatchHeaders(const NodeCall& call)
{
    HttpHeaders headers = call.request.headers;
    headers.emplace_back(headers::call, formatCallId(call.id));
    headers.emplace_back(headers::attempt, std::to_string(call.attempts));
    headers.emplace_back(headers::priority, std::to_string(call.priority));
    if (call.stream.offset)
        headers.emplace_back(headers::offset, std::to_string(call.stream.offset));
    return headers;
}

static std::string forwardedText(const NodeCall& call)
{
    std::string text;
    for (const auto& data : call.stream.forwarded)
        text += extractEventText(data);
    return text;
}

// Time without a first byte after which the upstream counts as silent. The first byte of an answer that is not streamed comes
// only at the end, so three times its expected duration is added.
static TimeMs firstByteTimeout(const Node& node, const NodeCall& call)
{
    // Ends after the deadline, so that a slow upstream is not treated as silent: the deadline ends the call itself.
    const TimeMs left = std::max(TimeMs { 0 }, call.deadline - node.now) + TimeMs { 1000 };
    if (call.repeat == Repeat::Once)
        return left + TimeMs { 60000 };
    const TimeMs progress = node.options.settings.timings.progressTimeout;
    const TimeMs usual = call.isModel && !call.model.stream ? expectedService(call) * 3 : TimeMs {};
    return std::min(left, progress + usual);
}

void sendDispatch(Node& node, NodeCall& call)
{
    ++call.attempts;
    call.dispatch = ++node.lastDispatch;
    node.byDispatch[call.dispatch] = call.id;
    call.stage = CallStage::Connecting;
    call.dispatchedAt = node.now;
    call.firstTokenSeen = false;
    call.reader = EventReader {};
    call.body.clear();
    call.streaming = false;
    UpstreamDispatch dispatch;
    dispatch.dispatch = call.dispatch;
    dispatch.address = call.address;
    dispatch.request = { call.request.method, call.request.target, dispatchHeaders(call),
        call.stream.offset ? withResume(call.request.body, call.stream.offset, forwardedText(call)) : call.request.body };
    dispatch.freshConnection = call.repeat == Repeat::Once || call.attempts > 1;
    dispatch.connectTimeout = node.options.settings.timings.connectTimeout;
    dispatch.firstByteTimeout = firstByteTimeout(node, call);
    dispatch.progressTimeout = node.options.settings.timings.progressTimeout;
    recordSent(node.router, sentCallOf(call, call.attempts), node.now);
    if (auto* histograms = histogramsOf(node, call); histograms && call.attempts == 1)
        histograms->queued.record(static_cast<uint64_t>((node.now - call.arrived).value) * 1000);
    node.counters.add("dispatches");
    node.out.dispatches.push_back(std::move(dispatch));
}

static bool handleDeadline(Node& node, NodeCall& call)
{
    if (node.now < call.deadline)
        return false;
    if (call.stage == CallStage::Reserving || call.stage == CallStage::Recording || call.stage == CallStage::Committing)
        return false;
    if (call.repeat == Repeat::Once && call.dispatchState == DispatchState::PossiblySent) {
        // The outcome may still arrive and is recorded then. The caller is told now that it is unknown and where to ask for it.
        sendRefusal(node, call, { RefusalCode::DeadlineExceeded, RunStatus::Unknown, "no outcome before the deadline; ask GET /v1/calls/" + formatCallId(publicCallId(call)), formatCallId(publicCallId(call)), drainRetryAfter });
        return false;
    }
    if (call.stage == CallStage::Joining)
        sendRefusal(node, call, { RefusalCode::DeadlineExceeded, RunStatus::Unknown, "the first call with this key has no outcome yet; ask GET /v1/calls/" + formatCallId(publicCallId(call)), formatCallId(publicCallId(call)), drainRetryAfter });
    refuseCall(node, call, RefusalCode::DeadlineExceeded, "the deadline of the class has passed", retryAfterOf(node, call));
    return true;
}

void endCalls(Node& node)
{
    std::vector<CallId> ids;
    for (const auto& [id, call] : node.calls)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const CallId id : ids) {
        NodeCall* call = findCall(node, id);
        if (!call || !call->exchange)
            continue;
        // The ledger decides what becomes of a once call; no commit is awaited any more.
        const std::string publicId = formatCallId(publicCallId(*call));
        if (call->repeat == Repeat::Once)
            sendRefusal(node, *call, { RefusalCode::OutcomeUnknown, RunStatus::Unknown, "this node is leaving; ask another one, GET /v1/calls/" + publicId, publicId, drainRetryAfter });
        else
            refuseCall(node, *call, RefusalCode::Draining, "the drain limit of this node ends the call", drainRetryAfter);
    }
}

static void tickWaiting(Node& node, NodeCall& call)
{
    if (node.now < call.retryAt)
        return;
    if (call.needsRetry) {
        if (!tryConsumeRetry(node.retryBudgets[call.route]))
            return;
        node.counters.add("retries");
        call.needsRetry = false;
    }
    if (!tryDispatch(node, call, false))
        call.retryAt = node.now + TimeMs { 50 };
}

void tickCalls(Node& node)
{
    for (auto& [pool, queue] : node.queues) {
        std::vector<RefusedCall> refused;
        tickQueue(queue, node.now, refused);
        refuseQueued(node, refused);
    }
    std::vector<CallId> ids;
    for (const auto& [id, call] : node.calls) {
        if (node.now >= call->deadline || call->stage == CallStage::Waiting || call->stage == CallStage::Queued || call->stage == CallStage::Joining || call->stage == CallStage::Recording)
            ids.push_back(id);
    }
    // In a fixed order, so that simulated runs are reproducible from their seed.
    std::sort(ids.begin(), ids.end());
    for (const CallId id : ids) {
        NodeCall* call = findCall(node, id);
        if (!call || handleDeadline(node, *call))
            continue;
        // The caller of a stream in progress can wait for an engine until the deadline.
        const bool waits = !call->headForwarded && (call->stage == CallStage::Waiting || call->stage == CallStage::Queued);
        if (waits && poolEmptyTime(node, call->pool) >= emptyPoolTimeout) {
            refuseForEmptyPool(node, *call);
            continue;
        }
        if (call->stage == CallStage::Waiting)
            tickWaiting(node, *call);
        else if (call->stage == CallStage::Joining || call->stage == CallStage::Recording)
            tickOnceCall(node, *call);
    }
    for (auto& [pool, queue] : node.queues)
        pumpQueue(node, pool);
    // Tracked for every known pool, so that the first call of a pool that has been empty for long is refused immediately as well.
    for (const auto& [pool, unused] : node.router.pools)
        poolEmptyTime(node, pool);
    std::erase_if(node.poolEmptySince, [&](const auto& it) { return !node.queues.contains(it.first) && !node.router.pools.contains(it.first); });
}

}
