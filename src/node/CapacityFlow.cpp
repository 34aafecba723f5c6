#include "node/CapacityFlow.h"

#include "node/CapacityView.h"
#include "node/ExplainFlow.h"
#include "node/Groups.h"
#include "node/PlatformPoll.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

static constexpr TimeMs planInterval { 10000 };
static constexpr TimeMs proposalTimeout { 5000 };
// A new leader waits for upstream announcements and demand reports before it plans; nodes report once a second.
static constexpr TimeMs settleDelay { 3000 };
static constexpr TimeMs savingsDelay { 300000 };
static const std::string subjectPrefix = "instance/";

static std::string startAction() { return std::string(nameOf(OrderKind::StartInstance)); }
static std::string stopAction() { return std::string(nameOf(OrderKind::StopInstance)); }
static bool isStart(const Intent& intent) { return intent.kind == IntentKind::Capacity && intent.action == startAction(); }
static bool isStop(const Intent& intent) { return intent.kind == IntentKind::Capacity && intent.action == stopAction(); }

static InstanceKind kindOf(bool reclaimable)
{
    return reclaimable ? InstanceKind::Reclaimable : InstanceKind::OnDemand;
}

// The rule that allows an instance. The decision log keeps no copy of it, so it is looked up in the rules in force.
static RuleOrigin ruleOf(const Node& node, const PoolKey& pool)
{
    for (const auto& rule : node.rules->instances) {
        if (rule.model == pool.model && rule.domain == pool.domain && rule.machine == pool.machine && (!rule.kind || *rule.kind == pool.kind))
            return rule.origin;
    }
    return {};
}

namespace {

    /// A decision about an instance, for the log and for the explain endpoint.
    struct InstanceDecision {
        LogLevel level = LogLevel::Info;
        DecisionCode code = DecisionCode::StartInstance;
        std::string logCode;
    };

}

static void recordDecision(Node& node, const InstanceDecision& decision, const std::string& instance, const PoolKey& pool, const std::string& text)
{
    const auto& [level, decisionCode, code] = decision;
    const auto rule = ruleOf(node, pool);
    explain(node, decisionCode, { { SubjectKind::Instance, instance } }, referenceTo(rule), code + ": " + text);
    addLog(node, level, code, Step::Order, instance, text,
        { { "model", pool.model }, { "domain", pool.domain }, { "machine", pool.machine }, { "kind", std::string(nameOf(pool.kind)) },
            { "epoch", std::to_string(node.leader.epoch) }, { "rule_line", std::to_string(rule.line) }, { "asked_by", rule.person } });
}

static PoolKey poolOf(const Intent& intent)
{
    return { intent.model, intent.domain, intent.machine, kindOf(intent.reclaimable) };
}

static PoolKey poolOf(const Order& order)
{
    return { order.model, order.domain, order.machine, kindOf(order.reclaimable) };
}

// Ids stay unique even if a cluster is bootstrapped again and its epochs restart from the first.
static std::string idPrefix(const Node& node)
{
    return "i" + std::to_string(node.leader.epoch) + "-" + std::to_string(node.decisionLog.epochAt.value);
}

static void restoreIntents(Node& node)
{
    auto& capacity = node.leader.capacity;
    if (capacity.epoch == node.leader.epoch)
        return;
    capacity = CapacityState {};
    capacity.epoch = node.leader.epoch;
    capacity.restoredAt = node.now;
    capacity.planner.options.idPrefix = idPrefix(node);
    capacity.planner.options.savingsDelay = savingsDelay;
    for (const auto& intent : openIntents(node.decisionLog)) {
        if (isStart(intent))
            restoreStart(capacity.planner, node.now, intent.target, poolOf(intent), ruleOf(node, poolOf(intent)));
        if (isStop(intent))
            capacity.planner.stops[intent.target] = node.now;
    }
}

