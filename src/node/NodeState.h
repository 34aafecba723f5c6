#pragma once

#include "base/Counters.h"
#include "base/Histogram.h"
#include "base/Random.h"
#include "control/DecisionLog.h"
#include "explain/Explain.h"
#include "fleet/UpstreamTable.h"
#include "ledger/Ledger.h"
#include "limits/ClassQueue.h"
#include "limits/Lease.h"
#include "limits/Limiter.h"
#include "limits/Retry.h"
#include "membership/Membership.h"
#include "node/CapacityState.h"
#include "node/Evacuations.h"
#include "node/ForwardState.h"
#include "node/Node.h"
#include "node/NodeCall.h"
#include "node/PeerMessages.h"
#include "node/VoterRepairState.h"
#include "orders/Orders.h"
#include "replica/Replica.h"
#include "routing/Router.h"
#include "rules/RuleSet.h"
#include "versions/MoveController.h"
#include "versions/VersionCircuitBreaker.h"
#include "wire/Mac.h"
#include "wire/ReplayWindow.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace siskinshunt {

constexpr GroupId decisionGroup { 1 };
/// Pseudo group in the storage: holds the snapshot of the last adopted control view.
constexpr GroupId viewGroup { 1000000 };
/// Pseudo group in the storage: holds the known upstreams, so that a restart does not wait until all have announced themselves.
constexpr GroupId upstreamsGroup { 1000001 };

/// Receives the outcome of a proposal: applied, with a reply, or not known to be applied before the timeout.
using ProposalDone = std::function<void(Node&, bool applied, const std::string& reply)>;

/// A command in flight to the leader of its group.
struct PendingCommand {
    GroupId group;
    std::string command; ///< Empty for a look-up of `call`.
    CallId call;
    std::string account; ///< For a look-up: the account that must own the call.
    ProposalDone done;
    TimeMs until;
    TimeMs nextSend;
    VoterId leaderHint;
    uint32_t tries = 0;
};

/// A proposal in the replica of this voter, made for this node or for another one.
struct LocalProposal {
    uint64_t request = 0; ///< Number of the PendingCommand at the proposing node.
    NodeId proposer; ///< None for this node.
};

/// One consensus group of this voter.
struct Group {
    GroupId id;
    ReplicaPtr replica;
    std::unique_ptr<Ledger> ledger; ///< Null for the decision log.
    std::map<uint64_t, LocalProposal> proposals; ///< By proposal id.
    TimeMs nextSweep; ///< Next scan for due takeovers, unknown outcomes and expired calls.
    std::set<CallId> sweeping; ///< Calls for which a sweep command is in flight.
    VoterRepair repair;
};

/// Latency histograms of one client account and class, in microseconds.
struct ClassHistograms {
    Histogram firstToken;
    Histogram betweenTokens;
    Histogram wholeCall;
    Histogram queued;
    std::map<std::string, uint64_t> outcomes; ///< "ok" or the refusal code.
};

/// State of this node for one open move.
struct MoveFollower {
    VersionCircuitBreaker circuitBreaker;
    std::map<std::string, RouteEvidence, std::less<>> pending; ///< By route; sent to the decision leader once a second.
    bool tripReported = false;
};

/// An explain request of an operator that waits for the replies of other nodes.
struct ExplainQuery {
    ExchangeId exchange = 0;
    std::string id;
    TimeMs until;
    std::set<NodeId> waiting;
    std::vector<std::vector<DecisionRecord>> records;
};

/// A request of an operator that is answered when the accepted revision is in force on this node, at the latest at `until`.
struct PendingApply {
    ExchangeId exchange = 0;
    uint64_t revision = 0;
    TimeMs until;
};

/// An operator's request to replace a voter, which may still be alive.
struct VoterReplacement {
    VoterId add;
    TimeMs until;
};

/// State of the decision leader; reset when the leadership changes.
struct LeaderState {
    uint64_t epoch = 0; ///< Epoch of this leadership; 0 until BeginEpoch is applied.
    bool epochProposalPending = false;
    MoveController moves;
    bool movesRestored = false;
    std::vector<Evidence> evidence; ///< Received since the last step of the move controller.
    TimeMs nextStep;
    OrderTable orders;
    std::unordered_map<DispatchId, std::pair<std::string, FencingToken>> orderDispatches;
    LeaseGrantor grantor;
    CapacityState capacity;
    std::map<std::pair<std::string, std::string>, MoveOrder> levels; ///< Runner levels (target counts) that moves order, by model and version.
    std::set<std::string> recording; ///< Moves for which a directive is being committed.
};

/// Position of a committed directive in the log; shows which nodes follow it.
struct CommittedDirective {
    uint64_t sequence = 0;
    uint64_t index = 0;
};

/// A control view as sent to other nodes.
struct EncodedView {
    uint64_t index = 0;
    bool withRules = true; ///< Whether it contains the text of the rules.
    std::string bytes;
    uint64_t checksum = 0;
    TimeMs lastUsedAt;
};

