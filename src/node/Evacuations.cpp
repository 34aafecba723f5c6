#include "node/Evacuations.h"

#include "node/FleetFlow.h"
#include "node/NodeState.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

static constexpr TimeMs featuresInterval { 1000 };
// Three frames may be lost before an order is refused.
static constexpr TimeMs featuresRetention { 4000 };
// 1,000 evacuations with names of 128 bytes.
static constexpr size_t maxEvacuationsBytes = 512 << 10;

bool isEvacuated(const Node& node, const std::string& domain)
{
    return node.evacuations.inForce.contains(domain);
}

std::vector<std::string> nodesWithoutEvacuations(const Node& node)
{
    std::vector<std::string> out;
    for (const auto& [id, member] : node.membership.members) {
        if (!member.status.voter || !isAlive(node.membership, id))
            continue;
        const auto it = node.evacuations.readers.find(id);
        if (it == node.evacuations.readers.end() || node.now - it->second > featuresRetention)
            out.push_back(member.identity.name);
    }
    return out;
}

// Returns whether the set is newer than the known one.
static bool adoptEvacuations(Node& node, uint64_t sequence, std::map<std::string, Evacuation> evacuations, const std::string& source)
{
    auto& state = node.evacuations;
    if (sequence <= state.sequence)
        return false;
    for (const auto& [domain, evacuation] : evacuations) {
        if (!state.inForce.contains(domain))
            addLog(node, LogLevel::Info, "evacuation_in_force", Step::Receive, domain, "the upstreams of the failure domain get no new requests",
                { { "operator", evacuation.operatorName }, { "sequence", std::to_string(sequence) }, { "source", source } });
    }
    for (const auto& [domain, evacuation] : state.inForce) {
        if (!evacuations.contains(domain))
            addLog(node, LogLevel::Info, "evacuation_ended", Step::Receive, domain, "the upstreams of the failure domain get requests again", { { "sequence", std::to_string(sequence) }, { "source", source } });
    }
    state.sequence = sequence;
    state.inForce = std::move(evacuations);
    refreshTargets(node);
    return true;
}

static std::string encodedEvacuations(const Node& node)
{
    EvacuationsFrame frame { .sequence = node.evacuations.sequence, .evacuations = {} };
    for (const auto& [domain, evacuation] : node.evacuations.inForce)
        frame.evacuations.push_back(evacuation);
    return encode(frame);
}

void publishEvacuations(Node& node)
{
    if (!adoptEvacuations(node, node.decisionLog.evacuationSequence, node.decisionLog.evacuations, "decision log"))
        return;
    const std::string body = encodedEvacuations(node);
    // A member under suspicion is told as well: it may only be slow to answer.
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.state <= MemberState::Suspect)
            sendFrame(node, id, FrameKind::Evacuations, {}, body);
    }
}

void sendEvacuations(Node& node, NodeId to)
{
    if (node.evacuations.sequence)
        sendFrame(node, to, FrameKind::Evacuations, {}, encodedEvacuations(node));
}

void receiveEvacuations(Node& node, std::string_view body)
{
    const auto frame = decodeOr<EvacuationsFrame>(body, maxEvacuationsBytes);
    if (!frame.sequence)
        return countDrop(node, DropReason::BadBody);
    std::map<std::string, Evacuation> evacuations;
    for (const auto& it : frame.evacuations)
        evacuations.emplace(it.domain, it);
    adoptEvacuations(node, frame.sequence, std::move(evacuations), "frame");
}

void receiveBuildFeatures(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeOr<BuildFeaturesFrame>(body, 64);
    if (frame.features & BuildFeaturesFrame::readsEvacuations)
        node.evacuations.readers[from] = node.now;
}

void tickEvacuations(Node& node)
{
    auto& state = node.evacuations;
    if (!node.options.voter || node.now < state.nextFeatures)
        return;
    state.nextFeatures = node.now + featuresInterval;
    std::erase_if(state.readers, [&](const auto& it) { return node.now - it.second > featuresRetention; });
    const std::string body = encode(BuildFeaturesFrame { BuildFeaturesFrame::readsEvacuations });
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.voter && isAlive(node.membership, id))
            sendFrame(node, id, FrameKind::BuildFeatures, {}, body);
    }
}

}
