#include "FairFleet.h"

#include "base/Hash.h"
#include "forward/FairAdmission.h"
#include "forward/Overload.h"
#include "limits/ClassQueue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace siskinshunt {

namespace {

    constexpr size_t accountCount = 16;
    constexpr size_t engineCount = 60;
    constexpr double requestsPerSecond = 651;
    constexpr TimeMs stepTime { 10 };
    constexpr TimeMs overloadStart { 3000 };
    constexpr TimeMs tail { 3000 };
    constexpr TimeMs snapshotInterval { 50 };
    // Work of a request with a long prompt and of all others; together 0.7 of what the engines can do at the usual load.
    constexpr double longWorkMs = 142;
    constexpr double shortWorkMs = 31;
    constexpr double longFraction = 0.3;

    struct RequestClass {
        int urgency = 0;
        TimeMs target;
        double fraction = 0;
    };
    const std::array<RequestClass, 3> classes { { { 1, 500_ms, 0.3 }, { 4, 800_ms, 0.4 }, { 7, 1500_ms, 0.3 } } };

    struct Request {
        uint64_t id = 0;
        int account = 0;
        size_t kind = 0;
        double workMs = 0;
        TimeMs firstArrived; ///< The first try.
        TimeMs arrived;
        int tries = 0;
        size_t node = 0;
    };

    struct Engine {
        std::array<std::deque<std::pair<Request, double>>, 3> waiting; ///< With the work left.
        std::optional<std::pair<Request, double>> current;
        bool eligible = true;
        bool gone = false;
    };

    using EngineLoads = std::array<std::array<double, 3>, engineCount>; ///< Work by engine and class.

    struct Snapshot {
        TimeMs at;
        EngineLoads loads {};
        BackendWork work;
        AdmittedParts parts;
    };

    struct EntryNode {
        WorkMeter meter;
        ShareLimiter limiter;
        CallQueue queue;
        std::map<uint64_t, Request> queued;
    };

    std::string nameOfAccount(int account)
    {
        return "account-" + std::to_string(account + 1);
    }

    struct FairFleet {
        FairFleet(const FairLoad& load, FairPolicy policy, size_t nodeCount, TimeMs reportAge)
            : load(load)
            , policy(policy)
            , age(reportAge)
            , nodes(nodeCount)
            , engines(engineCount)
            , random { 4711 }
        {
            double sum = 0;
            for (size_t n = 0; n < accountCount; ++n)
                sum += sizes.emplace_back(std::pow(static_cast<double>(n + 1), -1.2));
            for (double& size : sizes)
                size /= sum;
            for (size_t n = 0; n < accountCount; ++n)
                weights[nameOfAccount(static_cast<int>(n))] = sizes[n];
            for (size_t n = 0; n < nodes.size(); ++n)
                nodes[n].limiter.seed = combineHash(n, 17);
        }

        bool overloaded(TimeMs at) const { return at >= overloadStart && at < overloadStart + load.duration; }

        void arrive(TimeMs until)
        {
            for (size_t n = 0; n < accountCount; ++n) {
                const double rate = sizes[n] * requestsPerSecond * (overloaded(now) ? load.factor(static_cast<int>(n)) : 1);
                due[n] += rate * stepTime.seconds();
                // Exponential distances between arrivals, with the mean of the rate.
                while (due[n] >= next[n]) {
                    due[n] -= next[n];
                    next[n] = -std::log(1 - random.uniform());
                    addRequest(static_cast<int>(n), until);
                }
            }
        }

        void addRequest(int account, TimeMs at)
        {
            Request request { .id = ++lastId, .account = account, .firstArrived = at, .arrived = at, .tries = 1, .node = random.below(nodes.size()) };
            const double draw = random.uniform();
            request.kind = draw < classes[0].fraction ? 0 : draw < classes[0].fraction + classes[1].fraction ? 1
                                                                                                             : 2;
            request.workMs = random.uniform() < longFraction ? longWorkMs : shortWorkMs;
            if (overloaded(at)) {
                offered[account] += request.workMs;
                ++offeredCounts[{ account, request.kind }];
            }
            handle(request);
        }

        const Snapshot* snapshotAt(TimeMs at) const
        {
            const Snapshot* out = nullptr;
            for (const auto& it : snapshots) {
                if (it.at <= at)
                    out = &it;
            }
            return out;
        }

        // The engine with the least work that the request waits for or delays, by its present load: what is tested is the admission, not
        // the choice of engines by loads that are not up to date.
        std::pair<size_t, double> bestEngine(size_t kind) const
        {
            std::pair<size_t, double> out { 0, 0 };
            double best = 1e300;
            for (size_t n = 0; n < engineCount; ++n) {
                if (!engines[n].eligible)
                    continue;
                double backlog = 0;
                for (size_t k = 0; k <= kind; ++k)
                    backlog += loads[n][k];
                double delayed = 0;
                for (size_t k = kind + 1; k < 3; ++k)
                    delayed += loads[n][k];
                if (backlog + delayed / 2 < best) {
                    best = backlog + delayed / 2;
                    out = { n, backlog };
                }
            }
            return out;
        }

