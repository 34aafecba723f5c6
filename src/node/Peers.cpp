#include "node/Peers.h"

#include "node/BuildFeatures.h"
#include "node/CatchUp.h"
#include "node/ColdFlow.h"
#include "node/ControlCalls.h"
#include "node/ControlFlow.h"
#include "node/Duties.h"
#include "node/ExplainFlow.h"
#include "node/FairShares.h"
#include "node/FleetFlow.h"
#include "node/ForwardFlow.h"
#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/LoadHubs.h"
#include "node/MovesFlow.h"
#include "node/VersionOrders.h"
#include "node/ViewTransfer.h"
#include "node/VoterRepair.h"
#include "wire/Codec.h"
#include "wire/FrameReader.h"

namespace siskinshunt {

void countDrop(Node& node, DropReason reason)
{
    ++node.droppedMessages[std::string(nameOf(reason))];
}

static Endpoint endpointOf(const std::string& address)
{
    return parseEndpoint(address).value_or(Endpoint {});
}

void sendFrame(Node& node, NodeId to, FrameKind kind, GroupId group, std::string body)
{
    const Member* member = findMember(node.membership, to);
    if (!member)
        return;
    const Envelope envelope { .cluster = node.cluster, .sender = node.self, .group = group, .sentAt = node.now, .sequence = ++node.frameSequence, .kind = static_cast<uint8_t>(kind), .body = std::move(body) };
    node.counters.add("peer_frames_sent");
    std::string sealed = seal(node.key, envelope);
    node.sentBytes[kind] += sealed.size();
    node.out.frames.push_back({ endpointOf(member->identity.tcpAddress), std::move(sealed) });
}

void receiveDatagram(Node& node, const std::string& from, std::string_view bytes)
{
    const auto reason = receive(node.membership, node.now, from, bytes, node.membershipOutputs);
    if (reason != DropReason::None)
        countDrop(node, reason);
}

static void receiveBody(Node& node, const Envelope& envelope)
{
    switch (static_cast<FrameKind>(envelope.kind)) {
    case FrameKind::Consensus:
        return receiveConsensus(node, envelope.group, envelope.body);
    case FrameKind::Propose:
        return receivePropose(node, envelope.sender, envelope.group, envelope.body);
    case FrameKind::ProposeReply:
        return receiveProposeReply(node, envelope.group, envelope.body);
    case FrameKind::LookUp:
        return receiveLookUp(node, envelope.sender, envelope.group, envelope.body);
    case FrameKind::LookUpReply:
        return receiveLookUpReply(node, envelope.group, envelope.body);
    case FrameKind::FetchView:
        return receiveFetchView(node, envelope.sender, envelope.body);
    case FrameKind::ViewPiece:
        return receiveViewPiece(node, envelope.sender, envelope.body);
    case FrameKind::Evidence:
        return receiveEvidence(node, envelope.sender, envelope.body);
    case FrameKind::LeaseRequests:
        return receiveLeaseRequests(node, envelope.sender, envelope.body);
    case FrameKind::LeaseGrants:
        return receiveLeaseGrants(node, envelope.body);
    case FrameKind::Demand:
        return receiveDemand(node, envelope.sender, envelope.body);
    case FrameKind::ForwardLoad:
        return receiveForwardLoad(node, envelope.sender, envelope.body);
    case FrameKind::HubReport:
        return receiveHubReport(node, envelope.sender, envelope.body);
    case FrameKind::DomainLoad:
        return receiveDomainLoad(node, envelope.sender, envelope.body);
    case FrameKind::FleetLoad:
        return receiveFleetLoad(node, envelope.sender, envelope.body);
    case FrameKind::LoadUpdate:
        return receiveLoadUpdate(node, envelope.sender, envelope.body);
    case FrameKind::DomainUpdate:
        return receiveDomainUpdate(node, envelope.sender, envelope.body);
    case FrameKind::AccountDemand:
        return receiveAccountDemand(node, envelope.sender, envelope.body);
    case FrameKind::DomainAccountDemand:
        return receiveDomainAccountDemand(node, envelope.sender, envelope.body);
    case FrameKind::AccountShares:
        return receiveAccountShares(node, envelope.sender, envelope.body);
    case FrameKind::FleetUpdate:
        return receiveFleetUpdate(node, envelope.sender, envelope.body);
    case FrameKind::CatchUp:
        return receiveCatchUp(node, envelope.sender, envelope.body);
    case FrameKind::CatchUpReply:
        return receiveCatchUpReply(node, envelope.sender, envelope.body);
    case FrameKind::ColdStates:
        return receiveColdStates(node, envelope.sender, envelope.body);
    case FrameKind::Usage:
        return receiveUsage(node, envelope.sender, envelope.body);
    case FrameKind::Leaving:
        return receiveLeaving(node, envelope.sender, envelope.body);
    case FrameKind::LeavingAcknowledged:
        return receiveLeavingAcknowledged(node, envelope.body);
    case FrameKind::ViewNotice:
        return receiveViewNotice(node, envelope.sender, envelope.body);
    case FrameKind::VersionResults:
        return receiveVersionResults(node, envelope.sender, envelope.body);
    case FrameKind::VersionBurst:
        return receiveVersionBurst(node, envelope.body);
    case FrameKind::VersionSwitch:
        return receiveVersionSwitch(node, envelope.body);
    case FrameKind::VersionShares:
        return receiveVersionShares(node, envelope.body);
    case FrameKind::VersionEvidence:
        return receiveVersionEvidence(node, envelope.sender, envelope.body);
    case FrameKind::TableDigest:
    case FrameKind::TableRecords: {
        const auto kind = static_cast<FrameKind>(envelope.kind) == FrameKind::TableDigest ? TableFrameKind::TableDigest : TableFrameKind::TableRecords;
        const auto reason = receiveTableFrame(node.membership, node.now, envelope.sender, kind, envelope.body, node.membershipOutputs);
        if (reason != DropReason::None) {
            countDrop(node, reason);
            const Member* sender = findMember(node.membership, envelope.sender);
            addLog(node, LogLevel::Warning, "bad_table_frame", Step::Decode, sender ? sender->identity.name : std::string {}, std::string(nameOf(reason)), { { "bytes", std::to_string(envelope.body.size()) } });
        }
        return;
    }
    case FrameKind::Explain:
        return receiveExplain(node, envelope.sender, envelope.body);
    case FrameKind::ExplainReply:
        return receiveExplainReply(node, envelope.sender, envelope.body);
    case FrameKind::Evacuations:
        return receiveEvacuations(node, envelope.body);
    case FrameKind::BuildFeatures:
        return receiveBuildFeatures(node, envelope.sender, envelope.body);
    case FrameKind::ReplaceVoter:
        return receiveReplaceVoter(node, envelope.body);
    default: // Kinds that are not sent yet, and those of later builds.
        break;
    }
    countDrop(node, DropReason::BadKind);
}

void receiveFrame(Node& node, std::string_view bytes)
{
    auto opened = open(node.key, node.cluster, bytes, maxFrame);
    if (opened.reason == DropReason::None && (!opened.envelope.sender || opened.envelope.sender == node.self))
        opened.reason = DropReason::BadSender;
    if (opened.reason == DropReason::None)
        opened.reason = node.frameReplays.accept(node.now, opened.envelope);
    if (opened.reason != DropReason::None)
        return countDrop(node, opened.reason);
    receiveBody(node, opened.envelope);
}

// Event handlers can produce further outputs; the limit bounds the work of one flush.
static constexpr int maxFlushRounds = 8;

static void handleMembershipEvent(Node& node, const MembershipEvent& event)
{
    switch (event.kind) {
    case MembershipEventKind::UpstreamChanged:
        return upstreamChanged(node, event.upstream);
    case MembershipEventKind::UpstreamRemoved:
        return upstreamRemoved(node, event.upstream);
    case MembershipEventKind::HigherRevision:
    case MembershipEventKind::MemberUp:
    case MembershipEventKind::MemberChanged:
        if (const Member* member = findMember(node.membership, event.member))
            wantView(node, event.member, member->status.directive, "gossip");
        return;
    case MembershipEventKind::Replaced:
    case MembershipEventKind::Collision:
        node.out.stop = node.out.stop || node.membership.stopped;
        addLog(node, LogLevel::Error, std::string(nameOf(event.kind)), Step::Receive, event.detail,
            node.membership.stopped ? "stopping this node: another process uses its name or id" : "two other members have the same id");
        return;
    case MembershipEventKind::MemberDown:
    case MembershipEventKind::MemberLeft:
    case MembershipEventKind::MemberSuspect:
    case MembershipEventKind::Refuted: {
        const Member* member = findMember(node.membership, event.member);
        addLog(node, LogLevel::Info, std::string(nameOf(event.kind)), Step::Receive, member ? member->identity.name : event.detail, "membership changed");
        return;
    }
    }
}

void flushMembership(Node& node)
{
    for (int round = 0; round < maxFlushRounds; ++round) {
        MembershipOutputs out;
        std::swap(out, node.membershipOutputs);
        for (auto& datagram : out.datagrams)
            node.out.datagrams.push_back({ endpointOf(datagram.address), std::move(datagram.bytes) });
        for (auto& frame : out.frames) {
            const auto kind = frame.kind == TableFrameKind::TableDigest ? FrameKind::TableDigest : FrameKind::TableRecords;
            sendFrame(node, frame.to, kind, {}, std::move(frame.body));
        }
        for (const auto& event : out.events)
            handleMembershipEvent(node, event);
        if (out.events.empty())
            return;
    }
}

void publishStatus(Node& node)
{
    NodeId leader;
    const auto it = node.groups.find(decisionGroup);
    if (it != node.groups.end())
        leader = nodeOfVoter(node, status(*it->second.replica).leader);
    setOwnStatus(node.membership, node.now, { .rulesRevision = node.view.rules.revision, .directive = node.view.index, .voter = node.options.voter, .draining = node.draining, .leader = leader });
}

void tickMembership(Node& node)
{
    publishStatus(node);
    tick(node.membership, node.now, node.membershipOutputs);
}

std::string httpAddressOf(const Node& node, NodeId id)
{
    if (id == node.self)
        return toString(node.options.settings.http);
    const Member* member = findMember(node.membership, id);
    return member ? member->identity.httpAddress : std::string {};
}

}
