#include "base/Histogram.h"
#include "base/Random.h"
#include "bench/Bench.h"
#include "bench/NodeFleet.h"
#include "rules/RuleParser.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace siskinshunt {

namespace {

    void benchInForce(const BenchContext& context, size_t nodes, size_t applies, size_t upstreams)
    {
        NodeFleet fleet({ .nodes = nodes, .domains = nodes >= 100 ? 8U : 3U, .upstreams = upstreams, .seed = context.seed });
        fleet.bootstrapGroups();
        Random random(context.seed + 7);
        Histogram tookMs;
        double sum = 0;
        for (uint64_t revision = 0; revision < applies; ++revision) {
            fleet.run(TimeMs { random.between(500, 2000) });
            const auto accepted = fleet.applyRules(random.below(nodes), revision, fleetRules(2, 20, revision));
            if (!accepted)
                throw std::runtime_error("the rules were refused");
            if (!fleet.everyNodeHas(revision + 1) && !fleet.run(60_s, [&] { return fleet.everyNodeHas(revision + 1); }))
                throw std::runtime_error("a rules revision was not in force on all nodes after 60 s");
            tookMs.record(static_cast<uint64_t>((fleet.now - *accepted).value));
            sum += static_cast<double>((fleet.now - *accepted).value);
        }
        const std::string suffix = nodes == 8 ? "" : "." + std::to_string(nodes);
        const std::string size = std::to_string(nodes) + " nodes, 3 voters, " + std::to_string(upstreams) + " upstreams, " + std::to_string(applies) + " applies, 1 ms links, no loss, virtual time" + (context.quick ? " (quick)" : "");
        context.report("rules.in_force_p99_s" + suffix, static_cast<double>(tookMs.quantile(0.99)) / 1000, "s", size);
        context.report("rules.in_force_mean_s" + suffix, sum / static_cast<double>(applies) / 1000, "s", size);
        context.report("rules.in_force_max_s" + suffix, static_cast<double>(tookMs.quantile(1)) / 1000, "s", size);
    }

    void benchParse(const BenchContext& context, size_t rules)
    {
        const std::string text = fleetRules(2, rules - 14, context.seed);
        const int repeats = context.quick ? 3 : static_cast<int>(std::max<size_t>(5, 20000 / rules));
        size_t parsed = 0;
        const auto start = std::chrono::steady_clock::now();
        for (int n = 0; n < repeats; ++n) {
            const auto result = parseRules(text);
            if (!result.problems.empty())
                throw std::runtime_error(toString(result.problems.front(), "bench"));
            parsed += result.rules.routes.size();
        }
        const double us = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / repeats;
        const std::string size = std::to_string(rules) + " rules, " + std::to_string(text.size()) + " B, " + std::to_string(parsed / static_cast<size_t>(repeats)) + " of them routes, mean of " + std::to_string(repeats);
        context.report("rules.parse_us" + (rules == 1000 ? std::string() : "." + std::to_string(rules)), us, "us", size);
    }

    const BenchRegistration registration("rules", [](const BenchContext& context) {
        for (const size_t rules : { 100, 1000, 5000 }) {
            if (!context.quick || rules <= 1000)
                benchParse(context, rules);
        }
        benchInForce(context, 8, context.quick ? 50 : 200, 17);
        benchInForce(context, 32, context.quick ? 15 : 100, 70);
        if (context.quick)
            return;
        benchInForce(context, 128, 50, 278);
        benchInForce(context, 400, 50, 870);
    });

}

}
