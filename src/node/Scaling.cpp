#include "node/Scaling.h"

#include "forward/FleetPlan.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

static constexpr TimeMs stepInterval { 1000 };
// Minimum duration of the load history before the fleet is scaled down.
static constexpr TimeMs minHistory { 5000 };
// Smoothing weight of one reported prefill rate; averages over about ten reports.
static constexpr double rateSmoothingWeight = 0.1;
static constexpr TimeMs orderInterval { 200 };
// An order that the platform refused is repeated after this time; until then, reclaimable instances count as unavailable.
static constexpr TimeMs refusedRetryDelay { 4000 };
// Time for the instances started by an order to announce themselves.
static constexpr TimeMs settleDelay { 4000 };
// Silence after which an instance counts as lost. Longer than for new work, since the instance that replaces it costs money.
static constexpr TimeMs replaceAfter { 6000 };

void recordBackendDemand(Node& node, NodeId from, const ForwardLoadFrame& frame)
{
    for (const auto& [backend, total] : frame.toRead) {
        auto& demand = node.duties.demand[backend];
        const auto [it, isNew] = demand.totals.try_emplace(from, total);
        if (!demand.firstReportAt.value)
            demand.firstReportAt = demand.updatedAt = node.now;
        // A lower total means that the node has restarted.
        if (!isNew)
            demand.tokens += total < it->second ? total : total - it->second;
        it->second = total;
        if (frame.tokensPerMs > 0)
            demand.estimate.tokensPerMs += (static_cast<double>(frame.tokensPerMs) - demand.estimate.tokensPerMs) * (demand.estimate.tokensPerMs > 0 ? rateSmoothingWeight : 1);
    }
}

static std::map<std::string, DomainFleet> presentFleet(const Node& node, const std::string& backend)
{
    std::map<std::string, DomainFleet> out;
    const auto& targets = node.forward.targets;
    const auto ids = targets.byBackend.find(backend);
    if (ids == targets.byBackend.end())
        return out;
    for (const UpstreamId id : ids->second) {
        const ForwardTarget& target = targets.entries.at(id);
        // Nothing is ordered in an evacuated domain; what runs there is kept for its end.
        if (target.evacuated)
            continue;
        auto& fleet = out[target.domain];
        if (target.leaving || node.now - target.lastSeen >= replaceAfter)
            continue;
        ++(target.reclaimable ? fleet.reclaimable : fleet.onDemand);
        if (isCold(target.limit, node.now))
            ++(target.reclaimable ? fleet.coldReclaimable : fleet.coldOnDemand);
    }
    return out;
}

// Formats the fleet as "DOMAIN ON_DEMAND+RECLAIMABLE" for each domain.
static std::string fleetText(const std::map<std::string, DomainFleet>& present)
{
    std::string out;
    for (const auto& [domain, fleet] : present)
        out += (out.empty() ? "" : ", ") + domain + " " + std::to_string(fleet.onDemand) + "+" + std::to_string(fleet.reclaimable);
    return out;
}

static double runningRequests(const Node& node, const std::string& backend)
{
    double running = 0;
    for (const auto& [id, target] : node.forward.targets.entries) {
        if (target.backend == backend)
            running += target.own.running + target.others.running;
    }
    return running;
}

static void stepDemand(Node& node, const FleetPlanOptions& options, const BackendRule& backend, const std::map<std::string, DomainFleet>& present, BackendDemand& demand)
{
    const double seconds = (node.now - demand.updatedAt).seconds();
    if (seconds < stepInterval.seconds())
        return;
    demand.updatedAt = node.now;
    updateEstimate(demand.estimate, std::exchange(demand.tokens, 0), seconds);
    const FleetDemand load { promptTokensPerSecond(demand.estimate), runningRequests(node, backend.name), planningTokensPerMs(demand.estimate) };
    const double busy = busyEngines(options, backend, load);
    addLog(node, LogLevel::Info, "load_estimated", Step::Order, backend.name, "estimated number of engines busy with the load",
        { { "busy", std::to_string(busy) }, { "read_per_s", std::to_string(load.promptTokensPerSecond) }, { "running", std::to_string(load.running) }, { "tokens_per_ms", std::to_string(load.tokensPerMs) }, { "learnt_tokens_per_ms", std::to_string(demand.estimate.tokensPerMs) }, { "fleet", fleetText(present) } });
    demand.busy = std::max(busy, demand.busy * std::exp(-seconds / options.peakTimeConstant.seconds()));
}

static bool isReclaimableAvailable(const Node& node, const std::string& backend)
{
    const auto it = node.duties.supplyRefusedAt.find(backend);
    return it == node.duties.supplyRefusedAt.end() || node.now - it->second > refusedRetryDelay;
}

