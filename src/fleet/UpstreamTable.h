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
    /// Silence at which a restored upstream starts. What is left until noNewWorkAfter is enough for its next announcement. The
    /// clock of the earlier process is not compared: it can have jumped, and the upstream may have run while this node did not.
    TimeMs silenceWhenRestored { 1000 };
    size_t maxUpstreams = 4096;
    size_t maxJournal = 8192; ///< Maximum number of journal entries; load changes are dropped first.
};

/// Limits of an announcement, so that its record fits into one datagram.
constexpr size_t maxAnnouncedString = 255;
constexpr size_t maxAnnouncedText = 600; ///< Total of all strings.

enum class UpstreamChangeKind : uint8_t {
    Record, ///< New, restarted, a change other than the load, or a reclaim or leaving notice.
    Observation, ///< A node started or stopped to observe the upstream.
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
    NodeId observer; ///< For a changed observation.
    bool notice = false; ///< Only an observation, leaving or reclaim changed, so a short notice is sufficient.
};

enum class UpsertResult : uint8_t {
    Added,
    Changed,
    LoadOnly,
    Stale, ///< Not newer than the known state; nothing changed.
    Collision, ///< Another name has the same ID; rejected.
    Full, ///< The table has maxUpstreams entries; rejected.
    TooLarge, ///< The strings exceed maxAnnouncedText or maxAnnouncedString; rejected.
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

/// Record of an upstream as sent between nodes.
struct UpstreamRecord {
    Announcement announced; ///< reclaimIn is relative to the arrival of the record.
    uint64_t contentSequence = 0;
    TimeMs leavingFor; ///< Time since the first leaving or reclaim notice; 0 without one.
    std::vector<Observation> observations; ///< At most as many as Upstream holds.
};

/// Change of an upstream that the receiver knows: leaving, reclaim or an observation.
struct UpstreamNotice {
    UpstreamId id;
    uint32_t incarnation = 0; ///< Low bits; has to match the record.
    uint64_t contentSequence = 0;
    bool leaving = false;
    std::optional<TimeMs> reclaimIn;
    TimeMs leavingFor;
    Observation observation; ///< None if it has no observer.
};

/// Compact load report on an upstream that the receiver knows.
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

/// State of all upstreams known to this node, with indexes and the journal of changes that gossip disseminates.
struct UpstreamTable {
    NodeId self;
    UpstreamTableOptions options;
    std::unordered_map<UpstreamId, Upstream> entries;
    std::map<std::string, std::vector<UpstreamId>, std::less<>> byTarget; ///< By the model of engines or the name of services.
    std::map<std::string, std::vector<UpstreamId>, std::less<>> byDomain;
    std::vector<UpstreamChange> journal;
    uint64_t journalDropped = 0; ///< Number of changes dropped because the journal was full.
};

/// Applies an announcement that an upstream sent to this node. Ordered by (incarnation, sequence): a resend is Stale.
UpsertResult upsertAnnouncement(UpstreamTable&, TimeMs now, const Announcement&);

/// Adds an upstream that was known before a restart, unless it is known. It gets new work at once, but this node does not
/// observe it, so that it expires without an announcement or an observation of another node. With `observed`, this node observed
/// it before the restart and withdraws that observation if no announcement follows.
UpsertResult restoreUpstream(UpstreamTable&, TimeMs now, const Announcement&, bool observed);

/// Applies a record that another node sent. Content, load and each observation are ordered separately, so that any order
/// of arrival results in the same record. Stale for an unknown upstream if the record has no active observation: otherwise
/// two nodes that remove it at different times would send it to each other forever. A record of restoredRecordOf() restores
/// the upstream here, too.
UpsertResult upsertRecord(UpstreamTable&, TimeMs now, const UpstreamRecord&);
/// Stale if the upstream or its incarnation is unknown; the caller then requests the record.
UpsertResult applyNotice(UpstreamTable&, TimeMs now, const UpstreamNotice&);
UpsertResult applyLoad(UpstreamTable&, const LoadDelta&);

/// Converts an entry to a message, with times relative to now.
UpstreamRecord recordOf(const Upstream&, TimeMs now);
/// Record of a restored upstream: its only observation is an inactive one of `sender`.
UpstreamRecord restoredRecordOf(const Upstream&, TimeMs now, NodeId sender);
/// Includes the observation of `observer`, or none if `observer` is null.
UpstreamNotice noticeOf(const Upstream&, TimeMs now, NodeId observer);
LoadDelta loadOf(const Upstream&);

/// Withdraws this node's observation of upstreams that stopped announcing themselves, updates lastSeen of those that a live
/// node observes, and removes those not seen for `removeAfter`. Call it a few times per second.
void expireUpstreams(UpstreamTable&, TimeMs now, const std::function<bool(NodeId)>& isAlive);

/// Whether a node may send it new work: seen within `noNewWorkAfter`, not past its reclaim, and not leaving for
/// `drainWithin` (minus 500 ms for the transit of notices).
bool acceptsNewWork(const Upstream&, TimeMs now, TimeMs drainWithin, TimeMs noNewWorkAfter = { 3000 });

const Upstream* findUpstream(const UpstreamTable&, UpstreamId);
/// IDs in ascending order. The span is valid until the table changes.
std::span<const UpstreamId> upstreamsOf(const UpstreamTable&, std::string_view modelOrService);
std::span<const UpstreamId> upstreamsInDomain(const UpstreamTable&, std::string_view domain);

/// Returns and clears the journal: record changes and removals, then observations, then loads, each from oldest to newest.
std::vector<UpstreamChange> consumeJournal(UpstreamTable&);

/// Whether any live node, including this one, observes the upstream. Only such records are sent to other nodes.
bool isObserved(const UpstreamTable&, const Upstream&, const std::function<bool(NodeId)>& isAlive);

/// Hash of the content, incarnation and active observations, for comparing tables between nodes.
uint64_t digestOf(const Upstream&);

}
