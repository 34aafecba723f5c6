#include "node/ForwardFlow.h"

#include "base/Hash.h"
#include "forward/Overload.h"
#include "node/Answers.h"
#include "node/ColdFlow.h"
#include "node/CostFlow.h"
#include "node/FairShares.h"
#include "node/ForwardRelay.h"
#include "node/ForwardReport.h"
#include "node/RegionFlow.h"
#include "node/UpstreamLimits.h"
#include "node/VersionOrders.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

// A node without rules usually receives them within about a second.
static constexpr TimeMs noRulesRetryAfter { 500 };
// An upstream can return, or a new one announce itself, within one announcement interval.
static constexpr TimeMs noTargetRetryAfter { 700 };
// Connecting within a failure domain takes a few milliseconds; TCP resends a lost SYN only after a second.
static constexpr TimeMs connectTimeout { 400 };
// The same for an upstream that was not reached before, since most such attempts are in vain.
static constexpr TimeMs probeConnectTimeout { 200 };
// An upstream can close an idle connection at any moment, so a request that must not be repeated only uses a connection that
// was in use within this time.
static constexpr TimeMs onceMaxIdle { 1500 };
// With less time left no attempt is started: the upstream could not answer in time.
static constexpr TimeMs minAttemptTime { 10 };
// A stream that arrives later than this after the start of the drain could outlast the node.
static constexpr TimeMs drainStreamWindow { 2500 };
// Upper bound on the time in which requests that are not streams are answered.
static constexpr TimeMs maxDrainAnswerTime { 1500 };
// Another entry node accepts the request immediately.
static constexpr TimeMs drainingRetryAfter { 20 };
// A stream in progress that can be sent nowhere is tried again after this time.
static constexpr TimeMs resumeInterval { 100 };
static constexpr TimeMs minAllowanceRetryAfter { 100 };
static constexpr TimeMs minQuarantineRetryAfter { 1000 };
static constexpr size_t maxHistograms = 512;

ForwardState makeForwardState(const NodeOptions& options)
{
    const auto& settings = options.settings;
    ForwardState out;
    if (options.dialect)
        out.headers = options.dialect->headers;
    out.choice.domain = settings.failureDomain;
    out.regions.byDomain = regionsOfSettings(settings);
    out.allowances.options.slack = settings.forward.allowanceSlack;
    out.retryLimit = { settings.forward.retryWindow, settings.forward.retryRatio, settings.forward.retryExtra };
    out.usage.window = settings.duties.usageWindow;
    return out;
}

void setForwardRules(Node& node)
{
    node.forward.routes = makeRouteTable(node.rules);
    setColdRules(node);
    checkRegionRules(node);
    if (node.rules->intakes.empty())
        return;
    const auto& intake = node.rules->intakes.front();
    InputLimits limits = node.options.settings.limits;
    limits.headerBytes = intake.headerBytes;
    limits.bodyBytes = intake.bodyBytes;
    limits.headerTimeout = intake.headerTimeout;
    limits.idleTimeout = intake.idleTimeout;
    node.out.forwardLimits = limits;
}

void recordLeaving(Node& node, UpstreamId id, uint64_t incarnation)
{
    recordNotice(node.forward.leaving, node.now, { id, incarnation });
    if (ForwardTarget* target = findTarget(node.forward.targets, id); target && isRecordedLeaving(node, id, target->incarnation))
        target->leaving = true;
}

bool isRecordedLeaving(const Node& node, UpstreamId id, uint64_t incarnation)
{
    return isNoticeRecorded(node.forward.leaving, id, incarnation);
}

// One line per upstream is enough for the fleet: the node to which it announces itself writes it.
static LogLevel upstreamLogLevel(const ForwardTarget& target)
{
    return target.local ? LogLevel::Info : LogLevel::Debug;
}

// A leaving notice reaches a node directly; by gossip alone it can be late.
static void logLeavingByGossip(Node& node, const Upstream& upstream)
{
    node.counters.add("leaving_learned_by_gossip");
    addLog(node, LogLevel::Info, "upstream_leaving", Step::Announce, upstream.announced.name, "learned by gossip that the upstream accepts no new work",
        { { "leaving_ms_ago", upstream.leavingSince ? std::to_string((node.now - *upstream.leavingSince).value) : std::string("-") } });
}

