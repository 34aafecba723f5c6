#include "node/VersionOrders.h"

#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

static constexpr TimeMs stepInterval { 300 };
static constexpr TimeMs reportInterval { 300 };
// The same after the switch of all requests, and with short time limits: there is little time until the completion. In large fleets the leader reads no more frames than before.
static constexpr TimeMs minShortInterval { 100 };
static constexpr TimeMs shortIntervalPerNode { 5 };
static constexpr TimeMs evidenceInterval { 900 };
static constexpr TimeMs recordTimeout { 2000 };
// Time after which the last report of a node says nothing of now.
static constexpr TimeMs reportTimeout { 1200 };
// A node stops using a version after this many consecutive failures, or as many as have less than this probability by the failure rate of
// the other versions.
static constexpr int minTripFailures = 3;
static constexpr int maxTripFailures = 20;
static constexpr double tripProbability = 1e-4;
// The same in total, above this rate.
static constexpr uint32_t tripTotalFailures = 5;
static constexpr double tripFailureRate = 0.25;
// A stream shows its pace in this time.
static constexpr TimeMs paceTime { 2000 };
// A proposer's clock may be behind; with a clock ahead, the time at which the order was seen is nearer.
static constexpr TimeMs maxProposalTime { 1000 };
static constexpr size_t maxEvidenceFrame = 512 << 10;
// Shares of routes are told again after this time, since a frame is lost with its connection.
static constexpr TimeMs sharesInterval { 1200 };
static constexpr TimeMs sharesLength { 3000 };
// An entry node that does not hear of the switch again returns to the other versions; the record of a completion takes less time.
static constexpr TimeMs maxSwitch { 2500 };
// Longest time for which an entry node follows a burst, shares or a switch without hearing of it again.
static constexpr TimeMs maxDirective { 10000 };

static bool isSameOrder(const VersionOrder& a, const VersionOrder& b)
{
    return a.target == b.target && a.orderedAt == b.orderedAt;
}

void followVersionOrders(Node& node)
{
    auto& state = node.versionOrders;
    state.past.clear();
    for (size_t n = 0; n < node.view.versionOrders.size(); ++n) {
        const VersionOrder& order = node.view.versionOrders[n];
        if (n + 1 < node.view.versionOrders.size() && node.view.versionOrders[n + 1].backend == order.backend) {
            state.past[order.backend][order.target] = order;
            continue;
        }
        auto& known = state.orders[order.backend];
        if (!isSameOrder(known, order))
            state.followers[order.backend] = { .seenAt = node.now };
        if (known.state != order.state || known.target != order.target)
            addLog(node, LogLevel::Info, "version_order", Step::Order, order.backend, std::string(nameOf(order.state)), { { "target", order.target }, { "sequence", std::to_string(order.sequence) }, { "reason", order.reason } });
        known = order;
    }
}

static const VersionOrder* orderOf(const Node& node, const std::string& backend)
{
    const auto it = node.versionOrders.orders.find(backend);
    return it == node.versionOrders.orders.end() ? nullptr : &it->second;
}

namespace {

    enum class VersionStanding : uint8_t {
        InUse, ///< Was there before any order, or its order was completed.
        Unknown, ///< Its upstreams came without an order.
        OnTrial, ///< Its order is running.
        Bad, ///< It was rolled back or given up, or this node has stopped using it.
    };

}

using PastOrders = std::map<std::string, VersionOrder>; // By version.

// Null if nothing is known of the backend's versions: an earlier build has taken its order.
static const PastOrders* pastOrders(const Node& node, const std::string& backend)
{
    const auto it = node.versionOrders.past.find(backend);
    return it == node.versionOrders.past.end() ? nullptr : &it->second;
}

static const VersionOrder* findOrder(const PastOrders* past, const std::string& version)
{
    if (!past)
        return nullptr;
    const auto it = past->find(version);
    return it == past->end() ? nullptr : &it->second;
}

