#pragma once

#include "base/Random.h"
#include "forward/Allowance.h"
#include "forward/FleetPlan.h"
#include "forward/ForwardCall.h"
#include "forward/ForwardTarget.h"
#include "forward/LoadSum.h"
#include "forward/RetryLimit.h"
#include "forward/TargetChoice.h"
#include "forward/UsageMeter.h"
#include "node/Dialect.h"
#include "node/NodeIo.h"
#include "node/PeerMessages.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace siskinshunt {

struct NodeOptions;

/// Reports of load through hubs: what a reporting node and what a hub keeps.
struct LoadHubState {
    struct Reporter {
        uint64_t number = 0; ///< Of its last report.
        TimeMs lastHeardAt;
    };
    struct OtherHub {
        std::map<std::string, double> spent; ///< In its domain, by client account.
        TimeMs lastHeardAt;
    };

    NodeId hub; ///< Of this node's domain, as of the last report.
    uint64_t lastReportNumber = 0;
    SentReports sent;
    // At a hub.
    std::map<NodeId, Reporter> reporters;
    std::map<NodeId, OtherHub> others;
    MonotonicSum spent; ///< In this domain, by client account.
    MonotonicSum toRead; ///< The same of prompt tokens to read, by backend.
    float tokensPerMs = 0; ///< Pace of engines, as the reporters have learnt it; 0 before.
    std::vector<PlacedPart> placedInDomain; ///< Reported in this domain since the last sum.
    std::vector<PlacedPart> placedInOtherDomains;
    TimeMs nextSum;
};

/// Forwarding at this node.
struct ForwardState {
    HeaderNames headers;
    std::shared_ptr<const RouteTable> routes; ///< Null until rules are in force.
    ForwardTargets targets;
    PromptPartIndex parts;
    ChoiceOptions choice;
    Allowances allowances;
    RetryLimit retryLimit;
    std::map<std::string, RetryUsage> retries; ///< By backend.
    UsageMeter usage;
    std::unordered_map<ExchangeId, std::unique_ptr<ForwardCall>> calls;
    /// By dispatch; 0 for one whose answer is no longer wanted and only read to its end.
    std::unordered_map<DispatchId, ExchangeId> dispatches;
    std::map<std::string, double> toRead; ///< Prompt tokens given to engines to read since the start, by backend.
    std::vector<PlacedPart> placed; ///< Since the last report to the other nodes.
    LoadHubState hubs;
    TimeMs nextReport;
    TimeMs nextExpiry;
    /// Upstreams that are leaving, with the last incarnation that is meant and when this was learnt.
    std::map<UpstreamId, std::pair<uint64_t, TimeMs>> leaving;
};

/// A call of an upstream or operator that waits for other nodes.
struct PendingLeave {
    ExchangeId exchange = 0;
    TimeMs until;
};

struct ControlCallState {
    uint64_t lastRequest = 0;
    std::map<uint64_t, PendingLeave> leaves; ///< Waiting for the decision leader, by request number.
};

/// Load of a backend, from the reports of the entry nodes.
struct BackendDemand {
    std::map<NodeId, double> totals; ///< Tokens to read since each node's start.
    double tokens = 0; ///< Since the last step.
    DemandEstimate estimate;
    double busy = 0; ///< Engines kept busy; a peak is forgotten slowly.
    TimeMs firstReportAt; ///< First report.
    TimeMs updatedAt;
};

/// An order for instances that has been given.
struct SubmittedScaleOrder {
    uint32_t wanted = 0;
    TimeMs at;
    bool accepted = false;
};

/// What the holder of the duties does; only the decision leader fills it.
struct DutyState {
    uint64_t epoch = 0; ///< For which it was set up.
    TimeMs readyAt; ///< Calls may be made from then on: the holder before has stopped.
    std::map<NodeId, int64_t> reportedTo; ///< By node: all windows below this one are complete.
    std::map<int64_t, std::map<NodeId, std::map<std::string, uint64_t>>> reports; ///< By window and node.
    std::set<int64_t> committing;
    std::set<int64_t> sent; ///< Acknowledged by the platform.
    DispatchId usageDispatch = 0;
    int64_t usageWindow = 0; ///< Under way.
    TimeMs nextUsage;
    DispatchId scaleDispatch = 0;
    ScaleOrder scaleOrder; ///< Under way.
    std::map<std::string, BackendDemand> demand; ///< By backend.
    std::map<std::string, TimeMs> supplyRefusedAt; ///< By backend: when reclaimable instances were not to be had.
    std::map<ScaleOrder, SubmittedScaleOrder> submittedOrders; ///< The last order of each kind, under a key without its number.
    TimeMs nextScale;
    TimeMs nextUsageReport; ///< Of this node to the leader, also when it does not lead.
};

/// What this node does about the open version orders.
struct VersionFollowers {
    struct Follower {
        std::string target;
        bool tripped = false; ///< This node sends nothing more to the target version.
        std::map<std::pair<std::string, bool>, VersionCounts> counts; ///< By route, and whether of the target version.
        int failuresInRow = 0;
    };

    std::map<std::string, VersionOrder> orders; ///< In force, by backend.
    std::map<std::string, Follower> followers;
    TimeMs nextReport;
    // At the decision leader.
    std::map<NodeId, VersionEvidenceFrame> evidence;
    std::map<std::string, TimeMs> nextStep; ///< By backend.
    std::set<std::string> recording;
};

}