        void handle(Request request)
        {
            EntryNode& node = nodes[request.node];
            const auto [engine, backlog] = bestEngine(request.kind);
            const auto& target = classes[request.kind].target;
            if (policy == FairPolicy::NodeQueues)
                return queueAt(node, request, target);
            const std::string account = nameOfAccount(request.account);
            const int urgency = classes[request.kind].urgency;
            if (policy == FairPolicy::Shares) {
                recordOffer(node.meter, now, account, urgency, request.workMs, target);
                if (!admitWork(node.limiter, now, account, urgency, request.workMs, request.id)) {
                    ++result.refusedByShares;
                    const double rate = admittedRate(node.limiter, node.meter, account);
                    return refuse(request, promiseReturn(node.limiter, now, account, request.workMs, rate, request.id));
                }
            }
            const TargetChoice choice { .waitMs = 40 + request.workMs + backlog, .backlogMs = backlog };
            const bool limited = policy == FairPolicy::Shares && isLimited(node.limiter, now, account);
            if (isOverloaded(choice, target, limited)) {
                if (policy == FairPolicy::Shares)
                    returnCredit(node.limiter, account, urgency, request.workMs);
                return refuse(request, TimeMs { static_cast<int64_t>(backlog) });
            }
            send(request, engine);
        }

        void send(const Request& request, size_t engine)
        {
            loads[engine][request.kind] += request.workMs;
            engines[engine].waiting[request.kind].push_back({ request, request.workMs });
        }

        void refuse(Request request, TimeMs retryAfter)
        {
            if (load.repeats && request.tries <= load.repeats) {
                ++request.tries;
                request.node = random.below(nodes.size());
                coming.emplace(now + stepTime, request);
            } else if (!load.repeats && request.tries == 1 && retryAfter <= 2_s) {
                ++request.tries;
                coming.emplace(now + retryAfter, request);
            }
        }

        void queueAt(EntryNode& node, const Request& request, TimeMs target)
        {
            QueuedCall call;
            call.call = CallId { request.id };
            call.account = nameOfAccount(request.account);
            call.weight = sizes[static_cast<size_t>(request.account)] * 100;
            call.className = "engines";
            call.priority = 0;
            call.arrived = now;
            call.deadline = now + target;
            call.service = { static_cast<int64_t>(request.workMs) };
            call.cost = request.workMs;
            std::vector<RefusedCall> refused;
            node.queued[request.id] = request;
            enqueue(node.queue, call, now, refused);
            refuseQueued(node, refused);
        }

        void refuseQueued(EntryNode& node, const std::vector<RefusedCall>& refused)
        {
            for (const auto& it : refused) {
                const auto request = node.queued.find(it.call.value);
                if (request == node.queued.end())
                    continue;
                const Request copy = request->second;
                node.queued.erase(request);
                refuse(copy, it.retryAfter);
            }
        }

        void dispatchQueued(EntryNode& node)
        {
            std::vector<RefusedCall> refused;
            tickQueue(node.queue, now, refused);
            while (!node.queued.empty() && bestEngine(2).second < 300) {
                const auto call = dequeue(node.queue, now, refused);
                if (!call)
                    break;
                const auto it = node.queued.find(call->call.value);
                if (it == node.queued.end())
                    continue;
                const Request request = it->second;
                node.queued.erase(it);
                send(request, bestEngine(request.kind).first);
            }
            refuseQueued(node, refused);
        }

        void finish(const Request& request)
        {
            recordServed(nodes[request.node].meter, now, classes[request.kind].urgency, request.workMs);
            if (!overloaded(request.firstArrived) || now - request.arrived + 40_ms > classes[request.kind].target)
                return;
            served[request.account] += request.workMs;
            ++servedCounts[{ request.account, request.kind }];
        }

        void runEngine(Engine& engine)
        {
            double left = engine.gone ? 0 : static_cast<double>(stepTime.value);
            // What an engine does after the notice that it goes away is not counted: it takes nothing new.
            const bool counts = overloaded(now) && engine.eligible;
            capacity += counts ? left : 0;
            while (left > 0) {
                if (!engine.current) {
                    const auto it = std::find_if(engine.waiting.begin(), engine.waiting.end(), [](const auto& queue) { return !queue.empty(); });
                    if (it == engine.waiting.end())
                        return;
                    engine.current = it->front();
                    it->pop_front();
                }
                const double done = std::min(left, engine.current->second);
                engine.current->second -= done;
                left -= done;
                used += counts ? done : 0;
                if (engine.current->second > 1e-9)
                    return;
                finish(engine.current->first);
                engine.current.reset();
            }
        }

        void removeEngines()
        {
            for (size_t n = 0; n < load.enginesGone; ++n) {
                Engine& engine = engines[n];
                const TimeMs goneAt = overloadStart + load.duration / 2;
                engine.eligible = now < goneAt - 2500_ms;
                if (engine.gone || now < goneAt)
                    continue;
                engine.gone = true;
                // Requests in progress are sent on, without admission.
                for (auto& queue : engine.waiting) {
                    for (const auto& [request, left] : queue)
                        send(request, bestEngine(request.kind).first);
                    queue.clear();
                }
                if (engine.current)
                    send(engine.current->first, bestEngine(engine.current->first.kind).first);
                engine.current.reset();
            }
        }