static VersionStanding standingOf(const VersionOrder& order, const PastOrders* past, bool tripped, const std::string& version)
{
    const VersionOrder* known = findOrder(past, version);
    if (known && known->state == VersionOrderState::Completed)
        return VersionStanding::InUse;
    if (version == order.target) {
        if (order.state == VersionOrderState::Completed)
            return VersionStanding::InUse;
        return order.state == VersionOrderState::RolledBack || tripped ? VersionStanding::Bad : VersionStanding::OnTrial;
    }
    if (known)
        return VersionStanding::Bad;
    return past ? VersionStanding::Unknown : VersionStanding::InUse;
}

static std::function<VersionStanding(const std::string& version)> standings(const Node& node, const VersionOrder& order)
{
    const auto follower = node.versionOrders.followers.find(order.backend);
    const bool tripped = follower != node.versionOrders.followers.end() && follower->second.tripped;
    return [order = &order, past = pastOrders(node, order.backend), tripped](const std::string& version) { return standingOf(*order, past, tripped, version); };
}

// Whether an upstream of a wanted version serves. One that is only busy does; one that cannot be reached or is silent does not.
static bool serves(const Node& node, const std::string& backend, const std::function<bool(const std::string& version)>& isWanted)
{
    const auto ids = node.forward.targets.byBackend.find(backend);
    return ids != node.forward.targets.byBackend.end() && std::any_of(ids->second.begin(), ids->second.end(), [&](UpstreamId id) {
        const ForwardTarget& target = node.forward.targets.entries.at(id);
        return !target.leaving && !target.unreached && node.now - target.lastSeen <= node.forward.choice.staleAfter && isWanted(target.version);
    });
}

static bool hasStanding(const Node& node, const std::string& backend, const std::function<VersionStanding(const std::string&)>& standing, VersionStanding wanted)
{
    return serves(node, backend, [&](const std::string& version) { return standing(version) == wanted; });
}

std::function<bool(const ForwardTarget&)> versionFallback(const Node& node, const std::string& backend)
{
    const VersionOrder* order = orderOf(node, backend);
    if (!order)
        return nullptr;
    const auto standing = standings(node, *order);
    const bool othersServe = hasStanding(node, backend, standing, VersionStanding::InUse) || hasStanding(node, backend, standing, VersionStanding::Unknown);
    return [standing, othersServe](const ForwardTarget& it) {
        const auto found = standing(it.version);
        return found != VersionStanding::Bad && (found != VersionStanding::OnTrial || !othersServe);
    };
}

// Whether requests of this node can go to the upstream now.
static bool isUsable(const Node& node, const ForwardTarget& target)
{
    return !target.leaving && !target.evacuated && !target.addressTaken && node.now >= target.backoffUntil;
}

// The only upstream of the new version that gets requests before the move ends. One that is still cold would look slow.
static UpstreamId canaryOf(const Node& node, const VersionOrder& order)
{
    UpstreamId canary;
    bool canaryIsCold = true;
    const auto ids = node.forward.targets.byBackend.find(order.backend);
    if (ids == node.forward.targets.byBackend.end())
        return canary;
    for (const UpstreamId id : ids->second) {
        const ForwardTarget& target = node.forward.targets.entries.at(id);
        if (target.version != order.target || !isUsable(node, target))
            continue;
        const bool cold = isCold(target.limit, node.now);
        if (!canary || std::pair(cold, id) < std::pair(canaryIsCold, canary)) {
            canary = id;
            canaryIsCold = cold;
        }
    }
    return canary;
}

// Share of the requests of a route that goes to the named instance of the version on trial.
static std::pair<double, UpstreamId> trialShare(const VersionFollowers::Follower& follower, const std::string& route, TimeMs now)
{
    const double burst = now < follower.burstEnd ? follower.burstShare : 0;
    const auto it = follower.shares.find(route);
    const double share = it != follower.shares.end() && now < follower.sharesEnd ? it->second : 0;
    if (burst > 0 || share > 0)
        return burst >= share ? std::pair(burst, follower.burstInstance) : std::pair(share, follower.sharesInstance);
    return { rolloutBaseShare, UpstreamId {} };
}

