#pragma once

#include "fleet/UpstreamTable.h"
#include "membership/Member.h"
#include "wire/Codec.h"
#include "wire/Compact.h"

#include <array>
#include <string>
#include <vector>

namespace siskinshunt {

template <class Archive>
void serialize(Archive& archive, MemberStatus& it)
{
    const auto flags = static_cast<uint8_t>((it.draining ? 1 : 0) | (it.voter ? 2 : 0) | (it.leader ? 4 : 0));
    uint8_t bits = flags;
    archive(it.id, it.incarnation, it.state, bits);
    serializeVarint(archive, it.version);
    serializeVarint(archive, it.rulesRevision);
    serializeVarint(archive, it.directive);
    it.draining = bits & 1;
    if (bits & 2)
        archive(it.voter);
    if (bits & 4)
        archive(it.leader);
    if constexpr (Archive::is_loading::value) {
        if (!isKnownEnumValue(it.state) || !it.id)
            throw cereal::Exception("member status has an unknown state or no id");
    }
}

template <class Archive>
void serialize(Archive& archive, MemberIdentity& it)
{
    for (auto* text : { &it.name, &it.udpAddress, &it.tcpAddress, &it.httpAddress, &it.domain })
        serializeShortString(archive, *text);
}

template <class Archive>
void serialize(Archive& archive, MemberRecord& it)
{
    archive(it.identity, it.status);
    if constexpr (Archive::is_loading::value) {
        if (idOfName<NodeId>(it.identity.name) != it.status.id)
            throw cereal::Exception("member record id does not match its name");
    }
}

/// Optional non-negative duration; encoded as 0 if unset, otherwise as the duration plus 1.
template <class Archive>
void compactDuration(Archive& archive, std::optional<TimeMs>& duration)
{
    uint64_t n = duration ? static_cast<uint64_t>(duration->value) + 1 : 0;
    serializeVarint(archive, n);
    if constexpr (Archive::is_loading::value) {
        // No notice is as long as a day; the bound prevents overflow when the clock is added.
        duration = n ? std::optional(TimeMs { static_cast<int64_t>(std::min<uint64_t>(n - 1, 86400000)) }) : std::nullopt;
    }
}

template <class Archive>
void compactDuration(Archive& archive, TimeMs& duration)
{
    std::optional<TimeMs> value = duration;
    compactDuration(archive, value);
    duration = value.value_or(TimeMs {});
}

template <class Archive>
void serialize(Archive& archive, Observation& it)
{
    archive(it.observer, it.active);
    serializeVarint(archive, it.sequence);
}

template <class Archive>
void serialize(Archive& archive, Announcement& it)
{
    for (auto* text : { &it.name, &it.address, &it.domain, &it.machine, &it.model, &it.version })
        serializeShortString(archive, *text);
    auto count = static_cast<uint8_t>(std::min<size_t>(it.adapters.size(), 255));
    archive(count);
    if constexpr (Archive::is_loading::value)
        it.adapters.resize(count);
    for (uint8_t n = 0; n < count; ++n)
        serializeShortString(archive, it.adapters[n]);
    auto flags = static_cast<uint8_t>((it.checksFencing ? 1 : 0) | (it.reclaimable ? 2 : 0) | (it.leaving ? 4 : 0));
    archive(it.kind, it.role, flags, it.incarnation);
    it.checksFencing = flags & 1;
    it.reclaimable = flags & 2;
    it.leaving = flags & 4;
    compactDuration(archive, it.reclaimIn);
    serializeVarint(archive, it.sequence);
    archive(it.load);
    if constexpr (Archive::is_loading::value) {
        if (!isKnownEnumValue(it.kind) || !isKnownEnumValue(it.role))
            throw cereal::Exception("announcement has an unknown kind or role");
    }
}

template <class Archive>
void serialize(Archive& archive, UpstreamRecord& it)
{
    archive(it.announced);
    serializeShortVector(archive, it.observations);
    serializeVarint(archive, it.contentSequence);
    compactDuration(archive, it.leavingFor);
}

template <class Archive>
void serialize(Archive& archive, UpstreamNotice& it)
{
    auto flags = static_cast<uint8_t>((it.leaving ? 1 : 0) | (it.observation.observer ? 2 : 0));
    archive(it.id, it.incarnation, flags);
    it.leaving = flags & 1;
    if (flags & 2)
        archive(it.observation);
    serializeVarint(archive, it.contentSequence);
    compactDuration(archive, it.reclaimIn);
    compactDuration(archive, it.leavingFor);
}

template <class Archive>
void serialize(Archive& archive, LoadDelta& it)
{
    archive(it.id, it.incarnation, it.sequence, it.running, it.waiting, it.capacity, it.cachedTokens, it.waitingTokens,
        it.tokensPerSecond, it.prefillTokensPerSecond);
}

/// A delta with the number of transmissions left to its receiver.
template <class T>
struct RelayedDelta {
    uint8_t remaining = 0;
    T value;

