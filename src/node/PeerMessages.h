#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"
#include "control/DecisionLog.h"
#include "versions/Evidence.h"
#include "versions/MoveTypes.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinshunt {

/// Kinds of TCP frames between nodes.
enum class FrameKind : uint8_t {
    Consensus = 1, ///< A Message of the envelope's group.
    Propose,
    ProposeReply,
    LookUp,
    LookUpReply,
    FetchView,
    View,
    Evidence,
    LeaseRequests,
    LeaseGrants,
    Explain,
    ExplainReply,
    TableDigest,
    TableRecords,
    ReplaceVoter,
    Demand, ///< A DemandFrame.
};

template <>
inline constexpr auto enumNames<FrameKind> = std::to_array<EnumName<FrameKind>>({
    { FrameKind::Consensus, "consensus" },
    { FrameKind::Propose, "propose" },
    { FrameKind::ProposeReply, "propose_reply" },
    { FrameKind::LookUp, "look_up" },
    { FrameKind::LookUpReply, "look_up_reply" },
    { FrameKind::FetchView, "fetch_view" },
    { FrameKind::View, "view" },
    { FrameKind::Evidence, "evidence" },
    { FrameKind::LeaseRequests, "lease_requests" },
    { FrameKind::LeaseGrants, "lease_grants" },
    { FrameKind::Explain, "explain" },
    { FrameKind::ExplainReply, "explain_reply" },
    { FrameKind::TableDigest, "table_digest" },
    { FrameKind::TableRecords, "table_records" },
    { FrameKind::ReplaceVoter, "replace_voter" },
    { FrameKind::Demand, "demand" },
});

/// Asks a voter to propose a command; repeated with the same request number until answered.
struct ProposeFrame {
    uint64_t request = 0;
    std::string command;

    template <class Archive>
    void serialize(Archive& archive) { archive(request, command); }
};

enum class ProposeResult : uint8_t {
    Applied,
    NotLeader, ///< Not proposed; `leader` may say who leads.
    Unknown, ///< May or may not be applied.
};

struct ProposeReplyFrame {
    uint64_t request = 0;
    ProposeResult result = ProposeResult::Unknown;
    std::string reply; ///< The state machine's, when applied.
    VoterId leader;

    template <class Archive>
    void serialize(Archive& archive) { archive(request, result, reply, leader); }
};

/// Asks the leader of a ledger group for the state of a call.
struct LookUpFrame {
    uint64_t request = 0;
    CallId call;
    std::string account; ///< Whose call it has to be.

    template <class Archive>
    void serialize(Archive& archive) { archive(request, call, account); }
};

struct LookUpReplyFrame {
    uint64_t request = 0;
    bool answered = false; ///< False: not the leader, or without a lease.
    std::string reply; ///< Encoded LedgerReply.
    VoterId leader;

    template <class Archive>
    void serialize(Archive& archive) { archive(request, answered, reply, leader); }
};

/// The part of the decision log that every node follows. A node never goes back to a smaller index.
struct ControlView {
    uint64_t index = 0; ///< Log index of the last command that changed it.
    RulesRevision rules;
    std::vector<MoveDirective> moves;
    uint64_t epoch = 0;
    uint32_t ledgerGroups = 0; ///< Of the nodes that made it; a node with another number refuses once calls.

    template <class Archive>
    void serialize(Archive& archive) { archive(index, rules, moves, epoch, ledgerGroups); }
};

struct FetchViewFrame {
    uint64_t have = 0; ///< Index of the asking node's view.

    template <class Archive>
    void serialize(Archive& archive) { archive(have); }
};

struct EvidenceFrame {
    std::vector<Evidence> evidence;

    template <class Archive>
    void serialize(Archive& archive) { archive(evidence); }
};

constexpr size_t maxViewBytes = 3 << 20;
constexpr size_t maxEvidenceBytes = 1 << 20;

}
