#include "base/Hash.h"
#include "bench/Bench.h"
#include "bench/PolicySim.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace siskinshunt {

namespace {
    constexpr double requiredInTime = 0.95;

    Mix punjab(bool wave)
    {
        return { .name = wave ? "punjab_wave" : "punjab_calm",
            .classes = {
                { .name = "crew", .priority = 0, .firstTokenTarget = 400_ms, .share = 0.5, .prefix = { 256, 256 }, .suffix = { 100, 500 }, .output = { 40, 150 } },
                { .name = "dossier", .priority = 5, .firstTokenTarget = 2_s, .share = 0.3, .prefixes = 150, .zipf = 0.9, .prefix = { 5000, 10000 }, .suffix = { 200, 1200 }, .output = { 300, 700 } },
                { .name = "script", .priority = 7, .share = 0.2, .prefix = { 512, 512 }, .suffix = { 50, 300 }, .output = { 100, 300 } },
            },
            .callsPerSecond = 24,
            .demandAmplitude = 0.3,
            .burst = 2,
            .wave = wave,
            .maxRunners = 24 };
    }

    Mix ironveld(bool wave)
    {
        return { .name = wave ? "ironveld_wave" : "ironveld_calm",
            .classes = {
                { .name = "walk-in", .priority = 0, .firstTokenTarget = 400_ms, .share = 0.45, .prefix = { 768, 768 }, .suffix = { 50, 200 }, .output = { 60, 200 } },
                { .name = "proposal", .priority = 5, .firstTokenTarget = 2_s, .share = 0.3, .prefixes = 120, .zipf = 0.8, .prefix = { 3000, 6000 }, .suffix = { 500, 1500 }, .output = { 400, 800 } },
                { .name = "floor-plan", .priority = 6, .firstTokenTarget = 3_s, .share = 0.25, .prefixes = 250, .zipf = 0.7, .prefix = { 3000, 6000 }, .suffix = { 100, 500 }, .output = { 150, 300 } },
            },
            .callsPerSecond = 50,
            .demandAmplitude = 0.3,
            .burst = 1.5,
            .wave = wave,
            .maxRunners = 40 };
    }

    struct CheapestFleet {
        SimResult result;
        uint32_t runners = 0;
        bool targetMet = false;
    };

    /// Finds the smallest fleet that meets the target, by binary search; the search is the same for every policy.
    CheapestFleet cheapestFleet(const Mix& mix, SimOptions options)
    {
        uint32_t low = 3;
        uint32_t high = mix.maxRunners;
        CheapestFleet found;
        while (low < high || !found.targetMet) {
            options.runners = low < high ? (low + high) / 2 : high;
            const SimResult result = simulate(mix, options);
            const bool targetMet = result.shareInTime() >= requiredInTime;
            if (targetMet || options.runners == mix.maxRunners)
                found = { result, options.runners, targetMet };
            if (low >= high)
                break;
            (targetMet ? high : low) = targetMet ? options.runners : options.runners + 1;
        }
        return found;
    }

    double costPerMillion(const SimResult& it)
    {
        const double price = it.instancePrice + static_cast<double>(it.recomputedTokens) * recomputedTokenPrice;
        return price / (static_cast<double>(it.usefulTokens) / 1e6);
    }

    struct PolicyCost {
        double cost = 0;
        double runners = 0;
        uint64_t failed = 0; ///< Calls without a complete answer.
        Histogram withoutTargetMs;
        uint64_t unmet = 0; ///< Seeds for which even the largest fleet misses the target.
    };

    PolicyCost measurePolicy(const Mix& mix, PolicyKind policy, const BenchContext& context, uint64_t seeds, TimeMs duration)
    {
        PolicyCost out;
        for (uint64_t n = 0; n < seeds; ++n) {
            const CheapestFleet found = cheapestFleet(mix, { .policy = policy, .seed = context.seed + n, .duration = duration });
            out.cost += costPerMillion(found.result) / static_cast<double>(seeds);
            out.runners += found.runners / static_cast<double>(seeds);
            out.unmet += found.targetMet ? 0 : 1;
            out.failed += found.result.failed;
            out.withoutTargetMs.merge(found.result.withoutTargetMs);
        }
        return out;
    }