    template <class Archive>
    void serialize(Archive& archive) { archive(remaining, value); }
};

/// Bits of GossipMessage::flags.
enum GossipFlag : uint8_t {
    WantsRecord = 1, ///< The sender does not know the receiver's record.
    IndirectProbe = 2, ///< Set in a PingRequest and its ack: `target` is a third member.
    Refusal = 4, ///< The receiver's id is in use by another name.
};

/// Body of a datagram.
struct GossipMessage {
    uint32_t probe = 0; ///< Probe number, repeated in the ack.
    uint32_t round = 0;
    uint8_t flags = 0;
    uint32_t memberDigest = 0;
    uint32_t upstreamDigest = 0;
    MemberStatus sender;
    NodeId target;
    std::vector<MemberRecord> identities; ///< The sender's own record on request; not a relayed delta.
    std::vector<RelayedDelta<MemberRecord>> records;
    std::vector<RelayedDelta<MemberStatus>> statuses;
    std::vector<RelayedDelta<UpstreamRecord>> upstreams;
    std::vector<RelayedDelta<UpstreamNotice>> notices;
    std::vector<RelayedDelta<MemberStatus>> confirms;
    std::vector<RelayedDelta<LoadDelta>> loads;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(probe, round, flags, memberDigest, upstreamDigest, sender);
        if (flags & IndirectProbe)
            archive(target);
        serializeShortVector(archive, identities);
        serializeShortVector(archive, records);
        serializeShortVector(archive, statuses);
        serializeShortVector(archive, upstreams);
        serializeShortVector(archive, notices);
        serializeShortVector(archive, confirms);
        serializeShortVector(archive, loads);
    }
};

constexpr size_t memberBuckets = 32;
constexpr size_t upstreamBuckets = 64;

/// First step of anti-entropy: hashes of the sender's tables by bucket of ids; 0 is an empty bucket.
struct TableDigest {
    std::array<uint32_t, memberBuckets> members {};
    std::array<uint32_t, upstreamBuckets> upstreams {};
    uint32_t replyBudget = 0; ///< Bytes that the sender accepts in reply.

    template <class Archive>
    void serialize(Archive& archive) { archive(members, upstreams, replyBudget); }
};

/// Hash of the sender's version of a record.
struct RecordHash {
    uint64_t id = 0;
    uint32_t hash = 0;

    template <class Archive>
    void serialize(Archive& archive) { archive(id, hash); }
};

/// Further steps of anti-entropy: records that the receiver lacks, hashes of all records of some buckets, and ids of
/// requested records.
struct TableRecords {
    std::vector<MemberRecord> members;
    std::vector<UpstreamRecord> upstreams;
    uint64_t coveredMembers = 0; ///< One bit per bucket; set if memberHashes has every record of the bucket.
    uint64_t coveredUpstreams = 0;
    std::vector<RecordHash> memberHashes;
    std::vector<RecordHash> upstreamHashes;
    std::vector<uint64_t> wantMembers;
    std::vector<uint64_t> wantUpstreams;
    uint32_t replyBudget = 0; ///< Bytes that the sender accepts in reply.

    template <class Archive>
    void serialize(Archive& archive)
    {
        serializeShortVector(archive, members);
        serializeShortVector(archive, upstreams);
        archive(coveredMembers, coveredUpstreams, memberHashes, upstreamHashes, wantMembers, wantUpstreams, replyBudget);
    }
};

/// Encoded size without the leading byte-order byte.
inline size_t wireSize(const MemberStatus& it)
{
    return 18 + (it.voter ? 8 : 0) + (it.leader ? 8 : 0) + varintSize(it.version) + varintSize(it.rulesRevision) + varintSize(it.directive);
}

inline size_t wireSize(const MemberRecord& it)
{
    const auto& id = it.identity;
    return 5 + id.name.size() + id.udpAddress.size() + id.tcpAddress.size() + id.httpAddress.size() + id.domain.size() + wireSize(it.status);
}

inline size_t wireSize(const Observation& it) { return 9 + varintSize(it.sequence); }

inline size_t wireSize(const std::optional<TimeMs>& it) { return varintSize(it ? static_cast<uint64_t>(it->value) + 1 : 0); }

inline size_t wireSize(const UpstreamNotice& it)
{
    return 13 + (it.observation.observer ? wireSize(it.observation) : 0) + varintSize(it.contentSequence) + wireSize(it.reclaimIn) + wireSize(std::optional(it.leavingFor));
}

inline size_t wireSize(const UpstreamRecord& it)
{
    const auto& a = it.announced;
    size_t n = 6 + a.name.size() + a.address.size() + a.domain.size() + a.machine.size() + a.model.size() + a.version.size() + 1;
    for (const auto& adapter : a.adapters)
        n += 1 + adapter.size();
    n += 11 + wireSize(a.reclaimIn) + varintSize(a.sequence) + 3 * 4 + 4 * 8;
    for (const auto& observation : it.observations)
        n += wireSize(observation);
    return n + 1 + varintSize(it.contentSequence) + wireSize(std::optional(it.leavingFor));
}

inline size_t wireSize(const LoadDelta&) { return 38; }

}