// The instance for a request that is drawn for the trial: the one that the decision leader has named, if this node can use it.
static UpstreamId testedInstance(Node& node, const VersionOrder& order, const VersionFollowers::Follower& follower, const std::string& route)
{
    const auto [share, instance] = trialShare(follower, route, node.now);
    if (!node.random.chance(share))
        return {};
    const ForwardTarget* named = instance ? findTarget(node.forward.targets, instance) : nullptr;
    return named && named->version == order.target && isUsable(node, *named) ? named->id : canaryOf(node, order);
}

// Whether the order is about to be completed, and its target is there to take all requests.
static bool isSwitched(const Node& node, const VersionOrder& order)
{
    const auto follower = node.versionOrders.followers.find(order.backend);
    return order.state == VersionOrderState::Running && follower != node.versionOrders.followers.end() && node.now < follower->second.switchedUntil
        && serves(node, order.backend, [&](const std::string& version) { return version == order.target; });
}

std::function<bool(const ForwardTarget&)> versionFilter(Node& node, const ForwardCall& call)
{
    const VersionOrder* order = orderOf(node, call.backend);
    if (!order)
        return nullptr;
    const auto isTarget = [target = order->target](const ForwardTarget& it) { return it.version == target; };
    if (order->state == VersionOrderState::Completed)
        return isTarget;
    const auto standing = standings(node, *order);
    const auto targetStanding = standing(order->target);
    if (targetStanding != VersionStanding::Bad && isSwitched(node, *order))
        return isTarget;
    if (targetStanding == VersionStanding::OnTrial) {
        if (const UpstreamId tested = testedInstance(node, *order, node.versionOrders.followers[call.backend], call.rule->name))
            return [tested](const ForwardTarget& it) { return it.id == tested; };
    }
    // Upstreams that came without an order serve only if there are no others.
    const auto wanted = hasStanding(node, call.backend, standing, VersionStanding::InUse) ? VersionStanding::InUse : VersionStanding::Unknown;
    return [standing, wanted](const ForwardTarget& it) { return standing(it.version) == wanted; };
}

namespace {

    // Where the results of an attempt count.
    struct ResultPlace {
        VersionFollowers::Follower* follower = nullptr; ///< Null if no order is running.
        RolloutCounts* counts = nullptr;
        RouteLimits limits;
        const VersionOrder* order = nullptr;
        bool isTargetVersion = false;
    };

}

static ResultPlace placeOf(Node& node, const ForwardCall& call)
{
    auto& state = node.versionOrders;
    if (state.orders.empty() || call.relay)
        return {};
    const VersionOrder* order = orderOf(node, call.backend);
    const ForwardTarget* target = findTarget(node.forward.targets, call.target);
    if (!order || order->state != VersionOrderState::Running || !target)
        return {};
    auto& follower = state.followers[call.backend];
    // What was sent before the order did not come under its shares.
    if (call.sentAt < follower.seenAt)
        return {};
    auto& results = follower.results[call.rule->name];
    results.route = call.rule->name;
    const bool isTargetVersion = target->version == order->target;
    const auto limits = follower.limits.find(call.rule->name);
    // An upstream that is still cold is slow for another reason than its version.
    const bool timed = limits != follower.limits.end() && !isCold(target->limit, node.now);
    return { &follower, isTargetVersion ? &results.after : &results.before, timed ? limits->second : RouteLimits {}, order, isTargetVersion };
}

void recordVersionSend(Node& node, ForwardCall& call)
{
    call.resultRecorded = call.timeRecorded = call.paceRecorded = false;
    call.firstBodyAt = {};
    call.bodyBytes = 0;
    if (const auto place = placeOf(node, call); place.follower)
        ++place.counts->started;
}

