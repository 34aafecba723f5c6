#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"
#include "control/DecisionLog.h"
#include "forward/CrashQuarantine.h"
#include "forward/ForwardTarget.h"
#include "forward/LeavingNotices.h"
#include "forward/TargetLimit.h"
#include "versions/Evidence.h"
#include "versions/MoveTypes.h"
#include "versions/Rollout.h"
#include "wire/Compact.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinshunt {

/// Kinds of TCP frames between nodes.
enum class FrameKind : uint8_t {
    Consensus = 1, ///< A consensus Message for the group of the envelope.
    Propose,
    ProposeReply,
    LookUp,
    LookUpReply,
    FetchView,
    ViewPiece, ///< A ViewPieceFrame.
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
    LeavingAcknowledged, ///< A LeavingFrame: the reply of the decision leader.
    ViewNotice, ///< A ViewNoticeFrame.
    VersionEvidence, ///< A VersionEvidenceFrame.
    HubReport, ///< A HubReportFrame.
    DomainLoad, ///< A ForwardLoadFrame: the sum over the sender's failure domain.
    FleetLoad, ///< A FleetLoadFrame.
    CatchUp, ///< A CatchUpFrame.
    CatchUpReply, ///< A CatchUpReplyFrame.
    // Nodes of earlier builds drop frames of the kinds below.
    LoadUpdate, ///< A LoadUpdateFrame from an entry node to the hub of its failure domain.
    DomainUpdate, ///< A LoadUpdateFrame between hubs: the sum over the sender's failure domain.
    FleetUpdate, ///< A LoadUpdateFrame from a hub to the entry nodes that report to it: the sum over all nodes.
    // The same holds for these.
    BuildFeatures, ///< Between nodes with a data folder: what the sender's build reads.
    Evacuations, ///< The evacuations in force.
    ColdStates, ///< Upstreams that are cold, or no longer.
    AccountDemand, ///< From an entry node to its hub: work offered by client account.
    DomainAccountDemand, ///< Between hubs: the sum over the sender's failure domain.
    AccountShares, ///< From a hub to the entry nodes that report to it: the part of the work that is admitted.
    NodeCapacity, ///< From an entry node to the voters: its capacity, and how late it runs.
    SpeedReport, ///< From an entry node to its hub: observed speeds of upstreams.
    DomainSpeeds, ///< Between hubs: the sum over the sender's failure domain.
    FleetSpeeds, ///< From a hub to the entry nodes that report to it: speeds over all nodes.
    SpendingUpdate, ///< From an entry node to its hub: allowance spent.
    DomainSpending, ///< Between hubs: the sum over the sender's failure domain.
    FleetSpending, ///< From a hub to the entry nodes that report to it: allowance spent by failure domain.
    VersionResults, ///< A VersionResultsFrame from an entry node to the decision leader.
    VersionBurst, ///< A VersionBurstFrame from the decision leader to all nodes.
    VersionSwitch, ///< A VersionSwitchFrame from the decision leader to all nodes.
    VersionShares, ///< A VersionSharesFrame from the decision leader to all nodes.
};

template <>
inline constexpr auto enumNames<FrameKind> = std::to_array<EnumName<FrameKind>>({
    { FrameKind::Consensus, "consensus" },
    { FrameKind::Propose, "propose" },
    { FrameKind::ProposeReply, "propose_reply" },
    { FrameKind::LookUp, "look_up" },
    { FrameKind::LookUpReply, "look_up_reply" },
    { FrameKind::FetchView, "fetch_view" },
    { FrameKind::ViewPiece, "view_piece" },
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
    { FrameKind::CatchUp, "catch_up" },
    { FrameKind::CatchUpReply, "catch_up_reply" },
    { FrameKind::LoadUpdate, "load_update" },
    { FrameKind::DomainUpdate, "domain_update" },
    { FrameKind::FleetUpdate, "fleet_update" },
    { FrameKind::BuildFeatures, "build_features" },
    { FrameKind::Evacuations, "evacuations" },
    { FrameKind::ColdStates, "cold_states" },
    { FrameKind::AccountDemand, "account_demand" },
    { FrameKind::DomainAccountDemand, "domain_account_demand" },
    { FrameKind::AccountShares, "account_shares" },
    { FrameKind::NodeCapacity, "node_capacity" },
    { FrameKind::SpeedReport, "speed_report" },
    { FrameKind::DomainSpeeds, "domain_speeds" },
    { FrameKind::FleetSpeeds, "fleet_speeds" },
    { FrameKind::SpendingUpdate, "spending_update" },
    { FrameKind::DomainSpending, "domain_spending" },
    { FrameKind::FleetSpending, "fleet_spending" },
    { FrameKind::VersionResults, "version_results" },
    { FrameKind::VersionBurst, "version_burst" },
    { FrameKind::VersionSwitch, "version_switch" },
    { FrameKind::VersionShares, "version_shares" },
});