// Announcements are checked where they arrive; nodes of earlier builds accepted any address and spread it. Logged once per address.
static void excludeUnreadableAddress(Node& node, const Upstream& upstream)
{
    auto& logged = node.forward.unreadableAddresses[upstream.id];
    if (logged != upstream.announced.address) {
        logged = upstream.announced.address;
        addLog(node, LogLevel::Warning, "upstream_address_unreadable", Step::Announce, upstream.announced.name, "the upstream gets no requests: its address is not IP:PORT", { { "address", logged } });
    }
    if (!findTarget(node.forward.targets, upstream.id))
        return;
    removeTarget(node.forward.targets, upstream.id);
    forgetUpstream(node.forward.parts, upstream.id);
}

void updateForwardTarget(Node& node, const Upstream& upstream)
{
    const auto& announced = upstream.announced;
    const ForwardTarget* known = findTarget(node.forward.targets, upstream.id);
    if ((!known || known->address != announced.address) && !parseEndpoint(announced.address))
        return excludeUnreadableAddress(node, upstream);
    ForwardTarget target;
    target.id = upstream.id;
    target.name = announced.name;
    target.address = announced.address;
    target.domain = announced.domain;
    target.region = regionOfDomain(node, announced.domain);
    target.version = announced.version;
    target.backend = announced.model;
    target.incarnation = announced.incarnation;
    target.sequence = announced.sequence;
    target.slots = std::max<uint32_t>(1, announced.load.capacity);
    target.reclaimable = announced.reclaimable;
    target.lastSeen = upstream.lastSeen;
    target.local = upstream.local;
    target.evacuated = isEvacuated(node, announced.domain);
    target.leaving = announced.leaving || isRecordedLeaving(node, upstream.id, announced.incarnation);
    const BackendRule* backend = node.forward.routes ? findBackend(*node.forward.routes, announced.model) : nullptr;
    target.engine = backend && backend->slots > 0;
    if (known && known->incarnation != announced.incarnation) {
        forgetUpstream(node.forward.parts, upstream.id);
        node.out.discardedPools.push_back(known->address);
        if (announced.address != known->address)
            node.out.discardedPools.push_back(announced.address);
    }
    if (target.leaving && !target.local && known && !known->leaving)
        logLeavingByGossip(node, upstream);
    if (!known && isAddressKnown(node.forward.targets, announced.address))
        node.out.discardedPools.push_back(announced.address);
    if (!known)
        addLog(node, upstreamLogLevel(target), "upstream_known", Step::Announce, announced.name, "a new upstream accepts requests", { { "backend", target.backend }, { "address", target.address }, { "version", target.version } });
    const bool started = !known || known->incarnation != announced.incarnation;
    ForwardTarget& entry = upsertTarget(node.forward.targets, target);
    updateColdTarget(node, entry);
    if (!started)
        return;
    resetReach(node.forward.reach[target.backend]);
    forgetRelayFailures(node, target.backend);
    inheritBrittle(node, entry);
}

void removeForwardTarget(Node& node, UpstreamId id)
{
    if (const ForwardTarget* target = findTarget(node.forward.targets, id))
        addLog(node, upstreamLogLevel(*target), "upstream_forgotten", Step::Announce, target->name, "removed: no announcement from the upstream for too long");
    removeTarget(node.forward.targets, id);
    forgetUpstream(node.forward.parts, id);
    node.forward.unreadableAddresses.erase(id);
}

void clearPendingPrefill(ForwardTarget& target, ForwardCall& call)
{
    auto& prefillTokens = target.own.prefillTokens[static_cast<size_t>(call.urgency)];
    prefillTokens = std::max(0.0, prefillTokens - call.prefillTokens);
    call.prefillTokens = 0;
}

void releaseTarget(Node& node, ForwardCall& call)
{
    if (!call.dispatch)
        return;
    node.forward.hubs.loadChanged = true;
    if (ForwardTarget* target = findTarget(node.forward.targets, call.target)) {
        target->own.running = std::max(0.0, target->own.running - 1);
        clearPendingPrefill(*target, call);
    }
    call.prefillTokens = 0;
    call.dispatch = 0;
}

