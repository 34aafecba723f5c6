#include "base/Invariant.h"
#include "membership/Internal.h"

#include <algorithm>

namespace siskinshunt::gossip {

static void emitMemberEvent(MembershipOutputs& out, MembershipEventKind kind, const Member& member, std::string detail = {})
{
    out.events.push_back({ .kind = kind, .member = member.status.id, .revision = member.status.rulesRevision, .detail = std::move(detail) });
}

void setState(Membership& m, Member& member, MemberState state, TimeMs now, MembershipOutputs& out)
{
    const MemberState before = member.status.state;
    if (before == state)
        return;
    member.status.state = state;
    member.since = now;
    m.ringsStale = true;
    switch (state) {
    case MemberState::Alive:
        // No event for a refuted suspicion: the member was never reported down here.
        if (before != MemberState::Suspect)
            emitMemberEvent(out, MembershipEventKind::MemberUp, member);
        break;
    case MemberState::Suspect:
        // A dead member may return with a suspicion of its later incarnation, which makes it a member again.
        emitMemberEvent(out, before == MemberState::Dead ? MembershipEventKind::MemberUp : MembershipEventKind::MemberSuspect, member);
        break;
    case MemberState::Dead:
        emitMemberEvent(out, MembershipEventKind::MemberDown, member);
        break;
    case MemberState::Left:
        emitMemberEvent(out, MembershipEventKind::MemberLeft, member);
        break;
    }
}

void suspect(Membership& m, Member& member, TimeMs now, MembershipOutputs& out)
{
    if (member.status.state != MemberState::Alive)
        return;
    setState(m, member, MemberState::Suspect, now, out);
    m.memberDeltas.add({ member.status.id.value, 0, false }, urgentTransmits(m), m.self);
}

/// Merges another node's claim about this node.
static void mergeClaimAboutSelf(Membership& m, const MemberStatus& in, MembershipOutputs& out)
{
    if (processOf(in.incarnation) > processOf(m.own.incarnation)) {
        stop(m, MembershipEventKind::Replaced, "a later process runs under the name " + m.options.identity.name, out);
        return;
    }
    const bool reportedDown = in.state != MemberState::Alive && in.incarnation >= m.own.incarnation;
    if (m.own.state == MemberState::Left || (!reportedDown && in.incarnation <= m.own.incarnation))
        return;
    m.own.incarnation = std::max(m.own.incarnation, in.incarnation) + 1;
    ++m.own.version;
    m.memberDeltas.add({ m.self.value, 0, false }, urgentTransmits(m), m.self);
    out.events.push_back({ .kind = MembershipEventKind::Refuted, .member = m.self });
}

/// Returns whether the change is urgent: anything but the rules revision and the directive differs.
static bool updateAttributes(Member& member, const MemberStatus& in)
{
    auto& status = member.status;
    const bool urgent = status.draining != in.draining || status.voter != in.voter || status.leader != in.leader;
    status.version = in.version;
    status.draining = in.draining;
    status.rulesRevision = std::max(status.rulesRevision, in.rulesRevision);
    status.directive = std::max(status.directive, in.directive);
    status.voter = in.voter;
    status.leader = in.leader;
    return urgent;
}

static bool updateState(Membership& m, Member& member, TimeMs now, const MemberStatus& in, MembershipOutputs& out)
{
    auto& status = member.status;
    // A claimed death is merged as a suspicion, so that the member always has time to refute it.
    const MemberState state = in.state == MemberState::Dead ? MemberState::Suspect : in.state;
    if (in.incarnation < status.incarnation || (in.incarnation == status.incarnation && state <= status.state))
        return false;
    status.incarnation = in.incarnation;
    setState(m, member, state, now, out);
    return true;
}

bool mergeStatus(Membership& m, TimeMs now, const MemberStatus& in, Origin origin, MembershipOutputs& out)
{
    if (in.id == m.self) {
        mergeClaimAboutSelf(m, in, out);
        return true;
    }
    const auto it = m.members.find(in.id);
    // A new process is accepted only with its full record, because its addresses may differ.
    if (it == m.members.end() || processOf(it->second.status.incarnation) != processOf(in.incarnation))
        return false;
    Member& member = it->second;
    const DeltaKey key { in.id.value, 0, false };
    const bool newAttributes = in.version > member.status.version;
    const bool urgent = newAttributes && updateAttributes(member, in);
    const bool newState = updateState(m, member, now, in, out);
    if (newAttributes)
        emitMemberEvent(out, MembershipEventKind::MemberChanged, member);
    if (member.status.rulesRevision > m.own.rulesRevision && newAttributes)
        emitMemberEvent(out, MembershipEventKind::HigherRevision, member);
    if (urgent || newState)
        m.memberDeltas.add(key, origin.remaining, origin.source);
    else if (newAttributes)
        m.confirmDeltas.add(key, origin.remaining, origin.source);
    return newAttributes || newState;
}

static bool evictOldestDead(Membership& m)
{
    auto oldest = m.members.end();
    for (auto it = m.members.begin(); it != m.members.end(); ++it) {
        if (it->second.status.state < MemberState::Dead)
            continue;
        if (oldest == m.members.end() || it->second.since < oldest->second.since)
            oldest = it;
    }
    if (oldest == m.members.end())
        return false;
    m.members.erase(oldest);
    return true;
}

/// If another name has this node's id, the process that started first keeps the id.
static void mergeRecordWithOwnId(Membership& m, const MemberRecord& in, MembershipOutputs& out)
{
    if (in.identity.name == m.options.identity.name) {
        mergeClaimAboutSelf(m, in.status, out);
        return;
    }
    if (processOf(in.status.incarnation) < processOf(m.own.incarnation))
        stop(m, MembershipEventKind::Collision, "the name " + in.identity.name + " has the same node id", out);
}

bool mergeRecord(Membership& m, TimeMs now, const MemberRecord& in, Origin origin, MembershipOutputs& out)
{
    const NodeId id = in.status.id;
    if (!fitsDatagram(in.identity))
        return false;
    if (id == m.self) {
        mergeRecordWithOwnId(m, in, out);
        return true;
    }
    const auto it = m.members.find(id);
    if (it != m.members.end()) {
        Member& member = it->second;
        if (member.identity.name != in.identity.name) {
            out.events.push_back({ .kind = MembershipEventKind::Collision, .member = id, .detail = in.identity.name + " and " + member.identity.name });
            return false;
        }
        if (processOf(in.status.incarnation) <= processOf(member.status.incarnation))
            return mergeStatus(m, now, in.status, origin, out);
    } else if (m.members.size() >= m.options.maxMembers && !evictOldestDead(m)) {
        return false;
    }
    Member& member = m.members[id];
    member.identity = in.identity;
    member.status = in.status;
    member.status.state = in.status.state == MemberState::Dead ? MemberState::Suspect : in.status.state;
    member.since = now;
    m.ringsStale = true;
    emitMemberEvent(out, member.status.state == MemberState::Left ? MembershipEventKind::MemberLeft : MembershipEventKind::MemberUp, member,
        it != m.members.end() ? "new process" : "");
    if (member.status.rulesRevision > m.own.rulesRevision)
        emitMemberEvent(out, MembershipEventKind::HigherRevision, member);
    m.memberDeltas.add({ id.value, 0, true }, origin.remaining, origin.source);
    return true;
}

void drainJournal(Membership& m, TimeMs, Origin origin, MembershipOutputs& out)
{
    if (m.upstreams.journal.empty())
        return;
    for (const auto& change : consumeJournal(m.upstreams)) {
        if (change.kind == UpstreamChangeKind::Load) {
            const uint8_t sends = origin.source == m.self ? loadTransmits(m) : origin.remaining;
            m.loadDeltas.add({ change.id.value, 0, false }, sends, origin.source);
            continue;
        }
        const bool removed = change.kind == UpstreamChangeKind::Removed;
        const auto kind = removed ? MembershipEventKind::UpstreamRemoved : MembershipEventKind::UpstreamChanged;
        out.events.push_back({ .kind = kind, .upstream = change.id });
        if (removed)
            continue;
        // An observation withdrawn by this node originates here, whatever the origin of the record.
        const Origin from = change.observer == m.self ? Origin { urgentTransmits(m), m.self } : origin;
        // Record content does not depend on the observer; an observation belongs to one observer.
        const uint64_t observer = change.kind == UpstreamChangeKind::Observation ? change.observer.value : 0;
        m.upstreamDeltas.add({ change.id.value, observer, !change.notice }, from.remaining, from.source);
    }
}

}
