#include "bench/MovesModel.h"

#include "control/DecisionLog.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>

namespace siskinshunt {

static constexpr TimeMs startAt { 1000000000 };
static constexpr std::array<double, 4> routeWeights { 0.60, 0.25, 0.12, 0.03 };
static constexpr std::array<const char*, 4> routeNames { "plans", "crew", "scripts", "rare" };
static constexpr uint32_t oldRunnerCount = 10;
static constexpr size_t nodeCount = 4;
static constexpr double oldErrors = 0.005;
static constexpr TimeMs runnerStart { 30000 };

struct ModelNode {
    NodeId id;
    VersionCircuitBreaker breaker;
    MoveDirective inForce;
    std::deque<std::pair<TimeMs, MoveDirective>> arriving;
    Evidence pending;
    TimeMs deadUntil;
    TimeMs cutOffUntil;
};

struct Model {
    MovesModelOptions options;
    Random random;
    RuleSet rules;
    MoveController controller;
    DecisionLog log;
    uint64_t term = 1;
    uint32_t requestedNewRunners = 0; ///< Highest number of runners of the new version that the controller has ordered.
    std::array<ModelNode, nodeCount> nodes;
    std::vector<MoveRunner> runners;
    std::vector<std::pair<TimeMs, uint32_t>> starting; ///< Start time and desired count of new runners.
    TimeMs now = startAt;
    TimeMs noiseUntil;
    double newErrors = oldErrors;
    double newLatencyFactor = 1;
    size_t badRoute = 0;
    std::optional<TimeMs> faultAt;
    std::array<double, 2> load {}; ///< Smoothed requests/s per runner of the old and the new version.
    std::array<uint64_t, 2> sentThisSecond {};
    uint64_t faultyRequests = 0; ///< Requests that failed or were slowed because of the fault.
    std::deque<std::pair<uint64_t, uint64_t>> baselineMinute; ///< Requests and failures of the new version in each of the last 60 s.
    bool baselineRolledBack = false;
    MovesModelResult result;

