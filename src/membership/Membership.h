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

/// Bodies of TCP frames that membership asks to be sent.
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
    std::vector<std::string> seeds; ///< UDP addresses; own address among them is skipped.
    /// UTC. A process that replaces another of the same name has to start later; the later one holds.
    TimeMs startedAtUtc;
    uint64_t seed = 1;
    TimeMs roundInterval { 200 }; ///< One ping per round; 5 of 2.2 KB/s base traffic at 5 rounds/s.
    TimeMs ackTimeout { 300 }; ///< Regions are up to 200 ms apart and back.
    TimeMs indirectTimeout { 600 }; ///< After the ack timeout, for the answers of helpers.
    size_t indirectProbes = 3;
    TimeMs suspicionBase { 2000 }; ///< Suspicion lasts base + perDoubling * log2(members).
    TimeMs suspicionPerDoubling { 250 };
    TimeMs deadRetention { 6 * 3600 * 1000 }; ///< Regions lose each other for an hour now and then.
    TimeMs recontactInterval { 5000 }; ///< One dead member is pinged per interval.
    TimeMs seedInterval { 30000 }; ///< One seed that is no live member is pinged per interval.
    TimeMs seedIntervalAlone { 150 }; ///< All seeds are pinged per interval while no member is known.
    TimeMs syncInterval { 10000 }; ///< Digest comparison while tables agree.
    TimeMs syncIntervalDiffering { 500 }; ///< The same while most exchanges show another digest.
    TimeMs newFor { 10000 }; ///< A node compares tables more often and with more bytes for this long after its start.
    TimeMs syncIntervalNew { 150 }; ///< The same for a new node.
    size_t bytesPerSecondNew { 50000 }; ///< In place of the other limits for a new node: the tables of 400 nodes and 870 upstreams in about 4 s.
    size_t maxMembers = 1024;
    size_t datagramLimit = 700; ///< Payload of a usual datagram; never above maxDatagram.
    size_t bytesPerSecond = 12500; ///< Both ways with IP and UDP headers; above it datagrams carry no deltas.
    size_t loadBytesPerSecond = 9000; ///< Above it datagrams carry no loads.
    size_t loadBytesPerDatagram = 340;
    size_t syncChunk = 3000; ///< Bytes of records or of hashes in one TableRecords frame.
    size_t syncBytesPerSecond = 12500; ///< Frames take what room this leaves; a peer that got too little asks again.
    UpstreamTableOptions upstreams;

    /// Longest body of a table frame: records of one chunk may take four times its size as hashes and requests for them.
    size_t tableFrameLimit() const { return syncChunk * 4 + 4000; }
};

/// What a node says of itself in its member record.
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

/// Request to send a frame to a member's TCP address; the transport seals it.
struct OutTableFrame {
    NodeId to;
    std::string address;
    TableFrameKind kind = TableFrameKind::TableDigest;
    std::string body;
};

enum class MembershipEventKind : uint8_t {
    MemberUp, ///< New, back, or a new process under a known name.
    MemberDown,
    MemberLeft,
    MemberSuspect,
    MemberChanged, ///< Draining, voter, leader hint, revision or directive.
    UpstreamChanged, ///< New, changed, leaving, or vouched for differently; not for loads.
    UpstreamRemoved,
    HigherRevision, ///< Member holds a rules revision above this node's.
    Refuted, ///< This node was suspected and raised its incarnation.
    Replaced, ///< A later process runs under this node's name; this one has stopped gossip.
    Collision, ///< Another name has the same id. About this node: it has stopped gossip.
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

/// A ping that waits for its ack.
struct Probe {
    NodeId target;
    TimeMs sentAt;
    bool indirect = false; ///< Helpers have been asked.
    NodeId requester; ///< Set when this node probes for another one.
    std::string requesterAddress;
    uint32_t requesterProbe = 0;
};

/// Gossip state of one node. Change it only through the functions below; reading members and upstreams is free.
struct Membership {
    MembershipOptions options;
    NodeId self;
    Random random;
    MemberStatus own;
    std::unordered_map<NodeId, Member> members; ///< Without this node itself.
    UpstreamTable upstreams;
    bool stopped = false; ///< Replaced or refused: sends nothing more.
    TimeMs startedAt; ///< By the same clock as `now`.
    TimeMs utcOffset; ///< Wall clock minus `now`; the caller keeps it up to date.

    // Private to the implementation from here on.
    std::vector<NodeId> ring; ///< Live members and self, sorted.
    std::vector<NodeId> domainRing; ///< Those of this node's failure domain.
    bool ringsStale = true;
    uint32_t round = 0; ///< Shared count of rounds, which decides the partners of each round.
    uint32_t seenRound = 0; ///< Highest round of any member.
    uint32_t nextProbe = 1;
    uint64_t nextSequence = 0;
    std::map<uint32_t, Probe> probes;
    ReplayWindow replays;
    TrafficMeter traffic;
    DeltaQueue memberDeltas;
    DeltaQueue upstreamDeltas;
    DeltaQueue confirmDeltas; ///< Member records of which only revision or directive changed.
    DeltaQueue loadDeltas;
    TimeMs lastTick;
    TimeMs nextRound;
    TimeMs nextRecontact;
    TimeMs nextSeed;
    TimeMs nextSync;
    TimeMs nextExpiry;
    size_t syncReserved = 0; ///< Bytes that the last peer asked may send; already counted as traffic of syncReservedAt.
    TimeMs syncReservedAt;
    TimeMs digestsAt { -1000000 };
    uint32_t memberDigest = 0;
    uint32_t upstreamDigest = 0;
    double mismatch = 0; ///< Moving share of exchanges whose digests differed.
};

Membership makeMembership(MembershipOptions, TimeMs now);

/// Runs the timers; call it every 20 to 50 ms. A gap of more than a second counts as a pause of this process, after
/// which nobody is suspected for what was outstanding.
void tick(Membership&, TimeMs now, MembershipOutputs&);

/// Takes a datagram; returns why it was dropped, or None.
DropReason receive(Membership&, TimeMs now, const std::string& fromAddress, std::string_view datagram, MembershipOutputs&);

/// Takes the body of a TCP frame whose envelope the transport has opened; BadBody if it does not decode.
DropReason receiveTableFrame(Membership&, TimeMs now, NodeId from, TableFrameKind, std::string_view body, MembershipOutputs&);

/// Takes an announcement that an upstream sent to this node.
UpsertResult announce(Membership&, TimeMs now, const Announcement&, MembershipOutputs&);

/// Sets this node's own record; rulesRevision and directive must not decrease.
void setOwnStatus(Membership&, TimeMs now, const OwnStatus&);

/// Announces that this node leaves. Go on calling tick() for two seconds so that all members learn of it.
void leave(Membership&, TimeMs now, MembershipOutputs&);

/// Takes records as if a seed had sent them: for tests, measurements and a stored table.
void learnMembers(Membership&, TimeMs now, const std::vector<MemberRecord>&, MembershipOutputs&);

MemberRecord ownRecord(const Membership&);
const Member* findMember(const Membership&, NodeId);
/// Alive as this node sees it; itself included unless it left.
bool isAlive(const Membership&, NodeId);
/// Ids of the live members including this node, in order.
std::vector<NodeId> liveMembers(const Membership&);

}