static void recordTime(const ResultPlace& place, ForwardCall& call, bool slow)
{
    if (!place.limits.answer || std::exchange(call.timeRecorded, true))
        return;
    ++place.counts->timed;
    place.counts->slow += slow;
}

static int tripFailures(const RolloutCounts& before)
{
    const double rate = (before.failures + 1.0) / (before.ended + 10.0);
    return std::clamp(static_cast<int>(std::ceil(std::log(tripProbability) / std::log(std::min(rate, 0.99)))), minTripFailures, maxTripFailures);
}

static void tripIfBad(Node& node, const ForwardCall& call, const ResultPlace& place, bool failed)
{
    auto& follower = *place.follower;
    const RolloutCounts& before = follower.results[call.rule->name].before;
    const RolloutCounts& after = *place.counts;
    follower.failuresInRow = failed ? follower.failuresInRow + 1 : 0;
    const double usualRate = (before.failures + 1.0) / (before.ended + 10.0);
    const bool aboveFailureRate = after.failures >= tripTotalFailures && after.failures > (tripFailureRate + 2 * usualRate) * after.ended;
    if (follower.tripped || (follower.failuresInRow < tripFailures(before) && !aboveFailureRate))
        return;
    follower.tripped = true;
    node.versionOrders.nextReport = node.now;
    addLog(node, LogLevel::Warning, "version_tripped", Step::Route, call.backend, "this node stopped using the new version", { { "target", place.order->target }, { "route", call.rule->name }, { "failures", std::to_string(after.failures) }, { "answers", std::to_string(after.ended) } });
}

void recordVersionResult(Node& node, ForwardCall& call, bool failed)
{
    const auto place = placeOf(node, call);
    if (!place.follower)
        return;
    const bool first = !std::exchange(call.resultRecorded, true);
    // A stream that has begun can still fail.
    if (!first && !failed)
        return;
    const auto waited = static_cast<float>((node.now - call.sentAt).value);
    place.counts->ended += first;
    place.counts->failures += failed;
    if (first)
        place.counts->milliseconds += waited;
    if (first && !failed)
        recordTime(place, call, waited > place.limits.answer);
    if (place.isTargetVersion)
        tripIfBad(node, call, place, failed);
}

void recordVersionOutOfTime(Node& node, ForwardCall& call)
{
    if (!call.dispatch || call.stage == ForwardStage::Connecting)
        return;
    if (!call.resultRecorded)
        return recordVersionResult(node, call, true);
    recordVersionStreamEnd(node, call);
}

void recordVersionCallerGone(Node& node, ForwardCall& call)
{
    if (!call.dispatch || call.stage == ForwardStage::Connecting)
        return;
    if (call.resultRecorded)
        return recordVersionStreamEnd(node, call);
    const auto place = placeOf(node, call);
    if (!place.follower)
        return;
    const auto usual = place.limits.answer > 0 ? static_cast<double>(place.limits.answer) : static_cast<double>(call.rule->target.value);
    if (static_cast<double>((node.now - call.sentAt).value) > usual)
        recordVersionResult(node, call, true);
}

static void recordPace(const ResultPlace& place, ForwardCall& call, TimeMs now)
{
    const TimeMs lasted = now - call.firstBodyAt;
    if (lasted <= TimeMs {} || std::exchange(call.paceRecorded, true))
        return;
    const float pace = static_cast<float>(lasted.value) / static_cast<float>(std::max<uint64_t>(1, call.bodyBytes));
    ++place.counts->paced;
    place.counts->pace += pace;
    if (!place.limits.pace)
        return;
    ++place.counts->comparedPaces;
    place.counts->slowPaces += pace > place.limits.pace;
}

void recordVersionBody(Node& node, ForwardCall& call, size_t bytes)
{
    if (!call.firstBodyAt.value) {
        call.firstBodyAt = node.now;
        return;
    }
    call.bodyBytes += bytes;
}

void recordVersionStreamEnd(Node& node, ForwardCall& call)
{
    const auto place = placeOf(node, call);
    // A stream of one event has no pace.
    if (place.follower && call.firstBodyAt.value && call.bodyBytes)
        recordPace(place, call, node.now);
}

