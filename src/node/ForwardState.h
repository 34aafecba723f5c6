#pragma once

#include "base/Random.h"
#include "forward/Allowance.h"
#include "forward/ColdUpstreams.h"
#include "forward/CrashQuarantine.h"
#include "forward/DomainSpending.h"
#include "forward/FleetPlan.h"
#include "forward/ForwardCall.h"
#include "forward/ForwardTarget.h"
#include "forward/LeavingNotices.h"
#include "forward/LoadSum.h"
#include "forward/RetryLimit.h"
#include "forward/TargetChoice.h"
#include "forward/UpstreamReach.h"
#include "forward/UsageMeter.h"
#include "node/Dialect.h"
#include "node/FairShareState.h"
#include "node/NodeIo.h"
#include "node/PeerMessages.h"
#include "node/VersionOrderCalls.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace siskinshunt {

struct NodeOptions;

/// State of load reporting through hubs, both of a reporting node and of a hub.
struct LoadHubState {
    struct Reporter {
        uint64_t number = 0; ///< Number of its last report.
        TimeMs lastHeardAt;
    };
    struct OtherHub {
        std::map<std::string, double> spent; ///< Allowance spent in its failure domain, by client account.
        TimeMs lastHeardAt;
    };

    NodeId hub; ///< Hub of this node's failure domain at the time of the last report.
    uint64_t lastReportNumber = 0;
    SentReports sent;
    std::map<std::string, DomainSpending> spending; ///< Of the other nodes, by failure domain.
    bool loadChanged = false; ///< The load of this node has changed since it was last reported.
    TimeMs nextUpdate; ///< Not before this time.
    // Used by a hub.
    std::map<NodeId, Reporter> reporters;
    std::map<NodeId, uint64_t> lastReports; ///< Number of the last complete report of each node that has ever reported to this hub.
    std::map<NodeId, OtherHub> others;
    MonotonicSum spent; ///< Allowance spent in this failure domain, by client account.
    MonotonicSum assignedPrefillTokens; ///< Prompt tokens assigned to engines for prefill in this failure domain, by backend.
    float tokensPerMs = 0; ///< Prefill rate of engines, averaged over the reports; 0 until one contains a rate.
    std::vector<PlacedPart> placedInDomain; ///< Reported in this failure domain since the last sum was sent.
    std::vector<PlacedPart> placedInOtherDomains;
    std::set<UpstreamId> limitsInDomain; ///< Upstreams whose limits were reported in this failure domain since the last sum was sent.
    std::set<UpstreamId> limitsInOtherDomains;
    TimeMs nextSum;
    TimeMs nextSumUpdate;
};

/// What this node knows of another entry node as a way to a backend, from the requests that it has sent there.
struct RelayPeer {
    TimeMs servedAt; ///< Last answer of an upstream by way of it; 0 if it has failed since.
    TimeMs backoffUntil; ///< Gets no requests before.
    TimeMs backoff; ///< Length of the last backoff; doubles each time.
};

/// What this node knows of cold upstreams; see node/ColdFlow.h.
struct ColdFlowState {
    std::map<std::string, ColdStartRule, std::less<>> rules; ///< By backend.
    ColdStates states;
    ColdSenders senders;
    std::vector<NodeId> sharing; ///< Nodes that count for the shares; without this one while it has none.
    std::set<UpstreamId> cold; ///< Targets that count as cold at this node.
    std::set<UpstreamId> toTell; ///< Upstreams whose statement, made to this node, is told to the others next.
    TimeMs tellAt; ///< When it is told.
    TimeMs nextRepeat;
    TimeMs nextShares;
};

/// What this node knows of regions; see node/RegionFlow.h.
struct RegionState {
    DomainRegions byDomain;
    std::set<std::string> unknown; ///< Failure domains without a region that have been logged since the rules changed.
};

/// State of request forwarding at this node.
struct ForwardState {
    HeaderNames headers;
    std::shared_ptr<const RouteTable> routes; ///< Null until a rule set is in force.
    ForwardTargets targets;
    std::map<UpstreamId, std::string> unreadableAddresses; ///< Of announced upstreams that are no targets for it.
    PromptPartIndex parts;
    ChoiceOptions choice;
    Allowances allowances;
    RetryLimit retryLimit;
    std::map<std::string, RetryUsage> retries; ///< By backend.
    std::map<std::string, UpstreamReach> reach; ///< By backend.
    std::map<std::pair<NodeId, std::string>, RelayPeer> relayPeers; ///< By entry node and backend.
    UsageMeter usage;
    std::unordered_map<ExchangeId, std::unique_ptr<ForwardCall>> calls;
    /// Exchange by dispatch; 0 if the answer is no longer needed and is only read to the end.
    std::unordered_map<DispatchId, ExchangeId> dispatches;
    std::unordered_map<DispatchId, size_t> unneededBytes; ///< Read of answers that are no longer needed.
    std::map<std::string, double> assignedPrefillTokens; ///< Prompt tokens assigned to engines for prefill since the process started, by backend.
    std::vector<PlacedPart> placed; ///< Prompt parts sent to upstreams since the last load report.
    LoadHubState hubs;
    FairShareState fair;
    TimeMs nextReport;
    TimeMs nextExpiry;
    std::map<std::string, BrittleLimit> brittle; ///< By backend: as last named by one of its upstreams; upstreams that start inherit it.
    LeavingNotices leaving;
    CrashQuarantine quarantine;
    std::set<uint64_t> quarantineLogged; ///< Quarantined subjects for which this node has written a line.
    std::set<UpstreamId> limitsToReport; ///< Upstreams whose limits go into the next load report.
    TimeMs nextShares;
    ColdFlowState cold;
    RegionState regions;
};

