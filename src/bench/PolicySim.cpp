#include "bench/PolicySim.h"

#include "base/Hash.h"
#include "base/PrefixHash.h"
#include "emulator/Engine.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <unordered_set>

namespace siskinshunt {

namespace {
    constexpr TimeMs warmUp { 20000 };
    constexpr TimeMs reportInterval { 1000 };
    constexpr TimeMs gossipDelay { 200 }; ///< Delay until a node receives a load report.
    constexpr TimeMs reclaimNotice { 10000 };
    constexpr TimeMs noticeDelay { 200 }; ///< Delay until the nodes know of a reclaim notice.
    constexpr TimeMs startRefusalDuration { 20000 }; ///< Time after a reclaim during which the platform refuses to start replacements.
    constexpr TimeMs startDuration { 25000 };
    constexpr TimeMs maxHoldTime { 20000 }; ///< Time for which a node may hold a call back in favour of more urgent ones.
    constexpr uint32_t domainCount = 3;
    constexpr double domainPrice[domainCount] { 1.0, 1.15, 0.9 };

    /// One call of the workload.
    struct SimCall {
        TimeMs arrival;
        uint32_t classIndex = 0;
        uint32_t node = 0;
        EngineRequest request;
        int engine = -1;
        uint32_t attempts = 0;
        bool answered = false;
        bool done = false;
    };

    struct Machine {
        double speed;
        double price;
    };

    /// Every fourth instance is of the faster machine class.
    Machine machineOf(uint32_t instance)
    {
        return instance % 4 == 3 ? Machine { 1.6, 1.5 } : Machine { 1, 1 };
    }

    struct SimInstance {
        Engine engine;
        uint32_t domain = 0;
        double pricePerHour = 1;
        TimeMs startedAt;
        TimeMs readyAt;
        TimeMs goneAt = farFuture;
        uint64_t incarnation = 1;
        uint64_t cacheSeen = 0;
        bool acceptsNewWork = true; ///< As known to the nodes.
        UpstreamId id;
    };

    struct Sim {
        const Mix& mix;
        SimOptions options;
        std::vector<SimCall> calls;
        std::vector<SimInstance> fleet;
        std::vector<Router> routers;
        std::vector<uint32_t> nextTurn; ///< Round robin position, by node.
        std::unordered_set<uint64_t> computedBlocks;
        std::vector<uint32_t> retries; ///< Calls without an upstream, retried every 20 ms.
        Random random;
        SimResult result;
        TimeMs now;
    };

    uint32_t draw(Random& random, TokenRange range)
    {
        return static_cast<uint32_t>(random.between(range.low, range.high));
    }

    std::vector<double> zipfTable(const MixClass& it)
    {
        std::vector<double> out;
        double sum = 0;
        for (uint32_t n = 1; n <= it.prefixes; ++n)
            out.push_back(sum += 1 / std::pow(n, it.zipf));
        for (auto& value : out)
            value /= sum;
        return out;
    }

    double demandAt(const Mix& mix, TimeMs at)
    {
        const double slow = 1 + mix.demandAmplitude * std::sin(at.seconds() / 60 * 2 * std::numbers::pi);
        const bool burst = at.value % 40000 >= 24000 && at.value % 40000 < 32000;
        return mix.callsPerSecond * slow * (burst ? mix.burst : 1);
    }

    EngineRequest makeRequest(const MixClass& it, uint32_t classIndex, uint32_t prefix, uint64_t call, Random& random)
    {
        EngineRequest out { .call = { call }, .priority = it.priority, .route = std::string(it.name) };
        // All calls with the same prefix get the same prefix length.
        Random lengths(combineHash(classIndex + 1, prefix + 1));
        const uint32_t shared = draw(lengths, it.prefix);
        out.promptTokens = shared + draw(random, it.suffix);
        out.outputTokens = std::max<uint32_t>(1, draw(random, it.output));
        uint64_t chain = combineHash(classIndex + 1, prefix + 1);
        for (uint32_t n = 1; n <= out.promptTokens / prefixBlockTokens; ++n) {
            const bool common = n * prefixBlockTokens <= shared;
            chain = combineHash(chain, common ? n : call * 1000 + n);
            out.blocks.push_back(chain);
        }
        return out;
    }