/// Asks a voter to propose a command; resent with the same request number until answered.
struct ProposeFrame {
    uint64_t request = 0;
    std::string command;

    template <class Archive>
    void serialize(Archive& archive) { archive(request, command); }
};

enum class ProposeResult : uint8_t {
    Applied,
    NotLeader, ///< Not proposed; `leader` is set if the leader is known.
    Unknown, ///< It is unknown whether the command is applied.
};

struct ProposeReplyFrame {
    uint64_t request = 0;
    ProposeResult result = ProposeResult::Unknown;
    std::string reply; ///< Reply of the state machine, if applied.
    VoterId leader;

    template <class Archive>
    void serialize(Archive& archive) { archive(request, result, reply, leader); }
};

/// Asks the leader of a ledger group for the state of a call.
struct LookUpFrame {
    uint64_t request = 0;
    CallId call;
    std::string account; ///< The account that must own the call.

    template <class Archive>
    void serialize(Archive& archive) { archive(request, call, account); }
};

struct LookUpReplyFrame {
    uint64_t request = 0;
    bool answered = false; ///< False if the voter is not the leader or has no lease.
    std::string reply; ///< Encoded LedgerReply.
    VoterId leader;

    template <class Archive>
    void serialize(Archive& archive) { archive(request, answered, reply, leader); }
};

/// The part of the decision log state that every node follows. A node never adopts a view with a smaller index.
struct ControlView {
    uint64_t index = 0; ///< Log index of the last command that changed the view.
    RulesRevision rules;
    std::vector<MoveDirective> moves;
    uint64_t epoch = 0;
    uint32_t ledgerGroups = 0; ///< Group count of the node that built the view; a node with another count refuses once calls.
    std::vector<VersionOrder> versionOrders; ///< Of each backend the past orders of other versions, then the order in force.

    template <class Archive>
    void serialize(Archive& archive) { archive(index, rules, moves, epoch, ledgerGroups, versionOrders); }
};

struct ViewNoticeFrame {
    uint64_t viewIndex = 0; ///< Index of the sender's view.

    template <class Archive>
    void serialize(Archive& archive) { archive(viewIndex); }
};

/// Asks for a piece of a view that is newer than the sender's.
struct FetchViewFrame {
    uint64_t viewIndex = 0; ///< Index of the sender's view.
    uint64_t rulesRevision = 0; ///< Its rules revision. The text of this revision is left out.
    uint64_t checksum = 0; ///< Of the encoded view in transfer; 0, or one that the receiver does not have, for the first piece of its newest view.
    uint64_t offset = 0; ///< Number of bytes of that view that the sender has.

    template <class Archive>
    void serialize(Archive& archive) { archive(viewIndex, rulesRevision, checksum, offset); }
};

struct ViewPieceFrame {
    uint64_t index = 0; ///< Of the view.
    uint64_t totalBytes = 0; ///< Size of the encoded view; 0 if the sender has none that is newer.
    uint64_t checksum = 0; ///< hash64 of the encoded view, with its index as the seed.
    uint64_t offset = 0;
    std::string bytes;

    template <class Archive>
    void serialize(Archive& archive) { archive(index, totalBytes, checksum, offset, bytes); }
};

