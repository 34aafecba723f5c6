#include "node/VersionOrderCalls.h"

#include "node/Answers.h"
#include "node/Groups.h"
#include "node/NodeState.h"

#include <algorithm>
#include <set>

namespace siskinshunt {

// The operator's connection may be closed by then: its end arrives one round trip after an order that was sent again on its way here.
static constexpr TimeMs settleTime { 50 };
// Safe, since a copy that is committed late is rejected as stale.
static constexpr TimeMs proposeTimeout { 2500 };
// Operators repeat an order elsewhere after 1 s, and earlier builds apply a copy that is committed later.
static constexpr TimeMs undatedTimeout { 900 };

// A voter knows the decision log, other nodes the view that is derived from it.
static uint64_t knownSequence(const Node& node, const std::string& backend)
{
    const auto& orders = node.groups.contains(decisionGroup) ? node.decisionLog.versionOrders : node.versionOrders.orders;
    const auto it = orders.find(backend);
    return it == orders.end() ? 0 : it->second.sequence;
}

void orderVersion(Node& node, ExchangeId exchange, StartVersionOrder order)
{
    if (!nodesWithoutFeature(node, BuildFeaturesFrame::readsOrderVersionAmong).empty())
        askFeatures(node);
    const uint64_t known = knownSequence(node, order.backend);
    node.controlCalls.versionOrders.push_back({ .exchange = exchange, .order = std::move(order), .knownSequence = known, .arrivedAt = node.now });
}

void dropVersionOrder(Node& node, ExchangeId exchange)
{
    std::erase_if(node.controlCalls.versionOrders, [&](const PendingVersionOrder& it) {
        if (it.exchange != exchange)
            return false;
        addLog(node, LogLevel::Info, "order_given_up", Step::Receive, it.order.backend, "the operator has disconnected before the order was proposed", { { "target", it.order.target } });
        return true;
    });
}

// Versions of which this node knows upstreams, also leaving ones.
static std::vector<std::string> presentVersions(const Node& node, const std::string& backend)
{
    std::set<std::string> versions;
    const auto ids = node.forward.targets.byBackend.find(backend);
    if (ids != node.forward.targets.byBackend.end()) {
        for (const UpstreamId id : ids->second)
            versions.insert(node.forward.targets.entries.at(id).version);
    }
    while (versions.size() > OrderVersionAmong::maxPresent)
        versions.erase(std::prev(versions.end()));
    return { versions.begin(), versions.end() };
}

static void answerOrder(Node& node, const PendingVersionOrder& order, bool applied, const std::string& bytes)
{
    const auto reply = applied ? decodeControlReply(bytes) : std::nullopt;
    const std::string what = "version " + order.order.target + " of " + order.order.backend;
    if (!reply)
        return answerUnavailable(node, order.exchange, what + " is not known to be committed");
    addLog(node, LogLevel::Info, "control_committed", Step::Propose, what, std::string(nameOf(reply->outcome)), { { "detail", reply->detail }, { "known_sequence", std::to_string(order.knownSequence) } });
    if (reply->outcome != ControlOutcome::Stale)
        return answerControlReply(node, order.exchange, *reply);
    addLog(node, LogLevel::Warning, "order_refused_as_old", Step::Propose, order.order.backend, reply->detail, { { "target", order.order.target }, { "waited_ms", std::to_string((node.now - order.arrivedAt).value) } });
    answerUnavailable(node, order.exchange, "not ordered, " + reply->detail);
}

// The command of the newest form that all nodes with a data folder read.
static ControlCommand commandOf(const Node& node, const PendingVersionOrder& order)
{
    if (!nodesWithoutFeature(node, BuildFeaturesFrame::readsOrderVersion).empty())
        return order.order;
    const OrderVersion dated { .order = order.order, .knownSequence = order.knownSequence };
    if (!nodesWithoutFeature(node, BuildFeaturesFrame::readsOrderVersionAmong).empty())
        return dated;
    return OrderVersionAmong { .order = dated, .present = presentVersions(node, order.order.backend) };
}

static void proposeOrder(Node& node, const PendingVersionOrder& order)
{
    const ControlCommand command = commandOf(node, order);
    const bool isDated = !std::holds_alternative<StartVersionOrder>(command);
    const TimeMs waited = node.now - order.arrivedAt;
    proposeCommand(node, decisionGroup, encodeControlCommand(command), (isDated ? proposeTimeout : undatedTimeout) - waited,
        [order](Node& node, bool applied, const std::string& bytes) { answerOrder(node, order, applied, bytes); });
}

void proposeVersionOrders(Node& node)
{
    if (node.controlCalls.versionOrders.empty())
        return;
    const bool isReadable = nodesWithoutFeature(node, BuildFeaturesFrame::readsOrderVersionAmong).empty();
    for (auto& order : std::exchange(node.controlCalls.versionOrders, {})) {
        const TimeMs waited = node.now - order.arrivedAt;
        if (waited < settleTime || (!isReadable && waited < featuresTimeout))
            node.controlCalls.versionOrders.push_back(std::move(order));
        else
            proposeOrder(node, order);
    }
}

}
