#include "node/Evacuations.h"

#include "node/CatchUp.h"
#include "node/ColdFlow.h"
#include "node/FleetFlow.h"
#include "node/Groups.h"
#include "node/NodeState.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>
#include <ctime>

namespace siskinshunt {

// Operators repeat an order elsewhere after 1 s. An order that is still proposed then could be applied after a later one.
static constexpr TimeMs orderTimeout { 900 };
// Covers the election of a leader after all voters have restarted.
static constexpr TimeMs learningTime { 5000 };
// The decision leader repeats the evacuations for nodes that do not ask for what they have missed.
static constexpr TimeMs spreadInterval { 2000 };
// 1,000 evacuations with names of 128 bytes.
static constexpr size_t maxEvacuationsBytes = 512 << 10;

bool isEvacuated(const Node& node, const std::string& domain)
{
    return node.evacuations.inForce.contains(domain);
}

bool knowsEvacuations(const Node& node)
{
    if (!node.options.settings.evacuations && !node.evacuations.sequence)
        return true;
    const TimeMs startedAt = node.options.startedAtUtc;
    return node.leadsDecisions || !needsNotices(node) || node.catchUp.currentAt >= startedAt || node.now - startedAt >= learningTime;
}

std::vector<std::string> nodesWithoutEvacuations(const Node& node)
{
    // The commands are in the log already once there was one.
    return node.evacuations.sequence ? std::vector<std::string> {} : nodesWithoutFeature(node, BuildFeaturesFrame::readsEvacuations);
}

std::string toRuleLine(const Evacuation& evacuation)
{
    const auto seconds = static_cast<std::time_t>(evacuation.orderedAt.value / 1000);
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    char at[32];
    const size_t length = std::strftime(at, sizeof(at), "%Y-%m-%dT%H:%M:%SZ", &utc);
    return "evacuation " + evacuation.domain + " # " + evacuation.operatorName + ": ordered at " + std::string(at, length);
}

void orderEvacuation(Node& node, EvacuationOrder order)
{
    if (!nodesWithoutEvacuations(node).empty())
        askFeatures(node);
    order.arrivedAt = node.now;
    node.evacuations.orders.push_back(std::move(order));
}

static void refuseOrder(Node& node, const EvacuationOrder& order, const std::vector<std::string>& unable)
{
    std::string names;
    for (const auto& name : unable)
        names += (names.empty() ? "" : ", ") + name;
    addLog(node, LogLevel::Warning, "evacuation_not_readable", Step::Propose, unable.front(), "an order was refused: these nodes have not told that their build reads it", { { "nodes", names }, { "domain", order.domain } });
    order.done(node, order, std::nullopt, "not ordered: " + unable.front() + " has not told that its build reads evacuations");
}

void dropEvacuationOrder(Node& node, ExchangeId exchange)
{
    std::erase_if(node.evacuations.orders, [&](const auto& it) { return it.exchange == exchange; });
}

static ControlCommand commandOf(const EvacuationOrder& order)
{
    if (order.start)
        return StartEvacuation { { .domain = order.domain, .operatorName = order.operatorName, .orderedAt = order.arrivedAt } };
    return EndEvacuation { .domain = order.domain, .operatorName = order.operatorName, .now = order.arrivedAt };
}

static void proposeOrder(Node& node, const EvacuationOrder& order)
{
    proposeCommand(node, decisionGroup, encodeControlCommand(commandOf(order)), orderTimeout - (node.now - order.arrivedAt), [order](Node& node, bool applied, const std::string& bytes) {
        const auto reply = applied ? decodeControlReply(bytes) : std::nullopt;
        addLog(node, reply ? LogLevel::Info : LogLevel::Warning, reply ? "evacuation_ordered" : "evacuation_not_committed", Step::Propose, order.domain, order.start ? "start" : "end",
            { { "operator", order.operatorName }, { "outcome", reply ? std::string(nameOf(reply->outcome)) : std::string("unknown") }, { "detail", reply ? reply->detail : std::string {} }, { "took_ms", std::to_string((node.now - order.arrivedAt).value) } });
        order.done(node, order, reply, reply ? std::string {} : "the order is not known to be committed; repeat it");
    });
}

// A process that was stopped for a while reads orders whose operators have given up, and repeated them elsewhere, before it reads that they
// have disconnected.
void proposeEvacuationOrders(Node& node)
{
    if (node.evacuations.orders.empty())
        return;
    const auto unable = nodesWithoutEvacuations(node);
    for (auto& order : std::exchange(node.evacuations.orders, {})) {
        if (unable.empty())
            proposeOrder(node, order);
        else if (node.now - order.arrivedAt < featuresTimeout)
            node.evacuations.orders.push_back(std::move(order));
        else
            refuseOrder(node, order, unable);
    }
}

static void logChanges(Node& node, uint64_t sequence, const std::map<std::string, Evacuation>& next, const char* source)
{
    for (const auto& [domain, evacuation] : next) {
        if (!isEvacuated(node, domain))
            addLog(node, LogLevel::Info, "evacuation_in_force", Step::Receive, domain, "the upstreams of the failure domain get no new requests",
                { { "operator", evacuation.operatorName }, { "sequence", std::to_string(sequence) }, { "source", source } });
    }
    for (const auto& [domain, evacuation] : node.evacuations.inForce) {
        if (!next.contains(domain))
            addLog(node, LogLevel::Info, "evacuation_ended", Step::Receive, domain, "the upstreams of the failure domain get requests again",
                { { "sequence", std::to_string(sequence) }, { "source", source } });
    }
}

static void adoptEvacuations(Node& node, uint64_t sequence, std::map<std::string, Evacuation> next, const char* source)
{
    logChanges(node, sequence, next, source);
    const auto before = std::exchange(node.evacuations.inForce, std::move(next));
    node.evacuations.sequence = sequence;
    refreshTargets(node);
    for (const auto& [domain, evacuation] : before) {
        if (!isEvacuated(node, domain))
            evacuationEnded(node, domain);
    }
}

static std::string encodedEvacuations(const Node& node)
{
    EvacuationsFrame frame { .sequence = node.evacuations.sequence, .evacuations = {} };
    for (const auto& [domain, evacuation] : node.evacuations.inForce)
        frame.evacuations.push_back(evacuation);
    return encode(frame);
}

static void spreadEvacuations(Node& node)
{
    const std::string body = encodedEvacuations(node);
    // A member under suspicion is told as well: it may only be slow to answer.
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.state <= MemberState::Suspect)
            sendFrame(node, id, FrameKind::Evacuations, {}, body);
    }
    node.evacuations.nextSpread = node.now + spreadInterval;
}

void publishEvacuations(Node& node)
{
    const auto& log = node.decisionLog;
    if (log.evacuationSequence <= node.evacuations.sequence)
        return;
    adoptEvacuations(node, log.evacuationSequence, log.evacuations, "decision log");
    spreadEvacuations(node);
}

void sendEvacuations(Node& node, NodeId to)
{
    if (node.evacuations.sequence)
        sendFrame(node, to, FrameKind::Evacuations, {}, encodedEvacuations(node));
}

void receiveEvacuations(Node& node, std::string_view body)
{
    auto frame = decodeOr<EvacuationsFrame>(body, maxEvacuationsBytes);
    if (!frame.sequence)
        return countDrop(node, DropReason::BadBody);
    if (frame.sequence <= node.evacuations.sequence)
        return;
    std::map<std::string, Evacuation> evacuations;
    for (auto& it : frame.evacuations)
        evacuations.emplace(it.domain, it);
    adoptEvacuations(node, frame.sequence, std::move(evacuations), "frame");
}

void tickEvacuations(Node& node)
{
    if (node.leadsDecisions && node.evacuations.sequence && node.now >= node.evacuations.nextSpread)
        spreadEvacuations(node);
}

}
