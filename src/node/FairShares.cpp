#include "node/FairShares.h"

#include "base/Hash.h"
#include "node/CostFlow.h"
#include "node/ForwardFlow.h"
#include "node/ForwardReport.h"
#include "node/LoadHubs.h"
#include "node/Peers.h"

#include <algorithm>

namespace siskinshunt {

// Interval between reports in a failure domain of up to `nodesPerInterval` nodes, as that of load reports.
static constexpr TimeMs reportInterval { 150 };
static constexpr size_t nodesPerInterval = 32;
// A node that has not reported for this time is left out of the sums.
static constexpr TimeMs reporterTimeout { 1000 };
// Work of a request besides its prompt: scheduling and the first tokens.
static constexpr double fixedWorkMs = 10;
// Nothing is reported while requests wait for a smaller part of their target at the engines: the backend is far from any pressure.
static constexpr double reportedWaitRatio = 0.05;
// An account that was not refused for this time is logged as no longer limited.
static constexpr TimeMs limitedRetention { 5000 };

static double tokensPerMs(const Node& node)
{
    const auto& estimator = node.forward.choice.prefillEstimator;
    const double reported = node.forward.hubs.tokensPerMs;
    return std::max(1.0, !estimator.calibrated && reported > 0 ? reported : estimator.tokensPerMs);
}

static const std::string& accountOf(const ForwardCall& call)
{
    static const std::string anonymous;
    return call.account ? call.account->name : anonymous;
}

static bool isFirstAttempt(const ForwardCall& call)
{
    return !call.sendCount && !call.possibleExecutions && !call.headForwarded;
}

static ShareLimiter& limiterOf(Node& node, const std::string& backend)
{
    auto& limiter = node.forward.fair.limiters[backend];
    limiter.seed = node.self.value;
    return limiter;
}

bool isOverShare(const Node& node, const ForwardCall& call)
{
    const auto it = node.forward.fair.limiters.find(call.backend);
    return it != node.forward.fair.limiters.end() && isLimited(it->second, node.now, accountOf(call));
}

static void logLimited(Node& node, const ForwardCall& call)
{
    auto& at = node.forward.fair.limitedAt[call.backend][accountOf(call)];
    if (!at.value)
        addLog(node, LogLevel::Warning, "account_limited", Step::Route, call.backend, "the backend is under pressure and the account above its share of it; part of its requests are refused",
            { { "account", accountOf(call) }, { "request", call.requestId } });
    at = node.now;
}

bool refuseOverShare(Node& node, ForwardCall& call, const TargetChoice& choice)
{
    if (!isFirstAttempt(call) || call.workMs > 0)
        return false;
    call.workMs = engineWorkMs(node, call, choice, choice.prefillTokens / tokensPerMs(node) + fixedWorkMs);
    recordOffer(node.forward.fair.meters[call.backend], node.now, accountOf(call), call.urgency, call.workMs, call.rule->target);
    if (admitWork(limiterOf(node, call.backend), node.now, accountOf(call), call.urgency, call.workMs, call.fingerprint))
        return false;
    logLimited(node, call);
    refuseForward(node, call, 503, "over_share", "the engines are busy, and the account is above its share of them", returnTime(node, call));
    return true;
}

void withdrawAdmission(Node& node, const ForwardCall& call)
{
    if (isFirstAttempt(call) && isOverShare(node, call))
        returnCredit(limiterOf(node, call.backend), accountOf(call), call.urgency, call.workMs);
}

TimeMs returnTime(Node& node, const ForwardCall& call)
{
    auto& limiter = limiterOf(node, call.backend);
    const double rate = admittedRate(limiter, node.forward.fair.meters[call.backend], accountOf(call));
    return promiseReturn(limiter, node.now, accountOf(call), call.workMs, rate, call.fingerprint);
}

void recordWorkDone(Node& node, const ForwardCall& call)
{
    if (call.workMs > 0)
        recordServed(node.forward.fair.meters[call.backend], node.now, call.urgency, call.workMs);
}

static bool takesRequests(const Node& node, const ForwardTarget& target)
{
    return target.engine && !target.leaving && !target.evacuated && !target.addressTaken && !isMisdirected(target) && node.now >= target.backoffUntil && node.now - target.lastSeen <= node.forward.choice.staleAfter;
}

static BackendEngines enginesOf(const Node& node, const std::string& backend)
{
    BackendEngines out;
    const auto ids = node.forward.targets.byBackend.find(backend);
    if (ids == node.forward.targets.byBackend.end())
        return out;
    const double rate = tokensPerMs(node);
    for (const UpstreamId id : ids->second) {
        const auto it = node.forward.targets.entries.find(id);
        if (it == node.forward.targets.entries.end() || !takesRequests(node, it->second))
            continue;
        TargetLoad load = it->second.own;
        load += it->second.others;
        const double queueMs = std::max(0.0, load.running - it->second.slots + 1) * queueDelayMs(node.forward.choice.costs, backend, it->second.slots);
        ++out.count;
        out.busy += load.prefillTokensUpTo(urgencyLevels - 1) > 0 || queueMs > 0 ? 1 : 0;
        double tokens = 0;
        for (size_t n = 0; n < out.backlogMs.size(); ++n) {
            tokens += load.prefillTokens[n];
            out.backlogMs[n] += tokens / rate + queueMs;
        }
    }
    for (double& it : out.backlogMs)
        it /= std::max(1.0, out.count);
    return out;
}

// The rate of the account's allowance, relative to the mean of those in the same unit, so that accounts with allowances in tokens and in
// requests, and those without one, compare.
static std::map<std::string, double> accountWeights(const Node& node)
{
    std::map<std::string, double> out;
    if (!node.forward.routes)
        return out;
    std::array<std::pair<double, double>, 2> sums {}; // Rate and number of accounts, in requests and in tokens.
    const auto& allowances = node.forward.routes->rules->allowances;
    for (const auto& it : allowances) {
        if (it.rate > 0) {
            sums[it.tokens ? 1 : 0].first += it.rate;
            sums[it.tokens ? 1 : 0].second += 1;
        }
    }
    for (const auto& it : allowances) {
        const auto& [rate, count] = sums[it.tokens ? 1 : 0];
        if (it.rate > 0)
            out[it.name] = it.rate * count / rate;
    }
    return out;
}

static CompactWork compact(const WorkByUrgency& work)
{
    CompactWork out;
    for (size_t n = 0; n < work.size(); ++n)
        out.levels[n] = static_cast<uint64_t>(std::llround(std::max(0.0, work[n])));
    return out;
}

static WorkByUrgency expand(const CompactWork& work)
{
    WorkByUrgency out {};
    std::copy(work.levels.begin(), work.levels.end(), out.begin());
    return out;
}

static AccountDemandFrame frameOf(const std::map<std::string, BackendWork>& backends)
{
    AccountDemandFrame frame;
    for (const auto& [backend, work] : backends) {
        ReportedWork reported { .backend = backend, .offered = {}, .served = compact(work.served), .targets = compact(work.targets) };
        for (const auto& [account, offered] : work.offered)
            reported.offered[account] = compact(offered);
        frame.backends.push_back(std::move(reported));
    }
    return frame;
}

static FairShareState::Report reportOf(const AccountDemandFrame& frame, TimeMs now)
{
    FairShareState::Report out { .backends = {}, .at = now };
    for (const auto& it : frame.backends) {
        BackendWork& work = out.backends[it.backend];
        for (const auto& [account, offered] : it.offered)
            work.offered[account] = expand(offered);
        work.served = expand(it.served);
        work.targets = expand(it.targets);
    }
    return out;
}

// Work at this node for the backends that may come under pressure, or are.
static std::map<std::string, BackendWork> ownWork(Node& node)
{
    std::map<std::string, BackendWork> out;
    for (auto& [backend, meter] : node.forward.fair.meters) {
        BackendWork work = measuredWork(meter, node.now);
        const BackendEngines engines = enginesOf(node, backend);
        const bool matters = waitRatio(work, engines, BackendPressure {}.workPerEngine) >= reportedWaitRatio || hasShares(limiterOf(node, backend), node.now);
        if (!work.offered.empty() && matters)
            out[backend] = std::move(work);
    }
    return out;
}

static void addReports(std::map<std::string, BackendWork>& sum, const std::map<NodeId, FairShareState::Report>& reports)
{
    for (const auto& [id, report] : reports) {
        for (const auto& [backend, work] : report.backends)
            sum[backend] += work;
    }
}

static void logPressure(Node& node, const std::string& backend, const BackendPressure& pressure, const BackendWork& work, const BackendEngines& engines)
{
    addLog(node, LogLevel::Warning, pressure.underPressure ? "backend_pressure" : "backend_pressure_over", Step::Route, backend,
        pressure.underPressure ? "more work is offered than the engines do in time; accounts above their share are limited" : "the engines do the offered work in time again",
        { { "offered_ms_per_s", std::to_string(std::llround(work.offeredSum())) }, { "capacity_ms_per_s", std::to_string(std::llround(pressure.workPerEngine * engines.count)) },
            { "engines", std::to_string(std::llround(engines.count)) }, { "wait_percent_of_target", std::to_string(std::llround(100 * waitRatio(work, engines, pressure.workPerEngine))) } });
}

// Admitted parts by backend, for those that are under pressure or were until now.
static std::map<std::string, AdmittedParts> computeParts(Node& node)
{
    auto& fair = node.forward.fair;
    std::map<std::string, AdmittedParts> out;
    const auto weights = accountWeights(node);
    // Without any report, the pressure is over.
    for (const auto& [backend, pressure] : fair.pressure)
        fair.total.try_emplace(backend);
    for (const auto& [backend, work] : fair.total) {
        auto& pressure = fair.pressure[backend];
        const bool before = pressure.underPressure;
        const BackendEngines engines = enginesOf(node, backend);
        updatePressure(pressure, node.now, work, engines);
        if (pressure.underPressure != before)
            logPressure(node, backend, pressure, work, engines);
        auto parts = computeShares(pressure, node.now, work, engines, weights);
        if (before || pressure.underPressure)
            out[backend] = std::move(parts);
    }
    return out;
}

static void applyParts(Node& node, const std::string& backend, AdmittedParts parts)
{
    auto& limiter = limiterOf(node, backend);
    setShares(limiter, node.now, std::move(parts));
    expireShares(limiter, node.now);
}

static void sendParts(Node& node, const std::map<std::string, AdmittedParts>& parts)
{
    AccountSharesFrame frame;
    for (const auto& [backend, accounts] : parts) {
        ReportedShares shares { .backend = backend, .parts = {} };
        for (const auto& [account, levels] : accounts) {
            auto& to = shares.parts[account];
            for (size_t n = 0; n < levels.size(); ++n)
                to[n] = static_cast<uint8_t>(std::llround(std::clamp(levels[n], 0.0, 1.0) * 255));
        }
        frame.backends.push_back(std::move(shares));
    }
    const std::string body = encode(frame);
    for (const auto& [id, report] : node.forward.fair.reporters)
        sendFrame(node, id, FrameKind::AccountShares, {}, body);
}

static void sendDemand(Node& node, const std::vector<NodeId>& to, FrameKind kind, const std::map<std::string, BackendWork>& work)
{
    const std::string body = encode(frameOf(work));
    for (const NodeId id : to) {
        if (id && id != node.self)
            sendFrame(node, id, kind, {}, body);
    }
}

// Sums the reports, and applies and sends the parts.
static void shareCapacity(Node& node, std::map<std::string, BackendWork> sum)
{
    auto& fair = node.forward.fair;
    const bool hubs = usesLoadHubs(node);
    addReports(sum, fair.reporters);
    if (hubs && !sum.empty())
        sendDemand(node, loadHubs(node), FrameKind::DomainAccountDemand, sum);
    if (hubs)
        addReports(sum, fair.otherHubs);
    fair.total = std::move(sum);
    const auto parts = computeParts(node);
    if (hubs && !parts.empty())
        sendParts(node, parts);
    if (!acceptsCallers(node))
        return;
    for (const auto& [backend, accounts] : parts)
        applyParts(node, backend, accounts);
}

static void expireFair(Node& node)
{
    auto& fair = node.forward.fair;
    const auto isOld = [&](const auto& it) { return node.now - it.second.at > reporterTimeout; };
    std::erase_if(fair.reporters, isOld);
    std::erase_if(fair.otherHubs, isOld);
    for (auto& [backend, accounts] : fair.limitedAt)
        std::erase_if(accounts, [&](const auto& it) { return node.now - it.second > limitedRetention; });
}

void tickFairShares(Node& node)
{
    auto& fair = node.forward.fair;
    if (node.now < fair.nextReport)
        return;
    const bool hubs = usesLoadHubs(node);
    fair.nextReport = node.now + reportInterval * static_cast<int64_t>(1 + (hubs ? domainNodeCount(node) : 0) / nodesPerInterval);
    expireFair(node);
    auto own = acceptsCallers(node) ? ownWork(node) : std::map<std::string, BackendWork> {};
    const NodeId hub = hubs ? domainHub(node) : node.self;
    if (hub != node.self) {
        if (hub && !own.empty())
            sendDemand(node, { hub }, FrameKind::AccountDemand, own);
        return;
    }
    if (!hubs && !own.empty())
        sendDemand(node, sendingNodes(node), FrameKind::AccountDemand, own);
    if (hubs || acceptsCallers(node))
        shareCapacity(node, std::move(own));
}

void receiveAccountDemand(Node& node, NodeId from, std::string_view body)
{
    if (const auto frame = decodeLoad<AccountDemandFrame>(node, body))
        node.forward.fair.reporters[from] = reportOf(*frame, node.now);
}

void receiveDomainAccountDemand(Node& node, NodeId from, std::string_view body)
{
    if (const auto frame = decodeLoad<AccountDemandFrame>(node, body))
        node.forward.fair.otherHubs[from] = reportOf(*frame, node.now);
}

void receiveAccountShares(Node& node, NodeId, std::string_view body)
{
    const auto frame = decodeLoad<AccountSharesFrame>(node, body);
    if (!frame || !acceptsCallers(node))
        return;
    for (const auto& it : frame->backends) {
        AdmittedParts parts;
        for (const auto& [account, levels] : it.parts) {
            auto& to = parts[account];
            for (size_t n = 0; n < levels.size(); ++n)
                to[n] = levels[n] / 255.0;
        }
        applyParts(node, it.backend, std::move(parts));
    }
}

}
