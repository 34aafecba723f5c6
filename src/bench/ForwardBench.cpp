#include "bench/Bench.h"
#include "emulator/ForwardModel.h"
#include "forward/LoadSum.h"
#include "forward/TargetChoice.h"

#include <string>

namespace siskinshunt {

// Requests per second and engines of the largest deployment on a calm day.
static constexpr double requestsPerSecond = 263;
static constexpr size_t engineCount = 50;

static ForwardModelResult runSize(const BenchContext& context, size_t nodes, bool updates)
{
    const size_t domains = nodes > maxDirectReporters ? 5 : 1;
    const auto intervals = static_cast<int64_t>(1 + nodes / domains / 32);
    ForwardModelOptions options { .seed = context.seed, .nodes = nodes, .domains = domains, .classes = largePromptClasses(requestsPerSecond) };
    options.engines = { { 0_ms, engineCount } };
    options.hubInterval = (updates ? 50_ms : 150_ms) * intervals;
    options.reportsAtOnce = updates;
    options.jitterMs = costJitterMs(nodes);
    if (context.quick)
        options.duration = 10_s;
    return runForwardModel(options);
}

// Worth earned per worth asked for when entry nodes choose engines by reports of the others' load, with complete reports only and with
// updates between them.
static void runForwardBench(const BenchContext& context)
{
    for (const size_t nodes : { 27, 200, 400 }) {
        const std::string size = std::to_string(nodes) + " nodes";
        context.report("forward.share_reports." + std::to_string(nodes), runSize(context, nodes, false).share(), "share", size);
        context.report("forward.share_updates." + std::to_string(nodes), runSize(context, nodes, true).share(), "share", size);
    }
}

static const BenchRegistration s_forwardBench("forward", runForwardBench);

}
