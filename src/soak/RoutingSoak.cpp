#include "base/Hash.h"
#include "base/Invariant.h"
#include "emulator/Engine.h"
#include "limits/ClassQueue.h"
#include "limits/Lease.h"
#include "routing/Router.h"
#include "soak/Soak.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>

namespace siskinshunt {

namespace {
    constexpr uint32_t runnerCount = 12;
    constexpr TimeMs scheduleLength { 60000 };

    struct Runner {
        RoutingTarget target;
        std::unique_ptr<Engine> engine;
        std::optional<TimeMs> backAt;
    };

    struct RoutingSchedule {
        Random random;
        Router router;
        std::vector<Runner> runners;
        SoakResult result;
        uint64_t calls = 0;
        uint64_t open = 0;
        TimeMs now;
    };

    void startRunner(RoutingSchedule& schedule, uint32_t n)
    {
        auto& runner = schedule.runners[n];
        ++runner.target.incarnation;
        runner.target.acceptsWork = true;
        runner.target.version = schedule.random.chance(0.3) ? "v2" : "v1";
        EngineOptions options { .seed = schedule.random.next(), .version = runner.target.version, .maxBatch = 8, .startedAt = schedule.now, .tokenEvents = false };
        if (schedule.random.chance(0.3)) {
            options.faults.push_back({ .from = schedule.now + TimeMs { schedule.random.between(0, 10000) }, .errorProbability = schedule.random.uniform() });
            ++schedule.result.faults["failing runner"];
        }
        runner.engine = std::make_unique<Engine>(options);
        runner.backAt.reset();
        updateTarget(schedule.router, runner.target);
    }

    void reclaimDomain(RoutingSchedule& schedule)
    {
        const auto domain = std::to_string(schedule.random.below(3));
        for (auto& runner : schedule.runners) {
            if (runner.target.domain != domain || !runner.target.acceptsWork)
                continue;
            reclaim(*runner.engine, schedule.now + 2_s);
            runner.target.acceptsWork = false;
            runner.backAt = schedule.now + TimeMs { schedule.random.between(2000, 15000) };
            updateTarget(schedule.router, runner.target);
        }
        ++schedule.result.faults["domain reclaimed"];
    }

    void report(RoutingSchedule& schedule, Runner& runner)
    {
        if (schedule.random.chance(0.2)) {
            ++schedule.result.faults["load report lost"];
            return;
        }
        const EngineLoad it = load(*runner.engine, schedule.now);
        updateLoad(schedule.router, runner.target.id, { it.running, it.waiting, it.capacity, it.cachedTokens, it.waitingTokens, it.tokensPerSecond, it.prefillTokensPerSecond }, it.at);
        for (const auto& event : cacheEvents(*runner.engine, 0))
            updateCache(schedule.router, runner.target.id, event.block, event.added);
    }

    Runner& runnerOf(RoutingSchedule& schedule, UpstreamId id)
    {
        return *std::find_if(schedule.runners.begin(), schedule.runners.end(), [&](const auto& it) { return it.target.id == id; });
    }

    EngineRequest makeRequest(RoutingSchedule& schedule)
    {
        EngineRequest out { .call = { ++schedule.calls }, .priority = static_cast<int>(schedule.random.below(10)), .outputTokens = static_cast<uint32_t>(schedule.random.between(1, 100)) };
        uint64_t chain = schedule.random.below(20) + 1;
        for (uint64_t n = schedule.random.below(20); n > 0; --n)
            out.blocks.push_back(chain = combineHash(chain, n));
        out.promptTokens = static_cast<uint32_t>(out.blocks.size() * 256 + 10);
        return out;
    }

    void sendCall(RoutingSchedule& schedule)
    {
        const auto engineRequest = makeRequest(schedule);
        RouteRequest request { .pool = "model", .blocks = engineRequest.blocks, .promptTokens = engineRequest.promptTokens, .outputTokens = 50, .priority = engineRequest.priority };
        if (schedule.random.chance(0.5))
            request.firstTokenTarget = 500_ms;
        request.canQueue = schedule.random.chance(0.3);
        request.repeatable = schedule.random.chance(0.7);
        const auto choice = choose(schedule.router, request, schedule.now);
        if (!choice.upstream)
            return;
        auto& runner = runnerOf(schedule, choice.upstream);
        if (!runner.target.acceptsWork)
            schedule.result.violation = "upstream chosen that may take no new work";
        if (submit(*runner.engine, engineRequest, schedule.now) != SubmitResult::Accepted)
            return;
        ++schedule.open;
        recordSent(schedule.router, { engineRequest.call, 1, choice.upstream, request.priority, request.promptTokens, choice.cachedTokens }, schedule.now);
    }