void recordVersionProgress(Node& node, ForwardCall& call)
{
    if (!call.dispatch || call.stage == ForwardStage::Connecting || (call.timeRecorded && call.paceRecorded))
        return;
    const auto place = placeOf(node, call);
    if (!place.follower)
        return;
    if (!call.resultRecorded && place.limits.answer > 0 && static_cast<float>((node.now - call.sentAt).value) > place.limits.answer)
        recordTime(place, call, true);
    if (call.firstBodyAt.value && node.now - call.firstBodyAt >= paceTime)
        recordPace(place, call, node.now);
}

static VersionResultsFrame ownResults(const Node& node)
{
    VersionResultsFrame frame;
    for (const auto& [backend, follower] : node.versionOrders.followers) {
        const VersionOrder* order = orderOf(node, backend);
        // A node without results reports that: the leader tells it from one that is not heard.
        if (!order || order->state != VersionOrderState::Running)
            continue;
        VersionResults results { .backend = backend, .target = order->target, .orderedAt = order->orderedAt, .tripped = follower.tripped, .routes = {} };
        for (const auto& [route, counts] : follower.results)
            results.routes.push_back(counts);
        frame.orders.push_back(std::move(results));
    }
    return frame;
}

// For a decision leader of an earlier build.
static VersionEvidenceFrame evidenceOf(const VersionResultsFrame& results)
{
    VersionEvidenceFrame frame;
    for (const auto& order : results.orders) {
        for (const auto& route : order.routes) {
            for (const bool isTarget : { false, true }) {
                const RolloutCounts& counts = isTarget ? route.after : route.before;
                frame.counts.push_back({ .backend = order.backend, .route = route.route, .target = isTarget, .answers = counts.ended, .failures = counts.failures, .milliseconds = static_cast<double>(counts.milliseconds) });
            }
        }
        if (order.tripped)
            frame.tripped.push_back(order.backend);
    }
    return frame;
}

static TimeMs shortInterval(const Node& node)
{
    return std::clamp(shortIntervalPerNode * static_cast<int64_t>(node.membership.members.size()), minShortInterval, reportInterval);
}

static void reportResults(Node& node)
{
    auto& state = node.versionOrders;
    if (node.now < state.nextReport)
        return;
    const bool isUrgent = std::any_of(state.followers.begin(), state.followers.end(), [&](const auto& it) {
        const VersionOrder* order = orderOf(node, it.first);
        return order && order->state == VersionOrderState::Running && (node.now < it.second.switchedUntil || isShortRollout(order->within));
    });
    state.nextReport = node.now + (isUrgent ? shortInterval(node) : reportInterval);
    const auto frame = ownResults(node);
    const NodeId leader = decisionLeader(node);
    if (frame.orders.empty() || !leader || leader == node.self)
        return;
    sendFrame(node, leader, FrameKind::VersionResults, {}, encode(frame));
    if (node.now < state.nextEvidence)
        return;
    state.nextEvidence = node.now + evidenceInterval;
    sendFrame(node, leader, FrameKind::VersionEvidence, {}, encode(evidenceOf(frame)));
}

static void addResults(Node& node, NodeId from, VersionResults results)
{
    const auto it = node.versionOrders.led.find(results.backend);
    // Results of an order that has ended say nothing of the next one.
    if (it == node.versionOrders.led.end() || it->second.target != results.target || it->second.orderedAt != results.orderedAt)
        return;
    it->second.results[from] = std::move(results);
    it->second.heardAt[from] = node.now;
}

void receiveVersionResults(Node& node, NodeId from, std::string_view body)
{
    auto frame = decodeOr<VersionResultsFrame>(body, maxEvidenceFrame);
    for (auto& results : frame.orders)
        addResults(node, from, std::move(results));
}

