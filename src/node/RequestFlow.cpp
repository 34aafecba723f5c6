#include "node/RequestFlow.h"

#include "node/AdminFlow.h"
#include "node/Answers.h"
#include "node/CallFlow.h"
#include "node/FleetFlow.h"
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

void takeRequest(Node& node, const RequestArrived& arrived)
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
    if (path.starts_with("/v1/calls/"))
        return answerCallState(node, arrived);
    if (path.starts_with("/admin/"))
        return answerAdmin(node, arrived);
    acceptCall(node, arrived);
}

}