    void handleEngineEvents(RoutingSchedule& schedule, Runner& runner)
    {
        for (const auto& event : advance(*runner.engine, schedule.now)) {
            if (event.kind == EngineEventKind::FirstToken)
                recordFirstToken(schedule.router, event.call, event.attempt, {}, event.cachedTokens, schedule.now);
            if (event.kind != EngineEventKind::Done && event.kind != EngineEventKind::Failed)
                continue;
            --schedule.open;
            recordEnd(schedule.router, event.call, event.attempt, event.kind == EngineEventKind::Done ? CallEnd::Done : CallEnd::Failed, schedule.now);
        }
    }

    void checkRouter(RoutingSchedule& schedule)
    {
        const auto& router = schedule.router;
        uint32_t members = 0;
        uint32_t ejected = 0;
        for (const auto& row : router.rows) {
            members += row.used && row.target.acceptsWork ? 1 : 0;
            ejected += row.used && row.target.acceptsWork && row.health.ejected ? 1 : 0;
        }
        // After a pool has shrunk, its ejected members are released only at the next choice.
        if (!router.pools.at("model").stale && ejected > ejectionLimit(members))
            schedule.result.violation = "more than half of the pool is ejected";
        if (router.calls.size() != schedule.open)
            schedule.result.violation = "calls in flight are miscounted";
    }

    SoakResult runRouting(uint64_t seed)
    {
        RoutingSchedule schedule { .random = Random(seed), .router = Router({ .self = { seed }, .domain = "0", .seed = seed, .subsetSize = 6, .indexCapacity = 256 }) };
        for (uint32_t n = 0; n < runnerCount; ++n) {
            schedule.runners.push_back({ .target = { .id = idOfName<UpstreamId>("r" + std::to_string(n)), .pool = "model", .domain = std::to_string(n % 3) } });
            startRunner(schedule, n);
        }
        setShares(schedule.router.split, { { "model", "v1", "", 0.9 }, { "model", "v2", "", 0.1 } });
        for (; schedule.now < scheduleLength && schedule.result.violation.empty(); schedule.now += 10_ms) {
            if (schedule.random.chance(0.001))
                reclaimDomain(schedule);
            for (uint32_t n = 0; n < runnerCount; ++n) {
                handleEngineEvents(schedule, schedule.runners[n]);
                if (schedule.random.chance(0.01))
                    report(schedule, schedule.runners[n]);
                if (schedule.runners[n].backAt && *schedule.runners[n].backAt <= schedule.now)
                    startRunner(schedule, n);
            }
            for (uint64_t n = schedule.random.below(3); n > 0; --n)
                sendCall(schedule);
            checkRouter(schedule);
        }
        return schedule.result;
    }

    struct QueueSchedule {
        Random random;
        CallQueue queue;
        SoakResult result;
        std::map<std::string, double> served; ///< Dispatched cost by account since all accounts have queued calls.
        std::set<uint64_t> open; ///< Calls that were neither dispatched nor refused.
        uint64_t calls = 0;
    };

    constexpr double maxCost = 8;

    double weightOf(const std::string& account) { return account == "large" ? 4 : account == "middle" ? 1
                                                                                                      : 0.5; }

    void handleRefusals(QueueSchedule& schedule, std::vector<RefusedCall>& refused, bool canDisplace)
    {
        for (const auto& it : refused) {
            if (!schedule.open.erase(it.call.value))
                schedule.result.violation = "a call got two final answers";
            if (it.retryAfter <= 0_ms)
                schedule.result.violation = "refusal without a time to come back";
            if (it.reason == QueueRefusal::Displaced && !canDisplace)
                schedule.result.violation = "displaced without a new call";
            ++schedule.result.faults["refused: " + std::string(nameOf(it.reason))];
        }
        refused.clear();
    }

    void enqueueCall(QueueSchedule& schedule, TimeMs now)
    {
        static const std::string names[] { "large", "large", "large", "middle", "small" };
        QueuedCall call { .call = { ++schedule.calls }, .account = names[schedule.random.below(5)], .className = "class", .deadline = now + TimeMs { schedule.random.between(100, 30000) }, .service = 50_ms, .cost = 1 + schedule.random.uniform() * (maxCost - 1), .bytes = schedule.random.below(2000) };
        call.weight = weightOf(call.account);
        std::vector<RefusedCall> refused;
        schedule.open.insert(call.call.value);
        const bool queued = enqueue(schedule.queue, call, now, refused);
        handleRefusals(schedule, refused, true);
        if (queued != schedule.open.contains(schedule.calls))
            schedule.result.violation = "enqueue and its refusals disagree";
    }

