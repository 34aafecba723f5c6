#include "api/AnnouncementJson.h"
#include "api/ModelRequest.h"
#include "soak/NodeFleet.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

namespace json = boost::json;

static constexpr TimeMs tokenInterval { 20 };
// How often a silent upstream is looked at again.
static constexpr TimeMs silenceStep { 20 };
static constexpr uint16_t firstForwardPort = 6000;
static constexpr ExchangeId firstPassedExchange = uint64_t { 1 } << 61;

static std::optional<TimeMs> coldTimeOf(const HttpRequest& request)
{
    const auto text = findHeader(request.headers, coldTimeHeader);
    return text.empty() ? std::nullopt : std::optional(TimeMs { std::stoll(std::string(text)) });
}

static TimeMs withinOf(const HttpRequest& request)
{
    const auto text = findHeader(request.headers, orderWithinHeader);
    return text.empty() ? 20_s : TimeMs { std::stoll(std::string(text)) };
}

std::shared_ptr<const Dialect> makeFleetDialect()
{
    Dialect dialect;
    dialect.decode = [](const HttpRequest& request, const std::string&) -> ControlCall {
        if (request.target.starts_with("/evacuations/"))
            return OrderEvacuationCall { .domain = request.target.substr(13), .start = request.method == "POST" };
        if (request.target.starts_with("/versions/")) {
            const auto slash = request.target.rfind('/');
            return OrderVersionCall { .backend = request.target.substr(10, slash - 10), .target = request.target.substr(slash + 1), .within = withinOf(request) };
        }
        if (request.method == "DELETE")
            return LeaveCall { request.target.substr(1) };
        if (request.method == "PUT")
            return PutConfigurationCall { .number = std::stoull(request.target.substr(1)), .rules = request.body, .original = request.body };
        return handle([&]() -> Result<ControlCall> {
            BOOST_LEAF_AUTO(announced, parseAnnouncement(request.body));
            return ControlCall(AnnounceCall { std::move(announced), coldTimeOf(request) }); },
            [](const Error& error) { return ControlCall(BadCall { 400, error.detail }); });
    };
    return std::make_shared<const Dialect>(std::move(dialect));
}

void NodeFleet::addUpstream(const std::string& name, UpstreamKind kind, const std::string& pool, const std::string& domain)
{
    const std::string address = "127.0.0.1:" + std::to_string(9000 + upstreams.size());
    auto& it = upstreams[address];
    it.announced = { .name = name, .address = address, .domain = domain, .machine = "gpu-small", .kind = kind, .model = pool, .version = kind == UpstreamKind::Engine ? "v1" : "", .incarnation = 1 };
    it.announced.load.capacity = 8;
    it.announced.load.tokensPerSecond = 50;
    it.announced.load.prefillTokensPerSecond = 5000;
}

NodeFleet::Upstream& NodeFleet::upstream(const std::string& name)
{
    for (auto& [address, it] : upstreams) {
        if (it.announced.name == name)
            return it;
    }
    throw std::out_of_range("no upstream " + name);
}

void NodeFleet::stop(const std::string& name)
{
    auto& it = upstream(name);
    it.up = false;
    for (const auto& [key, address] : m_open) {
        if (address == it.announced.address)
            fail(key, 1_ms, UpstreamFailure::Closed);
    }
}

void NodeFleet::reclaim(const std::string& name, TimeMs notice)
{
    upstream(name).reclaimAt = now + notice;
    scheduleAfter(notice, [this, name] { stop(name); });
}