void receiveVersionEvidence(Node& node, NodeId from, std::string_view body)
{
    if (node.leadsDecisions)
        node.versionOrders.evidence[from] = decodeOr<VersionEvidenceFrame>(body, maxEvidenceFrame);
}

// Null if the order is not the one that is running here.
static VersionFollowers::Follower* runningFollower(Node& node, const std::string& backend, const std::string& target, TimeMs orderedAt)
{
    const VersionOrder* order = orderOf(node, backend);
    const bool isRunning = order && order->state == VersionOrderState::Running && order->target == target && order->orderedAt == orderedAt;
    return isRunning ? &node.versionOrders.followers[backend] : nullptr;
}

void receiveVersionBurst(Node& node, std::string_view body)
{
    const auto frame = decodeOr<VersionBurstFrame>(body, maxEvidenceFrame);
    auto* follower = runningFollower(node, frame.backend, frame.target, frame.orderedAt);
    if (!follower)
        return;
    follower->limits = frame.limits;
    if (!(frame.share > 0))
        return;
    follower->burstInstance = frame.instance;
    follower->burstShare = std::min(1.0, frame.share);
    follower->burstEnd = node.now + std::clamp(frame.length, TimeMs {}, maxDirective);
}

void receiveVersionSwitch(Node& node, std::string_view body)
{
    const auto frame = decodeOr<VersionSwitchFrame>(body, maxEvidenceFrame);
    auto* follower = runningFollower(node, frame.backend, frame.target, frame.orderedAt);
    if (!follower)
        return;
    follower->switchedUntil = node.now + std::clamp(frame.length, TimeMs {}, maxDirective);
    node.versionOrders.nextReport = std::min(node.versionOrders.nextReport, node.now + shortInterval(node));
}

void receiveVersionShares(Node& node, std::string_view body)
{
    auto frame = decodeOr<VersionSharesFrame>(body, maxEvidenceFrame);
    auto* follower = runningFollower(node, frame.backend, frame.target, frame.orderedAt);
    if (!follower)
        return;
    follower->sharesInstance = frame.instance;
    follower->shares = std::move(frame.shares);
    follower->sharesEnd = node.now + std::clamp(frame.length, TimeMs {}, maxDirective);
}

static void sendToAll(Node& node, FrameKind kind, const std::string& body)
{
    for (const auto& [id, member] : node.membership.members) {
        if (id != node.self && isAlive(node.membership, id))
            sendFrame(node, id, kind, {}, body);
    }
}

static void spreadBurst(Node& node, const VersionOrder& order, const VersionFollowers::Led& led, const RolloutDecision& decision)
{
    const std::string body = encode(VersionBurstFrame { .backend = order.backend, .target = order.target, .orderedAt = order.orderedAt, .instance = canaryOf(node, order), .share = decision.share, .length = decision.length, .limits = led.rollout.evidence.limits });
    sendToAll(node, FrameKind::VersionBurst, body);
    receiveVersionBurst(node, body);
}

static void spreadShares(Node& node, const VersionOrder& order, VersionFollowers::Led& led)
{
    const auto shares = takeRouteShares(led.rollout);
    if (shares.empty() && !led.sharesToldAt.value)
        return;
    led.sharesToldAt = shares.empty() ? TimeMs {} : node.now;
    const std::string body = encode(VersionSharesFrame { .backend = order.backend, .target = order.target, .orderedAt = order.orderedAt, .instance = canaryOf(node, order), .shares = shares, .length = sharesLength });
    sendToAll(node, FrameKind::VersionShares, body);
    receiveVersionShares(node, body);
}

// A length of 0 takes the switch back.
static void spreadSwitch(Node& node, const VersionOrder& order, TimeMs length)
{
    const std::string body = encode(VersionSwitchFrame { .backend = order.backend, .target = order.target, .orderedAt = order.orderedAt, .length = length });
    sendToAll(node, FrameKind::VersionSwitch, body);
    receiveVersionSwitch(node, body);
}

