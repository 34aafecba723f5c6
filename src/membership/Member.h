#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <string>

namespace siskinshunt {

/// Ordered: of two words about the same incarnation the later enumerator holds.
enum class MemberState : uint8_t {
    Alive,
    Suspect, ///< Did not answer; dead after the suspicion timeout unless it refutes.
    Dead, ///< A node's own conclusion; never sent.
    Left, ///< Announced by the member itself.
};

template <>
inline constexpr auto enumNames<MemberState> = std::to_array<EnumName<MemberState>>({
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Dead, "dead" },
    { MemberState::Left, "left" },
});

/// Incarnation of a process that starts at this wall-clock time. The low 16 bits count refutations.
constexpr uint64_t firstIncarnation(TimeMs startedAtUtc) { return static_cast<uint64_t>(startedAtUtc.value) << 16; }
/// The part of the incarnation that tells processes of one name apart.
constexpr uint64_t processOf(uint64_t incarnation) { return incarnation >> 16; }

/// What changes while a member runs; the member alone raises the version.
struct MemberStatus {
    NodeId id;
    uint64_t incarnation = 0;
    uint64_t version = 0; ///< Orders the fields below within one incarnation.
    MemberState state = MemberState::Alive;
    bool draining = false;
    uint64_t rulesRevision = 0; ///< In force at the member; 0 is none.
    uint64_t directive = 0; ///< Highest directive sequence that the member has confirmed.
    VoterId voter; ///< None if it is no voter.
    NodeId leader; ///< Whom it takes for the decision leader; none if unknown.

    bool operator==(const MemberStatus&) const = default;
};

/// What stays the same while a member runs. Addresses are "IP:port".
struct MemberIdentity {
    std::string name;
    std::string udpAddress;
    std::string tcpAddress;
    std::string httpAddress; ///< Where callers connect.
    std::string domain; ///< Failure domain.

    bool operator==(const MemberIdentity&) const = default;
};

/// Whether the strings are short enough for a record to fit into one datagram. Settings have to keep to it.
inline bool fitsDatagram(const MemberIdentity& it)
{
    return !it.name.empty() && it.name.size() <= 128 && it.domain.size() <= 128 && it.udpAddress.size() <= 64 && it.tcpAddress.size() <= 64
        && it.httpAddress.size() <= 64;
}

struct MemberRecord {
    MemberIdentity identity;
    MemberStatus status;
};

/// Entry of the member table.
struct Member {
    MemberIdentity identity;
    MemberStatus status;
    TimeMs since; ///< Local clock; start of the present state.
    TimeMs lastHeard; ///< Local clock; last datagram from it.
};

}
