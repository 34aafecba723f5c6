#include "base/Invariant.h"
#include "membership/Internal.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

using namespace gossip;

namespace gossip {

    using SendResult = DeltaQueue::SendResult;

    /// Bytes left for deltas in a message.
    struct ByteBudget {
        size_t preferred = 0;
        size_t maximum = 0; ///< Limit for the first delta, which may exceed the preferred size.
        bool used = false;

        bool consume(size_t size)
        {
            if (size > preferred && (used || size > maximum))
                return false;
            preferred -= std::min(preferred, size);
            maximum -= size;
            used = true;
            return true;
        }
    };

    template <class T>
    static SendResult append(std::vector<RelayedDelta<T>>& to, ByteBudget& budget, uint8_t remaining, T value)
    {
        if (to.size() >= 255 || !budget.consume(wireSize(value) + 1))
            return SendResult::NoSpace;
        to.push_back({ static_cast<uint8_t>(remaining - 1), std::move(value) });
        return SendResult::Sent;
    }

    static SendResult appendMember(Membership& m, GossipMessage& message, ByteBudget& budget, const Delta& delta)
    {
        const NodeId id { delta.key.id };
        const Member* member = findMember(m, id);
        if (!member && id != m.self)
            return SendResult::NotFound;
        const MemberRecord record = member ? MemberRecord { member->identity, member->status } : ownRecord(m);
        if (delta.key.full)
            return append(message.records, budget, delta.remaining, record);
        return append(message.statuses, budget, delta.remaining, record.status);
    }

    static SendResult appendUpstream(Membership& m, TimeMs now, GossipMessage& message, ByteBudget& budget, const Delta& delta)
    {
        const Upstream* upstream = findUpstream(m.upstreams, { delta.key.id });
        if (!upstream)
            return SendResult::NotFound;
        if (delta.key.full)
            return append(message.upstreams, budget, delta.remaining, recordOf(*upstream, now));
        return append(message.notices, budget, delta.remaining, noticeOf(*upstream, now, { delta.key.observer }));
    }

    static void appendDeltas(Membership& m, TimeMs now, GossipMessage& message, NodeId peer, ByteBudget budget)
    {
        const size_t used = m.traffic.lastSecond(now);
        if (used >= (isNew(m, now) ? m.options.bytesPerSecondNew : m.options.bytesPerSecond))
            return;
        m.memberDeltas.offer(peer, [&](const Delta& it) { return appendMember(m, message, budget, it); });
        m.upstreamDeltas.offer(peer, [&](const Delta& it) { return appendUpstream(m, now, message, budget, it); });
        m.confirmDeltas.offer(peer, [&](const Delta& it) {
            const Member* member = findMember(m, { it.key.id });
            if (!member && NodeId { it.key.id } != m.self)
                return SendResult::NotFound;
            return append(message.confirms, budget, it.remaining, member ? member->status : m.own);
        });
        // While tables differ, half of the load bandwidth is reserved for anti-entropy.
        const bool tablesDiffer = m.digestMismatchRatio > 0.5 && m.memberDeltas.empty() && m.upstreamDeltas.empty();
        if (used >= m.options.loadBytesPerSecond / (tablesDiffer ? 2 : 1))
            return;
        ByteBudget loadBudget { std::min(budget.preferred, m.options.loadBytesPerDatagram), 0, true };
        m.loadDeltas.offer(peer, [&](const Delta& it) {
            const Upstream* upstream = findUpstream(m.upstreams, { it.key.id });
            return upstream ? append(message.loads, loadBudget, it.remaining, loadOf(*upstream)) : SendResult::NotFound;
        });
    }

    /// Repeats suspicions that have lasted for half of suspicionBase, so that a peer that knows of a refutation which did not
    /// arrive here answers with it.
    static void appendSuspicions(const Membership& m, TimeMs now, GossipMessage& message)
    {
        for (const auto& [id, member] : m.members) {
            if (message.statuses.size() >= 4)
                return;
            if (member.status.state == MemberState::Suspect && now - member.since >= m.options.suspicionBase / 2)
                message.statuses.push_back({ 0, member.status });
        }
    }

