#include "bench/Bench.h"
#include "emulator/ForwardModel.h"

#include <string>

namespace siskinshunt {

static double shareOf(const BenchContext& context, size_t nodes, bool updates)
{
    ForwardModelOptions options = largeFleetOptions(nodes, updates);
    options.seed = context.seed;
    if (context.quick)
        options.duration = 10_s;
    return runForwardModel(options).share();
}

// Worth earned per worth asked for when entry nodes choose engines by reports of the others' load, with complete reports only and with
// updates between them.
static void runForwardBench(const BenchContext& context)
{
    for (const size_t nodes : { 27, 200, 400 }) {
        const std::string size = std::to_string(nodes) + " nodes";
        context.report("forward.share_reports." + std::to_string(nodes), shareOf(context, nodes, false), "share", size);
        context.report("forward.share_updates." + std::to_string(nodes), shareOf(context, nodes, true), "share", size);
    }
}

static const BenchRegistration s_forwardBench("forward", runForwardBench);

}
