#include "node/ForwardFlow.h"
#include "soak/ForwardSchedule.h"

#include <algorithm>

namespace siskinshunt::forwardsoak {

// An upstream stops a run at the latest this long after the node has closed its connection.
static constexpr int64_t longestStopMs = 390;
static constexpr TimeMs overlapLimit { 400 };
static constexpr TimeMs lateSendLimit { 500 };
static constexpr uint64_t largeBody = 1200000;

namespace {

    enum class RunFault : uint8_t {
        None,
        ErrorStatus,
        OtherRequest, ///< The response names another request.
        NoReceipt,
        Reset,
        Malformed,
        EndInsideEvent,
        BytesAfterEnd,
    };

}

Server* findServer(ForwardSchedule& schedule, const std::string& name)
{
    const auto it = std::find_if(schedule.servers.begin(), schedule.servers.end(), [&](const auto& server) { return server.name == name; });
    return it == schedule.servers.end() ? nullptr : &*it;
}

Server* serverAt(ForwardSchedule& schedule, const std::string& address)
{
    const auto it = std::find_if(schedule.servers.begin(), schedule.servers.end(), [&](const auto& server) { return server.up && server.address == address; });
    return it == schedule.servers.end() ? nullptr : &*it;
}

std::string newAddress(ForwardSchedule& schedule)
{
    return "127.0.0.2:" + std::to_string(9000 + ++schedule.addresses);
}

// Connections.

static std::string header(const ForwardSchedule& schedule, const Send& send, std::string HeaderNames::*name)
{
    return std::string(findHeader(send.dispatch.request.headers, schedule.names.*name));
}

static void checkSend(ForwardSchedule& schedule, const Send& send)
{
    const Caller& caller = schedule.callers[send.exchange];
    const std::string target = header(schedule, send, &HeaderNames::target);
    const Server* server = findServer(schedule, target);
    if (caller.ended)
        violate(schedule, send.exchange, "sent after the end of its answer");
    if (caller.leftAt)
        violate(schedule, send.exchange, "sent after its caller left");
    if (!server || server->leaving)
        violate(schedule, send.exchange, "sent to " + target + ", which is leaving");
    else if (server->backend != caller.route.backend)
        violate(schedule, send.exchange, "sent to " + server->backend + " where its route allows " + caller.route.backend);
    if (std::stoll(header(schedule, send, &HeaderNames::timeLeft)) > std::max<int64_t>(1, (caller.deadline - schedule.now).value))
        violate(schedule, send.exchange, "sent with more time than is left");
    if (header(schedule, send, &HeaderNames::account) != caller.account || !findHeader(send.dispatch.request.headers, "Authorization").empty())
        violate(schedule, send.exchange, "sent with a wrong account");
}

void addSend(ForwardSchedule& schedule, UpstreamDispatch&& dispatch)
{
    Send send { .dispatch = std::move(dispatch), .connectAt = schedule.now + TimeMs { schedule.random.between(0, 8) } };
    send.exchange = std::stoull(header(schedule, send, &HeaderNames::requestId).substr(1));
    const std::string target = header(schedule, send, &HeaderNames::target);
    note(schedule, send.exchange, "send d" + std::to_string(send.dispatch.dispatch) + " to " + target + " " + send.dispatch.address + ", left " + header(schedule, send, &HeaderNames::timeLeft) + ", after " + header(schedule, send, &HeaderNames::lastEvent));
    checkSend(schedule, send);
    const Server* server = findServer(schedule, target);
    const bool listening = serverAt(schedule, send.dispatch.address);
    const bool unreachable = (server && !listening && server->unreachable) || schedule.random.chance(schedule.faulty ? 0.01 : 0);
    if (unreachable) {
        send.connectFailure = UpstreamFailure::ConnectTimeout;
        send.connectAt = schedule.now + send.dispatch.connectTimeout;
    } else if (!listening)
        send.connectFailure = UpstreamFailure::ConnectFailed;
    const DispatchId id = send.dispatch.dispatch;
    schedule.sends.emplace(id, std::move(send));
}

void closeSend(ForwardSchedule& schedule, Send& send)
{
    send.closed = true;
    send.runUntil = std::min(send.runUntil, schedule.now + TimeMs { schedule.random.between(0, longestStopMs) });
}

static UpstreamEvent failSend(ForwardSchedule& schedule, Send& send, UpstreamFailure failure)
{
    note(schedule, send.exchange, "d" + std::to_string(send.dispatch.dispatch) + " failed: " + std::string(nameOf(failure)));
    closeSend(schedule, send);
    return { .dispatch = send.dispatch.dispatch, .kind = UpstreamEventKind::Failed, .failure = failure };
}

static UpstreamEvent writeRequest(ForwardSchedule& schedule, Send& send)
{
    Caller& caller = schedule.callers[send.exchange];
    const bool stale = std::stoll(header(schedule, send, &HeaderNames::timeLeft)) > (caller.deadline + lateSendLimit - schedule.now).value;
    if (stale && schedule.stalledUntil > send.connectAt - send.dispatch.connectTimeout)
        ++schedule.result.faults["stale time left after a stall"];
    else if (stale)
        violate(schedule, send.exchange, "d" + std::to_string(send.dispatch.dispatch) + " is written with much more time than is left");
    if (caller.leftAt && schedule.now > *caller.leftAt + lateSendLimit)
        violate(schedule, send.exchange, "written after its caller left");
    send.arrivesAt = schedule.now + TimeMs { schedule.random.between(0, 20) };
    send.timeoutAt = schedule.now + send.dispatch.firstByteTimeout;
    send.writtenAt = schedule.now;
    ++caller.mayHaveRun;
    return { .dispatch = send.dispatch.dispatch, .kind = UpstreamEventKind::Sending };
}

static UpstreamEvent readEvent(ForwardSchedule& schedule, Send& send)
{
    UpstreamEvent event = std::move(send.script.front().event);
    send.script.pop_front();
    send.timeoutAt = event.kind == UpstreamEventKind::End ? farFuture : schedule.now + send.dispatch.progressTimeout;
    if (event.kind == UpstreamEventKind::Failed)
        return failSend(schedule, send, event.failure);
    if (event.kind == UpstreamEventKind::Head) {
        send.answered = true;
        note(schedule, send.exchange, "d" + std::to_string(send.dispatch.dispatch) + " head " + std::to_string(event.status));
        const bool notRun = event.status == 421 || !findHeader(event.headers, schedule.names.notRun).empty();
        schedule.callers[send.exchange].mayHaveRun -= notRun ? 1 : 0;
    }
    return event;
}

std::optional<UpstreamEvent> nextEvent(ForwardSchedule& schedule, Send& send)
{
    if (send.closed || (!send.arrivesAt && schedule.now < send.connectAt))
        return std::nullopt;
    if (!send.arrivesAt)
        return send.connectFailure == UpstreamFailure::None ? writeRequest(schedule, send) : failSend(schedule, send, send.connectFailure);
    if (!send.script.empty() && send.script.front().at <= schedule.now)
        return readEvent(schedule, send);
    if (schedule.now >= send.timeoutAt)
        return failSend(schedule, send, UpstreamFailure::Silent);
    return std::nullopt;
}

// Answers.

static void appendScript(Send& send, TimeMs at, UpstreamEvent event)
{
    event.dispatch = send.dispatch.dispatch;
    send.script.push_back({ at, std::move(event) });
}

static void answerNotRun(ForwardSchedule& schedule, Send& send, uint16_t status)
{
    UpstreamEvent head { .kind = UpstreamEventKind::Head, .status = status, .headers = { { schedule.names.requestId, "r" + std::to_string(send.exchange) } } };
    if (status != 421 || schedule.random.chance(0.5))
        head.headers.emplace_back(schedule.names.notRun, "1");
    appendScript(send, schedule.now + 2_ms, std::move(head));
    appendScript(send, schedule.now + 3_ms, { .kind = UpstreamEventKind::Body, .bytes = "not run" });
    appendScript(send, schedule.now + 4_ms, { .kind = UpstreamEventKind::End });
}

// Appends the bytes in pieces that end anywhere. Returns the time after the last one.
static TimeMs appendBody(ForwardSchedule& schedule, Send& send, TimeMs at, std::string_view text, bool stream)
{
    while (!text.empty()) {
        const size_t n = stream ? 1 + schedule.random.below(60) : 1 + text.size() / (1 + schedule.random.below(3));
        appendScript(send, at, { .kind = UpstreamEventKind::Body, .bytes = std::string(text.substr(0, n)) });
        text.remove_prefix(std::min(n, text.size()));
        at += TimeMs { schedule.random.between(0, stream ? 90 : 20) };
        if (schedule.faulty && schedule.random.chance(0.01)) {
            ++schedule.result.faults["pause in an answer"];
            at += TimeMs { schedule.random.between(300, 3000) };
        }
    }
    return at;
}

static UpstreamEvent makeHead(ForwardSchedule& schedule, const Send& send, const RunResult& result, RunFault fault)
{
    const std::string id = fault == RunFault::OtherRequest ? "r0" : "r" + std::to_string(send.exchange);
    UpstreamEvent out { .kind = UpstreamEventKind::Head, .status = result.status, .headers = { { schedule.names.requestId, id } } };
    if (fault != RunFault::NoReceipt)
        out.headers.emplace_back(schedule.names.receipt, result.receipt);
    if (schedule.callers[send.exchange].route.kind == "stream")
        out.headers.emplace_back("Content-Type", "text/event-stream");
    else if (schedule.random.chance(0.7))
        out.contentLength = result.body.size();
    return out;
}

static void answerRun(ForwardSchedule& schedule, Send& send, const RunResult& result, RunFault fault)
{
    const bool stream = schedule.callers[send.exchange].route.kind == "stream";
    TimeMs at = schedule.now + TimeMs { schedule.random.between(5, 250) };
    appendScript(send, at, makeHead(schedule, send, result, fault));
    const TimeMs headAt = at;
    const bool early = fault == RunFault::Reset || fault == RunFault::Malformed || (fault == RunFault::EndInsideEvent && stream);
    const auto made = std::string_view(result.body).substr(0, early ? schedule.random.below(result.body.size()) : std::string::npos);
    at = appendBody(schedule, send, at, made, stream);
    const bool insideEvent = fault == RunFault::EndInsideEvent && !made.empty() && !made.ends_with("\n");
    if (early && !insideEvent)
        appendScript(send, at, { .kind = UpstreamEventKind::Failed, .failure = fault == RunFault::Malformed ? UpstreamFailure::Malformed : UpstreamFailure::Closed });
    else
        appendScript(send, at, { .kind = UpstreamEventKind::End });
    if (fault == RunFault::BytesAfterEnd)
        appendScript(send, at, { .kind = UpstreamEventKind::Body, .bytes = "id: 999\ndata: extra\n\n" });
    send.runSince = schedule.now;
    // An upstream that has sent an error status works no more on the request.
    const TimeMs doneAt = fault == RunFault::ErrorStatus ? headAt : at;
    send.runUntil = send.closed ? schedule.now : doneAt;
}

// Starts a run, which fails in one of several ways if the upstream is in trouble.
static void startRun(ForwardSchedule& schedule, Send& send, Server& server)
{
    Caller& caller = schedule.callers[send.exchange];
    const std::string run = "run-" + std::to_string(++schedule.runs);
    const std::string last = header(schedule, send, &HeaderNames::lastEvent);
    const auto fault = schedule.random.chance(server.trouble) ? static_cast<RunFault>(1 + schedule.random.below(7)) : RunFault::None;
    schedule.result.faults["faulty answer"] += fault == RunFault::None ? 0 : 1;
    note(schedule, send.exchange, run + " at " + server.name + ", fault " + std::to_string(static_cast<int>(fault)));
    if (caller.refused || (caller.runs && caller.route.isRunOnce()))
        violate(schedule, send.exchange, caller.refused ? "runs after it was refused" : "runs twice");
    ++caller.runs;
    RunResult result { 200, run, run + " of r" + std::to_string(send.exchange) };
    if (fault == RunFault::ErrorStatus)
        result.status = 500;
    else if (caller.route.kind == "stream")
        result.body = streamText(caller, send.exchange, last.empty() ? 0 : std::stoull(last), run);
    else if (caller.large)
        result.body += std::string(largeBody, 'x');
    if (result.body.empty() && fault != RunFault::ErrorStatus)
        return answerRun(schedule, send, result, RunFault::None);
    answerRun(schedule, send, result, fault);
    if (fault != RunFault::OtherRequest && fault != RunFault::NoReceipt)
        caller.results.push_back(std::move(result));
}

static void receiveRequest(ForwardSchedule& schedule, Send& send)
{
    Server* server = serverAt(schedule, send.dispatch.address);
    const std::string target = header(schedule, send, &HeaderNames::target);
    send.arrivesAt = farFuture;
    if (!server) {
        const Server* gone = findServer(schedule, target);
        if (!gone || !gone->unreachable)
            appendScript(send, schedule.now + 1_ms, { .kind = UpstreamEventKind::Failed, .failure = UpstreamFailure::Closed });
        return;
    }
    send.server = server->name;
    if (server->name != target) {
        ++schedule.result.faults["other upstream at the address"];
        return answerNotRun(schedule, send, 421);
    }
    if (schedule.random.chance(server->refusal)) {
        static constexpr uint16_t s_statuses[] = { 421, 429, 503 };
        ++schedule.result.faults["not run"];
        return answerNotRun(schedule, send, s_statuses[schedule.random.below(3)]);
    }
    startRun(schedule, send, *server);
}

// Processes.

// Keeps what has already arrived at the node.
static void endScript(ForwardSchedule& schedule, Send& send, bool closed)
{
    std::erase_if(send.script, [&](const auto& it) { return it.at > schedule.now; });
    send.runUntil = std::min(send.runUntil, schedule.now);
    const bool complete = !send.script.empty() && send.script.back().event.kind == UpstreamEventKind::End;
    if (closed && !complete && send.timeoutAt != farFuture)
        appendScript(send, schedule.now + 1_ms, { .kind = UpstreamEventKind::Failed, .failure = UpstreamFailure::Closed });
}

void resetSend(ForwardSchedule& schedule, Send& send)
{
    if (send.server.empty() || send.closed)
        return;
    ++schedule.result.faults["reset"];
    endScript(schedule, send, true);
}

void stopServer(ForwardSchedule& schedule, Server& server)
{
    server.up = false;
    server.unreachable = schedule.random.chance(0.4);
    server.backAt = schedule.now + TimeMs { schedule.random.between(200, 12000) };
    ++schedule.result.faults[server.unreachable ? "upstream lost" : "upstream crashed"];
    for (auto& [id, send] : schedule.sends) {
        if (send.server == server.name)
            endScript(schedule, send, !server.unreachable);
    }
}

void startServer(ForwardSchedule& schedule, Server& server, const std::string& address)
{
    ++server.incarnation;
    server.address = address;
    server.up = true;
    server.trouble = server.refusal = 0;
    server.silentUntil = {};
    server.nextAnnouncement = schedule.now + TimeMs { schedule.random.between(0, 500) };
    for (auto& [id, send] : schedule.sends) {
        // What was sent to the former process stays its own.
        if (send.server == server.name)
            send.server = "former " + server.name;
    }
}

void silenceServer(ForwardSchedule& schedule, Server& server, TimeMs duration)
{
    ++schedule.result.faults["upstream silent"];
    server.silentUntil = schedule.now + duration;
    for (auto& [id, send] : schedule.sends) {
        if (send.server != server.name)
            continue;
        for (auto& it : send.script)
            it.at += it.at > schedule.now ? duration : TimeMs {};
        if (!send.closed && send.runUntil > schedule.now)
            send.runUntil += duration;
    }
}

void announceServer(ForwardSchedule& schedule, Server& server, bool leaving)
{
    Announcement announced { .name = server.name, .address = server.address, .domain = "a", .model = server.backend, .version = "v1", .leaving = leaving, .incarnation = server.incarnation, .sequence = ++server.sequence };
    announced.load.capacity = 4;
    announce(schedule.node->membership, schedule.now, announced, schedule.node->membershipOutputs);
    if (leaving)
        server.leavingIncarnation = server.incarnation;
    if (leaving)
        recordLeaving(*schedule.node, idOfName<UpstreamId>(server.name), server.incarnation);
    server.leaving = leaving;
    server.nextAnnouncement = schedule.now + 1_s;
}

static bool isRunning(const ForwardSchedule& schedule, const Send& send)
{
    return send.runSince && schedule.now < send.runUntil;
}

static void checkOverlap(ForwardSchedule& schedule, const Send& send)
{
    for (const auto& [id, other] : schedule.sends) {
        if (other.exchange == send.exchange && isRunning(schedule, other) && *other.runSince < *send.runSince && schedule.now - *send.runSince > overlapLimit)
            violate(schedule, send.exchange, "d" + std::to_string(id) + " still runs beside a later run");
    }
}

void advanceUpstreams(ForwardSchedule& schedule)
{
    for (auto& [id, send] : schedule.sends) {
        if (send.arrivesAt && schedule.now >= *send.arrivesAt) {
            const Server* server = serverAt(schedule, send.dispatch.address);
            // A request whose connection the node has closed since may still arrive.
            if (send.closed && schedule.random.chance(0.5))
                send.arrivesAt = farFuture;
            else if (!server || schedule.now >= server->silentUntil)
                receiveRequest(schedule, send);
        }
        if (isRunning(schedule, send) && schedule.callers[send.exchange].route.kind == "stream")
            checkOverlap(schedule, send);
    }
    std::erase_if(schedule.sends, [&](const auto& it) {
        const Send& send = it.second;
        const bool arrived = !send.arrivesAt || *send.arrivesAt == farFuture;
        const bool read = arrived && send.arrivesAt && send.script.empty() && send.timeoutAt == farFuture;
        return (send.closed || read) && arrived && !isRunning(schedule, send);
    });
}

}
