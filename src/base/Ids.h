#pragma once

#include "base/Hash.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace siskinshunt {

/// Strongly typed 64-bit identifier. Zero means none.
template <class Tag>
struct Id {
    uint64_t value = 0;

    // Not defaulted: clang-tidy 14 reports modernize-use-nullptr for the literal 0 in a defaulted comparison.
    constexpr std::strong_ordering operator<=>(const Id& other) const { return value <=> other.value; }
    constexpr bool operator==(const Id&) const = default;
    constexpr explicit operator bool() const { return value != 0; }

    template <class Archive>
    void serialize(Archive& archive) { archive(value); }
};

using NodeId = Id<struct NodeTag>; ///< A daemon process; hash of its configured name.
using VoterId = Id<struct VoterTag>; ///< A voter of the consensus groups; created with the data folder by makeVoterId().
using UpstreamId = Id<struct UpstreamTag>; ///< An upstream; hash of its announced name.
using CallId = Id<struct CallTag>; ///< One accepted call.
using GroupId = Id<struct GroupTag>; ///< A consensus group; 1 is the decision log, 2 and higher are ledger groups.

/// Identifier derived from a configured name; never zero.
template <class IdType>
IdType idOfName(std::string_view name)
{
    const uint64_t n = hash64(name);
    return { n ? n : 1 };
}

/// Bits of a VoterId that identify its node; the others are random.
constexpr int voterNodeBits = 24;

/// Id for the voter of a new data folder. It identifies the node, so that the other voters recognise a node that has come back with another
/// data folder. `random`: 64 random bits.
constexpr VoterId makeVoterId(NodeId node, uint64_t random)
{
    constexpr uint64_t randomBits = ~uint64_t {} >> voterNodeBits;
    return { (node.value & ~randomBits) | (random & randomBits) | 1 };
}

/// Whether the voter's data folder was created on the node. Not reliable for ids from before makeVoterId(), which are random: of 16 million, one
/// seems to belong to a given node.
constexpr bool isVoterOfNode(VoterId voter, NodeId node)
{
    return voter.value >> (64 - voterNodeBits) == node.value >> (64 - voterNodeBits);
}

}

template <class Tag>
struct std::hash<siskinshunt::Id<Tag>> {
    size_t operator()(siskinshunt::Id<Tag> id) const noexcept { return id.value; }
};
