#include "node/FleetFlow.h"

#include "api/AnnouncementJson.h"
#include "base/Hash.h"
#include "node/Answers.h"
#include "node/CallFlow.h"
#include "node/ForwardFlow.h"
#include "node/MovesFlow.h"
#include "node/Peers.h"
#include "node/PlatformPoll.h"
#include "rules/RuleMatch.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

static constexpr TimeMs refreshInterval { 200 };
static constexpr TimeMs announceInterval { 1000 };
// Average age of a load report on arrival, according to the lag that the platform specifies.
static constexpr TimeMs loadReportLag { 500 };
// Time before the reclaim at which running streams are moved: enough for two connection attempts; no commit is needed.
static constexpr TimeMs moveMargin { 700 };
// Drain time of a leaving upstream while no rules are in force.
static constexpr TimeMs defaultDrainTime { 3000 };
// Reclaim risk of an upstream on a reclaimable instance, for the router.
static constexpr double reclaimableRisk = 0.1;

bool isNewWorkAllowed(const Node& node, const Upstream& upstream)
{
    const TimeMs within = node.rules ? findDrain(*node.rules).within : defaultDrainTime;
    return !upstream.leavingSince && acceptsNewWork(upstream, node.now, within);
}

static double priceOf(const Node& node, const Announcement& announced)
{
    if (!node.rules)
        return 1;
    const auto kind = announced.reclaimable ? InstanceKind::Reclaimable : InstanceKind::OnDemand;
    if (const auto stated = platformPrice(node, announced.domain, announced.machine, kind))
        return *stated;
    const auto& prices = node.rules->prices;
    const auto it = std::find_if(prices.begin(), prices.end(), [&](const PriceRule& rule) { return rule.domain == announced.domain && rule.machine == announced.machine && rule.kind == kind; });
    return it == prices.end() ? 1 : it->perHour;
}

static bool isAddressTaken(Node& node, UpstreamId id)
{
    const ForwardTarget* target = findTarget(node.forward.targets, id);
    return target && target->addressTaken;
}

static void updateRouterTarget(Node& node, const Upstream& upstream)
{
    const auto& announced = upstream.announced;
    updateTarget(node.router, {
                                  .id = upstream.id,
                                  .pool = announced.model,
                                  .version = announced.version,
                                  .domain = announced.domain,
                                  .kind = announced.kind,
                                  .role = announced.role,
                                  .incarnation = announced.incarnation,
                                  .acceptsWork = isNewWorkAllowed(node, upstream) && !isEvacuated(node, announced.domain) && !isAddressTaken(node, upstream.id),
                                  .pricePerHour = priceOf(node, announced),
                                  .reclaimRisk = announced.reclaimable ? reclaimableRisk : 0,
                              });
    updateLoad(node.router, upstream.id, announced.load, node.now - loadReportLag);
}

void upstreamChanged(Node& node, UpstreamId id)
{
    if (const Upstream* upstream = findUpstream(node.membership.upstreams, id)) {
        updateForwardTarget(node, *upstream);
        updateRouterTarget(node, *upstream);
        node.upstreamsChanged = true;
        pumpQueue(node, upstream->announced.model);
    }
}

void upstreamRemoved(Node& node, UpstreamId id)
{
    removeTarget(node.router, id);
    removeForwardTarget(node, id);
    node.upstreamsChanged = true;
}

void refreshTargets(Node& node)
{
    for (const auto& [id, upstream] : node.membership.upstreams.entries) {
        updateForwardTarget(node, upstream);
        updateRouterTarget(node, upstream);
    }
    node.nextRefresh = node.now + refreshInterval;
}

void tickReclaims(Node& node)
{
    if (node.now >= node.nextRefresh)
        refreshTargets(node);
    std::vector<CallId> affected;
    for (const auto& [id, call] : node.calls) {
        if (call->stage != CallStage::Answering && call->stage != CallStage::Sent)
            continue;
        const Upstream* upstream = findUpstream(node.membership.upstreams, call->upstream);
        if (upstream && upstream->reclaimAt && node.now + moveMargin >= *upstream->reclaimAt)
            affected.push_back(id);
    }
    std::sort(affected.begin(), affected.end());
    for (const CallId id : affected)
        moveCall(node, id);
}

