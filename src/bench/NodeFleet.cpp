#include "bench/NodeFleet.h"

#include "api/AnnouncementJson.h"
#include "base/Hash.h"
#include "bench/BenchFolder.h"
#include "node/NodeState.h"
#include "node/PeerMessages.h"
#include "wire/Envelope.h"

#include <algorithm>
#include <ctime>
#include <stdexcept>

namespace siskinshunt {

static constexpr size_t datagramHeaders = 28;
static constexpr size_t frameHeaders = 44;
static const std::string s_peerKey(32, 'k');

static double threadCpuSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

static std::string nodeIp(size_t node)
{
    return "10.8." + std::to_string(node / 250) + "." + std::to_string(node % 250 + 1);
}

static Settings settingsOf(const NodeFleetOptions& options, size_t node)
{
    Settings out;
    out.node = "node-" + std::to_string(node);
    out.cluster = "bench";
    out.region = "region-" + std::to_string(node % options.domains % 2);
    out.failureDomain = "domain" + std::to_string(node % options.domains);
    out.http = { nodeIp(node), 8080 };
    out.peer = { nodeIp(node), 7000 };
    out.peerKey = s_peerKey;
    for (size_t n = 0; n < std::min<size_t>(3, options.nodes); ++n)
        out.seeds.push_back({ nodeIp(n), 7000 });
    out.dataFolder = node < options.voters ? "data" : "";
    out.operators.push_back({ "operator", sha256Hex("operator") });
    out.announceTokenSha256 = sha256Hex("announce");
    return out;
}

NodeFleet::NodeFleet(const NodeFleetOptions& options)
    : usage(options.nodes)
    , m_options(options)
    , m_random(options.seed)
    , m_inputs(options.nodes)
    , m_hasInput(options.nodes)
    , m_nextAnnounce(options.upstreams)
    , m_announced(options.upstreams)
{
    for (size_t n = 0; n < options.nodes; ++n)
        start(n);
    exchangeMemberRecords();
    for (auto& it : m_nextAnnounce)
        it = now + TimeMs { m_random.between(1, 1000) };
}

void NodeFleet::start(size_t node)
{
    NodeOptions options { .settings = settingsOf(m_options, node), .startedAtUtc = now, .seed = m_options.seed * 1000 + node, .voter = {}, .recovered = {} };
    if (node < m_options.voters)
        options.voter = { node + 1 };
    m_byAddress[toString(options.settings.peer)] = node;
    nodes.push_back(orThrow([&] { return makeNode(options, now); }));
    m_nextTick.push_back(now + TimeMs { m_random.between(1, 20) });
}

void NodeFleet::exchangeMemberRecords()
{
    std::vector<MemberRecord> records;
    for (const auto& node : nodes)
        records.push_back(ownRecord(node->membership));
    for (const auto& node : nodes) {
        MembershipOutputs ignored;
        learnMembers(node->membership, node->now, records, ignored);
    }
}

void NodeFleet::post(TimeMs delay, size_t node, std::function<void(Inputs&)> change)
{
    m_events.emplace(now + delay, std::pair(node, std::move(change)));
}

void NodeFleet::sendFrame(size_t from, PeerFrame&& frame)
{
    const auto to = m_byAddress.find(toString(frame.peer));
    if (to == m_byAddress.end())
        throw std::runtime_error("frame sent to unknown address " + toString(frame.peer));
    const size_t kind = std::min<size_t>(31, open({ s_peerKey }, hash64("bench"), frame.bytes, 64 << 20).envelope.kind);
    usage[from].frameBytesOut[kind] += frame.bytes.size() + frameHeaders;
    usage[to->second].frameBytesIn[kind] += frame.bytes.size() + frameHeaders;
    post(m_options.delay, to->second, [bytes = std::move(frame.bytes)](Inputs& inputs) { inputs.frames.push_back(bytes); });
}

void NodeFleet::serve(size_t node, const UpstreamDispatch& dispatch)
{
    const DispatchId id = dispatch.dispatch;
    post(1_ms, node, [id](Inputs& inputs) {
        UpstreamEvent event;
        event.dispatch = id;
        event.kind = UpstreamEventKind::Sending;
        inputs.events.push_back(event);
    });
    HttpHeaders headers { { "Content-Type", "application/json" } };
    for (const auto& [name, value] : dispatch.request.headers) {
        if (equalHeaderNames(name, headers::call) || equalHeaderNames(name, headers::attempt))
            headers.emplace_back(name, value);
    }
    post(m_options.service + TimeMs { m_random.between(0, m_options.service.value) }, node, [id, headers](Inputs& inputs) {
        UpstreamEvent event;
        event.dispatch = id;
        event.kind = UpstreamEventKind::Head;
        event.status = 200;
        event.headers = headers;
        inputs.events.push_back(event);
        event.kind = UpstreamEventKind::Body;
        event.bytes = R"({"id":"x","choices":[{"index":0,"message":{"role":"assistant","content":"yes"},"finish_reason":"stop"}],"usage":{"prompt_tokens":20,"completion_tokens":1,"cached_tokens":0}})";
        inputs.events.push_back(event);
        event.kind = UpstreamEventKind::End;
        inputs.events.push_back(event);
    });
}

void NodeFleet::handleOutputs(size_t node, Outputs& out)
{
    for (const auto& datagram : out.datagrams) {
        const auto to = m_byAddress.find(toString(datagram.peer));
        if (to == m_byAddress.end())
            continue;
        usage[node].datagramBytes += datagram.bytes.size() + datagramHeaders;
        usage[to->second].datagramBytes += datagram.bytes.size() + datagramHeaders;
        post(m_options.delay, to->second, [from = nodeIp(node) + ":7000", bytes = datagram.bytes](Inputs& inputs) { inputs.datagrams.push_back({ from, bytes }); });
    }
    for (auto& frame : out.frames)
        sendFrame(node, std::move(frame));
    for (const auto& request : out.disk)
        post(m_options.sync, node, [group = request.group, id = request.id](Inputs& inputs) { inputs.completions.push_back({ group, id, true, {} }); });
    for (const auto& dispatch : out.dispatches)
        serve(node, dispatch);
    for (const auto& answer : out.answers) {
        const auto it = m_waiting.find(answer.exchange);
        if (it == m_waiting.end())
            continue;
        const auto done = std::move(it->second);
        m_waiting.erase(it);
        if (done)
            done(answer);
    }
}

void NodeFleet::stepNode(size_t node)
{
    const bool tickDue = now >= m_nextTick[node];
    if (!tickDue && !m_hasInput[node])
        return;
    if (tickDue)
        m_nextTick[node] += TimeMs { 20 };
    Inputs inputs;
    std::swap(inputs, m_inputs[node]);
    Outputs out;
    const double before = threadCpuSeconds();
    step(*nodes[node], now, std::move(inputs), out);
    const double used = threadCpuSeconds() - before;
    usage[node].stepSeconds += used;
    usage[node].longestStepSeconds = std::max(usage[node].longestStepSeconds, used);
    if (!m_hasInput[node]) {
        usage[node].tickSeconds += used;
        ++usage[node].ticks;
    }
    m_hasInput[node] = false;
    handleOutputs(node, out);
}

void NodeFleet::announceDue()
{
    for (size_t n = 0; n < m_nextAnnounce.size(); ++n) {
        if (now < m_nextAnnounce[n])
            continue;
        m_nextAnnounce[n] += 1_s;
        Announcement it;
        it.name = "runner-" + std::to_string(n);
        it.address = "10.9." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1) + ":8000";
        it.domain = "domain" + std::to_string(n % m_options.domains);
        it.machine = "gpu-large";
        it.model = "model-" + std::to_string(n % 5);
        it.version = n % 10 < 5 ? "v1" : "v2";
        it.incarnation = 1760000000;
        it.sequence = ++m_announced[n];
        it.load = { .running = static_cast<uint32_t>(m_random.below(32)), .waiting = 0, .capacity = 64, .cachedTokens = 100000 + m_random.below(10000), .waitingTokens = 0, .tokensPerSecond = 40 + m_random.uniform(), .prefillTokensPerSecond = 5000 + m_random.uniform() };
        const RequestArrived arrived { 0, { "POST", "/v1/announce", { { "Authorization", "Bearer announce" } }, toJson(it) }, "10.9.0.1:40000" };
        const size_t perDomain = std::max<size_t>(1, m_options.nodes / m_options.domains);
        for (const size_t home : { n / m_options.domains % perDomain, (n / m_options.domains + 1) % perDomain }) {
            const size_t node = home * m_options.domains + n % m_options.domains;
            m_inputs[node].requests.push_back(arrived);
            m_inputs[node].requests.back().exchange = ++m_lastExchange;
            m_hasInput[node] = true;
        }
    }
}