    void dequeueCall(QueueSchedule& schedule, TimeMs now)
    {
        const auto& classes = schedule.queue.classes;
        const auto backlogged = [&] {
            const auto& accounts = classes.begin()->second.accounts;
            return accounts.size() == 3 && std::all_of(accounts.begin(), accounts.end(), [](const auto& it) { return !it.second.calls.empty(); });
        };
        if (classes.empty() || !backlogged())
            schedule.served.clear();
        std::vector<RefusedCall> refused;
        const auto call = dequeue(schedule.queue, now, refused);
        handleRefusals(schedule, refused, false);
        if (!call)
            return;
        schedule.open.erase(call->call.value);
        if (now + call->service > call->deadline)
            schedule.result.violation = "a late call was dispatched";
        if (!backlogged()) {
            schedule.served.clear();
            return;
        }
        schedule.served[call->account] += call->cost;
        for (const auto* a : { "large", "middle", "small" }) {
            for (const auto* b : { "large", "middle", "small" }) {
                if (std::abs(schedule.served[a] / weightOf(a) - schedule.served[b] / weightOf(b)) > maxCost / weightOf(a) + maxCost / weightOf(b) + 1e-6)
                    schedule.result.violation = "fairness bound broken";
            }
        }
    }

    SoakResult runQueue(uint64_t seed)
    {
        QueueSchedule schedule { .random = Random(seed) };
        setQueueBounds(schedule.queue, "class", 5, { .requests = 60, .bytes = 40000 });
        uint64_t served = 0;
        for (TimeMs now; now < scheduleLength && schedule.result.violation.empty(); now += 20_ms) {
            if (now.value % 5000 == 0) {
                served = schedule.random.below(3);
                schedule.result.faults["stalled queue"] += served ? 0 : 1;
            }
            for (uint64_t n = schedule.random.below(4); n > 0; --n)
                enqueueCall(schedule, now);
            for (uint64_t n = 0; n < served; ++n)
                dequeueCall(schedule, now);
            std::vector<RefusedCall> refused;
            tickQueue(schedule.queue, now, refused);
            handleRefusals(schedule, refused, false);
            uint32_t waiting = 0;
            for (const auto& [key, it] : schedule.queue.classes)
                waiting += it.requests;
            if (waiting != schedule.open.size() || waiting > 60)
                schedule.result.violation = "queued calls are miscounted";
        }
        return schedule.result;
    }

    struct LeaseMessage {
        TimeMs at;
        size_t holder = 0;
        std::optional<LeaseRequest> request;
        std::optional<LeaseGrant> grant;
    };

    SoakResult runLeases(uint64_t seed)
    {
        Random random(seed);
        SoakResult result;
        const LeaseOptions options;
        LeaseGrantor grantor { .options = options, .startedAt = { -100000 } };
        std::vector<LeaseHolder> holders(2 + random.below(10));
        for (auto& it : holders)
            recordNodeCount(it, static_cast<uint32_t>(holders.size()));
        std::vector<LeaseMessage> messages;
        const auto post = [&](LeaseMessage it, TimeMs now) {
            if (random.chance(0.2)) {
                ++result.faults["lease message lost"];
                return;
            }
            it.at = now + TimeMs { random.chance(0.1) ? random.between(100, 3000) : random.between(1, 50) };
            messages.push_back(std::move(it));
        };
        TimeMs silentUntil;
        for (TimeMs now; now < scheduleLength && result.violation.empty(); now += 20_ms) {
            if (random.chance(0.001)) {
                grantor = { .options = options, .startedAt = now };
                ++result.faults["new grantor"];
            }
            if (random.chance(0.0005)) {
                silentUntil = now + TimeMs { random.between(1000, 10000) };
                ++result.faults["grantor silent"];
            }
            double sum = 0;
            for (size_t n = 0; n < holders.size(); ++n) {
                recordDemand(holders[n], random.chance(0.3) ? random.uniform() * static_cast<double>(n) : 0);
                LeaseMessage message { .holder = n, .request = LeaseRequest {} };
                if (nextRequest(holders[n], options, { n + 1 }, "key", now, *message.request) && now >= silentUntil)
                    post(std::move(message), now);
                sum += shareInForce(holders[n], now);
            }
            if (sum > leaseOvershoot + 1e-9)
                result.violation = "shares in force sum to " + std::to_string(sum);
            std::vector<LeaseMessage> due;
            for (size_t n = 0; n < messages.size();) {
                if (messages[n].at > now) {
                    ++n;
                    continue;
                }
                due.push_back(std::move(messages[n]));
                messages[n] = std::move(messages.back());
                messages.pop_back();
            }
            for (auto& it : due) {
                if (it.grant)
                    handleGrant(holders[it.holder], *it.grant, now);
                else if (auto answer = grant(grantor, *it.request, now))
                    post({ .holder = it.holder, .grant = std::move(answer) }, now);
            }
            expireGrants(grantor, now);
        }
        return result;
    }

    const SoakRegistration routingSoak("routing", runRouting);
    const SoakRegistration queueSoak("limits.queue", runQueue);
    const SoakRegistration leaseSoak("limits.lease", runLeases);
}

}