/// Transfer of newer control views to this node, and of its own to others.
struct ViewTransferState {
    uint64_t wanted = 0; ///< Highest index of which this node has heard.
    NodeId teller; ///< The node that has told of it.
    const char* reason = ""; ///< How it has told, for the log.
    NodeId source; ///< The node that has been asked for a piece; none between attempts.
    NodeId failedSource; ///< The last source that did not deliver.
    int failures = 0; ///< Sources in a row that did not deliver.
    TimeMs nextTry;
    TimeMs lastProgressAt;
    TimeMs nextMemberCheck;
    uint64_t index = 0; ///< Of the view in transfer.
    uint64_t totalBytes = 0;
    uint64_t checksum = 0;
    std::string bytes; ///< The pieces received, joined.
    std::vector<EncodedView> encoded; ///< Recently sent to other nodes.
};

struct Node {
    NodeOptions options;
    NodeId self;
    CallOwner owner;
    uint64_t cluster = 0;
    MacKey key;
    TimeMs now;
    std::optional<TimeMs> resumedAt; ///< When the process last went on after a stall.
    TimeMs lastStall; ///< Length of that stall.
    TimeMs nextTick;
    Random random { 1 };
    Outputs out;
    Counters counters;

    // Rules and control view.
    std::shared_ptr<const RuleSet> rules; ///< Rules in force; null until a view has been adopted.
    ControlView view;
    ViewTransferState viewTransfer;
    std::optional<ControlView> viewToStore; ///< A newer view that waits until `viewBeingStored` is on disk.
    std::optional<ControlView> viewBeingStored;
    uint64_t viewRequest = 0;
    uint64_t restoredViewIndex = 0; ///< Index of the view that was on disk at the start; 0 if there was none.

    // Consensus.
    DecisionLog decisionLog;
    uint64_t decisionIndex = 0; ///< Log index of the last command that changed the control view.
    std::map<std::string, CommittedDirective> directives;
    std::map<GroupId, Group> groups;
    std::unordered_map<uint64_t, PendingCommand> commands;
    uint64_t lastRequest = 0;
    bool leadsDecisions = false;
    LeaderState leader;
    uint64_t frameSequence = 0;
    std::map<FrameKind, uint64_t> sentBytes; ///< Size of the frames sent to other nodes, by kind.
    ReplayWindow frameReplays;
    std::map<std::string, uint64_t> droppedMessages; ///< Number of dropped peer messages by reason.

    // Explain records and requests of operators.
    ExplainRing decisions;
    std::map<uint64_t, ExplainQuery> explainQueries;
    std::vector<PendingApply> pendingApplies; ///< Operators whose accepted rules are not in force on this node yet.
    std::map<VoterId, VoterReplacement> replacements; ///< By the voter to remove.

    // Fleet.
    Membership membership;
    MembershipOutputs membershipOutputs;
    TimeMs nextRefresh; ///< Next refresh of the routing targets.
    bool upstreamsChanged = false; ///< Whether the upstreams changed since they were last stored.
    bool storingUpstreams = false;
    uint64_t upstreamsRequest = 0;
    TimeMs nextStoreUpstreams;

    // Calls.
    std::unordered_map<CallId, std::unique_ptr<NodeCall>> calls;
    std::unordered_map<ExchangeId, CallId> byExchange;
    std::unordered_map<DispatchId, CallId> byDispatch;
    std::map<std::string, CallQueue> queues; ///< By pool.
    uint64_t queuedBytes = 0;
    std::map<std::string, TimeMs> poolEmptySince; ///< Pools without an upstream that accepts new work.
    DispatchId lastDispatch = 0;
    Router router;
    Limiter limiter;
    std::map<std::string, RetryBudget> retryBudgets; ///< By route.
    std::map<std::string, MoveFollower> followers; ///< By move.
    TimeMs nextEvidence;
    TimeMs nextLeases;
    DemandMeter demand;
    std::map<std::pair<std::string, std::string>, ClassHistograms> histograms; ///< By account and class; the number of entries is bounded.

    ForwardState forward;
    ControlCallState controlCalls;
    CatchUpState catchUp;
    EvacuationState evacuations;
    DutyState duties;
    VersionFollowers versionOrders;
    KnownBuilds builds;

    // Shutdown.
    bool draining = false;
    TimeMs drainSince;
    bool left = false;
    TimeMs leftAt;
    TimeMs lastBusyAt; ///< While draining: last tick at which a request was in progress.

    explicit Node(NodeOptions);
};

// Shared functions of the node; not part of its public interface.

void addLog(Node&, LogLevel, std::string code, Step, std::string peer, std::string text, std::vector<std::pair<std::string, std::string>> fields = {});
/// Whether what is read now may have arrived long ago, since the process or its machine stood still until about now.
bool isInputAgeUnknown(const Node&);
/// Returns the call id as 16 hexadecimal digits, the form that callers see.
std::string formatCallId(CallId);
/// Parses the form of formatCallId().
std::optional<CallId> parseCallId(std::string_view text);

}