static void recordHistogram(Node& node, const ForwardCall& call, std::string_view outcome)
{
    const auto key = std::pair(call.account ? call.account->name : std::string("-"), call.rule->name);
    if (!node.histograms.contains(key) && node.histograms.size() >= maxHistograms)
        return;
    auto& histograms = node.histograms[key];
    histograms.wholeCall.record(static_cast<uint64_t>((node.now - call.arrivedAt).value) * 1000);
    ++histograms.outcomes[std::string(outcome)];
}

void endForward(Node& node, ForwardCall& call, std::string_view outcome)
{
    const bool good = outcome == "answered";
    const auto elapsedText = [&](TimeMs at) { return at.value ? std::to_string((at - call.arrivedAt).value) : std::string("-"); };
    std::vector<std::pair<std::string, std::string>> fields { { "request", call.requestId }, { "fingerprint", formatHash(call.fingerprint) }, { "route", call.rule->name }, { "account", call.account ? call.account->name : "" }, { "backend", call.backend },
        { "status", std::to_string(call.status) }, { "stage", std::string(nameOf(call.stage)) }, { "sends", std::to_string(call.sendCount) }, { "may_have_run", std::to_string(call.possibleExecutions) },
        { "sent_ms", elapsedText(call.sentAt) }, { "expected_wait_ms", std::to_string(call.expectedWait.value) }, { "last_byte_ms", elapsedText(call.lastByteAt) }, { "took_ms", std::to_string((node.now - call.arrivedAt).value) },
        { "left_ms", std::to_string((call.deadline - node.now).value) }, { "forwarded_bytes", std::to_string(call.forwardedBytes) }, { "rules", std::to_string(call.routes->rules->revision) } };
    const auto cost = costFields(node, call);
    fields.insert(fields.end(), cost.begin(), cost.end());
    addLog(node, good ? LogLevel::Info : LogLevel::Warning, good ? "forward_answered" : "forward_ended", Step::Route, call.targetName, std::string(outcome), std::move(fields));
    node.counters.add("forward_" + std::string(outcome));
    recordHistogram(node, call, outcome);
    releaseTarget(node, call);
    node.forward.calls.erase(call.exchange);
}

static std::string errorBody(const std::string& code, const std::string& text, bool notRun)
{
    return boost::json::serialize(boost::json::object { { "error", boost::json::object { { "code", code }, { "message", text }, { "run", notRun ? "not-run" : "unknown" } } } });
}

static std::string formatSeconds(TimeMs time)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", time.seconds());
    return text;
}

static HttpHeaders refusalHeaders(const Node& node, const std::string& requestId, TimeMs retryAfter)
{
    HttpHeaders out { { "Content-Type", "application/json" } };
    if (!requestId.empty())
        out.emplace_back(node.forward.headers.requestId, requestId);
    if (retryAfter > TimeMs {})
        out.emplace_back(headers::retryAfter, formatSeconds(retryAfter));
    return out;
}

void refundCall(Node& node, ForwardCall& call)
{
    if (call.charged)
        refundAllowance(node.forward.allowances, call.account->name, call.cost);
    call.charged = false;
}

// Whether another entry node should try the request elsewhere.
static bool isUnrelayed(const ForwardCall& call, const std::string& code)
{
    return call.fromNode && !call.sendCount && (code == "no_upstream" || code == "upstream_full" || code == "leaving");
}

void refuseForward(Node& node, ForwardCall& call, uint16_t status, const std::string& code, const std::string& text, TimeMs retryAfter)
{
    if (call.headForwarded) {
        // The caller already has part of the answer; only closing the connection tells it that the answer is incomplete.
        node.counters.add("forward_answers_broken");
        node.out.answers.push_back({ .exchange = call.exchange, .part = AnswerPart::Abort });
        return endForward(node, call, code);
    }
    const bool notRun = status == 503 || status == 429;
    call.status = status;
    HttpHeaders headers = refusalHeaders(node, call.requestId, retryAfter);
    if (isUnrelayed(call, code))
        headers.push_back(unrelayableHeader(node));
    node.out.answers.push_back({ .exchange = call.exchange, .part = AnswerPart::Whole, .status = status, .headers = std::move(headers), .body = errorBody(code, text, notRun) });
    if (notRun)
        refundCall(node, call);
    endForward(node, call, code);
}

