#include "membership/Internal.h"

#include <algorithm>
#include <unordered_map>

namespace siskinshunt {

using namespace gossip;

namespace gossip {

    // Mismatch ratio up to which a new node's tables count as filled: changes in progress alone cause a ratio of this size.
    static constexpr double maxFilledMismatchRatio = 0.1;

    static size_t bucketOf(uint64_t id, size_t buckets) { return (id >> 32) % buckets; }

    /// Suspects are compared like live members, because each node ends a suspicion at its own time.
    static bool isCompared(const MemberStatus& status) { return status.state <= MemberState::Suspect; }

    static uint32_t hashOf(const MemberStatus& status)
    {
        return static_cast<uint32_t>(combineHash(combineHash(status.id.value, status.incarnation), status.version));
    }

    static uint32_t hashOf(const Upstream& upstream) { return static_cast<uint32_t>(digestOf(upstream)); }

    /// Calls body(status) for each member that is compared between nodes, including this node.
    template <class Body>
    static void forEachMember(const Membership& m, Body&& body)
    {
        if (isCompared(m.own))
            body(m.own);
        for (const auto& [id, member] : m.members) {
            if (isCompared(member.status))
                body(member.status);
        }
    }

    template <class Body>
    static void forEachUpstream(const Membership& m, Body&& body)
    {
        const auto alive = alivePredicate(m);
        for (const auto& [id, upstream] : m.upstreams.entries) {
            if (isObserved(m.upstreams, upstream, alive))
                body(upstream);
        }
    }