void NodeFleet::announceAll()
{
    for (auto& [address, it] : upstreams) {
        if (!it.up || !it.announces)
            continue;
        ++it.announced.sequence;
        it.announced.reclaimIn = it.reclaimAt ? std::optional(*it.reclaimAt - now) : std::nullopt;
        const size_t candidates = options.announceNodes ? options.announceNodes : nodes.size();
        const size_t first = std::stoul(address.substr(address.find(':') + 1)) % candidates;
        int told = 0;
        for (size_t n = 0; n < candidates && told < 2; ++n) {
            const size_t to = (first + n) % candidates;
            if (!nodes[to].node || nodes[to].frozen)
                continue;
            ++told;
            // These exchanges have no caller, so the responses are ignored.
            Inputs inputs;
            inputs.requests.push_back({ (uint64_t { 1 } << 62) + ++m_lastEvent, { "POST", "/v1/announce", { { "Authorization", "Bearer announce-token" } }, toJson(it.announced) }, "127.0.0.1:9" });
            scheduleAfter(TimeMs { random.between(1, 4) }, [this, to, generation = nodes[to].generation, inputs = std::move(inputs)]() mutable { deliver(to, generation, std::move(inputs)); });
        }
    }
    scheduleAfter(1_s, [this] { announceAll(); });
}

void NodeFleet::report(const DispatchKey& key, TimeMs delay, UpstreamEvent event)
{
    event.dispatch = std::get<2>(key);
    scheduleAfter(delay, [this, key, event = std::move(event)]() mutable {
        const auto open = m_open.find(key);
        if (open == m_open.end())
            return;
        const bool fromUpstream = event.kind != UpstreamEventKind::Sending && event.kind != UpstreamEventKind::Failed;
        const UpstreamPath path = fromUpstream ? pathTo(std::get<0>(key), open->second) : UpstreamPath::Open;
        if (path == UpstreamPath::Hangs)
            return;
        if (path == UpstreamPath::Silent)
            return report(key, silenceStep, std::move(event));
        if (path == UpstreamPath::Refused)
            event = { .dispatch = event.dispatch, .kind = UpstreamEventKind::Failed, .failure = UpstreamFailure::Closed };
        if (event.kind == UpstreamEventKind::End)
            m_idleConnections[{ std::get<0>(key), open->second }].push_back(now);
        if (event.kind == UpstreamEventKind::End || event.kind == UpstreamEventKind::Failed)
            m_open.erase(open);
        Inputs inputs;
        inputs.events.push_back(std::move(event));
        deliver(std::get<0>(key), std::get<1>(key), std::move(inputs));
    });
}

void NodeFleet::fail(const DispatchKey& key, TimeMs delay, UpstreamFailure failure)
{
    report(key, delay, { .kind = UpstreamEventKind::Failed, .failure = failure });
}

bool NodeFleet::takeIdleConnection(size_t n, const UpstreamDispatch& request)
{
    const auto it = m_idleConnections.find({ n, request.address });
    if (request.freshConnection || it == m_idleConnections.end() || it->second.empty() || now - it->second.back() > request.maxIdle)
        return false;
    it->second.pop_back();
    return true;
}

bool NodeFleet::usePath(const DispatchKey& key, const UpstreamDispatch& request)
{
    const UpstreamPath path = pathTo(std::get<0>(key), request.address);
    const bool idle = takeIdleConnection(std::get<0>(key), request);
    if (path == UpstreamPath::Open || path == UpstreamPath::Silent || (idle && path == UpstreamPath::RefusesNew))
        return true;
    if (!idle && path == UpstreamPath::Hangs)
        fail(key, request.connectTimeout, UpstreamFailure::ConnectTimeout);
    else if (!idle)
        fail(key, 1_ms, UpstreamFailure::ConnectFailed);
    else
        report(key, 1_ms, { .kind = UpstreamEventKind::Sending });
    if (idle && path == UpstreamPath::Refused)
        fail(key, 2_ms, UpstreamFailure::Closed);
    return false;
}

void NodeFleet::dispatchToNode(const DispatchKey& key, const UpstreamDispatch& request, size_t to)
{
    if (blockedLinks[std::get<0>(key)][to] || blockedLinks[to][std::get<0>(key)])
        return fail(key, request.connectTimeout, UpstreamFailure::ConnectTimeout);
    if (!nodes[to].node)
        return fail(key, 1_ms, UpstreamFailure::ConnectFailed);
    const ExchangeId exchange = firstPassedExchange + ++m_lastEvent;
    m_passed[exchange] = { key, to };
    report(key, 1_ms, { .kind = UpstreamEventKind::Sending });
    Inputs inputs;
    inputs.requests.push_back({ exchange, request.request, "127.0.0.1:9", ListenerKind::Forward });
    scheduleAfter(2_ms, [this, to, generation = nodes[to].generation, inputs = std::move(inputs)]() mutable { deliver(to, generation, std::move(inputs)); });
}