// Refuses a request for which no ForwardCall was created.
static void refuseArrival(Node& node, const RequestArrived& arrived, uint16_t status, const std::string& code, const std::string& text, TimeMs retryAfter = {}, const std::string& account = {})
{
    const std::string id(findHeader(arrived.request.headers, node.forward.headers.requestId));
    node.counters.add("forward_" + code);
    addLog(node, LogLevel::Warning, "forward_refused", Step::Route, arrived.peer, code,
        { { "request", id }, { "status", std::to_string(status) }, { "account", account }, { "target", std::string(pathOf(arrived.request.target)) }, { "rules", std::to_string(node.rules ? node.rules->revision : 0) }, { "retry_after_ms", std::to_string(retryAfter.value) } });
    HttpHeaders headers = refusalHeaders(node, id, retryAfter);
    // Other nodes may have newer rules; the allowance is that of all nodes.
    if (status != 429 && parseRelayed(node, arrived.request))
        headers.push_back(unrelayableHeader(node));
    node.out.answers.push_back({ .exchange = arrived.exchange, .part = AnswerPart::Whole, .status = status, .headers = std::move(headers), .body = errorBody(code, text, true) });
}

static std::string pickBackend(Node& node, const ForwardCall& call)
{
    uint64_t sum = 0;
    for (const auto& share : call.rule->to)
        sum += share.weight;
    uint64_t draw = node.random.below(sum);
    for (const auto& share : call.rule->to) {
        if (draw < share.weight)
            return share.backend;
        draw -= share.weight;
    }
    return call.rule->to.front().backend;
}

void dispatchAttempt(Node& node, ForwardCall& call, AttemptDestination&& destination)
{
    auto& forward = node.forward;
    call.stage = ForwardStage::Connecting;
    call.dispatch = ++node.lastDispatch;
    call.targetName = std::move(destination.name);
    call.silenceLogged = false;
    call.silenceRecorded = false;
    call.silenceCounted = false;
    call.eventsAtSend = call.events.events();
    call.sentAt = node.now;
    recordVersionSend(node, call);
    UpstreamDispatch dispatch;
    dispatch.dispatch = call.dispatch;
    dispatch.address = std::move(destination.address);
    dispatch.request = std::move(destination.request);
    // A repeated attempt is often the last one that the route allows, so it must not be lost on a stale connection. Those to an upstream
    // that was not reached may hang.
    dispatch.freshConnection = call.possibleExecutions > 0 || destination.unreached;
    dispatch.maxIdle = call.canRetry() ? TimeMs { 60000 } : onceMaxIdle;
    dispatch.connectTimeout = std::min(destination.unreached ? probeConnectTimeout : connectTimeout, call.deadline - node.now);
    dispatch.firstByteTimeout = dispatch.progressTimeout = call.deadline - node.now + 1_s;
    dispatch.idHeader = forward.headers.requestId;
    dispatch.idValue = call.requestId;
    forward.dispatches[call.dispatch] = call.exchange;
    node.out.dispatches.push_back(std::move(dispatch));
}

static void sendAttempt(Node& node, ForwardCall& call, const ForwardTarget& target, const TargetChoice& choice)
{
    auto& forward = node.forward;
    ForwardTarget& known = *findTarget(forward.targets, target.id);
    call.relay = {};
    call.target = target.id;
    call.targetIncarnation = target.incarnation;
    call.targetSequence = target.sequence;
    call.prefillTokens = choice.prefillTokens;
    call.tokensBeforeFirstEvent = choice.tokensBeforeFirstEvent;
    call.expectedWait = { static_cast<int64_t>(choice.waitMs) };
    recordCostAtSend(node, call, choice, known);
    call.tried.push_back(target.id);
    if (known.unreached)
        known.probeUntil = node.now + probeConnectTimeout;
    recordSend(known.limit, node.now);
    if (known.limit.perSecond)
        node.counters.add("forward_sent_to_limited");
    if (isCold(known.limit, node.now))
        node.counters.add("forward_sent_to_cold");
    known.own.running += 1;
    forward.hubs.loadChanged = true;
    known.own.prefillTokens[static_cast<size_t>(call.urgency)] += choice.prefillTokens;
    if (known.engine)
        forward.assignedPrefillTokens[known.backend] += choice.prefillTokens;
    for (const auto& part : call.parts) {
        recordPart(forward.parts, node.now, part.hash, target.id);
        if (part != call.parts.back())
            forward.placed.push_back({ part.hash, target.id });
    }
    HttpRequest request = call.request;
    addAttemptHeaders(request, forward.headers, target.name, call.deadline - node.now, call.events.lastEventId());
    dispatchAttempt(node, call, { .name = target.name, .address = target.address, .request = std::move(request), .unreached = known.unreached || forward.reach[call.backend].lost });
}

