#include "membership/Internal.h"

#include <algorithm>

namespace siskinshunt {

using namespace gossip;

namespace gossip {

    static Origin urgentOrigin(uint8_t remaining, NodeId sender) { return { std::max(remaining, minUrgentTransmits), sender }; }

    static void mergeUpstreamDeltas(Membership& m, TimeMs now, const GossipMessage& message, NodeId sender, MembershipOutputs& out)
    {
        for (const auto& it : message.upstreams) {
            if (upsertRecord(m.upstreams, now, it.value) == UpsertResult::Stale)
                m.upstreamDeltas.recordDuplicate({ idOfName<UpstreamId>(it.value.announced.name).value, 0, true }, sender, false);
            drainJournal(m, now, urgentOrigin(it.remaining, sender), out);
        }
        for (const auto& it : message.notices) {
            if (applyNotice(m.upstreams, now, it.value) == UpsertResult::Stale) {
                m.upstreamDeltas.recordDuplicate({ it.value.id.value, 0, false }, sender, false);
                m.upstreamDeltas.recordDuplicate({ it.value.id.value, it.value.observation.observer.value, false }, sender, false);
            }
            drainJournal(m, now, urgentOrigin(it.remaining, sender), out);
        }
        for (const auto& it : message.loads) {
            if (applyLoad(m.upstreams, it.value) == UpsertResult::Stale)
                m.loadDeltas.recordDuplicate({ it.value.id.value, 0, false }, sender, true);
            drainJournal(m, now, { it.remaining, sender }, out);
        }
    }

    /// Answers a suspicion that this node knows to be refuted by one transmission of the newer status.
    static void answerStaleStatus(Membership& m, const MemberStatus& in, NodeId sender)
    {
        const DeltaKey key { in.id.value, 0, false };
        const Member* known = findMember(m, in.id);
        if (known && in.state == MemberState::Suspect && in.incarnation < known->status.incarnation) {
            if (!m.memberDeltas.contains(key))
                m.memberDeltas.add(key, 1, {});
            return;
        }
        m.memberDeltas.recordDuplicate(key, sender, false);
    }

    static void mergeDeltas(Membership& m, TimeMs now, const GossipMessage& message, NodeId sender, MembershipOutputs& out)
    {
        for (const auto& it : message.records) {
            if (!mergeRecord(m, now, it.value, urgentOrigin(it.remaining, sender), out))
                m.memberDeltas.recordDuplicate({ it.value.status.id.value, 0, true }, sender, false);
        }
        for (const auto& it : message.statuses) {
            if (!mergeStatus(m, now, it.value, urgentOrigin(it.remaining, sender), out))
                answerStaleStatus(m, it.value, sender);
        }
        for (const auto& it : message.confirms) {
            if (!mergeStatus(m, now, it.value, { it.remaining, sender }, out))
                m.confirmDeltas.recordDuplicate({ it.value.id.value, 0, false }, sender, true);
        }
        mergeUpstreamDeltas(m, now, message, sender, out);
    }

    /// Merges the sender's own record and status. Returns false if its id is in use by another name, so that it is refused.
    static bool mergeSender(Membership& m, TimeMs now, const GossipMessage& message, MembershipOutputs& out)
    {
        const NodeId sender = message.sender.id;
        const auto sends = static_cast<uint8_t>(urgentTransmits(m) - 1);
        for (const auto& record : message.identities) {
            if (record.status.id != sender)
                continue;
            const Member* known = findMember(m, sender);
            if (known && known->identity.name != record.identity.name) {
                mergeRecord(m, now, record, {}, out);
                return false;
            }
            mergeRecord(m, now, record, { sends, sender }, out);
        }
        mergeStatus(m, now, message.sender, { sends, sender }, out);
        const auto it = m.members.find(sender);
        if (it == m.members.end())
            return true;
        it->second.lastHeard = now;
        if (message.sender.rulesRevision > m.own.rulesRevision)
            out.events.push_back({ .kind = MembershipEventKind::HigherRevision, .member = sender, .revision = message.sender.rulesRevision });
        return true;
    }

    /// Whether this node needs the sender's full record: the sender is unknown, or a later process than the known one.
    static bool needsRecord(const Membership& m, const MemberStatus& sender)
    {
        const Member* known = findMember(m, sender.id);
        return !known || processOf(known->status.incarnation) < processOf(sender.incarnation);
    }

    static void handlePing(Membership& m, TimeMs now, const GossipMessage& ping, const std::string& from, MembershipOutputs& out)
    {
        GossipMessage ack { .probe = ping.probe };
        if (needsRecord(m, ping.sender))
            ack.flags |= WantsRecord;
        if (ping.flags & WantsRecord)
            ack.identities.push_back(ownRecord(m));
        sendGossip(m, now, GossipKind::Ack, std::move(ack), ping.sender.id, from, out);
    }