bool NodeFleet::run(TimeMs limit, const std::function<bool()>& done)
{
    const TimeMs end = now + limit;
    while (now < end) {
        now += 1_ms;
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto& [node, change] = m_events.begin()->second;
            change(m_inputs[node]);
            m_hasInput[node] = true;
            m_events.erase(m_events.begin());
        }
        announceDue();
        for (size_t n = 0; n < nodes.size(); ++n)
            stepNode(n);
        if (done && done())
            return true;
    }
    return false;
}

void NodeFleet::sendOperatorRequest(size_t node, std::string method, std::string target, std::string body, std::function<void(const Answer&)> answered)
{
    const ExchangeId exchange = ++m_lastExchange;
    m_waiting[exchange] = std::move(answered);
    m_inputs[node].requests.push_back({ exchange, { std::move(method), std::move(target), { { "Authorization", "Bearer operator" } }, std::move(body) }, "10.7.0.1:40000" });
    m_hasInput[node] = true;
}

void NodeFleet::call(size_t node, const std::string& model)
{
    const ExchangeId exchange = ++m_lastExchange;
    m_waiting[exchange] = [this](const Answer& answer) { ++(answer.status == 200 ? answered : refused); };
    const std::string body = R"({"model":")" + model + R"(","messages":[{"role":"user","content":"is the stage ready"}],"max_tokens":1})";
    m_inputs[node].requests.push_back({ exchange, { "POST", "/v1/chat/completions", { { "Authorization", "Bearer caller" }, { "Content-Type", "application/json" } }, body }, "10.7.0.2:40000" });
    m_hasInput[node] = true;
}