static void recordState(Node& node, VersionOrder order, VersionOrderState state, std::string reason)
{
    order.state = state;
    order.reason = std::move(reason);
    ++order.sequence;
    node.versionOrders.recording.insert(order.backend);
    addLog(node, LogLevel::Info, "version_order_ends", Step::Order, order.backend, std::string(nameOf(state)), { { "target", order.target }, { "reason", order.reason } });
    proposeCommand(node, decisionGroup, encodeControlCommand(RecordVersionOrder { .epoch = node.leader.epoch, .order = order }), recordTimeout,
        [backend = order.backend](Node& node, bool, const std::string&) { node.versionOrders.recording.erase(backend); });
}

static VersionFollowers::Led& ledOrder(Node& node, const VersionOrder& order)
{
    auto& led = node.versionOrders.led[order.backend];
    if (led.target == order.target && led.orderedAt == order.orderedAt)
        return led;
    const auto follower = node.versionOrders.followers.find(order.backend);
    const TimeMs seenAt = follower == node.versionOrders.followers.end() ? node.now : follower->second.seenAt;
    led = { .orderedAt = order.orderedAt, .target = order.target, .rollout = startRollout(std::min(seenAt, order.orderedAt + maxProposalTime), order.within), .results = {} };
    // Evidence in the form of earlier builds does not name its order.
    node.versionOrders.evidence.clear();
    return led;
}

static void addEarlierBuilds(const Node& node, const std::string& backend, RolloutReports& reports)
{
    for (const auto& [from, frame] : node.versionOrders.evidence) {
        if (reports.nodes.contains(from))
            continue;
        std::map<std::string, RouteResults> routes;
        for (const auto& it : frame.counts) {
            if (it.backend != backend)
                continue;
            auto& counts = it.target ? routes[it.route].after : routes[it.route].before;
            counts.started = counts.ended = static_cast<uint32_t>(it.answers);
            counts.failures = static_cast<uint32_t>(it.failures);
            counts.milliseconds = static_cast<float>(it.milliseconds);
            routes[it.route].route = it.route;
        }
        for (auto& [route, results] : routes)
            reports.nodes[from].push_back(std::move(results));
    }
}

static RolloutReports reportsOf(const Node& node, const VersionOrder& order, const VersionFollowers::Led& led)
{
    RolloutReports reports;
    const auto standing = standings(node, order);
    for (const auto& [from, results] : led.results) {
        reports.nodes[from] = results.routes;
        if (results.tripped)
            reports.tripped.insert(from);
    }
    addEarlierBuilds(node, order.backend, reports);
    for (const NodeId id : liveMembers(node.membership)) {
        const auto heard = led.heardAt.find(id);
        const bool isRecent = heard != led.heardAt.end() && node.now - heard->second <= reportTimeout;
        ++(isRecent ? reports.recent : reports.missing);
    }
    const auto ids = node.forward.targets.byBackend.find(order.backend);
    if (ids == node.forward.targets.byBackend.end())
        return reports;
    for (const UpstreamId id : ids->second) {
        const ForwardTarget& target = node.forward.targets.entries.at(id);
        if (!isUsable(node, target))
            continue;
        reports.newInstances += target.version == order.target;
        reports.oldInstances += target.version != order.target && standing(target.version) != VersionStanding::Bad;
    }
    return reports;
}

// What the target may get. A trial that was ended within its time limit has used some of the requests that a version may get beyond the share.
// Without any of them, bursts are too short to show a version that fails under load.
static RolloutSettings rolloutSettings(const Node& node, const VersionOrder& order)
{
    const auto& forward = node.options.settings.forward;
    const VersionOrder* former = findOrder(pastOrders(node, order.backend), order.target);
    const bool isTriedAgain = former && former->orderedAt + former->within > order.orderedAt;
    return { .exposureShare = forward.exposureShare, .exposureExtra = isTriedAgain ? forward.exposureExtra / 2 : forward.exposureExtra };
}