/// A leave call that waits for the acknowledgement of the decision leader.
struct PendingLeave {
    ExchangeId exchange = 0;
    TimeMs until;
};

/// What this node has asked other nodes for.
struct CatchUpState {
    struct Position {
        uint64_t process = 0; ///< Process of the other node that numbers its notices.
        uint64_t number = 0; ///< Its last notice that this node has.
    };
    std::map<NodeId, Position> positions;
    TimeMs currentAt; ///< When this node was last known to have all notices of the decision leader.
    TimeMs nextAsk;
};

struct ControlCallState {
    uint64_t lastRequest = 0;
    std::map<uint64_t, PendingLeave> leaves; ///< Waiting for the decision leader, by request number.
    std::vector<PendingVersionOrder> versionOrders; ///< Not proposed yet.
};

/// Demand for a backend, from the load reports of the entry nodes.
struct BackendDemand {
    std::map<NodeId, double> totals; ///< Prompt tokens that each node has assigned for prefill since it started.
    double tokens = 0; ///< Prompt tokens assigned since the last update.
    DemandEstimate estimate;
    double busy = 0; ///< Number of engines that the load keeps busy; peaks decay slowly.
    TimeMs firstReportAt;
    TimeMs updatedAt;
};

/// A scale order that was sent to the platform.
struct SubmittedScaleOrder {
    uint32_t wanted = 0;
    TimeMs at;
    bool accepted = false;
};

/// State of the holder of the duties; used only by the decision leader.
struct DutyState {
    uint64_t epoch = 0; ///< Leader epoch for which the state was created.
    TimeMs readyAt; ///< Calls to the platform are allowed from then on, when the previous holder has stopped.
    std::map<NodeId, int64_t> reportedTo; ///< By node: its reports of all windows below this one are complete.
    std::map<int64_t, std::map<NodeId, std::map<std::string, uint64_t>>> reports; ///< By window and node.
    std::set<int64_t> committing;
    std::set<int64_t> sent; ///< Acknowledged by the platform.
    DispatchId usageDispatch = 0;
    int64_t usageWindow = 0; ///< Window of the usage call in flight.
    TimeMs nextUsage;
    DispatchId scaleDispatch = 0;
    ScaleOrder scaleOrder; ///< Order of the scale call in flight.
    std::map<std::string, BackendDemand> demand; ///< By backend.
    std::map<std::string, TimeMs> supplyRefusedAt; ///< By backend: when the platform last refused reclaimable instances.
    std::map<ScaleOrder, SubmittedScaleOrder> submittedOrders; ///< Last order by backend, domain and kind; `wanted` is 0 in the key.
    TimeMs nextScale;
    TimeMs nextUsageReport; ///< Next report of this node to the leader; used by every node.
};

/// State of this node for the open version orders.
struct VersionFollowers {
    /// What this node knows and does of an order as an entry node.
    struct Follower {
        TimeMs seenAt; ///< When this process first saw the order.
        bool tripped = false; ///< This node sends no more requests to the target version.
        std::map<std::string, RouteResults> results; ///< By route.
        std::map<std::string, RouteLimits> limits; ///< By route; as the decision leader has told.
        UpstreamId burstInstance;
        double burstShare = 0;
        TimeMs burstEnd;
        UpstreamId sharesInstance;
        std::map<std::string, double> shares; ///< By route, beside bursts.
        TimeMs sharesEnd;
        TimeMs switchedUntil; ///< Requests go to the target version only; the others are about to end.
        int failuresInRow = 0;
    };
    /// An order that this node steps as the decision leader. `orderedAt` and `target` tell it from others of the backend.
    struct Led {
        TimeMs orderedAt;
        std::string target;
        Rollout rollout;
        TimeMs sharesToldAt; ///< When the entry nodes were last told the shares of the routes.
        std::map<NodeId, VersionResults> results; ///< The last of each node.
        std::map<NodeId, TimeMs> heardAt; ///< When it came.
    };

    std::map<std::string, VersionOrder> orders; ///< In force, by backend.
    std::map<std::string, std::map<std::string, VersionOrder>> past; ///< As DecisionLog::pastVersionOrders.
    std::map<std::string, Follower> followers;
    TimeMs nextReport;
    TimeMs nextEvidence; ///< Of a report in the form of earlier builds.
    // Used by the decision leader.
    std::map<std::string, Led> led; ///< By backend.
    std::map<NodeId, VersionEvidenceFrame> evidence; ///< Of nodes of earlier builds; without the order to which it belongs.
    std::map<std::string, TimeMs> nextStep; ///< By backend.
    std::set<std::string> recording;
};

}