    static TableDigest digestTables(const Membership& m)
    {
        TableDigest digest;
        forEachMember(m, [&](const MemberStatus& it) { digest.members[bucketOf(it.id.value, memberBuckets)] ^= hashOf(it); });
        forEachUpstream(m, [&](const Upstream& it) { digest.upstreams[bucketOf(it.id.value, upstreamBuckets)] ^= hashOf(it); });
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

    /// Bytes that table frames may use now.
    static size_t availableSyncBytes(Membership& m, TimeMs now)
    {
        const size_t used = m.traffic.lastSecond(now);
        const size_t limit = isNew(m, now) ? m.options.bytesPerSecondNew : m.options.syncBytesPerSecond;
        return used >= limit ? 0 : std::min(limit - used, m.options.syncChunk);
    }

    template <size_t N>
    static size_t countNonEmpty(const std::array<uint32_t, N>& buckets)
    {
        return N - static_cast<size_t>(std::count(buckets.begin(), buckets.end(), 0U));
    }

    /// Whether the peer lacks more than half of the buckets that this node has. Such a peer is sent records even if this node
    /// has used up its bandwidth: at a cold start, pings of all nodes use up the bandwidth of the seeds, which alone know the
    /// other nodes.
    static bool isFarBehind(const TableDigest& theirs, const TableDigest& own)
    {
        return countNonEmpty(theirs.members) * 2 < countNonEmpty(own.members) || countNonEmpty(theirs.upstreams) * 2 < countNonEmpty(own.upstreams);
    }

    /// Returns the reply budget to grant a peer and counts it as traffic immediately; otherwise replies to several requests
    /// could arrive within one second (19 KB at 128 nodes after a partition).
    static uint32_t reserveReplyBudget(Membership& m, TimeMs now)
    {
        const size_t budget = availableSyncBytes(m, now);
        m.reservedSyncBytes = budget;
        m.syncBytesReservedAt = now;
        m.traffic.add(now, budget);
        return static_cast<uint32_t>(budget);
    }

    void startSync(Membership& m, TimeMs now, MembershipOutputs& out)
    {
        if (now < m.nextSync)
            return;
        refreshRings(m);
        const bool filling = isNew(m, now) && m.digestMismatchRatio > maxFilledMismatchRatio;
        const TimeMs interval = filling ? m.options.syncIntervalNew : m.digestMismatchRatio > 0.5 ? m.options.syncIntervalDiffering
                                                                                                  : m.options.syncInterval;
        m.nextSync = now + interval * m.random.between(80, 120) / 100;
        // While gossip spreads changes, tables differ anyway, and comparing them would compete for its bandwidth.
        if (!filling && m.memberDeltas.size() + m.upstreamDeltas.size() > 8)
            return;
        const Member* peer = findMember(m, m.ring[m.random.below(m.ring.size())]);
        if (!peer || availableSyncBytes(m, now) < m.options.syncChunk / 4)
            return;
        TableDigest digest = digestTables(m);
        digest.replyBudget = reserveReplyBudget(m, now);
        sendFrame(m, now, *peer, TableFrameKind::TableDigest, encode(digest), out);
    }

    template <size_t N>
    static uint64_t differingBuckets(const std::array<uint32_t, N>& a, const std::array<uint32_t, N>& b)
    {
        uint64_t mask = 0;
        for (size_t n = 0; n < N; ++n) {
            if (a[n] != b[n])
                mask |= uint64_t { 1 } << n;
        }
        return mask;
    }

    /// Fills one TableRecords frame up to a number of bytes.
    struct SyncWriter {
        Membership& m;
        TimeMs now;
        size_t budget;
        TableRecords records {};

        bool consume(size_t size)
        {
            if (size > budget)
                return false;
            budget -= size;
            return true;
        }
        bool addMember(const MemberStatus& status)
        {
            const MemberRecord record = status.id == m.self ? ownRecord(m) : MemberRecord { m.members.at(status.id).identity, status };
            if (records.members.size() >= 255 || !consume(wireSize(record)))
                return false;
            records.members.push_back(record);
            return true;
        }
        bool addUpstream(const Upstream& upstream)
        {
            UpstreamRecord record = recordOf(upstream, now);
            if (records.upstreams.size() >= 255 || !consume(wireSize(record)))
                return false;
            records.upstreams.push_back(std::move(record));
            return true;
        }
    };

    /// Starts at a random bucket, so that repeated requests eventually cover all of them. For each bucket that differs, writes
    /// full records if the peer's bucket is empty, otherwise hashes, from which the peer determines what it lacks.
    template <size_t N, class Items, class Add>
    static void writeBuckets(SyncWriter& writer, const std::array<uint32_t, N>& theirs, uint64_t mask, const Items& items, uint64_t& covered,
        std::vector<RecordHash>& hashes, Add&& add)
    {
        const size_t first = writer.m.random.below(N);
        for (size_t n = 0; n < N; ++n) {
            const size_t bucket = (first + n) % N;
            if (!(mask >> bucket & 1))
                continue;
            if (theirs[bucket] == 0) {
                for (const auto& item : items[bucket]) {
                    if (!add(*item))
                        return;
                }
            } else {
                if (!writer.consume(items[bucket].size() * 12))
                    return;
                covered |= uint64_t { 1 } << bucket;
                for (const auto& item : items[bucket])
                    hashes.push_back({ item->id.value, hashOf(*item) });
            }
        }
    }

    static void sendRecords(Membership& m, TimeMs now, const Member& to, TableRecords records, MembershipOutputs& out)
    {
        const bool expectsReply = !records.memberHashes.empty() || !records.upstreamHashes.empty() || !records.wantMembers.empty() || !records.wantUpstreams.empty();
        records.replyBudget = expectsReply ? reserveReplyBudget(m, now) : 0;
        sendFrame(m, now, to, TableFrameKind::TableRecords, encode(records), out);
    }

    static void handleTableDigest(Membership& m, TimeMs now, const Member& from, const TableDigest& theirs, MembershipOutputs& out)
    {
        const TableDigest own = digestTables(m);
        const uint64_t members = differingBuckets(own.members, theirs.members);
        const uint64_t upstreams = differingBuckets(own.upstreams, theirs.upstreams);
        const size_t budget = isFarBehind(theirs, own) ? m.options.syncChunk : availableSyncBytes(m, now);
        SyncWriter writer { m, now, std::min<size_t>(theirs.replyBudget, budget) };
        if ((!members && !upstreams) || writer.budget < m.options.syncChunk / 4)
            return;
        std::array<std::vector<const MemberStatus*>, memberBuckets> memberItems;
        forEachMember(m, [&](const MemberStatus& it) { memberItems[bucketOf(it.id.value, memberBuckets)].push_back(&it); });
        std::array<std::vector<const Upstream*>, upstreamBuckets> upstreamItems;
        forEachUpstream(m, [&](const Upstream& it) { upstreamItems[bucketOf(it.id.value, upstreamBuckets)].push_back(&it); });
        // Members first: an upstream is compared only if a live member observes it.
        writeBuckets(writer, theirs.members, members, memberItems, writer.records.coveredMembers, writer.records.memberHashes,
            [&](const MemberStatus& it) { return writer.addMember(it); });
        writeBuckets(writer, theirs.upstreams, upstreams, upstreamItems, writer.records.coveredUpstreams, writer.records.upstreamHashes,
            [&](const Upstream& it) { return writer.addUpstream(it); });
        sendRecords(m, now, from, std::move(writer.records), out);
    }

    /// Compares the hashes of the covered buckets: adds local records that the peer lacks or has in another version, and
    /// requests the peer's records that are missing here.
    template <class ForEach, class Add>
    static void compareHashes(uint64_t covered, size_t buckets, const std::vector<RecordHash>& hashes, std::vector<uint64_t>& want, ForEach&& forEach, Add&& add)
    {
        std::unordered_map<uint64_t, uint32_t> theirs;
        for (const auto& it : hashes)
            theirs[it.id] = it.hash;
        forEach([&](const auto& item) {
            if (!(covered >> bucketOf(item.id.value, buckets) & 1))
                return;
            const auto it = theirs.find(item.id.value);
            if (it == theirs.end() || it->second != hashOf(item))
                add(item);
            else
                theirs.erase(it);
        });
        for (const auto& [id, hash] : theirs)
            want.push_back(id);
    }

    /// Received records repair only this node and are not spread by gossip, because other nodes compare their own tables.
    static void handleTableRecords(Membership& m, TimeMs now, NodeId from, const TableRecords& records, MembershipOutputs& out)
    {
        for (const auto& record : records.members)
            mergeRecord(m, now, record, { 0, from }, out);
        for (const auto& record : records.upstreams) {
            upsertRecord(m.upstreams, now, record);
            drainJournal(m, now, { 0, from }, out);
        }
        const Member* peer = findMember(m, from);
        if (!peer)
            return;
        SyncWriter writer { m, now, std::min<size_t>(records.replyBudget, availableSyncBytes(m, now)) };
        for (const uint64_t id : records.wantMembers) {
            if (NodeId { id } == m.self)
                writer.addMember(m.own);
            else if (const Member* member = findMember(m, { id }))
                writer.addMember(member->status);
        }
        for (const uint64_t id : records.wantUpstreams) {
            if (const Upstream* upstream = findUpstream(m.upstreams, { id }))
                writer.addUpstream(*upstream);
        }
        TableRecords& answer = writer.records;
        compareHashes(
            records.coveredMembers, memberBuckets, records.memberHashes, answer.wantMembers,
            [&](auto&& body) { forEachMember(m, body); }, [&](const MemberStatus& it) { writer.addMember(it); });
        compareHashes(
            records.coveredUpstreams, upstreamBuckets, records.upstreamHashes, answer.wantUpstreams,
            [&](auto&& body) { forEachUpstream(m, body); }, [&](const Upstream& it) { writer.addUpstream(it); });
        if (!answer.members.empty() || !answer.upstreams.empty() || !answer.wantMembers.empty() || !answer.wantUpstreams.empty())
            sendRecords(m, now, *peer, std::move(answer), out);
    }

}

DropReason receiveTableFrame(Membership& m, TimeMs now, NodeId from, TableFrameKind kind, std::string_view body, MembershipOutputs& out)
{
    // After a second the reservation has left the traffic meter, so later bytes are counted again.
    if (now - m.syncBytesReservedAt >= 900_ms || kind != TableFrameKind::TableRecords)
        m.reservedSyncBytes = 0;
    const size_t expected = std::min(m.reservedSyncBytes, frameBytes(body.size()));
    m.reservedSyncBytes -= expected;
    m.traffic.add(now, frameBytes(body.size()) - expected);
    const Member* member = findMember(m, from);
    if (!member || m.stopped)
        return DropReason::BadSender;
    const size_t limit = m.options.tableFrameLimit();
    return handle(
        [&]() -> Result<DropReason> {
            if (kind == TableFrameKind::TableDigest) {
                BOOST_LEAF_AUTO(digest, decode<TableDigest>(body, limit, member->identity.name));
                handleTableDigest(m, now, *member, digest, out);
            } else {
                BOOST_LEAF_AUTO(records, decode<TableRecords>(body, limit, member->identity.name));
                handleTableRecords(m, now, from, records, out);
            }
            return DropReason::None;
        },
        [](const Error&) { return DropReason::BadBody; });
}

}
