#include "node/ColdFlow.h"

#include "node/ForwardReport.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

// Announcements that arrive within this time are told in one frame.
static constexpr TimeMs batchTime { 50 };
// A frame can be lost with its connection, so statements of cold upstreams are repeated.
static constexpr TimeMs repeatInterval { 1000 };
static constexpr TimeMs shareInterval { 200 };
// A node that has just started does not know the fleet, and the fleet does not know it: it would take the share of another one.
static constexpr TimeMs shareDelay { 2000 };
// By this time after the first sight of an upstream, requests may have been sent to it.
static constexpr TimeMs newTime { 200 };
// States of upstreams that are not known here yet are kept up to this number.
static constexpr size_t maxStates = 8192;
static constexpr size_t maxColdStatesBytes = 256 << 10;
// Statements are passed on only by a node that has got the last one within this time.
static constexpr TimeMs directStatementAge { 2500 };

static const ColdStartRule* ruleOf(const Node& node, const std::string& backend)
{
    const auto it = node.forward.cold.rules.find(backend);
    return it == node.forward.cold.rules.end() ? nullptr : &it->second;
}

static bool hasLeft(const Node& node, NodeId id)
{
    if (id == node.self)
        return true;
    const Member* member = findMember(node.membership, id);
    return member && (member->status.voter || member->status.draining || member->status.state == MemberState::Left);
}

// Nodes that count for the shares; without this node while it has none.
static std::vector<NodeId> coldSenders(Node& node)
{
    auto out = recordSenders(node.forward.cold.senders, node.now, sendingNodes(node), [&node](NodeId id) { return hasLeft(node, id); });
    if (node.now - node.options.startedAtUtc < shareDelay)
        std::erase(out, node.self);
    return out;
}

// Whether the upstream has just started, so that it has got no requests before.
static bool isNew(const Node& node, const ColdState& state)
{
    return !state.presentAtStart && node.now - state.seenAt <= newTime;
}

static void logCold(Node& node, const ForwardTarget& target, const ColdState& state)
{
    const bool cold = isCold(target.limit, node.now);
    addLog(node, target.local ? LogLevel::Info : LogLevel::Debug, cold ? "upstream_cold" : "upstream_warm", Step::Announce, target.name,
        cold ? "the upstream is cold: a few nodes share the requests that it bears" : "the upstream is not cold any more",
        { { "cold_ms", std::to_string(std::max<int64_t>(0, (target.limit.cold.until - node.now).value)) }, { "stated", state.stated ? "yes" : "no" }, { "share", std::to_string(target.limit.cold.share) } });
}

// `unused`: the upstream has got no requests lately.
static void applyState(Node& node, ForwardTarget& target, const ColdStartRule& rule, const ColdState& state, bool unused)
{
    auto& flow = node.forward.cold;
    const bool wasCold = flow.cold.contains(target.id);
    // Also for a target that a later incarnation has replaced, with its limits.
    const bool isWarm = !isCold(target.limit, node.now);
    setColdUntil(target.limit, node.now, coldUntil(state, rule.duration), unused && !wasCold ? 1 : 0);
    const bool cold = isCold(target.limit, node.now);
    if (cold && isWarm)
        setColdShare(target.limit, node.now, target.id, rule.perSecond, node.self, flow.sharing);
    if (cold == wasCold)
        return;
    if (cold)
        flow.cold.insert(target.id);
    else
        flow.cold.erase(target.id);
    logCold(node, target, state);
}

void updateColdTarget(Node& node, ForwardTarget& target)
{
    auto& flow = node.forward.cold;
    // Sights are recorded without a rule, too, so that a rule which is added does not make all upstreams cold.
    ColdState& state = flow.states[target.id];
    observeIncarnation(state, node.now, target.incarnation, node.options.startedAtUtc);
    // A statement on a later incarnation can arrive before its announcement; that incarnation listens at the target's address already.
    if (const ColdStartRule* rule = ruleOf(node, target.backend))
        applyState(node, target, *rule, state, isNew(node, state));
}

void setColdRules(Node& node)
{
    auto& flow = node.forward.cold;
    flow.rules.clear();
    for (const auto& rule : node.rules->coldStarts)
        flow.rules[rule.name] = rule;
    for (auto& [id, target] : node.forward.targets.entries) {
        if (ruleOf(node, target.backend)) {
            updateColdTarget(node, target);
            continue;
        }
        target.limit.cold = {};
        flow.cold.erase(id);
    }
}

// Applies the statement to what is known of the upstream and to its target. Returns whether it was news.
static bool applyReported(Node& node, const ReportedCold& reported)
{
    auto& flow = node.forward.cold;
    if (!reported.upstream || (flow.states.size() >= maxStates && !flow.states.contains(reported.upstream)))
        return false;
    ColdState& state = flow.states[reported.upstream];
    const bool news = applyStatement(state, node.now, reported);
    ForwardTarget* target = findTarget(node.forward.targets, reported.upstream);
    const ColdStartRule* rule = target ? ruleOf(node, target->backend) : nullptr;
    if (rule)
        applyState(node, *target, *rule, state, isNew(node, state));
    return news;
}