struct EvidenceFrame {
    std::vector<Evidence> evidence;

    template <class Archive>
    void serialize(Archive& archive) { archive(evidence); }
};

/// Load that one node has placed on one upstream.
struct ReportedLoad {
    UpstreamId upstream;
    float running = 0;
    std::array<float, 10> prefillTokens {}; ///< By urgency level.

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

/// Load report that an entry node sends to the others several times a second.
struct ForwardLoadFrame {
    std::vector<ReportedLoad> loads;
    std::vector<PlacedPart> placed;
    std::map<std::string, double> spent; ///< Allowance consumed since the start of the sender, by client account.
    std::map<std::string, double> toRead; ///< Prompt tokens sent to engines for prefill since the start of the sender, by backend.
    float tokensPerMs = 0; ///< Prefill rate of the engines as measured by the sender; 0 if unknown.
    std::vector<ReportedLimit> limits; ///< Named by upstreams since the last report.
    CrashReport crashes;

    template <class Archive>
    void serialize(Archive& archive) { archive(loads, placed, spent, toRead, tokensPerMs, limits, crashes); }
};

/// Load report that an entry node sends to the hub of its failure domain.
struct HubReportFrame {
    uint64_t number = 0; ///< Increases with each report of the sender.
    ForwardLoadFrame load;

    template <class Archive>
    void serialize(Archive& archive) { archive(number, load); }
};

/// Fleet-wide load that a hub sends to the entry nodes that report to it.
struct FleetLoadFrame {
    std::vector<ReportedLoad> loads; ///< Sums over all nodes, including the receiver.
    std::vector<PlacedPart> placed; ///< Placed by any node since the last frame.
    std::map<NodeId, std::map<std::string, double>> spent; ///< Allowance consumed by hub and client account; the sums never decrease.
    std::map<NodeId, uint64_t> included; ///< By reporting node: number of the last report that the sums include.
    std::vector<ReportedLimit> limits; ///< Named by upstreams, to any node, since the last frame.
    CrashReport crashes; ///< Of any node, since the last frame.

    template <class Archive>
    void serialize(Archive& archive) { archive(loads, placed, spent, included, limits, crashes); }
};

/// Load placed on one upstream, in about 14 bytes: fractions are rounded up, and urgency levels without tokens are left out.
struct CompactLoad {
    UpstreamId upstream;
    uint64_t running = 0;
    std::array<uint64_t, urgencyLevels> prefillTokens {};

    template <class Archive>
    void serialize(Archive& archive)
    {
        uint64_t levels = 0;
        for (size_t n = 0; n < prefillTokens.size(); ++n)
            levels |= static_cast<uint64_t>(prefillTokens[n] ? 1 : 0) << n;
        archive(upstream);
        serializeVarint(archive, running);
        serializeVarint(archive, levels);
        for (size_t n = 0; n < prefillTokens.size(); ++n) {
            if (levels >> n & 1)
                serializeVarint(archive, prefillTokens[n]);
        }
    }
};

/// Loads alone, sent between the complete reports so that engines are chosen by recent loads.
struct LoadUpdateFrame {
    uint64_t number = 0; ///< As HubReportFrame::number; 0 in sums.
    std::vector<CompactLoad> loads; ///< Replaces the loads of the sender's last report.
    std::map<NodeId, uint64_t> included; ///< As FleetLoadFrame::included.

    template <class Archive>
    void serialize(Archive& archive) { archive(number, loads, included); }
};

/// Usage report to the decision leader: counts of requests that started on a node, by time window.
struct UsageFrame {
    int64_t current = 0; ///< Current window of the sender; the counts of earlier windows are complete.
    std::map<int64_t, std::map<std::string, uint64_t>> windows;

    template <class Archive>
    void serialize(Archive& archive) { archive(current, windows); }
};

/// Tells that an upstream accepts no new work.
struct LeavingFrame {
    uint64_t request = 0; ///< The decision leader acknowledges with the same number; 0 requests no acknowledgement.
    UpstreamId upstream;
    uint64_t incarnation = 0; ///< Applies to this incarnation and all earlier ones.

