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

/// Why a message was dropped. The caller counts dropped messages by nameOf() of the reason.
enum class DropReason : uint8_t {
    None, ///< Not dropped.
    BadSize, ///< Shorter than an empty envelope, or longer than the limit.
    BadVersion,
    BadCluster,
    BadMac,
    BadGroup, ///< Group unknown to the receiver.
    BadSender, ///< Sender id is zero, unknown or the receiver's own.
    BadKind,
    BadBody, ///< The body cannot be decoded.
    Stale, ///< Send time outside the replay window.
    Replay, ///< Sequence already seen, or too old to be tracked.
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

/// One message between nodes: the content of a datagram or of a TCP frame.
struct Envelope {
    uint64_t cluster = 0;
    NodeId sender;
    GroupId group; ///< Zero if the message belongs to no consensus group.
    TimeMs sentAt; ///< Sender's wall clock, UTC since 1970, so that it is comparable across nodes and restarts.
    uint64_t sequence = 0; ///< Increases with each message per sender and transport, across restarts too: see firstSequence().
    uint8_t kind = 0; ///< Message kind; its enumeration depends on the protocol.
    std::string body;
};

constexpr uint8_t wireVersion = 1;
/// Size of a sealed envelope without its body: version, kind, cluster, sender, group, send time, sequence, MAC.
constexpr size_t envelopeOverhead = 2 + 5 * 8 + 16;
/// Maximum UDP payload in bytes.
constexpr size_t maxDatagram = 1200;

/// First sequence of a process that starts at this wall-clock time. It exceeds every sequence of an earlier process as
/// long as no process averages more than a million messages per millisecond.
constexpr uint64_t firstSequence(TimeMs startedAtUtc) { return static_cast<uint64_t>(startedAtUtc.value) << 20; }

/// Serializes the envelope and appends a MAC over all preceding bytes.
std::string seal(const MacKey&, const Envelope&);

struct OpenResult {
    DropReason reason = DropReason::None;
    Envelope envelope; ///< Valid only when the reason is None.
};

/// Checks size, version, cluster and MAC, in this order, before reading any other field. The caller checks group, sender
/// and replay: it knows its groups and owns a ReplayWindow per transport.
OpenResult open(const MacKey&, uint64_t cluster, std::string_view bytes, size_t limit);

}
