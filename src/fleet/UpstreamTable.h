#pragma once

#include "fleet/Upstream.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

struct UpstreamTableOptions {
    TimeMs noNewWorkAfter { 3000 }; ///< Silence after which an upstream gets no new work.
    TimeMs removeAfter { 10000 }; ///< Silence after which its record is removed.
    size_t maxUpstreams = 4096;
    size_t maxJournal = 8192; ///< Entries that wait to be taken; beyond it load changes are dropped first.
};

/// Bounds of an announcement, so that its record fits into one datagram.
constexpr size_t maxAnnouncedString = 255;
constexpr size_t maxAnnouncedText = 600; ///< All strings together.

enum class UpstreamChangeKind : uint8_t {
    Record, ///< New, restarted, or changed in anything but load; a reclaim or leaving notice.
    Observation, ///< A node began or ceased to vouch.
    Load,
    Removed,
};

template <>
inline constexpr auto enumNames<UpstreamChangeKind> = std::to_array<EnumName<UpstreamChangeKind>>({
    { UpstreamChangeKind::Record, "record" },
    { UpstreamChangeKind::Observation, "vouch" },
    { UpstreamChangeKind::Load, "load" },
    { UpstreamChangeKind::Removed, "removed" },
});

/// Entry of the change journal.
struct UpstreamChange {
    UpstreamChangeKind kind = UpstreamChangeKind::Load;
    UpstreamId id;
    NodeId observer; ///< Of a vouch.
    bool notice = false; ///< Only a vouch, leaving or reclaim differ from the former record, so a short notice tells it all.
};

enum class UpsertResult : uint8_t {
    Added,
    Changed,
    LoadOnly,
    Stale, ///< Not newer than what is known; nothing changed.
    Collision, ///< Another name has the same id; refused.
    Full, ///< The table has reached maxUpstreams; refused.
    TooLarge, ///< Its strings exceed maxAnnouncedText or maxAnnouncedString; refused.
};

template <>
inline constexpr auto enumNames<UpsertResult> = std::to_array<EnumName<UpsertResult>>({
    { UpsertResult::Added, "added" },
    { UpsertResult::Changed, "changed" },
    { UpsertResult::LoadOnly, "load_only" },
    { UpsertResult::Stale, "stale" },
    { UpsertResult::Collision, "collision" },
    { UpsertResult::Full, "full" },
    { UpsertResult::TooLarge, "too_large" },
});

/// Record of an upstream as another node sends it.
struct UpstreamRecord {
    Announcement announced; ///< reclaimIn counts from the arrival.
    uint64_t contentSequence = 0;
    TimeMs leavingFor; ///< Time since the first notice of leaving or reclaim, if there is one.
    std::vector<Observation> observations; ///< At most as many as Upstream holds.
};

/// Change of an upstream that the receiver knows: leaving, reclaim, or a vouch.
struct UpstreamNotice {
    UpstreamId id;
    uint32_t incarnation = 0; ///< Low bits; has to match the record.
    uint64_t contentSequence = 0;
    bool leaving = false;
    std::optional<TimeMs> reclaimIn;
    TimeMs leavingFor;
    Observation observation; ///< Without home: none.
};

/// Load of an upstream that the receiver knows, in few bytes.
struct LoadDelta {
    UpstreamId id;
    uint32_t incarnation = 0; ///< Low bits; has to match the record.
    uint32_t sequence = 0; ///< Low bits.
    uint16_t running = 0;
    uint16_t waiting = 0;
    uint16_t capacity = 0;
    uint32_t cachedTokens = 0;
    uint32_t waitingTokens = 0;
    float tokensPerSecond = 0;
    float prefillTokensPerSecond = 0;
};

/// Everything this node knows of upstreams, with indexes and the journal of changes that gossip has to spread.
struct UpstreamTable {
    NodeId self;
    UpstreamTableOptions options;
    std::unordered_map<UpstreamId, Upstream> entries;
    std::map<std::string, std::vector<UpstreamId>, std::less<>> byTarget; ///< Model of engines, name of services.
    std::map<std::string, std::vector<UpstreamId>, std::less<>> byDomain;
    std::vector<UpstreamChange> journal;
    uint64_t journalDropped = 0; ///< Load changes that the bound of the journal discarded.
};

/// Takes an announcement that arrived here. Ordered by (incarnation, sequence): a resend is Stale.
UpsertResult upsertAnnouncement(UpstreamTable&, TimeMs now, const Announcement&);

/// Takes what another node sent. Content, load and each vouch are ordered separately, so that any order of arrival
/// ends in the same record. Stale for an unknown upstream for which the record holds no active vouch: otherwise two
/// nodes that remove it at different times would hand it to each other forever.
UpsertResult upsertRecord(UpstreamTable&, TimeMs now, const UpstreamRecord&);
/// Stale if the upstream or its incarnation is unknown here; the caller then asks for the record.
UpsertResult applyNotice(UpstreamTable&, TimeMs now, const UpstreamNotice&);
UpsertResult applyLoad(UpstreamTable&, const LoadDelta&);

/// Forms to send, with times relative to now.
UpstreamRecord recordOf(const Upstream&, TimeMs now);
/// With the vouch of `observer`, or none if it has no id.
UpstreamNotice noticeOf(const Upstream&, TimeMs now, NodeId observer);
LoadDelta loadOf(const Upstream&);

/// Withdraws this node's vouch from upstreams that fell silent, renews lastSeen of those that a live node vouches for,
/// and removes the ones unseen for too long. Call a few times per second.
void expireUpstreams(UpstreamTable&, TimeMs now, const std::function<bool(NodeId)>& isAlive);

/// Whether a node may give it new work: seen lately, and neither leaving for `drainWithin` (less 500 ms for notices on
/// their way) nor past its reclaim.
bool acceptsNewWork(const Upstream&, TimeMs now, TimeMs drainWithin, TimeMs noNewWorkAfter = { 3000 });

const Upstream* findUpstream(const UpstreamTable&, UpstreamId);
/// Ids in the order of their values; empty if there are none. Valid until the table changes.
std::span<const UpstreamId> upstreamsOf(const UpstreamTable&, std::string_view modelOrService);
std::span<const UpstreamId> upstreamsInDomain(const UpstreamTable&, std::string_view domain);

/// Hands out the journal: record changes and removals first, then vouches, then loads; oldest first within each.
std::vector<UpstreamChange> takeJournal(UpstreamTable&);

/// Whether any live node, this one included, vouches for it. Only such records are sent to other nodes.
bool isObserved(const UpstreamTable&, const Upstream&, const std::function<bool(NodeId)>& isAlive);

/// Hash of the content, incarnation and vouches, for the comparison of tables between nodes.
uint64_t digestOf(const Upstream&);

}