    explicit Model(const MovesModelOptions& o)
        : options(o)
        , random(o.seed * 7919 + static_cast<uint64_t>(o.fault))
    {
    }
};

static void addRules(Model& model)
{
    MoveRule move;
    move.name = "upgrade";
    move.model = "m";
    move.from = "v1";
    move.to = "v2";
    move.by = startAt + model.options.duration;
    move.watch = model.options.watch;
    model.rules.moves.push_back(move);
    for (const char* name : routeNames) {
        RouteRule route;
        route.name = name;
        route.model = "m";
        model.rules.routes.push_back(route);
    }
}

static void drawVersion(Model& model)
{
    Random& random = model.random;
    switch (model.options.fault) {
    case VersionFault::None:
        model.newErrors = 0.003 + 0.005 * random.uniform();
        model.newLatencyFactor = 0.9 + 0.2 * random.uniform();
        break;
    case VersionFault::FailsAtOnce:
        model.newErrors = 0.5;
        break;
    case VersionFault::SlowAtOnce:
        model.newLatencyFactor = 2;
        break;
    case VersionFault::FailsLater:
        model.faultAt = startAt + TimeMs { random.between(60000, 1500000) };
        break;
    case VersionFault::FailsOnOneRoute:
        model.badRoute = random.below(routeNames.size());
        break;
    case VersionFault::SlightlyBad:
        model.newErrors = 0.03;
        break;
    case VersionFault::SlowUnderLoad:
        break;
    }
}

static size_t pickRoute(Random& random)
{
    double x = random.uniform();
    for (size_t n = 0; n + 1 < routeWeights.size(); ++n) {
        x -= routeWeights[n];
        if (x < 0)
            return n;
    }
    return routeWeights.size() - 1;
}

/// Latency factor for a load in requests/s per runner: 0.5 without load, 1 at 4 requests/s.
static double loadFactor(double perRunner)
{
    return 0.5 / (1 - 0.5 * std::min(1.8, perRunner / 4));
}

static double errorRate(const Model& model, size_t route, bool isNew, bool noisy)
{
    double rate = isNew ? model.newErrors : oldErrors;
    if (isNew && model.options.fault == VersionFault::FailsLater && model.faultAt && model.now >= *model.faultAt)
        rate = 0.3;
    if (isNew && model.options.fault == VersionFault::FailsOnOneRoute && route == model.badRoute)
        rate = 0.3;
    return noisy ? rate + 0.05 : rate;
}

static double latencyFactorOf(const Model& model, bool isNew)
{
    if (!isNew)
        return 1;
    if (model.options.fault == VersionFault::SlowUnderLoad)
        return 1 + 1.5 * std::clamp((model.load[1] / 4 - 0.5) / 0.5, 0.0, 1.0);
    return model.newLatencyFactor;
}

/// Whether this request failed or was slowed because of the new version's fault.
static bool showsFault(const Model& model, size_t route, bool failed, double latencyFactor)
{
    switch (model.options.fault) {
    case VersionFault::None:
        return false;
    case VersionFault::FailsLater:
        return failed && model.now >= *model.faultAt;
    case VersionFault::FailsOnOneRoute:
        return failed && route == model.badRoute;
    default:
        return failed || latencyFactor > 1.5;
    }
}

static void serve(Model& model, ModelNode& node, size_t route)
{
    Random& random = model.random;
    double share = 0;
    for (const auto& it : node.inForce.shares) {
        if (it.route == routeNames[route])
            share = it.share;
    }
    const bool isNew = !node.breaker.tripped() && random.chance(share);
    const bool noisy = model.now < model.noiseUntil;
    ++model.sentThisSecond[isNew];
    const double rate = errorRate(model, route, isNew, noisy);
    const bool failed = random.chance(rate);
    const double latencyFactor = latencyFactorOf(model, isNew);
    const double factor = loadFactor(model.load[isNew]) * latencyFactor * (noisy ? 1.4 : 1);
    const double firstToken = 200 * factor * std::exp(random.normal(0, 0.5));
    const double wholeRequest = firstToken + 2000 * factor * std::exp(random.normal(0, 0.8));
    if (isNew) {
        ++model.result.newRequests;
        if (model.faultyRequests >= 5)
            ++model.result.badRequests;
        model.faultyRequests += showsFault(model, route, failed, latencyFactor);
    }
    RouteEvidence& seen = node.pending.routes[route];
    VersionEvidence& version = isNew ? seen.newVersion : seen.oldVersion;
    ++version.requests;
    version.failures += failed;
    if (!failed) {
        version.firstToken.record(firstToken);
        version.wholeRequest.record(wholeRequest);
    }
    if (!model.options.baseline)
        node.breaker.record(model.now, routeNames[route], isNew, failed);
}

static void resetPending(ModelNode& node)
{
    node.pending = {};
    node.pending.move = "upgrade";
    node.pending.node = node.id;
    for (const char* name : routeNames)
        node.pending.routes.push_back({ .route = name });
}

static uint32_t runnersOf(const Model& model, const char* version)
{
    return static_cast<uint32_t>(std::count_if(model.runners.begin(), model.runners.end(), [&](const auto& it) { return it.version == version; }));
}

static void serveSecond(Model& model)
{
    if (model.now >= model.noiseUntil && model.random.chance(1.0 / 300))
        model.noiseUntil = model.now + 10_s;
    model.sentThisSecond = {};
    for (auto& node : model.nodes) {
        if (model.now < node.cutOffUntil || model.now < node.deadUntil)
            continue;
        while (!node.arriving.empty() && node.arriving.front().first <= model.now) {
            if (node.arriving.front().second.sequence > node.inForce.sequence)
                node.inForce = node.arriving.front().second;
            node.arriving.pop_front();
        }
    }
    const auto count = static_cast<uint64_t>(std::max(0.0, model.random.normal(model.options.rate, std::sqrt(model.options.rate))));
    for (uint64_t n = 0; n < count; ++n) {
        ModelNode& node = model.nodes[model.random.below(nodeCount)];
        // Callers of a failed node switch to the first node, which never fails.
        serve(model, model.now < node.deadUntil ? model.nodes[0] : node, pickRoute(model.random));
    }
    const bool canary = static_cast<bool>(model.nodes[0].inForce.canary);
    const double newRunners = canary ? 1 : std::max<double>(1, runnersOf(model, "v2"));
    model.load[0] = 0.7 * model.load[0] + 0.3 * static_cast<double>(model.sentThisSecond[0]) / std::max<double>(1, runnersOf(model, "v1"));
    model.load[1] = 0.7 * model.load[1] + 0.3 * static_cast<double>(model.sentThisSecond[1]) / newRunners;
}

static void startRunners(Model& model)
{
    for (auto it = model.starting.begin(); it != model.starting.end();) {
        if (it->first > model.now) {
            ++it;
            continue;
        }
        while (runnersOf(model, "v2") < it->second)
            model.runners.push_back({ UpstreamId { 100 + model.runners.size() }, "m", "v2" });
        it = model.starting.erase(it);
    }
}

static void executeOrder(Model& model, const MoveOrder& order)
{
    if (order.kind != MoveOrderKind::RetireVersion) {
        if (order.version == "v2") {
            model.requestedNewRunners = std::max(model.requestedNewRunners, order.count);
            model.starting.emplace_back(model.now + runnerStart, order.count);
        }
        return;
    }
    while (runnersOf(model, order.version.c_str()) > order.count) {
        const auto it = std::find_if(model.runners.begin(), model.runners.end(), [&](const auto& r) { return r.version == order.version; });
        model.runners.erase(it);
    }
}

/// The directive of the move in the decision log, or null.
static const MoveDirective* committedDirective(const Model& model)
{
    const auto it = model.log.moves.find("upgrade");
    return it == model.log.moves.end() ? nullptr : &it->second;
}

/// Checks the controller's guarantees about a directive against the state of the model.
static void checkDirective(Model& model, const MoveDirective& directive)
{
    auto& violations = model.result.violations;
    const MoveDirective* last = committedDirective(model);
    const bool claimsCompletion = directive.stage == MoveStage::Undone
        || (directive.stage == MoveStage::Done && last && last->stage == MoveStage::Shifting);
    for (const auto& node : model.nodes) {
        if (claimsCompletion && model.now >= node.deadUntil && (!last || node.inForce.sequence < last->sequence))
            violations.push_back("stated before every live node confirmed");
    }
    double total = 0;
    for (const auto& it : directive.shares) {
        for (size_t n = 0; n < routeNames.size(); ++n)
            total += it.route == routeNames[n] ? it.share * routeWeights[n] : 0;
    }
    if (directive.stage == MoveStage::Proving && total > 0.2)
        violations.push_back("a share above one runner's load while proving");
    if ((directive.stage == MoveStage::Undoing || directive.stage == MoveStage::Undone || directive.stage == MoveStage::Waiting) && total > 0)
        violations.push_back("a share for a version that gets no traffic");
}

static void recordStage(Model& model, const MoveDirective& directive, bool wasUndoing)
{
    MovesModelResult& result = model.result;
    result.stage = directive.stage;
    if (directive.stage == MoveStage::Undoing && !wasUndoing) {
        result.alarmed = directive.code == "move_bad";
        result.missedDeadline = directive.code == "move_late";
        result.reason = directive.reason;
        result.inTime = false;
        result.undoneAfter = model.now - startAt;
    }
    if (directive.stage != MoveStage::Done || result.doneAfter.value)
        return;
    result.doneAfter = model.now - startAt;
    result.inTime = model.now <= model.rules.moves[0].by;
    if (model.options.fault == VersionFault::FailsLater)
        model.faultAt = std::min(*model.faultAt, model.now + TimeMs { model.random.between(0, model.options.watch.value / 2) });
}

static void handleDirectives(Model& model, const MoveOutputs& out)
{
    for (const auto& directive : out.directives) {
        checkDirective(model, directive);
        const bool wasUndoing = committedDirective(model) && committedDirective(model)->stage == MoveStage::Undoing;
        const auto bytes = encodeControlCommand(RecordMove { .epoch = model.term, .directive = directive });
        const auto reply = decodeControlReply(controlStateMachine(model.log).apply(0, bytes));
        if (!reply || reply->outcome != ControlOutcome::Accepted) {
            model.result.violations.push_back("the decision log refused a directive: " + (reply ? reply->detail : ""));
            return;
        }
        recordStage(model, directive, wasUndoing);
        for (auto& node : model.nodes)
            node.arriving.emplace_back(model.now + TimeMs { model.random.between(100, 1500) }, directive);
    }
}

/// Simulates a leader change: restores the decision log from its snapshot and the controller from the log.
static void changeLeader(Model& model)
{
    ++model.result.leaderChanges;
    DecisionLog restored;
    if (!restoreControl(restored, snapshotControl(model.log)))
        model.result.violations.push_back("the decision log was not restored");
    model.log = std::move(restored);
    ++model.term;
    applyControl(model.log, BeginEpoch { .leader = NodeId { model.term }, .term = model.term, .now = model.now });
    restoreMoves(model.controller, recordedMoves(model.log), model.rules, model.now);
}

static void injectFaults(Model& model)
{
    Random& random = model.random;
    if (model.options.runnerLoss > 0 && random.chance(model.options.runnerLoss)) {
        const auto it = std::find_if(model.runners.begin(), model.runners.end(), [](const auto& r) { return r.version == "v2"; });
        if (it != model.runners.end()) {
            ++model.result.runnerLosses;
            model.runners.erase(it);
            model.starting.emplace_back(model.now + runnerStart, model.requestedNewRunners);
        }
    }
    for (size_t n = 1; n < nodeCount; ++n) {
        if (model.options.nodeLoss > 0 && random.chance(model.options.nodeLoss)) {
            ++model.result.nodeLosses;
            model.nodes[n].deadUntil = model.now + TimeMs { random.between(1000, 60000) };
            model.nodes[n].breaker = VersionCircuitBreaker();
        }
        if (model.options.nodeCutOff > 0 && random.chance(model.options.nodeCutOff)) {
            ++model.result.nodeCutOffs;
            model.nodes[n].cutOffUntil = model.now + TimeMs { random.between(1000, 60000) };
        }
    }
}

static void stepController(Model& model)
{
    std::vector<Evidence> evidence;
    std::vector<MoveNode> nodes;
    for (auto& node : model.nodes) {
        node.pending.confirmed = node.inForce.sequence;
        node.pending.tripped = node.breaker.tripped();
        node.pending.tripReason = node.breaker.reason();
        if (model.now >= node.deadUntil) {
            evidence.push_back(node.pending);
            nodes.push_back({ node.id, { { "upgrade", node.inForce.sequence } } });
        }
        resetPending(node);
    }
    const auto second = static_cast<uint64_t>((model.now - startAt).value / 1000);
    if (!second || (model.options.leaderChangeEvery && second % model.options.leaderChangeEvery == 0))
        changeLeader(model);
    MoveOutputs out;
    stepMoves(model.controller, { .now = model.now, .rules = &model.rules, .runners = model.runners, .evidence = evidence, .nodes = nodes }, out);
    handleDirectives(model, out);
    for (const auto& order : out.orders)
        executeOrder(model, order);
}

static void setAllShares(Model& model, double share, UpstreamId canary)
{
    for (auto& node : model.nodes) {
        node.inForce.shares.clear();
        node.inForce.canary = canary;
        for (const char* name : routeNames)
            node.inForce.shares.push_back({ name, share });
    }
}

static void stepBaseline(Model& model)
{
    std::pair<uint64_t, uint64_t> seen { 0, 0 };
    for (auto& node : model.nodes) {
        for (const auto& it : node.pending.routes) {
            seen.first += it.newVersion.requests;
            seen.second += it.newVersion.failures;
        }
        resetPending(node);
    }
    model.baselineMinute.push_back(seen);
    if (model.baselineMinute.size() > 60)
        model.baselineMinute.pop_front();
    uint64_t requests = 0;
    uint64_t failures = 0;
    for (const auto& [n, failed] : model.baselineMinute) {
        requests += n;
        failures += failed;
    }
    if (model.baselineRolledBack)
        return;
    MovesModelResult& result = model.result;
    // With fewer than 20 requests a single failure would exceed 5%.
    if (requests >= 20 && static_cast<double>(failures) > 0.05 * static_cast<double>(requests)) {
        model.baselineRolledBack = true;
        result.stage = MoveStage::Undone;
        result.alarmed = true;
        result.inTime = false;
        setAllShares(model, 0, {});
        return;
    }
    const TimeMs since = model.now - startAt;
    if (since >= model.options.duration / 2 && result.stage == MoveStage::Waiting) {
        result.stage = MoveStage::Done;
        result.inTime = true;
        result.doneAfter = since;
        model.starting.emplace_back(model.now, oldRunnerCount);
        setAllShares(model, 1, {});
        if (model.options.fault == VersionFault::FailsLater)
            model.faultAt = std::min(*model.faultAt, model.now + TimeMs { model.random.between(0, model.options.watch.value / 2) });
    }
}

MovesModelResult runMovesModel(const MovesModelOptions& options)
{
    Model model(options);
    addRules(model);
    drawVersion(model);
    for (uint64_t n = 0; n < oldRunnerCount; ++n)
        model.runners.push_back({ UpstreamId { 1 + n }, "m", "v1" });
    for (size_t n = 0; n < nodeCount; ++n) {
        model.nodes[n].id = { 1 + n };
        resetPending(model.nodes[n]);
    }
    model.load[0] = options.rate / oldRunnerCount;
    if (options.baseline)
        setAllShares(model, 0.05, { 1 });
    // The controller can end later than the watch period by the longest check and its confirmations.
    const TimeMs end = startAt + options.duration + options.watch + (options.baseline ? 0_s : 600_s);
    for (; model.now < end; model.now += 1_s) {
        startRunners(model);
        injectFaults(model);
        serveSecond(model);
        if (options.baseline)
            stepBaseline(model);
        else
            stepController(model);
        if (isFinal(model.result.stage))
            break;
    }
    return model.result;
}

}
