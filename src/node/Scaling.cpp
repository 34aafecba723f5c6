#include "node/Scaling.h"

#include <algorithm>

namespace siskinshunt {

// An order that the platform could not meet is repeated after this time.
static constexpr TimeMs refusedRetry { 1000 };
static constexpr TimeMs orderPause { 200 };
// The same order is not repeated before a started instance could have announced itself.
static constexpr TimeMs settleTime { 3000 };

namespace {

    struct Present {
        uint32_t reclaimable = 0;
        uint32_t onDemand = 0;
    };

}

static std::map<std::string, Present> presentByDomain(const Node& node, const std::string& backend)
{
    std::map<std::string, Present> out;
    const auto& targets = node.forward.targets;
    const auto ids = targets.byBackend.find(backend);
    if (ids == targets.byBackend.end())
        return out;
    for (const UpstreamId id : ids->second) {
        const ForwardTarget& target = targets.entries.at(id);
        auto& present = out[target.domain];
        if (!target.leaving && node.now - target.lastSeen < node.forward.choice.staleAfter)
            ++(target.reclaimable ? present.reclaimable : present.onDemand);
    }
    return out;
}

std::optional<ScaleOrder> dueScaleOrder(Node& node)
{
    (void)node;
    (void)presentByDomain;
    (void)settleTime;
    return std::nullopt;
}

void scaleAnswered(Node& node, uint16_t status)
{
    auto& duties = node.duties;
    const bool accepted = status >= 200 && status < 300;
    duties.nextScale = node.now + (accepted ? orderPause : refusedRetry);
    ScaleOrder key = duties.scaleOrder;
    key.wanted = 0;
    duties.scaled[key] = node.now;
    addLog(node, accepted ? LogLevel::Info : LogLevel::Warning, "instances_answered", Step::Order, key.backend, key.domain, { { "status", std::to_string(status) }, { "wanted", std::to_string(duties.scaleOrder.wanted) } });
}

}