    void benchMix(const BenchContext& context, const Mix& mix)
    {
        const uint64_t seeds = context.quick ? 1 : 10;
        const TimeMs duration = context.quick ? 70_s : (mix.wave ? 180_s : 120_s);
        for (const auto& policy : enumNames<PolicyKind>) {
            const auto cost = measurePolicy(mix, policy.value, context, seeds, duration);
            char size[240];
            std::snprintf(size, sizeof(size), "%llu seed(s) of %lld s%s, mean fleet %.1f runners, target unmet for %llu seed(s), %llu calls incomplete, p95 without target %.1f s",
                static_cast<unsigned long long>(seeds), static_cast<long long>(duration.value / 1000), context.quick ? " (quick)" : "",
                cost.runners, static_cast<unsigned long long>(cost.unmet), static_cast<unsigned long long>(cost.failed),
                static_cast<double>(cost.withoutTargetMs.quantile(0.95)) / 1000);
            std::string name = "policy.cost_at_target." + std::string(mix.name);
            if (policy.value != PolicyKind::Siskinshunt)
                name += "." + std::string(policy.name);
            context.report(name, cost.cost, "price units per 1e6 tokens", size);
        }
    }

    void benchPolicies(const BenchContext& context)
    {
        for (bool wave : { false, true }) {
            benchMix(context, punjab(wave));
            benchMix(context, ironveld(wave));
        }
    }

    Router filledRouter(uint32_t upstreams, uint64_t seed)
    {
        Router router({ .self = idOfName<NodeId>("node"), .domain = "0", .seed = seed });
        for (uint32_t n = 0; n < upstreams; ++n) {
            const auto id = idOfName<UpstreamId>("runner-" + std::to_string(n));
            updateTarget(router, { .id = id, .pool = "model", .version = "v1", .domain = std::to_string(n % 8), .pricePerHour = 1 + 0.1 * (n % 5) });
            updateLoad(router, id, { .running = n % 32, .capacity = 32, .waitingTokens = n * 37 % 5000, .tokensPerSecond = 60, .prefillTokensPerSecond = 12000 }, 0_ms);
        }
        return router;
    }

    void benchDecision(const BenchContext& context, uint32_t upstreams)
    {
        Router router = filledRouter(upstreams, context.seed);
        Random random(context.seed);
        std::vector<std::vector<uint64_t>> prompts(200);
        for (auto& blocks : prompts) {
            for (int n = 0; n < 32; ++n)
                blocks.push_back(random.next() | 1);
            const auto choice = choose(router, { .pool = "model", .blocks = blocks, .promptTokens = 8300 }, 1_s);
            for (uint64_t block : blocks)
                updateCache(router, choice.upstream, block, true);
        }
        const uint64_t decisions = context.quick ? 100000 : 1000000;
        uint64_t sum = 0;
        const auto begin = std::chrono::steady_clock::now();
        for (uint64_t n = 0; n < decisions; ++n) {
            const auto& blocks = prompts[n % prompts.size()];
            const auto choice = choose(router, { .pool = "model", .route = "dossier", .blocks = blocks, .promptTokens = 8300, .outputTokens = 300, .priority = 5, .firstTokenTarget = 2_s }, 1_s);
            sum += choice.upstream.value;
        }
        const double ns = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / static_cast<double>(decisions);
        context.report("route.decision_ns." + std::to_string(upstreams), ns, "ns", std::to_string(decisions) + " decisions, 32 blocks" + (sum ? "" : "!"));
    }

    void benchDecisions(const BenchContext& context)
    {
        benchDecision(context, 20);
        benchDecision(context, 870);
    }

    const BenchRegistration policyBench("policy", benchPolicies);
    const BenchRegistration routeBench("route", benchDecisions);
}

}