        EngineLoads engineLoads() const
        {
            EngineLoads out {};
            for (size_t n = 0; n < engineCount; ++n) {
                for (size_t k = 0; k < 3; ++k) {
                    for (const auto& it : engines[n].waiting[k])
                        out[n][k] += it.second;
                }
                if (engines[n].current)
                    out[n][0] += engines[n].current->second;
            }
            return out;
        }

        BackendEngines backendEngines(const EngineLoads& loads) const
        {
            BackendEngines out;
            for (size_t n = 0; n < engineCount; ++n) {
                if (!engines[n].eligible)
                    continue;
                ++out.count;
                out.busy += loads[n][0] + loads[n][1] + loads[n][2] > 0 ? 1 : 0;
                for (size_t k = 0; k < 3; ++k) {
                    for (size_t level = static_cast<size_t>(classes[k].urgency); level < out.backlogMs.size(); ++level)
                        out.backlogMs[level] += loads[n][k];
                }
            }
            for (double& it : out.backlogMs)
                it /= std::max(1.0, out.count);
            return out;
        }

        // The hub works with meters that are half of the age old, and its shares reach the nodes after the other half.
        void takeSnapshot()
        {
            Snapshot snapshot { .at = now, .loads = loads };
            if (policy == FairPolicy::Shares) {
                for (auto& node : nodes)
                    snapshot.work += measuredWork(node.meter, now);
                const Snapshot* reported = snapshotAt(now - age / 2);
                if (reported) {
                    const BackendEngines backend = backendEngines(reported->loads);
                    updatePressure(pressure, now, reported->work, backend);
                    snapshot.parts = computeShares(pressure, now, reported->work, backend, weights);
                }
            }
            snapshots.push_back(std::move(snapshot));
            while (snapshots.front().at < now - age - 200_ms)
                snapshots.pop_front();
            const Snapshot* shares = snapshotAt(now - age / 2);
            if (policy != FairPolicy::Shares || !shares)
                return;
            for (auto& node : nodes)
                setShares(node.limiter, now, shares->parts);
        }

        FairResult run()
        {
            for (double& it : next)
                it = -std::log(1 - random.uniform());
            for (now = 10_ms; now < overloadStart + load.duration + tail; now += stepTime) {
                removeEngines();
                if (now.value % snapshotInterval.value == 0)
                    takeSnapshot();
                arrive(now);
                while (!coming.empty() && coming.begin()->first <= now) {
                    Request request = coming.begin()->second;
                    coming.erase(coming.begin());
                    request.arrived = now;
                    handle(request);
                }
                if (policy == FairPolicy::NodeQueues) {
                    for (auto& node : nodes)
                        dispatchQueued(node);
                }
                for (auto& engine : engines)
                    runEngine(engine);
                loads = engineLoads();
            }
            return conclude();
        }

        FairResult conclude()
        {
            std::map<std::string, double> demands;
            double offeredSum = 0;
            double servedSum = 0;
            for (const auto& [account, work] : offered) {
                demands[nameOfAccount(account)] = work;
                offeredSum += work;
                servedSum += served[account];
            }
            const double level = waterLevel(demands, weights, capacity);
            for (const auto& [account, work] : offered) {
                const double entitled = std::min(work, level * sizes[static_cast<size_t>(account)]);
                if (served[account] / entitled < result.leastShare) {
                    result.leastShare = served[account] / entitled;
                    result.leastAccount = nameOfAccount(account);
                }
            }
            for (const auto& [key, count] : offeredCounts) {
                if (count >= 20 && !servedCounts[key])
                    result.starved += nameOfAccount(key.first) + " urgency " + std::to_string(classes[key.second].urgency) + " ";
            }
            result.used = used / capacity;
            result.inTime = servedSum / offeredSum;
            return result;
        }

        FairLoad load;
        FairPolicy policy;
        TimeMs age;
        std::vector<EntryNode> nodes;
        std::vector<Engine> engines;
        Random random;
        std::vector<double> sizes;
        std::map<std::string, double> weights;
        std::array<double, accountCount> due {};
        std::array<double, accountCount> next {};
        uint64_t lastId = 0;
        TimeMs now;
        std::multimap<TimeMs, Request> coming;
        std::deque<Snapshot> snapshots;
        EngineLoads loads {};
        BackendPressure pressure;
        double capacity = 0;
        double used = 0;
        std::map<int, double> offered;
        std::map<int, double> served;
        std::map<std::pair<int, size_t>, int> offeredCounts;
        std::map<std::pair<int, size_t>, int> servedCounts;
        FairResult result;
    };

}

FairResult runFairFleet(const FairLoad& load, FairPolicy policy, size_t nodes, TimeMs reportAge)
{
    return FairFleet(load, policy, nodes, reportAge).run();
}

}