void NodeFleet::bootstrapGroups()
{
    std::string voters;
    for (size_t n = 0; n < m_options.voters; ++n)
        voters += (n ? ",\"" : "\"") + std::string("node-") + std::to_string(n) + "\"";
    run(1_s);
    int status = 0;
    sendOperatorRequest(0, "POST", "/admin/voters", R"({"action":"bootstrap","voters":[)" + voters + "]}", [&](const Answer& answer) { status = answer.status; });
    const bool led = run(10_s, [&] {
        return std::any_of(nodes.begin(), nodes.end(), [](const auto& node) { return node->leadsDecisions && node->leader.epoch; });
    });
    if (status != 200 || !led)
        throw std::runtime_error("no decision leader after 10 s; the bootstrap request returned status " + std::to_string(status));
    run(3_s);
}

size_t NodeFleet::leader() const
{
    for (size_t n = 0; n < nodes.size(); ++n) {
        if (nodes[n]->leadsDecisions)
            return n;
    }
    throw std::runtime_error("no decision leader");
}

static std::string jsonText(const std::string& text)
{
    std::string out;
    for (const char c : text) {
        if (c == '\n')
            out += "\\n";
        else
            out += c;
    }
    return out;
}

std::optional<TimeMs> NodeFleet::applyRules(size_t node, uint64_t expected, const std::string& text)
{
    std::optional<Answer> got;
    const std::string body = R"({"request_id":"request-)" + std::to_string(++m_lastRequest) + R"(","expected_revision":)" + std::to_string(expected) + R"(,"text":")" + jsonText(text) + "\"}";
    sendOperatorRequest(node, "POST", "/admin/rules", body, [&](const Answer& answer) { got = answer; });
    run(10_s, [&] { return got.has_value(); });
    if (!got || got->status != 200)
        return std::nullopt;
    return now;
}

bool NodeFleet::everyNodeHas(uint64_t revision) const
{
    return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) { return node->rules && node->rules->revision >= revision; });
}

size_t NodeFleet::openCalls() const
{
    size_t n = 0;
    for (const auto& node : nodes)
        n += node->calls.size();
    return n;
}

void NodeFleet::resetUsage()
{
    std::fill(usage.begin(), usage.end(), NodeUsage {});
}

std::string fleetRules(size_t limits, size_t padding, uint64_t variant)
{
    std::string out = "account district token-sha256=" + sha256Hex("caller") + " # Ayesha: the caller of the measurement, variant " + std::to_string(variant) + "\n"
        + "class crew priority=1 deadline=30s # Ayesha: crews wait for the answer\n";
    for (size_t n = 0; n < limits; ++n)
        out.append("limit limit-").append(std::to_string(n)).append(" account=district class=crew rate=").append(std::to_string(100000 + n)).append("/s burst=100000 # Ayesha: measured limit\n");
    for (size_t n = 0; n < padding; ++n)
        out.append("route padding-").append(std::to_string(n)).append(" account=district model=unused-").append(std::to_string(n)).append(" class=crew repeat=yes # Bilal: one of many routes, as a large file has them\n");
    for (size_t n = 0; n < 5; ++n) {
        const std::string it = std::to_string(n);
        out.append("route model-").append(it).append(" model=model-").append(it).append(" class=crew repeat=yes # Bilal: everything else\n");
        out.append("version now-").append(it).append(" model=model-").append(it).append(" version=v1 # Bilal: in service\n");
    }
    return out;
}

}
