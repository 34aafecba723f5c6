#include "node/VersionOrderCalls.h"

#include "node/Answers.h"
#include "node/Groups.h"
#include "node/NodeState.h"

#include <algorithm>

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
    if (!nodesWithoutFeature(node, BuildFeaturesFrame::readsOrderVersion).empty())
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

static void proposeOrder(Node& node, const PendingVersionOrder& order, bool isReadable)
{
    const ControlCommand command = isReadable ? ControlCommand(OrderVersion { .order = order.order, .knownSequence = order.knownSequence }) : ControlCommand(order.order);
    const TimeMs waited = node.now - order.arrivedAt;
    proposeCommand(node, decisionGroup, encodeControlCommand(command), (isReadable ? proposeTimeout : undatedTimeout) - waited,
        [order](Node& node, bool applied, const std::string& bytes) { answerOrder(node, order, applied, bytes); });
}

void proposeVersionOrders(Node& node)
{
    if (node.controlCalls.versionOrders.empty())
        return;
    const bool isReadable = nodesWithoutFeature(node, BuildFeaturesFrame::readsOrderVersion).empty();
    for (auto& order : std::exchange(node.controlCalls.versionOrders, {})) {
        const TimeMs waited = node.now - order.arrivedAt;
        if (waited < settleTime || (!isReadable && waited < featuresTimeout))
            node.controlCalls.versionOrders.push_back(std::move(order));
        else
            proposeOrder(node, order, isReadable);
    }
}

}
