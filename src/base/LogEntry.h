#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Serialize.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace siskinshunt {

/// Largest command, and so the largest data of a log entry, in bytes.
constexpr size_t maxCommandBytes = 3 << 20;
/// Most voters and learners of one group together.
constexpr size_t maxMembers = 16;

enum class EntryKind : uint8_t {
    Command, ///< Applied by the state machine.
    Noop, ///< Appended by a new leader, so that it can commit the entries of former terms.
    Members, ///< Encoded `Members`, in force from the moment it is appended.
};

template <>
inline constexpr auto enumNames<EntryKind> = std::to_array<EnumName<EntryKind>>({
    { EntryKind::Command, "command" },
    { EntryKind::Noop, "noop" },
    { EntryKind::Members, "members" },
});

/// One entry of the replicated log. Indexes start at 1 and have no gaps.
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

/// The part of a voter's state that has to be durable before it answers.
struct HardState {
    uint64_t term = 0;
    VoterId vote; ///< Who got this voter's vote in `term`; none if nobody.

    bool operator==(const HardState&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(term, vote); }
};

/// The voters and learners of a group, each sorted.
struct Members {
    std::vector<VoterId> voters;
    std::vector<VoterId> learners; ///< Receive the log and are not counted.

    bool operator==(const Members&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        serializeList(archive, voters, maxMembers);
        serializeList(archive, learners, maxMembers);
    }
};

/// Position and members that a snapshot stands for; index 0 means no snapshot.
struct SnapshotMeta {
    uint64_t index = 0; ///< The last applied entry that the snapshot contains.
    uint64_t term = 0; ///< The term of that entry.
    Members members;

    bool operator==(const SnapshotMeta&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(index, term, members); }
};

/// A whole snapshot: where it stands and the encoded state machine.
struct Snapshot {
    SnapshotMeta meta;
    std::shared_ptr<const std::string> bytes;
};

}