    void sendGossip(Membership& m, TimeMs now, GossipKind kind, GossipMessage message, NodeId peer, const std::string& address, MembershipOutputs& out)
    {
        if (m.stopped)
            return;
        refreshDigests(m, now);
        message.round = m.round;
        message.sender = m.own;
        message.memberDigest = m.memberDigest;
        message.upstreamDigest = m.upstreamDigest;
        const Member* member = findMember(m, peer);
        if (peer && !member)
            message.flags |= WantsRecord;
        // A peer held to be suspect or dead has to be told, so that it can refute the claim.
        if (member && member->status.state != MemberState::Alive && member->status.state != MemberState::Left)
            message.statuses.push_back({ 0, member->status });
        if (kind == GossipKind::Ping)
            appendSuspicions(m, now, message);
        size_t base = envelopeOverhead + 1 + 17 + wireSize(m.own) + 8 + 7;
        for (const auto& it : message.identities)
            base += wireSize(it);
        for (const auto& it : message.statuses)
            base += 1 + wireSize(it.value);
        if (kind != GossipKind::PingRequest && base < maxDatagram)
            appendDeltas(m, now, message, peer, { m.options.datagramLimit - std::min(base, m.options.datagramLimit), maxDatagram - base });
        Envelope envelope { .cluster = m.options.cluster, .sender = m.self, .group = {}, .sentAt = now + m.utcOffset, .sequence = ++m.nextSequence, .kind = static_cast<uint8_t>(kind), .body = encode(message) };
        std::string bytes = seal(m.options.key, envelope);
        INVARIANT(bytes.size() <= maxDatagram, "datagram within its limit", "size", bytes.size(), "base", base);
        m.traffic.add(now, bytes.size() + ipUdpHeaders);
        out.datagrams.push_back({ address, std::move(bytes) });
    }

    uint32_t sendPing(Membership& m, TimeMs now, NodeId target, const std::string& address, Probe probe, MembershipOutputs& out)
    {
        const uint32_t number = m.nextProbe++;
        probe.target = target;
        probe.sentAt = now;
        m.probes[number] = std::move(probe);
        GossipMessage message { .probe = number };
        if (!target) {
            message.flags |= WantsRecord;
            message.identities.push_back(ownRecord(m));
        }
        sendGossip(m, now, GossipKind::Ping, std::move(message), target, address, out);
        return number;
    }

    /// All nodes derive the same ring distance from the round number, so each node is pinged about once per round: traffic
    /// is even across nodes, and the number of nodes that know of a change doubles with every round. Every fifth round
    /// stays in the node's own failure domain, whose loads matter most; with more such rounds, changes would exhaust their
    /// transmissions before they leave the domain.
    static NodeId partnerForRound(Membership& m, uint32_t round)
    {
        refreshRings(m);
        const bool sameDomain = round % 5 == 0 && m.domainRing.size() > 2;
        const auto& ring = sameDomain ? m.domainRing : m.ring;
        if (ring.size() < 2)
            return {};
        const auto own = static_cast<size_t>(std::lower_bound(ring.begin(), ring.end(), m.self) - ring.begin());
        const size_t distance = 1 + combineHash(round, 0x676f7373) % (ring.size() - 1);
        return ring[(own + distance) % ring.size()];
    }

    static void runRound(Membership& m, TimeMs now, MembershipOutputs& out)
    {
        if (now < m.nextRound)
            return;
        m.nextRound = std::max(m.nextRound + m.options.roundInterval, now);
        // Advances by one, or jumps to the highest round seen, so that nodes with different timer phases share one round
        // number.
        m.round = std::max(m.round + 1, m.highestSeenRound);
        const NodeId partner = partnerForRound(m, m.round);
        if (const Member* member = findMember(m, partner))
            sendPing(m, now, partner, member->identity.udpAddress, {}, out);
    }

    static void sendPingRequests(Membership& m, TimeMs now, uint32_t number, Probe& probe, MembershipOutputs& out)
    {
        probe.indirect = true;
        refreshRings(m);
        for (size_t n = 0; n < m.options.indirectProbes; ++n) {
            const NodeId helper = m.ring[m.random.below(m.ring.size())];
            const Member* member = findMember(m, helper);
            if (!member || helper == probe.target)
                continue;
            GossipMessage message { .probe = number, .flags = IndirectProbe };
            message.target = probe.target;
            sendGossip(m, now, GossipKind::PingRequest, std::move(message), helper, member->identity.udpAddress, out);
        }
    }