    static void handleAck(Membership& m, TimeMs now, const GossipMessage& ack, const std::string& from, MembershipOutputs& out)
    {
        if (ack.flags & WantsRecord) {
            GossipMessage message {};
            message.identities.push_back(ownRecord(m));
            sendGossip(m, now, GossipKind::Ack, std::move(message), ack.sender.id, from, out);
        }
        const auto it = m.probes.find(ack.probe);
        if (it == m.probes.end())
            return;
        const Probe probe = it->second;
        const NodeId responder = ack.flags & IndirectProbe ? ack.target : ack.sender.id;
        if (probe.target && probe.target != responder)
            return;
        m.probes.erase(it);
        if (!probe.requester)
            return;
        GossipMessage relayed { .probe = probe.requesterProbe, .flags = IndirectProbe };
        relayed.target = probe.target;
        sendGossip(m, now, GossipKind::Ack, std::move(relayed), probe.requester, probe.requesterAddress, out);
    }

    static void handlePingRequest(Membership& m, TimeMs now, const GossipMessage& request, const std::string& from, MembershipOutputs& out)
    {
        const Member* target = findMember(m, request.target);
        // The limit on pending probes bounds the traffic that a requester can cause.
        if (!target || m.probes.size() > 256)
            return;
        Probe probe { .requester = request.sender.id, .requesterAddress = from, .requesterProbe = request.probe };
        sendPing(m, now, request.target, target->identity.udpAddress, std::move(probe), out);
    }

    static void sendRefusal(Membership& m, TimeMs now, const GossipMessage& message, const std::string& from, MembershipOutputs& out)
    {
        sendGossip(m, now, GossipKind::Ack, { .probe = message.probe, .flags = Refusal }, message.sender.id, from, out);
    }

    /// Informs a process that a later one of the same name has replaced it, so that it stops. Sends one datagram per authentic
    /// datagram received.
    static bool answerReplacedProcess(Membership& m, TimeMs now, const Envelope& envelope, const std::string& from, MembershipOutputs& out)
    {
        const auto it = m.members.find(envelope.sender);
        if (it == m.members.end() || (envelope.sequence >> 20) >= processOf(it->second.status.incarnation))
            return false;
        GossipMessage answer {};
        answer.statuses.push_back({ 0, it->second.status });
        sendGossip(m, now, GossipKind::Ack, std::move(answer), envelope.sender, from, out);
        return true;
    }

    static void handleMessage(Membership& m, TimeMs now, GossipKind kind, const GossipMessage& message, const std::string& from, MembershipOutputs& out)
    {
        if (message.flags & Refusal) {
            stop(m, MembershipEventKind::Collision, "the id of " + m.options.identity.name + " belongs to another name at " + from, out);
            return;
        }
        if (!mergeSender(m, now, message, out)) {
            sendRefusal(m, now, message, from, out);
            return;
        }
        if (message.round > m.highestSeenRound && message.round - m.highestSeenRound < 1U << 24)
            m.highestSeenRound = message.round;
        mergeDeltas(m, now, message, message.sender.id, out);
        refreshDigests(m, now);
        const bool differs = message.memberDigest != m.memberDigest || message.upstreamDigest != m.upstreamDigest;
        m.digestMismatchRatio = m.digestMismatchRatio * 0.9 + (differs ? 0.1 : 0);
        if (kind == GossipKind::Ping)
            handlePing(m, now, message, from, out);
        else if (kind == GossipKind::Ack)
            handleAck(m, now, message, from, out);
        else
            handlePingRequest(m, now, message, from, out);
    }

}

DropReason receive(Membership& m, TimeMs now, const std::string& fromAddress, std::string_view datagram, MembershipOutputs& out)
{
    m.traffic.add(now, datagram.size() + ipUdpHeaders);
    const OpenResult opened = open(m.options.key, m.options.cluster, datagram, maxDatagram);
    if (opened.reason != DropReason::None)
        return opened.reason;
    const Envelope& envelope = opened.envelope;
    if (m.stopped)
        return DropReason::BadSender;
    if (envelope.kind < static_cast<uint8_t>(GossipKind::Ping) || envelope.kind > static_cast<uint8_t>(GossipKind::PingRequest))
        return DropReason::BadKind;
    if (envelope.group)
        return DropReason::BadGroup;
    const DropReason replay = m.replayWindow.accept(now + m.utcOffset, envelope);
    if (replay == DropReason::Stale)
        return replay;
    if (answerReplacedProcess(m, now, envelope, fromAddress, out))
        return DropReason::BadSender;
    if (replay != DropReason::None)
        return replay;
    return handle(
        [&]() -> Result<DropReason> {
            BOOST_LEAF_AUTO(message, decode<GossipMessage>(envelope.body, maxDatagram, fromAddress));
            const bool refusal = message.flags & Refusal;
            if (message.sender.id != envelope.sender || (envelope.sender == m.self && !refusal))
                return DropReason::BadSender;
            handleMessage(m, now, static_cast<GossipKind>(envelope.kind), message, fromAddress, out);
            return DropReason::None;
        },
        [](const Error&) { return DropReason::BadBody; });
}

}
