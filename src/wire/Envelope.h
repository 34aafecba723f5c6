#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"
#include "wire/Mac.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Why a message was dropped; the caller counts each by nameOf().
enum class DropReason : uint8_t {
    None, ///< Not dropped.
    BadSize, ///< Shorter than an empty envelope, or longer than the limit.
    BadVersion,
    BadCluster,
    BadMac,
    BadGroup, ///< Group unknown to the receiver.
    BadSender, ///< Sender id zero, the receiver's own, or unknown.
    BadKind,
    BadBody, ///< The body does not decode.
    Stale, ///< Send time outside the window.
    Replay, ///< Sequence seen before, or too old to tell.
};

template <>
inline constexpr auto enumNames<DropReason> = std::to_array<EnumName<DropReason>>({
    { DropReason::None, "none" },
    { DropReason::BadSize, "bad_size" },
    { DropReason::BadVersion, "bad_version" },
    { DropReason::BadCluster, "bad_cluster" },
    { DropReason::BadMac, "bad_mac" },
    { DropReason::BadGroup, "bad_group" },
    { DropReason::BadSender, "bad_sender" },
    { DropReason::BadKind, "bad_kind" },
    { DropReason::BadBody, "bad_body" },
    { DropReason::Stale, "stale" },
    { DropReason::Replay, "replay" },
});

/// One message between nodes. Used alike for a datagram and for the content of a TCP frame.
struct Envelope {
    uint64_t cluster = 0;
    NodeId sender;
    GroupId group; ///< Zero for messages that belong to no consensus group.
    TimeMs sentAt; ///< Sender's wall clock, UTC since 1970, so that it compares over nodes and restarts.
    uint64_t sequence = 0; ///< Rises with each message of a sender and transport, over restarts too: see firstSequence().
    uint8_t kind = 0; ///< Enumeration of the protocol that the message belongs to.
    std::string body;
};

constexpr uint8_t wireVersion = 1;
/// Bytes of a sealed envelope beside its body: version, kind, cluster, sender, group, send time, sequence, MAC.
constexpr size_t envelopeOverhead = 2 + 5 * 8 + 16;
/// Largest UDP payload that the system sends.
constexpr size_t maxDatagram = 1200;

/// First sequence of a process that starts at this wall-clock time; above all sequences of an earlier process as long
/// as no process sends more than a million messages per millisecond of its life.
constexpr uint64_t firstSequence(TimeMs startedAtUtc) { return static_cast<uint64_t>(startedAtUtc.value) << 20; }

/// Bytes to send. The MAC covers everything before it.
std::string seal(const MacKey&, const Envelope&);

struct OpenResult {
    DropReason reason = DropReason::None;
    Envelope envelope; ///< Valid only when the reason is None.
};

/// Checks size, version, cluster and MAC, in this order, before it reads any other field. Groups, senders and replays
/// are the caller's to check: it knows its groups and owns a ReplayWindow per transport.
OpenResult open(const MacKey&, uint64_t cluster, std::string_view bytes, size_t limit);

}