static void propose(Node& node, const std::string& id, const ControlCommand& command, std::function<void(Node&)> accepted)
{
    auto& capacity = node.leader.capacity;
    if (!capacity.pendingProposals.insert(id).second)
        return;
    const uint64_t epoch = capacity.epoch;
    proposeCommand(node, decisionGroup, encodeControlCommand(command), proposalTimeout, [id, epoch, accepted = std::move(accepted)](Node& node, bool applied, const std::string& reply) {
        if (node.leader.capacity.epoch != epoch)
            return;
        node.leader.capacity.pendingProposals.erase(id);
        const auto decoded = applied ? decodeControlReply(reply) : std::nullopt;
        if (decoded && decoded->outcome == ControlOutcome::Accepted)
            return accepted(node);
        addLog(node, LogLevel::Warning, "instance_intent_not_recorded", Step::Propose, id, decoded ? std::string(nameOf(decoded->outcome)) : "not known to be applied");
    });
}

static void openIntent(Node& node, Intent intent)
{
    if (node.decisionLog.intents.contains(intent.id))
        return;
    intent.kind = IntentKind::Capacity;
    intent.created = node.now;
    intent.epoch = node.leader.epoch;
    const OpenIntent command { .epoch = node.leader.epoch, .intent = intent };
    propose(node, intent.id, command, [intent](Node& node) {
        const bool start = isStart(intent);
        recordDecision(node, { LogLevel::Info, start ? DecisionCode::StartInstance : DecisionCode::StopInstance, start ? "instance_start_ordered" : "instance_stop_ordered" }, intent.target, poolOf(intent), intent.detail);
    });
}

static void closeIntent(Node& node, const Intent& intent, const InstanceDecision& decision, const std::string& detail)
{
    const auto state = decision.level == LogLevel::Info ? IntentState::Confirmed : IntentState::Failed;
    propose(node, intent.id, CloseIntent { .id = intent.id, .state = state, .detail = detail }, [intent, decision, detail](Node& node) {
        recordDecision(node, decision, intent.target, poolOf(intent), detail);
    });
}

static const OutstandingOrder* findOrder(const Node& node, const std::string& id)
{
    const auto it = node.leader.orders.orders.find(id);
    return it == node.leader.orders.orders.end() ? nullptr : &it->second;
}

// Whether the instance is missing from a list that was requested after the stop was sent.
static bool isStopped(const Node& node, const Intent& intent)
{
    const auto& capacity = node.leader.capacity;
    const auto* order = findOrder(node, intent.id);
    if (!order || order->state != OrderState::Accepted || !capacity.instancesAt || *capacity.instancesAt <= order->sentAt)
        return false;
    return std::none_of(capacity.instances.begin(), capacity.instances.end(), [&](const PlatformInstance& it) {
        return it.id == intent.target && it.state != PlatformState::Stopped;
    });
}

static void closeStart(Node& node, const Intent& intent, bool superseded)
{
    const auto* order = findOrder(node, intent.id);
    if (superseded)
        return closeIntent(node, intent, { LogLevel::Warning, DecisionCode::StartInstance, "instance_start_given_up" }, "a stop of the instance is recorded");
    if (findUpstream(node.membership.upstreams, idOfName<UpstreamId>(intent.target))) {
        recordStartTime(node, intent.machine, intent.model, node.now - intent.created);
        return closeIntent(node, intent, { LogLevel::Info, DecisionCode::StartInstance, "instance_started" }, "announces itself");
    }
    if (order && order->state == OrderState::Refused)
        closeIntent(node, intent, { LogLevel::Warning, DecisionCode::StartRefused, "instance_start_refused" }, "the platform refused the start");
}

static void closeStop(Node& node, const Intent& intent)
{
    const auto* order = findOrder(node, intent.id);
    if (isStopped(node, intent))
        return closeIntent(node, intent, { LogLevel::Info, DecisionCode::StopInstance, "instance_stopped" }, "no longer listed by the platform");
    if (order && order->state == OrderState::Refused)
        closeIntent(node, intent, { LogLevel::Warning, DecisionCode::StopInstance, "instance_stop_refused" }, "the platform refused the stop");
}

