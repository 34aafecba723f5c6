#include "base/Random.h"
#include "bench/Bench.h"
#include "capacity/Capacity.h"

#include <ctime>

namespace siskinshunt {

namespace {

    /// Five models in 8 failure domains, 3 machine classes and both instance kinds, with demand for about 870 instances.
    CapacityInputs targetSize(Random& random)
    {
        CapacityInputs inputs;
        for (int model = 0; model < 5; ++model) {
            const std::string name = "model-" + std::to_string(model);
            inputs.demand.push_back({ name, "crew", 0, 400000, 900 });
            inputs.demand.push_back({ name, "draft", 5, 240000, 640 });
            for (int machine = 0; machine < 3; ++machine) {
                const std::string machineName = "gpu-" + std::to_string(machine);
                inputs.shapes.push_back({ machineName, name, 3000.0 * (machine + 1), 12.0 * (machine + 1), 90_s });
                for (int domain = 0; domain < 8; ++domain)
                    inputs.rules.push_back({ .domain = "domain" + std::to_string(domain), .machine = machineName, .model = name, .max = 60 });
            }
        }
        for (int domain = 0; domain < 8; ++domain) {
            for (int machine = 0; machine < 3; ++machine) {
                const double price = (machine + 1) * (0.7 + 0.6 * random.uniform());
                inputs.prices.push_back({ "domain" + std::to_string(domain), "gpu-" + std::to_string(machine), InstanceKind::Reclaimable, price });
                inputs.prices.push_back({ "domain" + std::to_string(domain), "gpu-" + std::to_string(machine), InstanceKind::OnDemand, price * 3 });
            }
        }
        inputs.loadSlots = 1000;
        return inputs;
    }

    const BenchRegistration registration("capacity", [](const BenchContext& context) {
        Random random(context.seed);
        CapacityInputs inputs = targetSize(random);
        CapacityPlanner planner;
        const CapacityOutputs first = planCapacity(planner, 1000_s, inputs);
        for (const auto& it : first.intents)
            inputs.instances.push_back({ it.id, it.pool.domain, it.pool.machine, it.pool.model, it.pool.kind, InstancePhase::Running });
        const int rounds = context.quick ? 2 : 10;
        const std::clock_t before = std::clock();
        for (int n = 1; n <= rounds; ++n)
            planCapacity(planner, 1000_s + TimeMs { n * 1000 }, inputs);
        const double seconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        context.report("capacity.plan_ms", seconds * 1000 / rounds, "ms", std::to_string(inputs.instances.size()));
    });

}

}