void NodeFleet::handlePassedAnswer(const Answer& answer)
{
    const DispatchKey key = m_passed.at(answer.exchange).key;
    if (answer.part == AnswerPart::Whole || answer.part == AnswerPart::Head)
        report(key, 1_ms, { .kind = UpstreamEventKind::Head, .status = answer.status, .headers = answer.headers, .contentLength = answer.contentLength });
    if (!answer.body.empty())
        report(key, 1_ms, { .kind = UpstreamEventKind::Body, .bytes = answer.body });
    if (answer.part == AnswerPart::Abort)
        fail(key, 1_ms, UpstreamFailure::Closed);
    if (answer.part == AnswerPart::Whole || answer.part == AnswerPart::End)
        report(key, 1_ms, { .kind = UpstreamEventKind::End });
    if (answer.part != AnswerPart::Head && answer.part != AnswerPart::Body)
        m_passed.erase(answer.exchange);
}

void NodeFleet::disconnectPassed(const DispatchKey& key)
{
    const auto it = std::find_if(m_passed.begin(), m_passed.end(), [&](const auto& candidate) { return candidate.second.key == key; });
    if (it == m_passed.end())
        return;
    Inputs inputs;
    inputs.disconnected.push_back(it->first);
    const size_t to = it->second.to;
    m_passed.erase(it);
    scheduleAfter(1_ms, [this, to, generation = nodes[to].generation, inputs = std::move(inputs)]() mutable { deliver(to, generation, std::move(inputs)); });
}

void NodeFleet::dispatch(size_t n, UpstreamDispatch request)
{
    const DispatchKey key { n, nodes[n].generation, request.dispatch };
    m_open.emplace(key, request.address);
    const auto port = std::stoul(request.address.substr(request.address.find(':') + 1));
    if (port >= firstForwardPort && port < firstForwardPort + nodes.size())
        return dispatchToNode(key, request, port - firstForwardPort);
    const auto found = upstreams.find(request.address);
    auto dispatchFault = fault ? fault(request) : DispatchFault::None;
    if (found == upstreams.end() || !found->second.up || dispatchFault == DispatchFault::Refuse)
        return fail(key, 1_ms, UpstreamFailure::ConnectFailed);
    if (!usePath(key, request))
        return;
    if (arrived)
        dispatchFault = arrived(n, request);
    found->second.dispatches.emplace_back(now, findHeader(request.request.headers, headers::call));
    report(key, 1_ms, { .kind = UpstreamEventKind::Sending });
    if (const auto headers = forwardAnswer ? forwardAnswer(n, request) : std::nullopt) {
        const uint16_t status = forwardStatus ? forwardStatus(request) : uint16_t { 200 };
        report(key, found->second.latency, { .kind = UpstreamEventKind::Head, .status = status, .headers = *headers });
        report(key, found->second.latency, { .kind = UpstreamEventKind::Body, .bytes = "id: 1\ndata: done\n\n" });
        return report(key, found->second.latency, { .kind = UpstreamEventKind::End });
    }
    scheduleAfter(2_ms, [this, key, request = std::move(request), dispatchFault] { runDispatch(key, request, dispatchFault); });
}