// Returns the order that brings one kind of instance in one domain to the planned count, if it is due.
static std::optional<ScaleOrder> orderFor(const Node& node, ScaleOrder key, uint32_t wanted, uint32_t present)
{
    const auto it = node.duties.submittedOrders.find(key);
    const bool isNew = it == node.duties.submittedOrders.end();
    if (isNew && wanted == present)
        return std::nullopt;
    if (!isNew) {
        const auto& last = it->second;
        const TimeMs age = node.now - last.at;
        const bool same = last.wanted == wanted;
        if (!last.accepted && age < refusedRetryDelay)
            return std::nullopt;
        if (last.accepted && same && (present == wanted || age < settleDelay * 2))
            return std::nullopt;
        // Scaling down is delayed, since the load may return.
        if (last.accepted && wanted < last.wanted && age < settleDelay * 2)
            return std::nullopt;
    }
    key.wanted = wanted;
    return key;
}

// Before any load is known: orders reclaimable instances for the share of the fleet that they will replace, so that they
// have started by the time on-demand instances are stopped.
static std::optional<ScaleOrder> initialOrder(const Node& node, const FleetPlanOptions& options, const BackendRule& backend, const std::map<std::string, DomainFleet>& present)
{
    if (!isReclaimableAvailable(node, backend.name))
        return std::nullopt;
    for (const auto& [domain, fleet] : present) {
        const auto wanted = static_cast<uint32_t>(fleet.onDemand * (1 - options.onDemandFactor / options.capacityFactor));
        const ScaleOrder key { .backend = backend.name, .domain = domain, .reclaimable = true };
        if (wanted && !fleet.reclaimable && wanted + fleet.onDemand <= backend.maxInstances && !node.duties.submittedOrders.contains(key))
            return ScaleOrder { .backend = backend.name, .domain = domain, .wanted = wanted, .reclaimable = true };
    }
    return std::nullopt;
}

// Limits the reduction of a large fleet per order: the load may rise again, and instances take seconds to start. Cold instances are kept
// besides those that are wanted, so that as many of the others stay.
static uint32_t limitScaleDown(uint32_t wanted, uint32_t present, uint32_t cold)
{
    const uint32_t maxReduction = std::max(2U, present / 3);
    const uint32_t kept = wanted < present ? std::min(present, wanted + cold) : wanted;
    return std::max(kept, present > maxReduction ? present - maxReduction : 0);
}

static std::optional<ScaleOrder> dueOrderOf(Node& node, const BackendRule& backend)
{
    static constexpr FleetPlanOptions options {};
    const auto present = presentFleet(node, backend.name);
    const bool reclaimableAvailable = isReclaimableAvailable(node, backend.name);
    const auto it = node.duties.demand.find(backend.name);
    if (it == node.duties.demand.end())
        return initialOrder(node, options, backend, present);
    stepDemand(node, options, backend, present, it->second);
    const bool canScaleDown = node.now - it->second.firstReportAt >= minHistory;
    const auto plan = planFleet(options, backend, it->second.busy, present, reclaimableAvailable);
    // Increases come first, so that replacements are ordered before instances are stopped.
    for (const bool more : { true, false }) {
        if (!more && !canScaleDown)
            break;
        for (const auto& [domain, wanted] : plan) {
            const auto& fleet = present.at(domain);
            for (const bool reclaimable : { true, false }) {
                const uint32_t now = reclaimable ? fleet.reclaimable : fleet.onDemand;
                const uint32_t n = limitScaleDown(reclaimable ? wanted.reclaimable : wanted.onDemand, now, reclaimable ? fleet.coldReclaimable : fleet.coldOnDemand);
                if ((n > now) != more || (reclaimable && !reclaimableAvailable))
                    continue;
                if (auto order = orderFor(node, { .backend = backend.name, .domain = domain, .reclaimable = reclaimable }, n, now))
                    return order;
            }
        }
    }
    return std::nullopt;
}

std::optional<ScaleOrder> dueScaleOrder(Node& node)
{
    if (!node.rules)
        return std::nullopt;
    for (const auto& backend : node.rules->backends) {
        if (!backend.maxInstances)
            continue;
        if (auto order = dueOrderOf(node, backend))
            return order;
    }
    return std::nullopt;
}

void handleScaleResponse(Node& node, uint16_t status)
{
    auto& duties = node.duties;
    const bool accepted = status >= 200 && status < 300;
    duties.nextScale = node.now + orderInterval;
    ScaleOrder key = duties.scaleOrder;
    key.wanted = 0;
    duties.submittedOrders[key] = { duties.scaleOrder.wanted, node.now, accepted };
    if (key.reclaimable && !accepted)
        duties.supplyRefusedAt[key.backend] = node.now;
    addLog(node, accepted ? LogLevel::Info : LogLevel::Warning, "instances_answered", Step::Order, key.backend, key.domain, { { "status", std::to_string(status) }, { "wanted", std::to_string(duties.scaleOrder.wanted) }, { "reclaimable", key.reclaimable ? "yes" : "no" } });
}

}
