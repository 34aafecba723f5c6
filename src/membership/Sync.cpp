#include "membership/Internal.h"

#include <algorithm>

namespace siskinshunt {

using namespace gossip;

namespace gossip {

    static size_t bucketOf(uint64_t id, size_t buckets) { return (id >> 32) % buckets; }

    static uint32_t hashOf(const MemberStatus& status)
    {
        return static_cast<uint32_t>(combineHash(combineHash(status.id.value, status.incarnation), combineHash(status.version, static_cast<uint64_t>(status.state))));
    }

    /// Suspects count like live members, because each node's suspicion ends in its own time.
    static bool isShared(const MemberStatus& status) { return status.state <= MemberState::Suspect; }

    static uint32_t sharedHash(MemberStatus status)
    {
        status.state = MemberState::Alive;
        return hashOf(status);
    }

    static TableDigest digestTables(const Membership& m)
    {
        TableDigest digest;
        const auto addMember = [&](const MemberStatus& status) {
            if (isShared(status))
                digest.members[bucketOf(status.id.value, memberBuckets)] ^= sharedHash(status);
        };
        addMember(m.own);
        for (const auto& [id, member] : m.members)
            addMember(member.status);
        const auto alive = aliveTest(m);
        for (const auto& [id, upstream] : m.upstreams.entries) {
            if (isVouched(m.upstreams, upstream, alive))
                digest.upstreams[bucketOf(id.value, upstreamBuckets)] ^= static_cast<uint32_t>(digestOf(upstream));
        }
        return digest;
    }

    void refreshDigests(Membership& m, TimeMs now)
    {
        if (now - m.digestsAt < 500_ms)
            return;
        m.digestsAt = now;
        const TableDigest digest = digestTables(m);
        uint64_t members = 1;
        for (const uint32_t hash : digest.members)
            members = combineHash(members, hash);
        uint64_t upstreams = 1;
        for (const uint32_t hash : digest.upstreams)
            upstreams = combineHash(upstreams, hash);
        m.memberDigest = static_cast<uint32_t>(members);
        m.upstreamDigest = static_cast<uint32_t>(upstreams);
    }

    static size_t frameBytes(size_t body) { return body + 4 + envelopeOverhead + ipTcpHeaders; }

    static void sendFrame(Membership& m, TimeMs now, const Member& to, TableFrameKind kind, std::string body, MembershipOutputs& out)
    {
        m.traffic.add(now, frameBytes(body.size()));
        out.frames.push_back({ to.status.id, to.identity.tcpAddress, kind, std::move(body) });
    }

    void startSync(Membership& m, TimeMs now, MembershipOutputs& out)
    {
        if (now < m.nextSync)
            return;
        const TimeMs interval = m.mismatch > 0.5 ? m.options.syncIntervalDiffering : m.options.syncInterval;
        m.nextSync = now + interval * m.random.between(80, 120) / 100;
        refreshRings(m);
        const Member* peer = findMember(m, m.ring[m.random.below(m.ring.size())]);
        if (!peer || m.traffic.lastSecond(now) + m.options.syncChunk > m.options.syncBytesPerSecond)
            return;
        sendFrame(m, now, *peer, TableFrameKind::TableDigest, encode(digestTables(m)), out);
    }

    template <size_t N>
    static uint64_t differing(const std::array<uint32_t, N>& a, const std::array<uint32_t, N>& b)
    {
        uint64_t mask = 0;
        for (size_t n = 0; n < N; ++n) {
            if (a[n] != b[n])
                mask |= uint64_t { 1 } << n;
        }
        return mask;
    }