// Called when the request arrives at the upstream. It does not arrive if it was cancelled or the node ended before.
void NodeFleet::runDispatch(const DispatchKey& key, const UpstreamDispatch& request, DispatchFault dispatchFault)
{
    auto& it = upstreams.at(request.address);
    if (!m_open.contains(key))
        return;
    if (!it.up || dispatchFault == DispatchFault::CloseUnread)
        return fail(key, 1_ms, UpstreamFailure::Closed);
    HttpHeaders echo;
    for (const auto name : { headers::call, headers::attempt })
        echo.emplace_back(name, std::string(findHeader(request.request.headers, name)));
    if (dispatchFault == DispatchFault::Crossed)
        echo = { { std::string(headers::call), "00000000000000ff" }, { std::string(headers::attempt), "1" } };
    if (it.announced.kind == UpstreamKind::Engine)
        return answerModel(key, request, dispatchFault, std::move(echo));
    const std::string idempotencyKey(findHeader(request.request.headers, headers::idempotencyKey));
    if (!idempotencyKey.empty()) {
        ++runs[idempotencyKey].count;
        runs[idempotencyKey].at = now;
    }
    if (dispatchFault == DispatchFault::CloseAfterRun)
        return fail(key, 1_ms, UpstreamFailure::Closed);
    if (dispatchFault == DispatchFault::Silent)
        return fail(key, request.firstByteTimeout, UpstreamFailure::Silent);
    report(key, it.latency, { .kind = UpstreamEventKind::Head, .status = 200, .headers = echo });
    report(key, it.latency, { .kind = UpstreamEventKind::Body, .bytes = "booked " + idempotencyKey });
    report(key, it.latency, { .kind = UpstreamEventKind::End });
}

static std::string tokenOf(const std::string& prompt, int n)
{
    return "[" + prompt + "/" + std::to_string(n) + "]";
}

std::string NodeFleet::expectedText(const std::string& prompt, int tokens)
{
    std::string out;
    for (int n = 1; n <= tokens; ++n)
        out += tokenOf(prompt, n);
    return out;
}

void NodeFleet::answerModel(const DispatchKey& key, const UpstreamDispatch& request, DispatchFault dispatchFault, HttpHeaders headers)
{
    const auto body = json::parse(request.request.body).as_object();
    const std::string prompt(body.at("prompt").as_string());
    const int tokens = static_cast<int>(body.at("max_tokens").as_int64());
    const auto offsetText = std::string(findHeader(request.request.headers, headers::offset));
    const int offset = offsetText.empty() ? 0 : std::stoi(offsetText);
    if (const auto* resume = body.if_contains("resume"); resume && resume->at("text").as_string() != expectedText(prompt, offset))
        violations.push_back("a stream is resumed with another text than was generated up to its offset");
    if (dispatchFault == DispatchFault::CloseAfterRun)
        return fail(key, 1_ms, UpstreamFailure::Closed);
    if (dispatchFault == DispatchFault::Silent)
        return fail(key, request.firstByteTimeout, UpstreamFailure::Silent);
    if (!body.at("stream").as_bool()) {
        const json::object answer { { "text", expectedText(prompt, tokens) } };
        report(key, tokenInterval * tokens, { .kind = UpstreamEventKind::Head, .status = 200, .headers = headers });
        report(key, tokenInterval * tokens, { .kind = UpstreamEventKind::Body, .bytes = json::serialize(answer) });
        return report(key, tokenInterval * tokens, { .kind = UpstreamEventKind::End });
    }
    headers.emplace_back(headers::contentType, "text/event-stream");
    report(key, tokenInterval, { .kind = UpstreamEventKind::Head, .status = 200, .headers = headers });
    TimeMs at = tokenInterval;
    for (int n = offset + 1; n <= tokens; ++n, at += tokenInterval) {
        const bool ends = n - offset > streamFaultAfter;
        if (ends && dispatchFault == DispatchFault::BreakStream)
            return fail(key, at, UpstreamFailure::Closed);
        if (ends && dispatchFault == DispatchFault::SilentStream)
            return fail(key, at + request.progressTimeout, UpstreamFailure::Silent);
        const json::object data { { "choices", json::array { json::object { { "text", tokenOf(prompt, n) } } } } };
        report(key, at, { .kind = UpstreamEventKind::Body, .bytes = "id: " + std::to_string(n) + "\ndata: " + json::serialize(data) + "\n\n" });
    }
    report(key, at, { .kind = UpstreamEventKind::Body, .bytes = "data: [DONE]\n\n" });
    report(key, at, { .kind = UpstreamEventKind::End });
}

}