static std::set<std::string> stopTargets(const Node& node, bool onlyOpen)
{
    std::set<std::string> out;
    for (const auto& [id, intent] : node.decisionLog.intents) {
        if (isStop(intent) && (!onlyOpen || intent.state == IntentState::Open))
            out.insert(intent.target);
    }
    return out;
}

static void closeIntents(Node& node)
{
    const auto stopped = stopTargets(node, false);
    for (const auto& intent : openIntents(node.decisionLog)) {
        if (node.leader.capacity.pendingProposals.contains(intent.id))
            continue;
        if (isStart(intent))
            closeStart(node, intent, stopped.contains(intent.target));
        if (isStop(intent))
            closeStop(node, intent);
    }
}

// An instance can be stopped again after a confirmed stop, so each stop gets its own number.
static std::string stopId(const Node& node, const std::string& instance)
{
    for (int n = 1;; ++n) {
        std::string id = "stop-" + std::to_string(n) + "-" + instance;
        const auto it = node.decisionLog.intents.find(id);
        if (it == node.decisionLog.intents.end() || it->second.state == IntentState::Open)
            return id;
    }
}

static Intent intentOf(const PoolKey& pool, const std::string& instance, OrderKind kind, std::string reason)
{
    Intent intent;
    intent.id = instance;
    intent.action = std::string(nameOf(kind));
    intent.target = instance;
    intent.domain = pool.domain;
    intent.machine = pool.machine;
    intent.reclaimable = pool.kind == InstanceKind::Reclaimable;
    intent.model = pool.model;
    intent.detail = std::move(reason);
    return intent;
}

// Planned actions are recorded in the decision log before they are ordered; lost commands are proposed again.
static void recordPlannedIntents(Node& node)
{
    auto& capacity = node.leader.capacity;
    for (const auto& [id, start] : capacity.planner.starts) {
        if (node.decisionLog.intents.contains(id))
            continue;
        Intent intent = intentOf(start.pool, id, OrderKind::StartInstance, "the plan needs it");
        intent.version = versionToStart(node, start.pool.model);
        openIntent(node, std::move(intent));
    }
    const auto open = stopTargets(node, true);
    std::erase_if(capacity.pendingStops, [&](const auto& entry) { return open.contains(entry.first); });
    for (const auto& [instance, wanted] : capacity.pendingStops) {
        Intent intent = intentOf(wanted.pool, instance, OrderKind::StopInstance, wanted.reason);
        intent.id = stopId(node, instance);
        openIntent(node, std::move(intent));
    }
}

static void reportNotes(Node& node, const CapacityOutputs& outputs)
{
    std::set<std::string> current;
    for (const auto& note : outputs.notes) {
        const std::string key = note.code + "/" + note.instance + "/" + note.text;
        if (!node.leader.capacity.reportedNotes.contains(key)) {
            explain(node, note.code == "shortfall" ? DecisionCode::Shortfall : DecisionCode::StartInstance, { { SubjectKind::Instance, note.instance } }, {}, note.text);
            addLog(node, LogLevel::Warning, "instance_" + note.code, Step::Order, note.instance, note.text, { { "epoch", std::to_string(node.leader.epoch) } });
        }
        current.insert(key);
    }
    node.leader.capacity.reportedNotes = std::move(current);
}

static void plan(Node& node)
{
    auto& capacity = node.leader.capacity;
    const bool newRules = capacity.plannedRevision != node.rules->revision;
    if (!hasFreshInstances(node) || node.now - capacity.restoredAt < settleDelay || (node.now < capacity.nextPlan && !newRules))
        return;
    capacity.nextPlan = node.now + planInterval;
    capacity.plannedRevision = node.rules->revision;
    const auto outputs = planCapacity(capacity.planner, node.now, capacityInputs(node));
    reportNotes(node, outputs);
    for (const auto& intent : outputs.intents) {
        if (intent.kind == InstanceAction::Stop)
            capacity.pendingStops[intent.id] = { intent.pool, intent.reason };
    }
}