    /// Records of the wanted ranges up to the chunk size. Starts at a random range, so that repeated requests for the same
    /// ranges get through all of them; members go before upstreams, which count only with their members.
    static TableRecords collect(Membership& m, TimeMs now, uint64_t wantMembers, uint64_t wantUpstreams)
    {
        TableRecords records;
        size_t size = 0;
        const auto fits = [&](size_t more, size_t count) { return count < 255 && (size += more) <= m.options.syncChunk; };
        const auto wanted = [](uint64_t mask, uint64_t id, size_t buckets) { return (mask >> bucketOf(id, buckets)) & 1; };
        if (wanted(wantMembers, m.self.value, memberBuckets) && isShared(m.own) && fits(wireSize(ownRecord(m)), 0))
            records.members.push_back(ownRecord(m));
        const size_t firstMember = m.random.below(memberBuckets);
        std::vector<const Member*> members;
        for (const auto& [id, member] : m.members) {
            if (isShared(member.status) && wanted(wantMembers, id.value, memberBuckets))
                members.push_back(&member);
        }
        const auto turn = [](uint64_t id, size_t first, size_t buckets) { return (bucketOf(id, buckets) + buckets - first) % buckets; };
        std::sort(members.begin(), members.end(), [&](const auto* a, const auto* b) {
            return std::pair(turn(a->status.id.value, firstMember, memberBuckets), a->status.id) < std::pair(turn(b->status.id.value, firstMember, memberBuckets), b->status.id);
        });
        for (const auto* member : members) {
            if (!fits(wireSize(MemberRecord { member->identity, member->status }), records.members.size()))
                return records;
            records.members.push_back({ member->identity, member->status });
        }
        const size_t firstUpstream = m.random.below(upstreamBuckets);
        std::vector<const Upstream*> upstreams;
        const auto alive = aliveTest(m);
        for (const auto& [id, upstream] : m.upstreams.entries) {
            if (wanted(wantUpstreams, id.value, upstreamBuckets) && isVouched(m.upstreams, upstream, alive))
                upstreams.push_back(&upstream);
        }
        std::sort(upstreams.begin(), upstreams.end(), [&](const auto* a, const auto* b) {
            return std::pair(turn(a->id.value, firstUpstream, upstreamBuckets), a->id) < std::pair(turn(b->id.value, firstUpstream, upstreamBuckets), b->id);
        });
        for (const auto* upstream : upstreams) {
            for (const auto& vouch : upstream->vouches) {
                if (!vouch.active)
                    continue;
                UpstreamRecord record = recordOf(*upstream, now, vouch.home);
                if (!fits(wireSize(record), records.upstreams.size()))
                    return records;
                records.upstreams.push_back(std::move(record));
            }
        }
        return records;
    }

    static void sendRecords(Membership& m, TimeMs now, const Member& to, TableRecords records, MembershipOutputs& out)
    {
        std::string body = encode(records);
        if (m.traffic.lastSecond(now) + frameBytes(body.size()) <= m.options.syncBytesPerSecond)
            sendFrame(m, now, to, TableFrameKind::TableRecords, std::move(body), out);
    }

    static void takeDigest(Membership& m, TimeMs now, const Member& from, const TableDigest& theirs, MembershipOutputs& out)
    {
        const TableDigest own = digestTables(m);
        const uint64_t members = differing(own.members, theirs.members);
        const uint64_t upstreams = differing(own.upstreams, theirs.upstreams);
        if (!members && !upstreams)
            return;
        TableRecords records = collect(m, now, members, upstreams);
        records.wantMembers = members;
        records.wantUpstreams = upstreams;
        sendRecords(m, now, from, std::move(records), out);
    }

    /// What arrives here repairs this node only: others compare their own tables. It is not passed on by gossip.
    static void takeRecords(Membership& m, TimeMs now, NodeId from, const TableRecords& records, MembershipOutputs& out)
    {
        for (const auto& record : records.members)
            mergeRecord(m, now, record, { 0, from }, out);
        for (const auto& record : records.upstreams) {
            upsertRecord(m.upstreams, now, record);
            drainJournal(m, now, { 0, from }, out);
        }
        const Member* peer = findMember(m, from);
        if (!peer || (!records.wantMembers && !records.wantUpstreams))
            return;
        TableRecords answer = collect(m, now, records.wantMembers, records.wantUpstreams);
        if (!answer.members.empty() || !answer.upstreams.empty())
            sendRecords(m, now, *peer, std::move(answer), out);
    }

}

DropReason receiveTableFrame(Membership& m, TimeMs now, NodeId from, TableFrameKind kind, std::string_view body, MembershipOutputs& out)
{
    m.traffic.add(now, frameBytes(body.size()));
    const Member* member = findMember(m, from);
    if (!member || m.stopped)
        return DropReason::BadSender;
    const size_t limit = m.options.syncChunk * 2 + 1000;
    return handle(
        [&]() -> Result<DropReason> {
            if (kind == TableFrameKind::TableDigest) {
                BOOST_LEAF_AUTO(digest, decode<TableDigest>(body, limit, member->identity.name));
                takeDigest(m, now, *member, digest, out);
            } else {
                BOOST_LEAF_AUTO(records, decode<TableRecords>(body, limit, member->identity.name));
                takeRecords(m, now, from, records, out);
            }
            return DropReason::None;
        },
        [](const Error&) { return DropReason::BadBody; });
}

}
