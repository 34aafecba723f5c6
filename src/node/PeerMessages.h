#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"
#include "control/DecisionLog.h"
#include "versions/Evidence.h"
#include "versions/MoveTypes.h"

#include <array>
#include <cstdint>
#include <map>
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
    ForwardLoad, ///< A ForwardLoadFrame.
    Usage, ///< A UsageFrame.
    Leaving, ///< A LeavingFrame.
    LeavingAcknowledged, ///< Its answer by the decision leader.
    ViewNotice, ///< A FetchViewFrame: the sender's view has this index.
    VersionEvidence, ///< A VersionEvidenceFrame.
    HubReport, ///< A HubReportFrame.
    DomainLoad, ///< A ForwardLoadFrame: the sum over the sender's failure domain.
    FleetLoad, ///< A FleetLoadFrame.
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
    { FrameKind::ForwardLoad, "forward_load" },
    { FrameKind::Usage, "usage" },
    { FrameKind::Leaving, "leaving" },
    { FrameKind::LeavingAcknowledged, "leaving_noted" },
    { FrameKind::ViewNotice, "view_notice" },
    { FrameKind::VersionEvidence, "version_evidence" },
    { FrameKind::HubReport, "hub_report" },
    { FrameKind::DomainLoad, "domain_load" },
    { FrameKind::FleetLoad, "fleet_load" },
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
    std::vector<VersionOrder> versionOrders;

    template <class Archive>
    void serialize(Archive& archive) { archive(index, rules, moves, epoch, ledgerGroups, versionOrders); }
};

struct FetchViewFrame {
    uint64_t viewIndex = 0; ///< Index of the asking node's view.

    template <class Archive>
    void serialize(Archive& archive) { archive(viewIndex); }
};

struct EvidenceFrame {
    std::vector<Evidence> evidence;

    template <class Archive>
    void serialize(Archive& archive) { archive(evidence); }
};

/// Load that a node has sent to one upstream.
struct ReportedLoad {
    UpstreamId upstream;
    float running = 0;
    std::array<float, 10> prefillTokens {}; ///< By urgency.

    template <class Archive>
    void serialize(Archive& archive) { archive(upstream, running, prefillTokens); }
};

/// A prompt part that a node has sent to an upstream since its last report.
struct PlacedPart {
    uint64_t part = 0;
    UpstreamId upstream;

    template <class Archive>
    void serialize(Archive& archive) { archive(part, upstream); }
};

/// What an entry node tells the others several times a second.
struct ForwardLoadFrame {
    std::vector<ReportedLoad> loads;
    std::vector<PlacedPart> placed;
    std::map<std::string, double> spent; ///< Of the allowances since the sender's start, by client account.
    std::map<std::string, double> toRead; ///< Prompt tokens that engines were given to read since the sender's start, by backend.
    float tokensPerMs = 0; ///< Pace of engines that the sender has learnt; 0 before.

    template <class Archive>
    void serialize(Archive& archive) { archive(loads, placed, spent, toRead, tokensPerMs); }
};

/// What an entry node tells the hub of its failure domain.
struct HubReportFrame {
    uint64_t number = 0; ///< Rises with each report of the sender.
    ForwardLoadFrame load;

    template <class Archive>
    void serialize(Archive& archive) { archive(number, load); }
};

/// What a hub tells the entry nodes that report to it.
struct FleetLoadFrame {
    std::vector<ReportedLoad> loads; ///< Of all nodes, the receiver included.
    std::vector<PlacedPart> placed; ///< By any node since the last frame.
    std::map<NodeId, std::map<std::string, double>> spent; ///< By hub and client account: sums that never go down.
    std::map<NodeId, uint64_t> included; ///< By node that reports to this hub: its last report, which the sums contain.

    template <class Archive>
    void serialize(Archive& archive) { archive(loads, placed, spent, included); }
};

/// Requests that began to run at a node, for the decision leader. Windows that ended are complete.
struct UsageFrame {
    int64_t current = 0; ///< The window in which the sender is; earlier ones are complete.
    std::map<int64_t, std::map<std::string, uint64_t>> windows;

    template <class Archive>
    void serialize(Archive& archive) { archive(current, windows); }
};

/// An upstream wants no new work.
struct LeavingFrame {
    uint64_t request = 0; ///< Answered with the same number by the decision leader; 0 asks for no answer.
    UpstreamId upstream;
    uint64_t incarnation = 0; ///< This one and all before it.

    template <class Archive>
    void serialize(Archive& archive) { archive(request, upstream, incarnation); }
};

/// How a version did at one node since the order, by route.
struct VersionCounts {
    std::string backend;
    std::string route;
    bool target = false; ///< Of the version that is moved to; else of all others.
    uint64_t answers = 0;
    uint64_t failures = 0;
    double milliseconds = 0; ///< Sum of the times to the answer, or to the first event.

    template <class Archive>
    void serialize(Archive& archive) { archive(backend, route, target, answers, failures, milliseconds); }
};

struct VersionEvidenceFrame {
    std::vector<VersionCounts> counts; ///< Since the start of each order.
    std::vector<std::string> tripped; ///< Backends whose target version this node has stopped using.

    template <class Archive>
    void serialize(Archive& archive) { archive(counts, tripped); }
};

constexpr size_t maxForwardLoadBytes = 512 << 10;
constexpr size_t maxViewBytes = 3 << 20;
constexpr size_t maxEvidenceBytes = 1 << 20;

}
