#pragma once

#include "base/Random.h"
#include "fleet/UpstreamTable.h"
#include "membership/DeltaQueue.h"
#include "membership/Member.h"
#include "membership/TrafficMeter.h"
#include "wire/Envelope.h"
#include "wire/ReplayWindow.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

/// Kinds of UDP envelopes.
enum class GossipKind : uint8_t {
    Ping = 1,
    Ack = 2,
    PingRequest = 3, ///< Asks the receiver to ping a third member.
};

/// Kinds of table frames sent over TCP.
enum class TableFrameKind : uint8_t {
    TableDigest,
    TableRecords,
};

template <>
inline constexpr auto enumNames<TableFrameKind> = std::to_array<EnumName<TableFrameKind>>({
    { TableFrameKind::TableDigest, "table_digest" },
    { TableFrameKind::TableRecords, "table_records" },
});

struct MembershipOptions {
    MemberIdentity identity;
    uint64_t cluster = 0;
    MacKey key;
    std::vector<std::string> seeds; ///< UDP addresses; the node's own address is skipped.
    /// UTC. Of two processes with the same name, the one that started later replaces the other.
    TimeMs startedAtUtc;
    uint64_t seed = 1;
    TimeMs roundInterval { 200 }; ///< One ping per round; base traffic is 2.2 KB/s at 5 rounds/s.
    TimeMs ackTimeout { 300 }; ///< The round trip between regions takes up to 200 ms.
    TimeMs indirectTimeout { 600 }; ///< Starts after ackTimeout; time for acks of indirect probes.
    size_t indirectProbes = 3; ///< Members asked to ping one that did not answer.
    TimeMs suspicionBase { 2000 }; ///< Suspicion timeout: suspicionBase + suspicionPerDoubling * log2(members).
    TimeMs suspicionPerDoubling { 250 };
    /// Dead members are kept for this long, because regions occasionally lose contact for an hour.
    TimeMs deadRetention { 6 * 3600 * 1000 };
    TimeMs recontactInterval { 5000 }; ///< A random dead member is pinged once per interval.
    TimeMs seedInterval { 30000 }; ///< A random seed that is not a live member is pinged once per interval.
    TimeMs seedIntervalAlone { 150 }; ///< Replaces seedInterval, for all seeds at once, while no other live member is known.
    TimeMs syncInterval { 10000 }; ///< Interval of digest comparison while tables agree.
    TimeMs syncIntervalDiffering { 500 }; ///< Replaces syncInterval while digests differ in most exchanges.
    /// For this long after its start, a node compares tables more often and with a larger byte limit.
    TimeMs newNodePeriod { 10000 };
    TimeMs syncIntervalNew { 150 }; ///< Replaces syncInterval for a new node.
    /// Replaces the other limits for a new node: transfers the tables of 400 nodes and 870 upstreams in about 4 s.
    size_t bytesPerSecondNew { 50000 };
    size_t maxMembers = 1024;
    size_t datagramLimit = 700; ///< Preferred datagram payload; never above maxDatagram.
    size_t bytesPerSecond = 12500; ///< Sent and received, including IP and UDP headers; above it datagrams carry no deltas.
    size_t loadBytesPerSecond = 9000; ///< Above this traffic datagrams carry no loads.
    size_t loadBytesPerDatagram = 340;
    size_t syncChunk = 3000; ///< Bytes of records or of hashes in one TableRecords frame.
    /// Limit of all traffic for sending table frames; a peer that received too little asks again.
    size_t syncBytesPerSecond = 12500;
    UpstreamTableOptions upstreams;

    /// Longest body of a table frame: for one chunk of records, hashes and requests may take four times its size.
    size_t tableFrameLimit() const { return syncChunk * 4 + 4000; }
};

/// Attributes of its own member record that a node sets.
struct OwnStatus {
    uint64_t rulesRevision = 0;
    uint64_t directive = 0;
    VoterId voter;
    bool draining = false;
    NodeId leader;
};

struct OutDatagram {
    std::string address; ///< "IP:port".
    std::string bytes; ///< Sealed.
};

/// Frame to send to a member's TCP address; the transport seals it.
struct OutTableFrame {
    NodeId to;
    std::string address;
    TableFrameKind kind = TableFrameKind::TableDigest;
    std::string body;
};

enum class MembershipEventKind : uint8_t {
    MemberUp, ///< New, returned, or a new process under a known name.
    MemberDown,
    MemberLeft,
    MemberSuspect,
    MemberChanged, ///< Draining, voter, leader hint, revision or directive changed.
    UpstreamChanged, ///< New, changed, leaving, or with changed observations; not raised for loads.
    UpstreamRemoved,
    HigherRevision, ///< A member has a higher rules revision than this node.
    Refuted, ///< This node was suspected and raised its incarnation.
    Replaced, ///< A later process runs under this node's name; this process has stopped gossip.
    Collision, ///< Another name has the same id. If it is this node's id, this node has stopped gossip.
};

