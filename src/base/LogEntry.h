#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Serialize.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace siskinshunt {

/// Maximum size of a command and therefore of the data of a log entry, in bytes.
constexpr size_t maxCommandBytes = 3 << 20;
/// Maximum number of voters and learners of one group together.
constexpr size_t maxMembers = 16;

enum class EntryKind : uint8_t {
    Command, ///< Applied by the state machine.
    Noop, ///< Appended by a new leader, so that it can commit entries of earlier terms.
    Members, ///< Encoded `Members`, effective as soon as it is appended.
};

template <>
inline constexpr auto enumNames<EntryKind> = std::to_array<EnumName<EntryKind>>({
    { EntryKind::Command, "command" },
    { EntryKind::Noop, "noop" },
    { EntryKind::Members, "members" },
});

/// One entry of the replicated log. Indexes start at 1 and are contiguous.
struct LogEntry {
    uint64_t index = 0;
    uint64_t term = 0;
    EntryKind kind = EntryKind::Command;
    std::string data;

    bool operator==(const LogEntry&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(index, term, kind);
        serializeBytes(archive, data, maxCommandBytes);
    }
};

/// The state of a voter that must be durable before it responds.
struct HardState {
    uint64_t term = 0;
    VoterId vote; ///< The candidate this voter voted for in `term`; none if it has not voted.

    bool operator==(const HardState&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(term, vote); }
};

/// The voters and learners of a group, each sorted.
struct Members {
    std::vector<VoterId> voters;
    std::vector<VoterId> learners; ///< Receive the log but do not count towards a quorum.

    bool operator==(const Members&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        serializeList(archive, voters, maxMembers);
        serializeList(archive, learners, maxMembers);
    }
};

/// Log position and membership at the time of a snapshot; index 0 means no snapshot.
struct SnapshotMeta {
    uint64_t index = 0; ///< The last applied entry that the snapshot includes.
    uint64_t term = 0; ///< The term of that entry.
    Members members;

    bool operator==(const SnapshotMeta&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(index, term, members); }
};

/// A complete snapshot: its metadata and the encoded state machine.
struct Snapshot {
    SnapshotMeta meta;
    std::shared_ptr<const std::string> bytes;
};

}