    std::vector<SimCall> makeCalls(const Mix& mix, uint64_t seed, TimeMs duration)
    {
        Random random(combineHash(seed, 11));
        std::vector<std::vector<double>> tables;
        for (const auto& it : mix.classes)
            tables.push_back(zipfTable(it));
        std::vector<SimCall> out;
        const double peak = mix.callsPerSecond * (1 + mix.demandAmplitude) * std::max(1.0, mix.burst);
        for (double ms = random.exponential(1000 / peak); ms < static_cast<double>(duration.value); ms += random.exponential(1000 / peak)) {
            const TimeMs at { static_cast<int64_t>(ms) };
            if (!random.chance(demandAt(mix, at) / peak))
                continue;
            uint32_t classIndex = 0;
            for (double left = random.uniform(); classIndex + 1 < mix.classes.size() && left >= mix.classes[classIndex].share; ++classIndex)
                left -= mix.classes[classIndex].share;
            const auto& table = tables[classIndex];
            const auto prefix = static_cast<uint32_t>(std::lower_bound(table.begin(), table.end() - 1, random.uniform()) - table.begin());
            SimCall call { .arrival = at, .classIndex = classIndex, .node = static_cast<uint32_t>(random.below(mix.nodes)) };
            call.request = makeRequest(mix.classes[classIndex], classIndex, prefix, out.size() + 1, random);
            out.push_back(std::move(call));
        }
        return out;
    }

    EngineOptions engineOptions(uint64_t seed, double speed, TimeMs startedAt, TimeMs start)
    {
        EngineOptions out { .seed = seed, .startDuration = start, .startedAt = startedAt, .tokenEvents = false };
        out.stepBaseMs /= speed;
        out.stepPerCallMs /= speed;
        out.prefillMsPerToken /= speed;
        return out;
    }

    void startInstance(Sim& sim, uint32_t n, TimeMs start, uint64_t incarnation)
    {
        const auto machine = machineOf(n);
        const uint32_t domain = n % domainCount;
        SimInstance instance { .engine = Engine(engineOptions(combineHash(sim.options.seed, n * 100 + incarnation), machine.speed, sim.now, start)) };
        instance.domain = domain;
        instance.pricePerHour = machine.price * domainPrice[domain];
        instance.startedAt = sim.now;
        instance.readyAt = sim.now + start;
        instance.incarnation = incarnation;
        instance.acceptsNewWork = start == 0_ms;
        instance.id = idOfName<UpstreamId>("runner-" + std::to_string(n));
        if (n < sim.fleet.size())
            sim.fleet[n] = std::move(instance);
        else
            sim.fleet.push_back(std::move(instance));
    }

    void announce(Sim& sim, const SimInstance& it)
    {
        for (auto& router : sim.routers)
            updateTarget(router, { .id = it.id, .pool = "model", .version = "v1", .domain = std::to_string(it.domain), .incarnation = it.incarnation, .acceptsWork = it.acceptsNewWork, .pricePerHour = it.pricePerHour, .reclaimRisk = sim.mix.wave ? 10.0 : 0.1 });
    }

    UpstreamLoad reportOf(const EngineLoad& it)
    {
        return { it.running, it.waiting, it.capacity, it.cachedTokens, it.waitingTokens, it.tokensPerSecond, it.prefillTokensPerSecond };
    }

    void report(Sim& sim, SimInstance& it)
    {
        const EngineLoad seen = load(it.engine, sim.now - gossipDelay);
        const auto events = cacheEvents(it.engine, it.cacheSeen);
        for (auto& router : sim.routers) {
            updateLoad(router, it.id, reportOf(seen), seen.at);
            for (const auto& event : events)
                updateCache(router, it.id, event.block, event.added);
        }
        if (!events.empty())
            it.cacheSeen = events.back().sequence;
    }

    int engineIndex(const Sim& sim, UpstreamId id)
    {
        const auto it = std::find_if(sim.fleet.begin(), sim.fleet.end(), [&](const auto& instance) { return instance.id == id; });
        return it == sim.fleet.end() ? -1 : static_cast<int>(it - sim.fleet.begin());
    }

    int roundRobin(Sim& sim, uint32_t node)
    {
        for (size_t n = 0; n < sim.fleet.size(); ++n) {
            const uint32_t it = sim.nextTurn[node]++ % sim.fleet.size();
            if (sim.fleet[it].acceptsNewWork)
                return static_cast<int>(it);
        }
        return -1;
    }

    int leastLoaded(Sim& sim, uint32_t node)
    {
        auto& router = sim.routers[node];
        int best = -1;
        double bestCalls = 0;
        for (size_t n = 0; n < sim.fleet.size(); ++n) {
            if (!sim.fleet[n].acceptsNewWork)
                continue;
            const auto& row = router.rows[router.slots.at(sim.fleet[n].id)];
            const double calls = row.othersCalls + row.ownCalls + sim.random.uniform() * 0.5;
            if (best >= 0 && calls >= bestCalls)
                continue;
            best = static_cast<int>(n);
            bestCalls = calls;
        }
        return best;
    }