template <>
inline constexpr auto enumNames<MembershipEventKind> = std::to_array<EnumName<MembershipEventKind>>({
    { MembershipEventKind::MemberUp, "member_up" },
    { MembershipEventKind::MemberDown, "member_down" },
    { MembershipEventKind::MemberLeft, "member_left" },
    { MembershipEventKind::MemberSuspect, "member_suspect" },
    { MembershipEventKind::MemberChanged, "member_changed" },
    { MembershipEventKind::UpstreamChanged, "upstream_changed" },
    { MembershipEventKind::UpstreamRemoved, "upstream_removed" },
    { MembershipEventKind::HigherRevision, "higher_revision" },
    { MembershipEventKind::Refuted, "refuted" },
    { MembershipEventKind::Replaced, "replaced" },
    { MembershipEventKind::Collision, "collision" },
});

struct MembershipEvent {
    MembershipEventKind kind = MembershipEventKind::MemberChanged;
    NodeId member;
    UpstreamId upstream;
    uint64_t revision = 0;
    std::string detail;
};

struct MembershipOutputs {
    std::vector<OutDatagram> datagrams;
    std::vector<OutTableFrame> frames;
    std::vector<MembershipEvent> events;
};

/// A ping whose ack is pending.
struct Probe {
    NodeId target;
    TimeMs sentAt;
    bool indirect = false; ///< Other members have been asked to ping the target.
    NodeId requester; ///< Set when this node pings on behalf of another one.
    std::string requesterAddress;
    uint32_t requesterProbe = 0;
};

/// Gossip state of one node. Modify it only through the functions below; members and upstreams can be read directly.
struct Membership {
    MembershipOptions options;
    NodeId self;
    Random random;
    MemberStatus own;
    std::unordered_map<NodeId, Member> members; ///< Excludes this node.
    UpstreamTable upstreams;
    bool stopped = false; ///< Set after a replacement or a refusal; the node sends nothing more.
    TimeMs startedAt; ///< On the same clock as `now`.
    TimeMs utcOffset; ///< Wall clock minus `now`; updated by the caller.

    // The fields below are private to the implementation.
    std::vector<NodeId> ring; ///< Live members and self, sorted.
    std::vector<NodeId> domainRing; ///< Subset of the ring in this node's failure domain.
    bool ringsStale = true;
    uint32_t round = 0; ///< Round number shared by all nodes; determines the ping partners of the round.
    uint32_t highestSeenRound = 0; ///< Highest round received from any member.
    uint32_t nextProbe = 1;
    uint64_t nextSequence = 0;
    std::map<uint32_t, Probe> probes;
    ReplayWindow replayWindow;
    TrafficMeter traffic;
    DeltaQueue memberDeltas;
    DeltaQueue upstreamDeltas;
    DeltaQueue confirmDeltas; ///< Members of which only the rules revision or the directive changed.
    DeltaQueue loadDeltas;
    TimeMs lastTick;
    TimeMs nextRound;
    TimeMs nextRecontact;
    TimeMs nextSeed;
    TimeMs nextSync;
    TimeMs nextExpiry;
    size_t reservedSyncBytes = 0; ///< Reply budget granted to the last peer; already counted as traffic at syncBytesReservedAt.
    TimeMs syncBytesReservedAt;
    TimeMs digestsAt { -1000000 };
    uint32_t memberDigest = 0;
    uint32_t upstreamDigest = 0;
    double digestMismatchRatio = 0; ///< Exponential moving average of the share of exchanges whose digests differed.
};

Membership makeMembership(MembershipOptions, TimeMs now);

/// Runs the timers; call it every 20 to 50 ms. A gap of a second or more counts as a pause of this process, after which
/// outstanding probes raise no suspicion.
void tick(Membership&, TimeMs now, MembershipOutputs&);

/// Handles a datagram; returns why it was dropped, or None.
DropReason receive(Membership&, TimeMs now, const std::string& fromAddress, std::string_view datagram, MembershipOutputs&);

/// Handles the body of a TCP frame whose envelope the transport has opened; returns BadBody if decoding fails.
DropReason receiveTableFrame(Membership&, TimeMs now, NodeId from, TableFrameKind, std::string_view body, MembershipOutputs&);

/// Handles an announcement that an upstream sent to this node.
UpsertResult announce(Membership&, TimeMs now, const Announcement&, MembershipOutputs&);

/// Restores an upstream known before a restart; gossip does not send it to the other nodes.
void restore(Membership&, TimeMs now, const Announcement&, bool observed, MembershipOutputs&);

/// Sets this node's own record; rulesRevision and directive must not decrease.
void setOwnStatus(Membership&, TimeMs now, const OwnStatus&);

/// Announces that this node leaves. Keep calling tick() for two seconds so that all members are informed.
void leave(Membership&, TimeMs now, MembershipOutputs&);

/// Merges records as if a seed had sent them: for tests, benchmarks and a stored table.
void learnMembers(Membership&, TimeMs now, const std::vector<MemberRecord>&, MembershipOutputs&);

MemberRecord ownRecord(const Membership&);
const Member* findMember(const Membership&, NodeId);
/// Whether this node sees the member as alive. True for this node itself unless it left.
bool isAlive(const Membership&, NodeId);
/// Ids of the live members including this node, sorted.
std::vector<NodeId> liveMembers(const Membership&);

}
