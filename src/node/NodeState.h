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
#include "node/ForwardState.h"
#include "node/Node.h"
#include "node/NodeCall.h"
#include "node/PeerMessages.h"
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
/// Pseudo group of the storage: the snapshot of the view that this node has put in force.
constexpr GroupId viewGroup { 1000000 };
/// Pseudo group of the storage: the upstreams that were known, so that a restart need not wait for all to announce themselves.
constexpr GroupId upstreamsGroup { 1000001 };

/// Outcome of a proposal: applied with a reply, or not known to be applied in time.
using ProposalDone = std::function<void(Node&, bool applied, const std::string& reply)>;

/// A command on its way to the leader of its group.
struct PendingCommand {
    GroupId group;
    std::string command; ///< Empty: a look-up of `call`.
    CallId call;
    std::string account; ///< Of a look-up.
    ProposalDone done;
    TimeMs until;
    TimeMs nextSend;
    VoterId leaderHint;
    uint32_t tries = 0;
};

/// A proposal that this voter's replica carries, for this node or for another one.
struct LocalProposal {
    uint64_t request = 0; ///< Number of the PendingCommand, here or at the asking node.
    NodeId proposer; ///< None: this node.
};

/// One consensus group at this voter.
struct Group {
    GroupId id;
    ReplicaPtr replica;
    std::unique_ptr<Ledger> ledger; ///< None for the decision log.
    std::map<uint64_t, LocalProposal> proposals; ///< By proposal id.
    TimeMs nextSweep; ///< Of due takeovers, unknown outcomes and expiry.
    std::set<CallId> sweeping; ///< Calls with such a command under way.
    std::map<VoterId, TimeMs> missingSince; ///< Voters that no live node holds, for repair.
    TimeMs nextRepair;
};

/// Latencies of one client account and class, in microseconds.
struct ClassHistograms {
    Histogram firstToken;
    Histogram betweenTokens;
    Histogram wholeCall;
    Histogram queued;
    std::map<std::string, uint64_t> outcomes; ///< "ok" or the refusal code.
};

/// What this node does about one open move.
struct MoveFollower {
    VersionCircuitBreaker circuitBreaker;
    std::map<std::string, RouteEvidence, std::less<>> pending; ///< By route; sent once a second.
    bool tripReported = false;
};

/// An operator's question that waits for the answers of other nodes.
struct ExplainQuery {
    ExchangeId exchange = 0;
    std::string id;
    TimeMs until;
    std::set<NodeId> waiting;
    std::vector<std::vector<DecisionRecord>> records;
};

/// An operator who gets the answer once the accepted revision is in force on this node, or at `until`.
struct PendingApply {
    ExchangeId exchange = 0;
    uint64_t revision = 0;
    TimeMs until;
};

/// An operator's order to replace a voter that may still be alive.
struct VoterReplacement {
    VoterId add;
    TimeMs until;
};

/// State of the decision leader; reset when the lead changes.
struct LeaderState {
    uint64_t epoch = 0; ///< In force for this leadership; 0 until TakeEpoch is applied.
    bool epochProposalPending = false;
    MoveController moves;
    bool movesRestored = false;
    std::vector<Evidence> evidence; ///< Arrived since the last step of the controller.
    TimeMs nextStep;
    OrderTable orders;
    std::unordered_map<DispatchId, std::pair<std::string, FencingToken>> orderDispatches;
    LeaseGrantor grantor;
    CapacityState capacity;
    std::map<std::pair<std::string, std::string>, MoveOrder> levels; ///< Runners that moves want, by model and version.
    std::set<std::string> recording; ///< Moves with a directive that is being committed.
};

/// When a directive was committed, to tell which nodes follow it.
struct CommittedDirective {
    uint64_t sequence = 0;
    uint64_t index = 0;
};

struct Node {
    NodeOptions options;
    NodeId self;
    CallOwner owner;
    uint64_t cluster = 0;
    MacKey key;
    TimeMs now;
    TimeMs nextTick;
    Random random { 1 };
    Outputs out;
    Counters counters;

    // Rules and view.
    std::shared_ptr<const RuleSet> rules; ///< In force; null until a view has been adopted.
    ControlView view;
    uint64_t requestedIndex = 0; ///< Highest index asked for.
    TimeMs nextFetch;
    std::optional<ControlView> viewToStore; ///< Newer one, while another is being stored.
    std::optional<ControlView> viewBeingStored;
    uint64_t viewRequest = 0;

    // Consensus.
    DecisionLog decisionLog;
    uint64_t decisionIndex = 0; ///< Of the last command that changed the decision log.
    std::map<std::string, CommittedDirective> directives;
    std::map<GroupId, Group> groups;
    std::unordered_map<uint64_t, PendingCommand> commands;
    uint64_t lastRequest = 0;
    bool leadsDecisions = false;
    LeaderState leader;
    uint64_t frameSequence = 0;
    ReplayWindow frameReplays;
    std::map<std::string, uint64_t> droppedMessages; ///< Peer messages by reason.

    // Decisions for auditors.
    ExplainRing decisions;
    std::map<uint64_t, ExplainQuery> explainQueries;
    std::vector<PendingApply> pendingApplies; ///< Accepted rules that are not in force on this node yet.
    std::map<VoterId, VoterReplacement> replacements; ///< By the voter to remove.

    // Fleet.
    Membership membership;
    MembershipOutputs membershipOutputs;
    TimeMs nextRefresh; ///< Of the routing targets.
    bool upstreamsChanged = false; ///< Since they were stored.
    bool storingUpstreams = false;
    uint64_t upstreamsRequest = 0;
    TimeMs nextStoreUpstreams;

    // Calls.
    std::unordered_map<CallId, std::unique_ptr<NodeCall>> calls;
    std::unordered_map<ExchangeId, CallId> byExchange;
    std::unordered_map<DispatchId, CallId> byDispatch;
    std::map<std::string, CallQueue> queues; ///< By pool.
    uint64_t queuedBytes = 0;
    std::map<std::string, TimeMs> poolEmptySince; ///< Pools without an upstream that takes work.
    DispatchId lastDispatch = 0;
    Router router;
    Limiter limiter;
    std::map<std::string, RetryBudget> retryBudgets; ///< By route.
    std::map<std::string, MoveFollower> followers; ///< By move.
    TimeMs nextEvidence;
    TimeMs nextLeases;
    DemandMeter demand;
    std::map<std::pair<std::string, std::string>, ClassHistograms> histograms; ///< By account and class; bounded.

    ForwardState forward;
    ControlCallState controlCalls;
    DutyState duties;
    VersionFollowers versionOrders;

    // Shutdown.
    bool draining = false;
    TimeMs drainSince;
    bool left = false;
    TimeMs leftAt;

    explicit Node(NodeOptions);
};

// Functions of the node's parts, for the other parts only.

void addLog(Node&, LogLevel, std::string code, Step, std::string peer, std::string text, std::vector<std::pair<std::string, std::string>> fields = {});
/// Call id as callers see it.
std::string formatCallId(CallId);
std::optional<CallId> parseCallId(std::string_view text);

}
