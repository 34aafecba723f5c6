#include "api/ModelRequest.h"
#include "node/NodeState.h"
#include "soak/NodeFleet.h"
#include "soak/Soak.h"

#include <algorithm>

namespace siskinshunt {

namespace {

    // Runs one random schedule: injects faults while calls are in flight, then ends all faults and checks the outcome.
    class NodeSchedule {
    public:
        explicit NodeSchedule(uint64_t seed)
            : m_random(seed)
            , m_fleet({ .nodes = 4, .voters = 3, .disks = 3, .seed = seed + 1, .tick = 100_ms })
        {
        }

        SoakResult run();

    private:
        void runStep();
        void injectFault();
        void injectNodeFault(size_t node);
        void sendCalls();
        void recoverAll();
        void checkCaller(uint64_t number, const NodeFleet::Caller&);
        void checkOutcome();
        void recordViolation(std::string);
        bool isNotRun(const NodeFleet::Caller&) const;

        Random m_random;
        NodeFleet m_fleet;
        SoakResult m_result;
        std::map<std::string, int> m_posted; ///< Number of callers by idempotency key.
        std::map<uint64_t, int> m_tokens; ///< Requested tokens of model calls, by caller.
        uint64_t m_applies = 0;
    };

}

void NodeSchedule::recordViolation(std::string text)
{
    if (m_result.violation.empty())
        m_result.violation = std::move(text);
}

void NodeSchedule::injectNodeFault(size_t n)
{
    auto& node = m_fleet.nodes[n];
    if (!node.node) {
        m_fleet.start(n);
        return;
    }
    if (node.frozen) {
        m_fleet.thaw(n);
        return;
    }
    switch (m_random.below(4)) {
    case 0:
        ++m_result.faults["kill"];
        return m_fleet.kill(n, false);
    case 1:
        ++m_result.faults["power loss"];
        return m_fleet.kill(n, true);
    case 2:
        ++m_result.faults["freeze"];
        return m_fleet.freeze(n);
    default:
        ++m_result.faults["slow disk"];
        node.diskDelay = m_random.chance(0.5) ? 2_ms : TimeMs { m_random.between(50, 3000) };
    }
}

void NodeSchedule::injectFault()
{
    const size_t n = m_random.below(m_fleet.nodes.size());
    switch (m_random.below(5)) {
    case 0:
    case 1:
        return injectNodeFault(n);
    case 2: {
        const size_t other = m_random.below(m_fleet.nodes.size());
        const bool blocked = m_random.chance(0.5);
        ++m_result.faults[blocked ? "cut" : "cut healed"];
        m_fleet.setLinkBlocked(n, other, blocked);
        if (m_random.chance(0.5))
            m_fleet.setLinkBlocked(other, n, blocked);
        return;
    }
    case 3: {
        auto it = std::next(m_fleet.upstreams.begin(), static_cast<int64_t>(m_random.below(m_fleet.upstreams.size())));
        if (it->second.up && !it->second.reclaimAt) {
            ++m_result.faults["reclaim"];
            m_fleet.reclaim(it->second.announced.name, TimeMs { m_random.between(0, 4000) });
        } else if (!it->second.up) {
            it->second.up = true;
            it->second.reclaimAt.reset();
            ++it->second.announced.incarnation;
            it->second.announced.sequence = 0;
        }
        return;
    }
    default:
        m_fleet.loss = m_random.chance(0.5) ? 0 : 0.2;
    }
}

void NodeSchedule::sendCalls()
{
    const size_t n = m_random.below(m_fleet.nodes.size());
    if (m_random.chance(0.5)) {
        const std::string key = "key-" + std::to_string(m_random.below(40));
        ++m_posted[key];
        m_fleet.postBooking(n, key);
    } else {
        const int tokens = static_cast<int>(m_random.between(1, 30));
        m_tokens[m_fleet.postCompletion(n, m_random.chance(0.7), tokens)] = tokens;
    }
    if (m_random.chance(0.05) && !m_fleet.callers.empty()) {
        auto& [number, caller] = *m_fleet.callers.rbegin();
        if (!caller.done && !caller.lost && m_fleet.nodes[caller.node].node && !m_fleet.nodes[caller.node].frozen) {
            ++m_result.faults["caller gone"];
            m_fleet.disconnectCaller(number);
        }
    }
    if (m_random.chance(0.03))
        m_fleet.post(n, { "POST", "/admin/snapshot", { { "Authorization", "Bearer omar" } }, {} });
    if (m_random.chance(0.1)) {
        ++m_result.faults["apply"];
        const auto revision = m_fleet.nodes[n].revision;
        for (const char* name : { "omar", "sana" })
            m_fleet.apply(m_random.below(m_fleet.nodes.size()), name + std::to_string(++m_applies), revision, NodeFleet::rulesText(name), name);
    }
}

void NodeSchedule::runStep()
{
    if (m_random.chance(0.25))
        injectFault();
    sendCalls();
    m_fleet.runFor(TimeMs { m_random.between(0, 300) });
}

void NodeSchedule::recoverAll()
{
    m_fleet.loss = 0;
    m_fleet.fault = nullptr;
    for (size_t n = 0; n < m_fleet.nodes.size(); ++n) {
        m_fleet.isolate(n, false);
        m_fleet.nodes[n].diskDelay = 2_ms;
        if (!m_fleet.nodes[n].node)
            m_fleet.start(n);
        else if (m_fleet.nodes[n].frozen)
            m_fleet.thaw(n);
    }
    const auto settled = [this] {
        return std::all_of(m_fleet.callers.begin(), m_fleet.callers.end(), [](const auto& it) { return it.second.done || it.second.lost; });
    };
    m_fleet.runUntil(settled, 40_s);
    m_fleet.runFor(12_s);
}

bool NodeSchedule::isNotRun(const NodeFleet::Caller& caller) const
{
    return caller.done && NodeFleet::member(caller, "run") == "not-run";
}

// Text of a complete or streamed model response; empty if a stream has no end marker.
static std::string textOf(const NodeFleet::Caller& caller)
{
    if (!findHeader(caller.headers, headers::contentType).starts_with("text/event-stream"))
        return NodeFleet::member(caller, "text");
    EventReader reader;
    reader.feed(caller.body);
    std::string out;
    while (const auto event = reader.next()) {
        if (event->data == "[DONE]")
            return out;
        out += extractEventText(event->data);
    }
    return {};
}

void NodeSchedule::checkCaller(uint64_t number, const NodeFleet::Caller& caller)
{
    const std::string name = "caller " + std::to_string(number);
    if (!caller.done && !caller.lost)
        return recordViolation(name + " got no answer and its node lives: " + caller.request.target);
    const std::string key(findHeader(caller.request.headers, headers::idempotencyKey));
    if (!key.empty()) {
        if (caller.done && caller.status == 200 && (caller.body != "booked " + key || m_fleet.executionCount(key) != 1))
            recordViolation(name + " got a wrong answer for " + key);
        if (m_posted[key] == 1 && isNotRun(caller) && m_fleet.executionCount(key))
            recordViolation(name + " was refused as not run, but " + key + " ran: " + caller.body);
    }
    const auto tokens = m_tokens.find(number);
    const bool failed = caller.body.find("event: error") != std::string::npos;
    if (tokens != m_tokens.end() && caller.done && caller.status == 200 && !failed && textOf(caller) != NodeFleet::expectedText("question " + std::to_string(number), tokens->second))
        recordViolation(name + " got a wrong or cut answer");
}

void NodeSchedule::checkOutcome()
{
    for (const auto& text : m_fleet.violations)
        recordViolation(text);
    for (const auto& [key, run] : m_fleet.runs) {
        if (run.count > 1)
            recordViolation(key + " ran " + std::to_string(run.count) + " times");
    }
    for (const auto& [number, caller] : m_fleet.callers) {
        checkCaller(number, caller);
        if (caller.done)
            ++m_result.faults["answers " + std::to_string(caller.status) + " " + NodeFleet::member(caller, "run")];
    }
    uint64_t highest = 0;
    for (const auto& node : m_fleet.nodes)
        highest = std::max(highest, node.revision);
    if (!m_fleet.agreeOnRevision(highest))
        recordViolation("the nodes do not agree on revision " + std::to_string(highest) + " after the quiet time");
}

SoakResult NodeSchedule::run()
{
    for (const char* domain : { "lhr-depot", "lhr-gulberg" }) {
        m_fleet.addUpstream(std::string("desk-") + domain, UpstreamKind::Service, "hire-desk", domain);
        m_fleet.addUpstream(std::string("runner-") + domain, UpstreamKind::Engine, "sound-plan", domain);
    }
    if (!m_fleet.startCluster()) {
        recordViolation("the fleet did not start");
        return m_result;
    }
    m_fleet.fault = [this](const UpstreamDispatch&) {
        if (!m_random.chance(0.15))
            return DispatchFault::None;
        ++m_result.faults["dispatch fault"];
        return static_cast<DispatchFault>(1 + m_random.below(7));
    };
    for (int n = 0; n < 60; ++n)
        runStep();
    recoverAll();
    checkOutcome();
    return m_result;
}

static SoakResult runNodeSchedule(uint64_t seed)
{
    return NodeSchedule(seed).run();
}

static const SoakRegistration s_nodeSoak("node", runNodeSchedule);

}