    int prefixHashOnly(Sim& sim, const EngineRequest& request)
    {
        const auto& blocks = request.blocks;
        // A prompt with fewer blocks than the key goes to a random upstream. Otherwise all calls that share only a short
        // instruction would go to the same upstream.
        const size_t used = sim.options.router.affinityBlocks;
        const uint64_t key = blocks.size() < used ? sim.random.next() : blocks[used - 1];
        int best = -1;
        uint64_t bestRank = 0;
        for (size_t n = 0; n < sim.fleet.size(); ++n) {
            const uint64_t rank = combineHash(key, sim.fleet[n].id.value);
            if (!sim.fleet[n].acceptsNewWork || (best >= 0 && rank <= bestRank))
                continue;
            best = static_cast<int>(n);
            bestRank = rank;
        }
        return best;
    }

    int choosePolicy(Sim& sim, const SimCall& call, Choice& choice)
    {
        const auto& it = sim.mix.classes[call.classIndex];
        switch (sim.options.policy) {
        case PolicyKind::RoundRobin:
            return roundRobin(sim, call.node);
        case PolicyKind::LeastLoad:
            return leastLoaded(sim, call.node);
        case PolicyKind::PrefixHashOnly:
            return prefixHashOnly(sim, call.request);
        case PolicyKind::Siskinshunt:
            break;
        }
        RouteRequest request { .pool = "model", .route = it.name, .blocks = call.request.blocks, .promptTokens = call.request.promptTokens + call.request.offset, .outputTokens = (it.output.low + it.output.high) / 2, .priority = it.priority };
        if (it.firstTokenTarget > 0_ms && !call.answered)
            request.firstTokenTarget = it.firstTokenTarget;
        request.canQueue = it.priority > 0 && sim.now < call.arrival + maxHoldTime;
        choice = choose(sim.routers[call.node], request, sim.now);
        return choice.upstream ? engineIndex(sim, choice.upstream) : -1;
    }

    void dispatch(Sim& sim, uint32_t index)
    {
        auto& call = sim.calls[index];
        Choice choice;
        const int n = choosePolicy(sim, call, choice);
        if (n < 0) {
            sim.retries.push_back(index);
            return;
        }
        call.request.attempt = ++call.attempts;
        if (submit(sim.fleet[static_cast<size_t>(n)].engine, call.request, sim.now) != SubmitResult::Accepted) {
            sim.retries.push_back(index);
            return;
        }
        call.engine = n;
        recordSent(sim.routers[call.node], { call.request.call, call.attempts, sim.fleet[static_cast<size_t>(n)].id, call.request.priority, call.request.promptTokens + call.request.offset, choice.cachedTokens }, sim.now);
    }

    /// Counts tokens of computed blocks that some engine had computed before; for a resumed call, all computed tokens.
    void countRecomputed(Sim& sim, const SimCall& call, const EngineEvent& event)
    {
        if (call.request.offset || call.attempts > 1) {
            sim.result.recomputedTokens += event.computedTokens;
        } else {
            for (size_t n = event.cachedTokens / prefixBlockTokens; n < call.request.blocks.size(); ++n)
                sim.result.recomputedTokens += sim.computedBlocks.contains(call.request.blocks[n]) ? prefixBlockTokens : 0;
        }
        sim.computedBlocks.insert(call.request.blocks.begin(), call.request.blocks.end());
    }

    void handleFirstToken(Sim& sim, SimCall& call, const EngineEvent& event)
    {
        recordFirstToken(sim.routers[call.node], call.request.call, event.attempt, call.request.blocks, event.cachedTokens, sim.now);
        countRecomputed(sim, call, event);
        if (call.answered)
            return;
        call.answered = true;
        const TimeMs target = sim.mix.classes[call.classIndex].firstTokenTarget;
        if (call.arrival < warmUp)
            return;
        if (target == 0_ms) {
            sim.result.withoutTargetMs.record(static_cast<uint64_t>((event.at - call.arrival).value));
            return;
        }
        const uint64_t inTime = event.at - call.arrival <= target ? 1 : 0;
        sim.result.inTime += inTime;
        sim.result.inTimeOf[call.classIndex] += inTime;
    }

    void handleEvent(Sim& sim, const EngineEvent& event)
    {
        const auto index = static_cast<uint32_t>(event.call.value - 1);
        auto& call = sim.calls[index];
        auto& router = sim.routers[call.node];
        if (event.kind == EngineEventKind::FirstToken)
            handleFirstToken(sim, call, event);
        if (event.kind == EngineEventKind::Done) {
            call.done = true;
            recordEnd(router, event.call, event.attempt, CallEnd::Done, sim.now);
            if (call.arrival >= warmUp)
                sim.result.usefulTokens += call.request.promptTokens + call.request.outputTokens;
        }
        if (event.kind == EngineEventKind::Failed) {
            recordEnd(router, event.call, event.attempt, CallEnd::Cancelled, sim.now);
            call.request.offset = event.offset;
            dispatch(sim, index);
        }
    }

