#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <string>

namespace siskinshunt {

/// Ordered: of two claims about the same incarnation, the greater state takes precedence.
enum class MemberState : uint8_t {
    Alive,
    Suspect, ///< Did not answer; becomes Dead after the suspicion timeout unless it refutes the suspicion.
    Dead, ///< Local conclusion; receivers merge it as a suspicion.
    Left, ///< Announced by the member itself.
};

template <>
inline constexpr auto enumNames<MemberState> = std::to_array<EnumName<MemberState>>({
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Dead, "dead" },
    { MemberState::Left, "left" },
});

/// Incarnation of a process that starts at the given wall-clock time. The low 16 bits count refutations.
constexpr uint64_t firstIncarnation(TimeMs startedAtUtc) { return static_cast<uint64_t>(startedAtUtc.value) << 16; }
/// The part of the incarnation that distinguishes processes of the same name.
constexpr uint64_t processOf(uint64_t incarnation) { return incarnation >> 16; }

/// Attributes that change while a member runs; only the member itself raises the version.
struct MemberStatus {
    NodeId id;
    uint64_t incarnation = 0;
    uint64_t version = 0; ///< Orders updates of the fields below within one incarnation.
    MemberState state = MemberState::Alive;
    bool draining = false;
    uint64_t rulesRevision = 0; ///< Revision in force at the member; 0 if none.
    uint64_t directive = 0; ///< Highest directive sequence confirmed by the member.
    VoterId voter; ///< Unset if the member is not a voter.
    NodeId leader; ///< Decision leader as known to the member; unset if unknown.

    bool operator==(const MemberStatus&) const = default;
};

/// Attributes that stay constant while a member runs. Addresses are "IP:port".
struct MemberIdentity {
    std::string name;
    std::string udpAddress;
    std::string tcpAddress;
    std::string httpAddress; ///< Address that callers connect to.
    std::string domain; ///< Failure domain.

    bool operator==(const MemberIdentity&) const = default;
};

/// Whether the strings are short enough for a record to fit into one datagram. Settings have to satisfy this.
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
    TimeMs since; ///< Local time of the last state change.
    TimeMs lastHeard; ///< Local time of the last datagram from the member.
};

}