    static void checkProbes(Membership& m, TimeMs now, MembershipOutputs& out)
    {
        for (auto it = m.probes.begin(); it != m.probes.end();) {
            auto& [number, probe] = *it;
            const TimeMs waited = now - probe.sentAt;
            const auto target = m.members.find(probe.target);
            const bool expired = waited >= m.options.ackTimeout + m.options.indirectTimeout;
            if (expired || target == m.members.end() || target->second.status.state > MemberState::Suspect || probe.requester) {
                if (expired && target != m.members.end() && !probe.requester)
                    suspect(m, target->second, now, out);
                if (expired || (target == m.members.end() && probe.target)) {
                    it = m.probes.erase(it);
                    continue;
                }
            } else if (!probe.indirect && waited >= m.options.ackTimeout) {
                sendPingRequests(m, now, number, probe, out);
            }
            ++it;
        }
    }

    static TimeMs suspicionTimeout(const Membership& m)
    {
        const double doublings = std::log2(static_cast<double>(m.ring.size() + 1));
        return m.options.suspicionBase + TimeMs { static_cast<int64_t>(doublings * static_cast<double>(m.options.suspicionPerDoubling.value)) };
    }

    static void expireMembers(Membership& m, TimeMs now, MembershipOutputs& out)
    {
        const TimeMs timeout = suspicionTimeout(m);
        for (auto it = m.members.begin(); it != m.members.end();) {
            Member& member = it->second;
            const TimeMs age = now - member.since;
            if (member.status.state == MemberState::Suspect && age >= timeout)
                setState(m, member, MemberState::Dead, now, out);
            if (member.status.state >= MemberState::Dead && age >= m.options.deadRetention)
                it = m.members.erase(it);
            else
                ++it;
        }
    }

    static void recontactDeadMember(Membership& m, TimeMs now, MembershipOutputs& out)
    {
        if (now < m.nextRecontact)
            return;
        m.nextRecontact = now + m.options.recontactInterval;
        std::vector<const Member*> dead;
        for (const auto& [id, member] : m.members) {
            if (member.status.state == MemberState::Dead)
                dead.push_back(&member);
        }
        if (dead.empty())
            return;
        const Member& member = *dead[m.random.below(dead.size())];
        sendPing(m, now, member.status.id, member.identity.udpAddress, {}, out);
    }

    static void contactSeeds(Membership& m, TimeMs now, MembershipOutputs& out)
    {
        if (now < m.nextSeed)
            return;
        refreshRings(m);
        const bool alone = m.ring.size() < 2;
        m.nextSeed = now + (alone ? m.options.seedIntervalAlone : m.options.seedInterval);
        std::vector<std::string> candidates;
        for (const auto& seed : m.options.seeds) {
            const bool known = seed == m.options.identity.udpAddress || std::any_of(m.members.begin(), m.members.end(), [&](const auto& it) {
                return it.second.identity.udpAddress == seed && it.second.status.state <= MemberState::Suspect;
            });
            if (!known)
                candidates.push_back(seed);
        }
        if (candidates.empty())
            return;
        // A node without live members pings all seeds: any of them may be down, and callers wait until this node has the
        // rules.
        if (alone) {
            for (const auto& seed : candidates)
                sendPing(m, now, {}, seed, {}, out);
            return;
        }
        sendPing(m, now, {}, candidates[m.random.below(candidates.size())], {}, out);
    }

    /// After a pause of this process its timers expire late, so expired probes are no evidence against other members, and
    /// announcements that arrived meanwhile can be unread.
    static void compensateForPause(Membership& m, TimeMs now)
    {
        const TimeMs gap = now - m.lastTick;
        m.lastTick = now;
        if (gap < 1_s)
            return;
        m.probes.clear();
        for (auto& [id, member] : m.members) {
            if (member.status.state == MemberState::Suspect)
                member.since += gap;
        }
        for (auto& [id, upstream] : m.upstreams.entries) {
            if (upstream.local)
                upstream.lastSeen = std::min(now, upstream.lastSeen + gap);
        }
    }

}

void tick(Membership& m, TimeMs now, MembershipOutputs& out)
{
    if (m.stopped)
        return;
    compensateForPause(m, now);
    checkProbes(m, now, out);
    if (now >= m.nextExpiry) {
        m.nextExpiry = now + 250_ms;
        expireMembers(m, now, out);
        expireUpstreams(m.upstreams, now, alivePredicate(m));
        drainJournal(m, now, { urgentTransmits(m), m.self }, out);
    }
    runRound(m, now, out);
    recontactDeadMember(m, now, out);
    contactSeeds(m, now, out);
    startSync(m, now, out);
}

}