// A request that may already have run is sent on.
static bool isOverloaded(const Node& node, const ForwardCall& call, const TargetChoice& choice)
{
    return !call.possibleExecutions && isOverloaded(choice, call.rule->target, isOverShare(node, call));
}

// Refuses a request for which the engines have no time: they are busy for too long, or its account is above its share.
static bool refuseForLoad(Node& node, ForwardCall& call, const TargetChoice& choice)
{
    if (refuseOverShare(node, call, choice))
        return true;
    if (!isOverloaded(node, call, choice))
        return false;
    withdrawAdmission(node, call);
    const TimeMs backlog { static_cast<int64_t>(choice.backlogMs) };
    refuseForward(node, call, 503, "overloaded", "all engines are busy for longer than the route's target", isOverShare(node, call) ? std::max(backlog, returnTime(node, call)) : backlog);
    return true;
}

bool canSendElsewhere(const Node& node, const ForwardCall& call)
{
    const ChoiceRequest request { .backend = call.backend, .tried = call.tried, .allowed = versionFallback(node, call.backend), .regions = &call.regions };
    return hasHealthyTarget(node.forward.targets, node.forward.choice, request, node.now);
}

void waitToResume(Node& node, ForwardCall& call, bool needsPermit, TimeMs pause)
{
    call.stage = ForwardStage::Waiting;
    call.resumeAt = node.now + std::max(resumeInterval, pause);
    call.needsPermit = needsPermit;
}

// One node of the fleet tries a quarantined subject again; all nodes choose the same one.
static bool triesAgain(const Node& node, const QuarantinedSubject& quarantined)
{
    if (node.now < quarantined.retryAt)
        return false;
    const auto nodes = sendingNodes(node);
    const auto chosen = std::max_element(nodes.begin(), nodes.end(), [&](NodeId a, NodeId b) { return combineHash(quarantined.subject, a.value) < combineHash(quarantined.subject, b.value); });
    return chosen != nodes.end() && *chosen == node.self;
}

// Refuses a request that crashes upstreams, or has a prompt part that does; returns false if it is sound, or the one that tries again.
static bool refuseQuarantined(Node& node, ForwardCall& call)
{
    const auto quarantined = findQuarantined(node.forward.quarantine, node.now, contentOf(call));
    if (!quarantined)
        return false;
    const std::string kind(nameOf(quarantined->kind));
    const std::string subject = formatHash(quarantined->subject);
    if (triesAgain(node, *quarantined)) {
        recordTry(node.forward.quarantine, node.now, quarantined->subject);
        addLog(node, LogLevel::Info, kind + "_tried", Step::Route, subject, "one request tries again whether upstreams still crash", { { "request", call.requestId } });
        return false;
    }
    if (node.forward.quarantineLogged.insert(quarantined->subject).second)
        addLog(node, LogLevel::Warning, kind + "_quarantined", Step::Route, subject, "requests with this content are refused: upstreams crash on it",
            { { "crashes", std::to_string(quarantined->crashes) }, { "request", call.requestId }, { "retry_ms", std::to_string((quarantined->retryAt - node.now).value) } });
    const TimeMs retryAfter = std::max(quarantined->retryAt - node.now, minQuarantineRetryAfter);
    refuseForward(node, call, call.possibleExecutions ? 502 : 503, kind + "_quarantined", "upstreams crash on the content of the request", call.possibleExecutions ? TimeMs {} : retryAfter);
    return true;
}