void recordColdStatement(Node& node, const Upstream& upstream, uint64_t incarnation, uint64_t sequence, TimeMs remaining)
{
    auto& flow = node.forward.cold;
    const auto& known = upstream.announced;
    if (incarnation != known.incarnation || sequence < known.sequence)
        return;
    const bool news = applyReported(node, { upstream.id, incarnation, static_cast<uint64_t>(std::max<int64_t>(0, remaining.value)), 0 });
    if (!news || !ruleOf(node, known.model))
        return;
    if (flow.toTell.empty())
        flow.tellAt = node.now + batchTime;
    flow.toTell.insert(upstream.id);
}

void receiveColdStates(Node& node, NodeId from, std::string_view body)
{
    const auto frame = handle([&]() -> Result<std::optional<ColdStatesFrame>> {
        BOOST_LEAF_AUTO(decoded, decode<ColdStatesFrame>(body, maxColdStatesBytes));
        return std::optional(std::move(decoded)); },
        [&](const Error& error) {
            const Member* sender = findMember(node.membership, from);
            addLog(node, LogLevel::Warning, "bad_cold_states", Step::Decode, sender ? sender->identity.name : std::string {}, error.detail);
            return std::optional<ColdStatesFrame> {};
        });
    if (!frame)
        return countDrop(node, DropReason::BadBody);
    for (const auto& reported : frame->states) {
        if (applyReported(node, reported))
            node.counters.add("cold_states_learned");
    }
}

static std::string encodeStates(const Node& node, const std::set<UpstreamId>& upstreams)
{
    ColdStatesFrame frame;
    for (const UpstreamId id : upstreams) {
        const auto it = node.forward.cold.states.find(id);
        if (it != node.forward.cold.states.end() && it->second.stated)
            frame.states.push_back(reportedCold(it->second, id, node.now));
    }
    return frame.states.empty() ? std::string {} : encode(frame);
}

void sendColdStates(Node& node, NodeId to)
{
    if (const auto body = encodeStates(node, node.forward.cold.cold); !body.empty())
        sendFrame(node, to, FrameKind::ColdStates, {}, body);
}

// Members under suspicion are told as well: they may only be slow to answer.
static void tellAll(Node& node)
{
    auto& flow = node.forward.cold;
    const std::string body = encodeStates(node, flow.toTell);
    flow.toTell.clear();
    if (body.empty())
        return;
    node.counters.add("cold_states_told");
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.state <= MemberState::Suspect)
            sendFrame(node, id, FrameKind::ColdStates, {}, body);
    }
}

// Cold upstreams that announce themselves to this node.
static void addRepeated(Node& node)
{
    auto& flow = node.forward.cold;
    for (const UpstreamId id : flow.cold) {
        const ForwardTarget* target = findTarget(node.forward.targets, id);
        const auto state = flow.states.find(id);
        if (target && target->local && state != flow.states.end() && state->second.stated && node.now - state->second.statedAt <= directStatementAge)
            flow.toTell.insert(id);
    }
}

static void updateShares(Node& node)
{
    auto& flow = node.forward.cold;
    flow.nextShares = node.now + shareInterval;
    flow.sharing = coldSenders(node);
    for (auto it = flow.cold.begin(); it != flow.cold.end();) {
        ForwardTarget* target = findTarget(node.forward.targets, *it);
        const ColdStartRule* rule = target ? ruleOf(node, target->backend) : nullptr;
        if (rule && isCold(target->limit, node.now)) {
            setColdShare(target->limit, node.now, target->id, rule->perSecond, node.self, flow.sharing);
            ++it;
            continue;
        }
        if (target)
            logCold(node, *target, flow.states[*it]);
        it = flow.cold.erase(it);
    }
}

void tickColdUpstreams(Node& node)
{
    auto& flow = node.forward.cold;
    if (flow.rules.empty())
        return;
    if (node.now >= flow.nextShares)
        updateShares(node);
    const bool repeats = node.now >= flow.nextRepeat && !flow.cold.empty();
    if (repeats) {
        flow.nextRepeat = node.now + repeatInterval;
        addRepeated(node);
    }
    if (!flow.toTell.empty() && (repeats || node.now >= flow.tellAt))
        tellAll(node);
}

void evacuationEnded(Node& node, const std::string& domain)
{
    for (auto& [id, target] : node.forward.targets.entries) {
        const ColdStartRule* rule = ruleOf(node, target.backend);
        if (!rule || target.domain != domain)
            continue;
        ColdState& state = node.forward.cold.states[id];
        observeIncarnation(state, node.now, target.incarnation, node.options.startedAtUtc);
        requireStatement(state, node.now, rule->duration);
        applyState(node, target, *rule, state, true);
    }
}

}
