#include "node/BuildFeatures.h"

#include "node/NodeState.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

static constexpr uint64_t ownFeatureBits = BuildFeaturesFrame::readsEvacuations | BuildFeaturesFrame::readsOrderVersion | BuildFeaturesFrame::readsOrderVersionAmong;

std::vector<std::string> nodesWithoutFeature(const Node& node, uint64_t feature)
{
    std::vector<std::string> out;
    for (const auto& [id, member] : node.membership.members) {
        if (!member.status.voter || !isAlive(node.membership, id))
            continue;
        const auto it = node.builds.find(id);
        if (it == node.builds.end() || it->second.process < processOf(member.status.incarnation) || !(it->second.features & feature))
            out.push_back(member.identity.name);
    }
    std::sort(out.begin(), out.end());
    return out;
}

static std::string ownFeatures(const Node& node, bool question)
{
    return encode(BuildFeaturesFrame { .process = processOf(firstIncarnation(node.options.startedAtUtc)), .features = ownFeatureBits, .question = question });
}

// Nothing is sent before the first order, so that fleets without orders run as before.
void askFeatures(Node& node)
{
    std::erase_if(node.builds, [&](const auto& it) { return !findMember(node.membership, it.first); });
    const std::string body = ownFeatures(node, true);
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.voter && isAlive(node.membership, id))
            sendFrame(node, id, FrameKind::BuildFeatures, {}, body);
    }
}

void receiveBuildFeatures(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeOr<BuildFeaturesFrame>(body, 64);
    if (!frame.process)
        return countDrop(node, DropReason::BadBody);
    node.builds[from] = { .process = frame.process, .features = frame.features };
    if (frame.question && node.options.voter)
        sendFrame(node, from, FrameKind::BuildFeatures, {}, ownFeatures(node, false));
}

}