// Charges a request that was given back to the allowance when it went to another entry node, before this node sends it itself. Returns false if
// the allowance is used up.
static bool chargeAgain(Node& node, ForwardCall& call)
{
    if (!call.account || call.charged || call.possibleExecutions)
        return true;
    call.charged = consumeAllowance(node.forward.allowances, node.now, *call.account, call.cost);
    return call.charged;
}

// Whether an attempt of this node is in vain: it reaches no upstream, or the node which has sent the request can ask others that reach more.
static bool isFutile(Node& node, const ForwardCall& call, ReachedShare reached)
{
    if (call.fromNode)
        return reached == ReachedShare::None || (reached == ReachedShare::Few && !call.fromUnreaching) || lacksPlaces(node, call.backend);
    return node.forward.reach[call.backend].lost && hasOtherEntryNodes(node);
}

// Whether there is an upstream that is not reached and should be tried again.
static bool canProbe(const Node& node, const ForwardCall& call)
{
    const auto& forward = node.forward;
    const auto reach = forward.reach.find(call.backend);
    if (reach != forward.reach.end() && reach->second.lost)
        return true;
    const ChoiceRequest request { .backend = call.backend, .tried = call.tried, .allowed = [](const ForwardTarget& target) { return target.unreached; }, .regions = &call.regions };
    return hasHealthyTarget(forward.targets, forward.choice, request, node.now);
}

void startAttempt(Node& node, ForwardCall& call)
{
    auto& forward = node.forward;
    if (refuseQuarantined(node, call))
        return;
    if (call.deadline - node.now <= minAttemptTime)
        return refuseForward(node, call, call.possibleExecutions ? 504 : 503, "out_of_time", "the time for an answer is over");
    const ReachedShare reached = reachedShare(node, call.backend);
    const bool probes = reached != ReachedShare::Most && canProbe(node, call) && takeProbe(forward.reach[call.backend], node.now);
    const bool relay = !probes && prefersRelay(node, call, reached);
    if (relay && relayForward(node, call))
        return;
    if (!probes && !call.headForwarded && isFutile(node, call, reached))
        return refuseForward(node, call, call.possibleExecutions ? 502 : 503, "no_upstream", "no upstream of " + call.backend + " is reached", call.possibleExecutions ? TimeMs {} : noTargetRetryAfter);
    ChoiceRequest request { .backend = call.backend, .parts = call.parts, .promptTokens = call.promptTokens, .urgency = call.urgency, .tried = call.tried, .triesUnreached = probes, .allowed = versionFilter(node, call), .regions = &call.regions };
    auto choice = chooseTarget(forward.targets, forward.parts, forward.choice, request, node.now, node.random);
    if (!choice) {
        request.allowed = versionFallback(node, call.backend);
        choice = chooseTarget(forward.targets, forward.parts, forward.choice, request, node.now, node.random);
    }
    if (!choice && call.headForwarded) {
        call.tried.clear();
        return waitToResume(node, call, false);
    }
    // Only upstreams are left that take no more requests now than they already get.
    if (const auto wait = timeUntilTarget(forward.targets, call.backend, node.now, &call.regions); !choice && wait && !call.possibleExecutions)
        return refuseForward(node, call, 503, "upstream_limit", "the upstreams of " + call.backend + " take no more requests now", std::max(*wait, 1_ms));
    if (!choice)
        return refuseForward(node, call, call.possibleExecutions ? 502 : 503, "no_upstream", "no upstream of " + call.backend + " takes requests", call.possibleExecutions ? TimeMs {} : noTargetRetryAfter);
    const ForwardTarget& target = *findTarget(forward.targets, choice->target);
    if (target.engine && refuseForLoad(node, call, *choice))
        return;
    if (!chargeAgain(node, call)) {
        withdrawAdmission(node, call);
        return refuseForward(node, call, 429, "over_allowance", "the account has used its allowance", std::max(timeUntilAllowance(node.forward.allowances, node.now, *call.account, call.cost), minAllowanceRetryAfter));
    }
    sendAttempt(node, call, target, *choice);
}