static Order orderOf(const Node& node, const Intent& intent)
{
    Order order;
    order.id = intent.id;
    order.kind = isStart(intent) ? OrderKind::StartInstance : OrderKind::StopInstance;
    order.checksFencing = node.options.settings.platform.checksFencing;
    order.subject = subjectPrefix + intent.target;
    order.model = intent.model;
    order.version = intent.version;
    order.domain = intent.domain;
    order.machine = intent.machine;
    order.reclaimable = intent.reclaimable;
    return order;
}

// Orders recorded intents only. A start with a later stop is skipped: its order would supersede the stop.
static void addRecordedOrders(Node& node)
{
    const auto stopping = stopTargets(node, true);
    for (const auto& intent : openIntents(node.decisionLog)) {
        if (isStop(intent) || (isStart(intent) && !stopping.contains(intent.target)))
            addOrder(node.leader.orders, orderOf(node, intent), node.now);
    }
}

void tickCapacity(Node& node)
{
    if (node.options.settings.platform.address.empty() || !node.rules || !node.leader.epoch)
        return;
    restoreIntents(node);
    pollPlatform(node);
    closeIntents(node);
    plan(node);
    recordPlannedIntents(node);
    addRecordedOrders(node);
}

UpstreamDispatch platformDispatch(const Node& node, const Order& order)
{
    const bool start = order.kind == OrderKind::StartInstance;
    const std::string instance = order.subject.substr(subjectPrefix.size());
    boost::json::object body { { "id", instance }, { "epoch", order.fencing.epoch }, { "sequence", order.fencing.sequence } };
    if (start) {
        body["domain"] = order.domain;
        body["machine"] = order.machine;
        body["kind"] = nameOf(kindOf(order.reclaimable));
        body["model"] = order.model;
        body["version"] = order.version;
    }
    UpstreamDispatch dispatch;
    dispatch.address = node.options.settings.platform.address;
    dispatch.request = { start ? "POST" : "DELETE", start ? "/instances" : "/instances/" + instance, { { "Content-Type", "application/json" } }, boost::json::serialize(body) };
    return dispatch;
}

OrderAnswer platformAnswer(const Order& order, uint16_t status)
{
    if (status == 409)
        return OrderAnswer::StaleFencingToken;
    if (order.kind == OrderKind::StopInstance && status == 404)
        return OrderAnswer::Accepted;
    if (status < 300)
        return OrderAnswer::Accepted;
    // A start that fails for lack of capacity is planned again elsewhere instead of being retried.
    const bool later = status == 429 || (order.kind == OrderKind::StopInstance && status >= 500);
    return later ? OrderAnswer::Busy : OrderAnswer::Refused;
}

void handlePlatformAnswer(Node& node, const std::string& id, OrderAnswer answer)
{
    auto& capacity = node.leader.capacity;
    const auto* order = findOrder(node, id);
    if (!order || order->order.kind != OrderKind::StartInstance)
        return;
    if (answer == OrderAnswer::Accepted)
        return handleStartAccepted(capacity.planner, node.now, id);
    if (answer != OrderAnswer::Refused || order->state != OrderState::Refused)
        return;
    CapacityOutputs outputs;
    handleStartRefused(capacity.planner, node.now, id, outputs);
    for (const auto& note : outputs.notes)
        recordDecision(node, { LogLevel::Warning, DecisionCode::StartRefused, "instance_backed_off" }, id, poolOf(order->order), note.text);
    capacity.nextPlan = node.now;
}

bool isStarted(const Node& node, const Order& order)
{
    return order.kind == OrderKind::StartInstance && findUpstream(node.membership.upstreams, idOfName<UpstreamId>(order.id));
}

}