    void advanceFleet(Sim& sim)
    {
        for (size_t n = 0; n < sim.fleet.size(); ++n) {
            if (nextEventAt(sim.fleet[n].engine) > sim.now)
                continue;
            for (const auto& event : advance(sim.fleet[n].engine, sim.now))
                handleEvent(sim, event);
        }
    }

    void chargeInstance(Sim& sim, const SimInstance& it, TimeMs until)
    {
        const TimeMs from = std::max(it.startedAt, warmUp);
        if (until > from)
            sim.result.instancePrice += it.pricePerHour * (until - from).seconds() / 3600;
    }

    void stepWave(Sim& sim)
    {
        if (!sim.mix.wave)
            return;
        const TimeMs starts[2] { 40_s, 40_s + (sim.options.duration - 40_s) / 2 };
        for (uint32_t wave = 0; wave < 2; ++wave) {
            for (size_t n = 0; n < sim.fleet.size(); ++n) {
                auto& it = sim.fleet[n];
                if (it.domain != (wave + sim.options.seed) % domainCount)
                    continue;
                if (sim.now == starts[wave]) {
                    reclaim(it.engine, sim.now + reclaimNotice);
                    it.goneAt = sim.now + reclaimNotice;
                }
                if (sim.now == starts[wave] + noticeDelay) {
                    it.acceptsNewWork = false;
                    announce(sim, it);
                }
                if (sim.now == starts[wave] + reclaimNotice + startRefusalDuration) {
                    chargeInstance(sim, it, it.goneAt);
                    startInstance(sim, static_cast<uint32_t>(n), startDuration, it.incarnation + 1);
                }
            }
        }
        for (auto& it : sim.fleet) {
            if (it.acceptsNewWork || it.goneAt != farFuture || sim.now < it.readyAt)
                continue;
            it.acceptsNewWork = true;
            announce(sim, it);
        }
    }

    void stepReports(Sim& sim)
    {
        for (size_t n = 0; n < sim.fleet.size(); ++n) {
            if ((sim.now.value + static_cast<int64_t>(n) * 137) % reportInterval.value == 0 && sim.now < sim.fleet[n].goneAt) {
                for (const auto& event : advance(sim.fleet[n].engine, sim.now))
                    handleEvent(sim, event);
                report(sim, sim.fleet[n]);
            }
        }
    }

    void stepRetries(Sim& sim)
    {
        if (sim.now.value % 20)
            return;
        std::vector<uint32_t> due;
        due.swap(sim.retries);
        const auto urgent = [&](uint32_t a, uint32_t b) { return sim.calls[a].request.priority != sim.calls[b].request.priority ? sim.calls[a].request.priority < sim.calls[b].request.priority : a < b; };
        std::sort(due.begin(), due.end(), urgent);
        for (uint32_t index : due)
            dispatch(sim, index);
    }

    void startFleet(Sim& sim)
    {
        for (uint32_t n = 0; n < sim.mix.nodes; ++n) {
            RouterOptions router = sim.options.router;
            router.self = idOfName<NodeId>("node-" + std::to_string(n));
            router.domain = std::to_string(n % domainCount);
            router.seed = combineHash(sim.options.seed, n + 77);
            router.indexCapacity = 1 << 14;
            router.nodes = sim.mix.nodes;
            sim.routers.emplace_back(router);
        }
        sim.nextTurn.resize(sim.mix.nodes);
        for (uint32_t n = 0; n < sim.mix.nodes; ++n)
            sim.nextTurn[n] = n * 5;
        for (uint32_t n = 0; n < sim.options.runners; ++n) {
            startInstance(sim, n, 0_ms, 1);
            announce(sim, sim.fleet[n]);
        }
    }
}

SimResult simulate(const Mix& mix, const SimOptions& options)
{
    Sim sim { .mix = mix, .options = options, .calls = makeCalls(mix, options.seed, options.duration), .random = Random(combineHash(options.seed, 5)) };
    startFleet(sim);
    size_t next = 0;
    // Calls that arrive at the end of the run get 20 s to complete.
    for (; sim.now < options.duration + 20_s; sim.now += 1_ms) {
        stepWave(sim);
        advanceFleet(sim);
        stepReports(sim);
        stepRetries(sim);
        for (; next < sim.calls.size() && sim.calls[next].arrival <= sim.now; ++next)
            dispatch(sim, static_cast<uint32_t>(next));
    }
    for (const auto& it : sim.fleet)
        chargeInstance(sim, it, std::min(it.goneAt, options.duration));
    for (const auto& call : sim.calls) {
        const bool measured = call.arrival >= warmUp;
        const bool target = mix.classes[call.classIndex].firstTokenTarget > 0_ms;
        sim.result.withTarget += measured && target ? 1 : 0;
        sim.result.withTargetOf[call.classIndex] += measured && target ? 1 : 0;
        sim.result.failed += measured && !call.done ? 1 : 0;
    }
    return sim.result;
}

}