    template <class Archive>
    void serialize(Archive& archive) { archive(request, upstream, incarnation); }
};

/// Asks another node for the leaving notices that it has recorded after those it has sent before, and for the index of its view.
struct CatchUpFrame {
    uint64_t process = 0; ///< The receiver's process that sent the last notice; 0 if none.
    uint64_t number = 0; ///< Number of that notice.
    std::string sender; ///< Encoded MemberRecord of the sender, if the receiver may not know it; otherwise empty.

    template <class Archive>
    void serialize(Archive& archive) { archive(process, number, sender); }
};

struct CatchUpReplyFrame {
    uint64_t process = 0; ///< Identifies the process that numbers the notices.
    uint64_t number = 0; ///< Number of the last notice below, or as asked if there is none.
    TimeMs age; ///< Time since the sender was known to have all notices of the decision leader; 0 at the leader.
    std::vector<LeavingNotice> notices;
    uint64_t viewIndex = 0; ///< Index of the sender's control view.

    template <class Archive>
    void serialize(Archive& archive) { archive(process, number, age, notices, viewIndex); }
};

/// Results of a version on one node and route since the start of the version order.
struct VersionCounts {
    std::string backend;
    std::string route;
    bool target = false; ///< True for the target version of the order; false for all other versions.
    uint64_t answers = 0;
    uint64_t failures = 0;
    double milliseconds = 0; ///< Sum of the latencies to the response, or to the first event of a stream.

    template <class Archive>
    void serialize(Archive& archive) { archive(backend, route, target, answers, failures, milliseconds); }
};

struct VersionEvidenceFrame {
    std::vector<VersionCounts> counts; ///< Counts since the start of each order.
    std::vector<std::string> tripped; ///< Backends whose target version this node has excluded.

    template <class Archive>
    void serialize(Archive& archive) { archive(counts, tripped); }
};

/// Results of the order of one backend on one node. The order is named by its target and time, so that results of an earlier one do not count.
struct VersionResults {
    std::string backend;
    std::string target;
    TimeMs orderedAt; ///< UTC.
    bool tripped = false; ///< This node has excluded the target version.
    std::vector<RouteResults> routes; ///< Since the start of the order.

    template <class Archive>
    void serialize(Archive& archive) { archive(backend, target, orderedAt, tripped, routes); }
};

struct VersionResultsFrame {
    std::vector<VersionResults> orders;

    template <class Archive>
    void serialize(Archive& archive) { archive(orders); }
};

/// The decision leader has one new instance tested under load. Also tells from when on requests count as slow.
struct VersionBurstFrame {
    std::string backend;
    std::string target;
    TimeMs orderedAt; ///< UTC.
    UpstreamId instance;
    double share = 0; ///< Share of the backend's requests; 0: no burst.
    TimeMs length; ///< From the receipt on.
    std::map<std::string, RouteLimits> limits; ///< By route.

    template <class Archive>
    void serialize(Archive& archive) { archive(backend, target, orderedAt, instance, share, length, limits); }
};

/// An order is about to be completed: requests go to its target only, so that those at the other versions end before these do.
struct VersionSwitchFrame {
    std::string backend;
    std::string target;
    TimeMs orderedAt; ///< UTC.
    TimeMs length; ///< From the receipt on.

    template <class Archive>
    void serialize(Archive& archive) { archive(backend, target, orderedAt, length); }
};

/// The decision leader has one new instance tested by shares of single routes, beside bursts. Replaces the shares told before.
struct VersionSharesFrame {
    std::string backend;
    std::string target;
    TimeMs orderedAt; ///< UTC.
    UpstreamId instance;
    std::map<std::string, double> shares; ///< By route, 0 to 1.
    TimeMs length; ///< From the receipt on.

    template <class Archive>
    void serialize(Archive& archive) { archive(backend, target, orderedAt, instance, shares, length); }
};

constexpr size_t maxForwardLoadBytes = 512 << 10;
constexpr size_t maxViewBytes = 12 << 20; ///< Decompressed.
constexpr size_t maxEvidenceBytes = 1 << 20;

}