// Selects the second node for the announcements of an upstream. Nodes of its failure domain are preferred for locality.
// Rendezvous hashing distributes the upstreams over the nodes, so that each node receives announcements of few upstreams.
static std::string secondAnnounceNode(const Node& node, const Announcement& announced)
{
    const uint64_t upstream = hash64(announced.name);
    const Member* best = nullptr;
    std::pair<bool, uint64_t> bestRank;
    for (const auto& [id, member] : node.membership.members) {
        if (!isAlive(node.membership, id) || member.status.draining)
            continue;
        const std::pair<bool, uint64_t> rank { member.identity.domain != announced.domain, combineHash(upstream, id.value) };
        if (best && bestRank <= rank)
            continue;
        best = &member;
        bestRank = rank;
    }
    return best ? best->identity.httpAddress : std::string {};
}

void answerAnnounce(Node& node, const RequestArrived& arrived)
{
    if (arrived.request.method != "POST")
        return refuseRequest(node, arrived.exchange, RefusalCode::MethodNotAllowed, "announcements are sent by POST");
    if (!tokenMatches(arrived.request, node.options.settings.announceTokenSha256))
        return refuseRequest(node, arrived.exchange, RefusalCode::Unauthorized, "the announce token is missing or wrong");
    std::string problem;
    const auto announced = handle([&]() -> Result<Announcement> { return parseAnnouncement(arrived.request.body); },
        [&](const Error& error) { problem = error.detail; return Announcement {}; });
    if (problem.empty() && !parseEndpoint(announced.address))
        problem = "\"address\": expected IP:PORT";
    if (!problem.empty())
        return refuseRequest(node, arrived.exchange, RefusalCode::MalformedRequest, problem);
    const auto upsert = announce(node.membership, node.now, announced, node.membershipOutputs);
    if (upsert == UpsertResult::Collision || upsert == UpsertResult::Full || upsert == UpsertResult::TooLarge)
        return refuseRequest(node, arrived.exchange, RefusalCode::Conflict, "the announcement was refused: " + std::string(nameOf(upsert)));
    if (const Upstream* upstream = findUpstream(node.membership.upstreams, idOfName<UpstreamId>(announced.name)))
        updateRouterTarget(node, *upstream);
    pumpQueue(node, announced.model);
    boost::json::array nodes;
    // Up to two nodes that are not draining. This node is first, so that an upstream keeps announcing itself to the same node.
    if (!node.draining)
        nodes.emplace_back(toString(node.options.settings.http));
    if (const std::string second = secondAnnounceNode(node, announced); !second.empty())
        nodes.emplace_back(second);
    answerJson(node, arrived.exchange, 200, boost::json::serialize(boost::json::object { { "nodes", nodes }, { "interval_ms", announceInterval.value } }));
}

void answerEntries(Node& node, const RequestArrived& arrived)
{
    boost::json::array entries;
    if (!node.draining)
        entries.push_back(boost::json::object { { "address", toString(node.options.settings.http) }, { "domain", node.options.settings.failureDomain } });
    std::vector<std::pair<std::string, std::string>> others;
    for (const auto& [id, member] : node.membership.members) {
        if (isAlive(node.membership, id) && !member.status.draining)
            others.emplace_back(member.identity.httpAddress, member.identity.domain);
    }
    std::sort(others.begin(), others.end());
    for (const auto& [address, domain] : others)
        entries.push_back(boost::json::object { { "address", address }, { "domain", domain } });
    answerJson(node, arrived.exchange, 200, boost::json::serialize(boost::json::object { { "entries", entries }, { "valid_ms", node.options.settings.timings.entryValid.value } }));
}

}