static ForwardCall& addCall(Node& node, RequestArrived&& arrived, const ForwardRule& rule, const AllowanceRule* account, ForwardMetadata&& metadata, double cost)
{
    auto& forward = node.forward;
    auto& call = *(forward.calls[arrived.exchange] = std::make_unique<ForwardCall>());
    call.exchange = arrived.exchange;
    call.requestId = std::move(metadata.requestId);
    call.routes = forward.routes;
    call.rule = &rule;
    call.account = account;
    call.regions = allowedRegions(forward.routes->regions, rule.name, account ? std::string_view(account->name) : std::string_view {});
    call.urgency = urgencyOf(*forward.routes, account, rule);
    call.arrivedAt = node.now;
    call.callerDeadline = node.now + metadata.timeLeft.value_or(rule.timeout);
    call.deadline = std::min(call.callerDeadline, node.now + rule.timeout);
    call.cost = cost;
    call.charged = account != nullptr;
    call.authorization = findHeader(arrived.request.headers, "Authorization");
    call.parts = std::move(metadata.parts);
    call.promptTokens = metadata.promptTokens;
    call.outputLimit = metadata.outputLimit;
    call.lengthHint = metadata.lengthHint;
    call.fingerprint = fingerprintOf(arrived.request, account ? account->name : std::string_view {});
    call.request = requestForUpstreams(std::move(arrived.request), forward.headers, account ? account->name : std::string {}, call.urgency);
    return call;
}

void acceptForward(Node& node, RequestArrived&& arrived)
{
    auto& forward = node.forward;
    const auto& request = arrived.request;
    const TimeMs drainingFor = node.draining ? node.now - node.drainSince : TimeMs {};
    if (!forward.routes)
        return refuseArrival(node, arrived, 503, "no_rules", "this node has no rules yet", noRulesRetryAfter);
    const ForwardRule* rule = findForward(*forward.routes, findHeader(request.headers, "Host"), pathOf(request.target));
    if (!rule)
        return refuseArrival(node, arrived, 404, "unknown_route", "no forward rule matches the host and the path");
    const AllowanceRule* account = nullptr;
    if (!forward.routes->rules->allowances.empty()) {
        const auto key = bearerToken(request);
        account = key.empty() ? nullptr : findAccountOfKey(*forward.routes, key);
        if (!account && !(key.empty() && rule->anonymous))
            return refuseArrival(node, arrived, 401, "unauthorized", "the caller key is missing or unknown");
    }
    // A draining node accepts only requests that it can still answer completely.
    const TimeMs acceptWindow = rule->kind == ForwardKind::Stream ? drainStreamWindow : node.options.settings.timings.drainLimit - std::min(rule->timeout, maxDrainAnswerTime);
    if (drainingFor > acceptWindow)
        return refuseArrival(node, arrived, 503, "leaving", "this node is leaving", drainingRetryAfter);
    ForwardMetadata metadata = parseForwardMetadata(request.headers, forward.headers);
    const double cost = !account ? 0 : account->tokens ? static_cast<double>(metadata.tokens.value_or(static_cast<uint64_t>(account->plainTokens)))
                                                       : 1;
    if (account && !consumeAllowance(forward.allowances, node.now, *account, cost))
        return refuseArrival(node, arrived, 429, "over_allowance", "the account has used its allowance", std::max(timeUntilAllowance(forward.allowances, node.now, *account, cost), minAllowanceRetryAfter), account->name);
    const auto relayed = parseRelayed(node, request);
    ForwardCall& call = addCall(node, std::move(arrived), *rule, account, std::move(metadata), cost);
    call.backend = pickBackend(node, call);
    call.fromNode = relayed.has_value();
    call.fromUnreaching = relayed && relayed->anyReach;
    call.possibleExecutions = relayed ? relayed->possibleExecutions : 0;
    // The node to which the caller has sent the request counts it.
    if (!call.fromNode)
        recordFirstSend(forward.retries[call.backend], forward.retryLimit, node.now, call.canResume());
    if (refuseWithoutRegion(node, call))
        return;
    startAttempt(node, call);
}

bool handleForwardCallerDisconnect(Node& node, ExchangeId exchange)
{
    const auto it = node.forward.calls.find(exchange);
    if (it == node.forward.calls.end())
        return false;
    ForwardCall& call = *it->second;
    recordVersionCallerGone(node, call);
    cancelDispatch(node, call);
    endForward(node, call, "caller_gone");
    return true;
}

}
