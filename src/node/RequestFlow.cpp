#include "node/RequestFlow.h"

#include "node/AdminFlow.h"
#include "node/Answers.h"
#include "node/CallFlow.h"
#include "node/ControlCalls.h"
#include "node/FleetFlow.h"
#include "node/ForwardFlow.h"
#include "node/Metrics.h"
#include "node/OnceFlow.h"

namespace siskinshunt {

static bool isReady(const Node& node)
{
    return node.rules && !node.draining;
}

static void answerReady(Node& node, const RequestArrived& arrived)
{
    const bool ready = isReady(node);
    const char* reason = node.draining ? "draining" : "no rules yet";
    answerJson(node, arrived.exchange, ready ? 200 : 503, ready ? R"({"ready":true})" : std::string(R"({"ready":false,"reason":")") + reason + "\"}");
}

static void handleMainRequest(Node& node, const RequestArrived& arrived)
{
    const auto path = pathOf(arrived.request.target);
    if (path == "/health")
        return answerJson(node, arrived.exchange, 200, R"({"alive":true})");
    if (path == "/ready")
        return answerReady(node, arrived);
    if (path == "/metrics")
        return answerMetrics(node, arrived);
    if (path == "/v1/entries")
        return answerEntries(node, arrived);
    if (path == "/v1/announce")
        return answerAnnounce(node, arrived);
    if (!node.options.settings.ledgerGroups && !path.starts_with("/admin/"))
        return refuseRequest(node, arrived.exchange, RefusalCode::UnknownRoute, "this node takes no model calls: it has no ledger groups");
    if (path.starts_with("/v1/calls/"))
        return answerCallState(node, arrived);
    if (path.starts_with("/admin/"))
        return answerAdmin(node, arrived);
    acceptCall(node, arrived);
}

void handleRequest(Node& node, RequestArrived&& arrived)
{
    switch (arrived.listener) {
    case ListenerKind::Main:
        return handleMainRequest(node, arrived);
    case ListenerKind::Forward:
        return acceptForward(node, std::move(arrived));
    case ListenerKind::Ready:
        return answerReady(node, arrived);
    case ListenerKind::Control:
    case ListenerKind::Directory:
        return handleControlCall(node, arrived);
    }
}

}