static void logDecision(Node& node, const VersionOrder& order, const Rollout& rollout, const RolloutDecision& decision)
{
    const std::pair<std::string, std::string> target { "target", order.target };
    const std::pair<std::string, std::string> length { "ms", std::to_string(decision.length.value) };
    if (decision.action == RolloutAction::Burst)
        addLog(node, LogLevel::Info, "version_burst", Step::Order, order.backend, decision.reason, { target, { "share", std::to_string(decision.share) }, length, { "sent_before", std::to_string(rollout.startedAfter) }, { "of", std::to_string(rollout.started) } });
    if (decision.action == RolloutAction::Switch && rollout.switchedAt == node.now)
        addLog(node, LogLevel::Info, "version_switch", Step::Order, order.backend, "the other versions get no more requests", { target, length });
    if (decision.action == RolloutAction::RollBack && rollout.switchedAt.value)
        addLog(node, LogLevel::Warning, "version_switch_taken_back", Step::Order, order.backend, decision.reason, { target });
}

static void carryOut(Node& node, const VersionOrder& order, VersionFollowers::Led& led, const RolloutDecision& decision)
{
    if (decision.action == RolloutAction::Burst || std::exchange(led.rollout.evidence.limitsChanged, false))
        spreadBurst(node, order, led, decision);
    if (led.rollout.sharesChanged || (led.sharesToldAt.value && node.now >= led.sharesToldAt + sharesInterval))
        spreadShares(node, order, led);
    switch (decision.action) {
    case RolloutAction::Wait:
    case RolloutAction::Burst:
        return;
    case RolloutAction::Switch:
        // Told again with each step, since a frame is lost with its connection.
        return spreadSwitch(node, order, maxSwitch);
    case RolloutAction::Complete:
        return recordState(node, order, VersionOrderState::Completed, decision.reason);
    case RolloutAction::RollBack:
        // The record takes longer to reach the entry nodes.
        if (led.rollout.switchedAt.value)
            spreadSwitch(node, order, {});
        return recordState(node, order, VersionOrderState::RolledBack, decision.reason);
    }
}

static void stepOrder(Node& node, const VersionOrder& order)
{
    if (order.state != VersionOrderState::Running || node.versionOrders.recording.contains(order.backend))
        return;
    auto& led = ledOrder(node, order);
    for (auto& results : ownResults(node).orders)
        addResults(node, node.self, std::move(results));
    const auto reports = reportsOf(node, order, led);
    const bool isInUse = standings(node, order)(order.target) == VersionStanding::InUse;
    const auto decision = isInUse ? stepVersionInUse(led.rollout, reports, node.now) : stepRollout(led.rollout, reports, rolloutSettings(node, order), node.now);
    logDecision(node, order, led.rollout, decision);
    carryOut(node, order, led, decision);
}

// A step falls on the beginning of the completion margin and on the end of the drain, so that the interval takes nothing of a short margin.
static TimeMs nextStepOf(const Node& node, const VersionOrder& order)
{
    const auto it = node.versionOrders.led.find(order.backend);
    if (order.state != VersionOrderState::Running || it == node.versionOrders.led.end())
        return node.now + stepInterval;
    const Rollout& rollout = it->second.rollout;
    const bool isSwitched = rollout.switchedAt.value > 0;
    const TimeMs event = isSwitched ? rollout.switchedAt + completionDrain(order.within) : rollout.startedAt + order.within - completionMargin(order.within);
    const TimeMs next = node.now + (isSwitched || isShortRollout(order.within) ? shortInterval(node) : stepInterval);
    return event > node.now ? std::min(next, event) : next;
}

void tickVersionOrders(Node& node)
{
    reportResults(node);
    if (!node.leadsDecisions || !node.leader.epoch) {
        node.versionOrders.evidence.clear();
        node.versionOrders.led.clear();
        return;
    }
    for (const auto& [backend, order] : node.decisionLog.versionOrders) {
        auto& next = node.versionOrders.nextStep[backend];
        if (node.now < next)
            continue;
        stepOrder(node, order);
        next = nextStepOf(node, order);
    }
}

}
