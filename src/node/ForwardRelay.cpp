#include "node/ForwardRelay.h"

#include "node/ForwardFlow.h"
#include "node/ForwardReport.h"
#include "node/Peers.h"
#include "node/RegionFlow.h"
#include "node/UpstreamLimits.h"

#include <algorithm>
#include <charconv>

namespace siskinshunt {

// Upstreams that one request finds unreachable before it goes to another entry node.
static constexpr size_t maxUnreachable = 2;
// Entry nodes that one request is sent to.
static constexpr size_t maxRelays = 6;
// Time for which a node that does not reach the upstreams is not asked again. Short, since a network failure can end at any moment.
static constexpr TimeMs initialRelayBackoff { 500 };
static constexpr TimeMs maxRelayBackoff { 1000 };
// A node that has served a request within this time is preferred.
static constexpr TimeMs servedWindow { 5000 };
// Upstreams that are not reached are tried again more often than this.
static constexpr TimeMs unreachedWindow { 10000 };
// Share of the requests that go to nodes of which nothing is known, so that those that have served do not get all the load.
static constexpr double exploringShare = 0.2;
static constexpr const char* unrelayable = "unsent";
static constexpr std::string_view anyReachSuffix = " any";
static constexpr std::string_view fromPrefix = "from ";
static constexpr int maxPossibleExecutions = 100;

std::optional<RelayedRequest> parseRelayed(const Node& node, const HttpRequest& request)
{
    auto text = findHeader(request.headers, node.forward.headers.relayed);
    const bool anyReach = text.ends_with(anyReachSuffix);
    if (anyReach)
        text.remove_suffix(anyReachSuffix.size());
    int n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return RelayedRequest { .possibleExecutions = std::clamp(n, 0, maxPossibleExecutions), .anyReach = anyReach };
}

bool isUnrelayable(const Node& node, const HttpHeaders& headers)
{
    return findHeader(headers, node.forward.headers.relayed) == unrelayable;
}

std::pair<std::string, std::string> unrelayableHeader(const Node& node)
{
    return { node.forward.headers.relayed, unrelayable };
}

std::pair<std::string, std::string> relayedFromHeader(const Node& node, const std::string& upstream)
{
    return { node.forward.headers.relayed, std::string(fromPrefix) + upstream };
}

UpstreamId relayedFrom(const Node& node, const HttpHeaders& headers)
{
    const auto text = findHeader(headers, node.forward.headers.relayed);
    return text.starts_with(fromPrefix) ? idOfName<UpstreamId>(std::string(text.substr(fromPrefix.size()))) : UpstreamId {};
}

ReachedShare reachedShare(const Node& node, const std::string& backend)
{
    const auto& forward = node.forward;
    const auto it = forward.reach.find(backend);
    if (it == forward.reach.end())
        return ReachedShare::Most;
    if (it->second.lost)
        return ReachedShare::None;
    // The upstreams are counted only when there is a reason to.
    return node.now - it->second.unreachedAt <= unreachedWindow ? reachedShare(forward.targets, backend, node.now, forward.choice.staleAfter) : ReachedShare::Most;
}

bool prefersRelay(const Node& node, const ForwardCall& call, ReachedShare reached)
{
    return !call.fromNode && (call.relay || call.unreachable >= maxUnreachable || reached != ReachedShare::Most || lacksPlaces(node, call.backend));
}

// Entry nodes that the request can go to: those that have served lately, or most often, and else the others.
static std::vector<NodeId> relayCandidates(Node& node, const ForwardCall& call)
{
    std::vector<NodeId> served;
    std::vector<NodeId> unknown;
    for (const NodeId id : sendingNodes(node)) {
        if (id == node.self || std::find(call.relays.begin(), call.relays.end(), id) != call.relays.end() || !mayRelayTo(node, call, id))
            continue;
        const auto it = node.forward.relayPeers.find({ id, call.backend });
        const RelayPeer peer = it == node.forward.relayPeers.end() ? RelayPeer {} : it->second;
        if (node.now < peer.backoffUntil)
            continue;
        (node.now - peer.servedAt <= servedWindow ? served : unknown).push_back(id);
    }
    const bool explores = !unknown.empty() && node.random.chance(exploringShare);
    return served.empty() || explores ? unknown : served;
}

bool hasOtherEntryNodes(const Node& node)
{
    const auto nodes = sendingNodes(node);
    return std::any_of(nodes.begin(), nodes.end(), [&](NodeId id) { return id != node.self; });
}

bool canRelay(Node& node, const ForwardCall& call)
{
    return prefersRelay(node, call, reachedShare(node, call.backend)) && call.relays.size() < maxRelays && !relayCandidates(node, call).empty();
}

static HttpRequest relayRequest(const Node& node, const ForwardCall& call)
{
    const auto& names = node.forward.headers;
    HttpRequest out = call.request;
    std::erase_if(out.headers, [&](const auto& it) { return equalHeaderNames(it.first, names.account) || equalHeaderNames(it.first, names.urgency); });
    if (!call.authorization.empty())
        out.headers.emplace_back("Authorization", call.authorization);
    const bool anyReach = reachedShare(node, call.backend) == ReachedShare::None;
    out.headers.emplace_back(names.relayed, std::to_string(call.possibleExecutions) + std::string(anyReach ? anyReachSuffix : std::string_view {}));
    addTimeLeft(out, names, call.deadline - node.now);
    addLastEvent(out, names, call.events.lastEventId());
    return out;
}

bool relayForward(Node& node, ForwardCall& call)
{
    if (call.relays.size() >= maxRelays)
        return false;
    const auto candidates = relayCandidates(node, call);
    if (candidates.empty())
        return false;
    const NodeId to = candidates[node.random.below(candidates.size())];
    const Member* member = findMember(node.membership, to);
    if (!member)
        return false;
    // The other node charges the allowance.
    if (call.charged && !call.possibleExecutions)
        refundCall(node, call);
    call.target = {};
    call.relay = to;
    call.relays.push_back(to);
    call.expectedWait = {};
    call.tokensBeforeFirstEvent = 0;
    call.expectedOutput = 0;
    node.counters.add("forward_relayed");
    addLog(node, LogLevel::Info, "forward_relayed", Step::Route, member->identity.name, "sent by way of another entry node, which may reach more upstreams",
        { { "request", call.requestId }, { "backend", call.backend }, { "unreachable", std::to_string(call.unreachable) }, { "relays", std::to_string(call.relays.size()) } });
    dispatchAttempt(node, call, { .name = member->identity.name, .address = member->identity.httpAddress, .request = relayRequest(node, call) });
    return true;
}

void recordRelayServed(Node& node, const ForwardCall& call)
{
    node.forward.relayPeers[{ call.relay, call.backend }] = { .servedAt = node.now, .backoffUntil = {}, .backoff = {} };
}

void recordRelayFailure(Node& node, const ForwardCall& call)
{
    node.counters.add("forward_relay_failures");
    auto& peer = node.forward.relayPeers[{ call.relay, call.backend }];
    peer.backoff = std::clamp(peer.backoff * 2, initialRelayBackoff, maxRelayBackoff);
    peer.backoffUntil = node.now + peer.backoff;
    peer.servedAt = {};
}

void forgetRelayFailures(Node& node, const std::string& backend)
{
    std::erase_if(node.forward.relayPeers, [&](const auto& it) { return it.first.second == backend && it.second.backoffUntil > TimeMs {}; });
}

void expireRelayPeers(Node& node)
{
    std::erase_if(node.forward.relayPeers, [&](const auto& it) { return node.now - std::max(it.second.servedAt, it.second.backoffUntil) > servedWindow; });
}

}
