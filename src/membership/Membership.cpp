#include "membership/Membership.h"

#include "base/Invariant.h"
#include "membership/Internal.h"

#include <algorithm>

namespace siskinshunt {

using namespace gossip;

Membership makeMembership(MembershipOptions options, TimeMs now)
{
    const auto& identity = options.identity;
    INVARIANT(options.key.bytes.size() >= 16, "cluster key has at least 16 bytes", "size", options.key.bytes.size());
    INVARIANT(fitsDatagram(identity), "own name, domain and addresses fit into a datagram", "name", identity.name);
    Membership m;
    m.options = std::move(options);
    m.self = idOfName<NodeId>(m.options.identity.name);
    m.random = Random(combineHash(m.options.seed, m.self.value));
    m.own = { .id = m.self, .incarnation = firstIncarnation(m.options.startedAtUtc), .version = 1 };
    m.startedAt = now;
    m.utcOffset = m.options.startedAtUtc - now;
    m.nextSequence = firstSequence(m.options.startedAtUtc);
    m.upstreams.self = m.self;
    m.upstreams.options = m.options.upstreams;
    m.lastTick = now;
    // Random phases, so that nodes that start together do not send at the same time.
    m.nextRound = now + TimeMs { m.random.between(1, m.options.roundInterval.value) };
    m.nextRecontact = now + TimeMs { m.random.between(1, m.options.recontactInterval.value) };
    m.nextSeed = now;
    m.nextSync = now + 1_s;
    m.nextExpiry = now;
    m.memberDeltas.add({ m.self.value, 0, true }, urgentTransmits(m), m.self);
    return m;
}

void setOwnStatus(Membership& m, TimeMs, const OwnStatus& status)
{
    INVARIANT(status.rulesRevision >= m.own.rulesRevision, "own rules revision does not decrease", "from", m.own.rulesRevision, "to", status.rulesRevision);
    INVARIANT(status.directive >= m.own.directive, "own directive sequence does not decrease", "from", m.own.directive, "to", status.directive);
    const bool confirms = status.rulesRevision != m.own.rulesRevision || status.directive != m.own.directive;
    const bool urgent = status.voter != m.own.voter || status.draining != m.own.draining || status.leader != m.own.leader;
    if (!confirms && !urgent)
        return;
    ++m.own.version;
    m.own.rulesRevision = status.rulesRevision;
    m.own.directive = status.directive;
    m.own.voter = status.voter;
    m.own.draining = status.draining;
    m.own.leader = status.leader;
    const DeltaKey key { m.self.value, 0, false };
    if (urgent)
        m.memberDeltas.add(key, urgentTransmits(m), m.self);
    else
        m.confirmDeltas.add(key, confirmTransmits(m), m.self);
}

void leave(Membership& m, TimeMs now, MembershipOutputs& out)
{
    if (m.own.state == MemberState::Left)
        return;
    m.own.state = MemberState::Left;
    ++m.own.version;
    m.memberDeltas.add({ m.self.value, 0, false }, urgentTransmits(m), m.self);
    refreshRings(m);
    // Pings several peers immediately in case the process ends before its next rounds.
    for (int n = 0; n < 4 && !m.ring.empty(); ++n) {
        const NodeId peer = m.ring[m.random.below(m.ring.size())];
        if (const Member* member = findMember(m, peer))
            sendPing(m, now, peer, member->identity.udpAddress, {}, out);
    }
}

UpsertResult announce(Membership& m, TimeMs now, const Announcement& announced, MembershipOutputs& out)
{
    const UpsertResult result = upsertAnnouncement(m.upstreams, now, announced);
    drainJournal(m, now, { urgentTransmits(m), m.self }, out);
    return result;
}

void restore(Membership& m, TimeMs now, const Announcement& announced, bool observed, MembershipOutputs& out)
{
    restoreUpstream(m.upstreams, now, announced, observed);
    drainJournal(m, now, { 0, m.self }, out);
}

void learnMembers(Membership& m, TimeMs now, const std::vector<MemberRecord>& records, MembershipOutputs& out)
{
    for (const auto& record : records)
        mergeRecord(m, now, record, {}, out);
}

MemberRecord ownRecord(const Membership& m) { return { m.options.identity, m.own }; }

const Member* findMember(const Membership& m, NodeId id)
{
    const auto it = m.members.find(id);
    return it == m.members.end() ? nullptr : &it->second;
}

bool isAlive(const Membership& m, NodeId id)
{
    if (id == m.self)
        return m.own.state == MemberState::Alive;
    const Member* member = findMember(m, id);
    return member && member->status.state == MemberState::Alive;
}

std::vector<NodeId> liveMembers(const Membership& m)
{
    std::vector<NodeId> ids;
    if (m.own.state == MemberState::Alive)
        ids.push_back(m.self);
    for (const auto& [id, member] : m.members) {
        if (member.status.state == MemberState::Alive)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

namespace gossip {

    static uint8_t doublings(size_t n)
    {
        uint8_t count = 0;
        while ((size_t { 1 } << count) < n)
            ++count;
        return count;
    }

    uint8_t urgentTransmits(const Membership& m) { return static_cast<uint8_t>(doublings(m.members.size() + 1) + 4); }
    uint8_t confirmTransmits(const Membership& m) { return static_cast<uint8_t>(doublings(m.members.size() + 1) + 1); }
    uint8_t loadTransmits(const Membership& m) { return std::max<uint8_t>(doublings(m.domainRing.size()), 2); }

    std::function<bool(NodeId)> alivePredicate(const Membership& m)
    {
        return [&m](NodeId id) { return isAlive(m, id); };
    }

    /// Suspects stay in the rings: they have to be told of the suspicion in order to refute it.
    void refreshRings(Membership& m)
    {
        if (!m.ringsStale)
            return;
        m.ringsStale = false;
        m.ring.assign(1, m.self);
        m.domainRing.assign(1, m.self);
        for (const auto& [id, member] : m.members) {
            if (member.status.state > MemberState::Suspect)
                continue;
            m.ring.push_back(id);
            if (member.identity.domain == m.options.identity.domain)
                m.domainRing.push_back(id);
        }
        std::sort(m.ring.begin(), m.ring.end());
        std::sort(m.domainRing.begin(), m.domainRing.end());
    }

    void stop(Membership& m, MembershipEventKind kind, std::string detail, MembershipOutputs& out)
    {
        if (m.stopped)
            return;
        m.stopped = true;
        out.events.push_back({ .kind = kind, .member = m.self, .detail = std::move(detail) });
    }

}
}
