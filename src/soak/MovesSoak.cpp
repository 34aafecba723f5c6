#include "bench/MovesModel.h"
#include "soak/Soak.h"

namespace siskinshunt {

/// Runs one move with a random version fault, request rate and deadline while runners, nodes, connections and leaders
/// fail.
static SoakResult runMovesSchedule(uint64_t seed)
{
    Random random(seed);
    MovesModelOptions options;
    options.fault = static_cast<VersionFault>(random.below(enumNames<VersionFault>.size()));
    options.seed = seed;
    options.rate = random.chance(0.2) ? 2 : 10 + 30 * random.uniform();
    options.duration = TimeMs { random.between(300, 1800) * 1000 };
    options.leaderChangeEvery = random.chance(0.5) ? 0 : 60 + random.below(600);
    options.runnerLoss = random.chance(0.5) ? 0 : 0.005;
    options.nodeLoss = random.chance(0.5) ? 0 : 0.003;
    options.nodeCutOff = random.chance(0.5) ? 0 : 0.003;
    const MovesModelResult run = runMovesModel(options);
    SoakResult result;
    result.faults = { { "leader change", run.leaderChanges }, { "runner lost", run.runnerLosses }, { "node lost", run.nodeLosses },
        { "node cut off", run.nodeCutOffs }, { "version " + std::string(nameOf(options.fault)), 1 },
        { "ended " + std::string(nameOf(run.stage)), 1 } };
    if (!run.violations.empty())
        result.violation = run.violations.front();
    else if (!isFinal(run.stage) && options.nodeCutOff <= 0 && options.nodeLoss <= 0)
        result.violation = "not ended: " + std::string(nameOf(run.stage));
    return result;
}

static const SoakRegistration s_movesSoak("moves", runMovesSchedule);

}
