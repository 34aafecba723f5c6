#include "bench/Bench.h"
#include "bench/MovesModel.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace siskinshunt {

struct FaultSummary {
    uint64_t runs = 0;
    uint64_t inTime = 0;
    uint64_t alarmed = 0;
    uint64_t undone = 0;
    std::vector<uint64_t> badRequests;
    std::vector<int64_t> seconds; ///< Time until Done for good versions, until rollback for bad ones.
};

static FaultSummary runFault(const BenchContext& context, VersionFault fault, bool baseline, uint64_t seeds)
{
    FaultSummary summary;
    for (uint64_t n = 0; n < seeds; ++n) {
        const auto result = runMovesModel({ .fault = fault, .seed = context.seed + n, .baseline = baseline });
        ++summary.runs;
        summary.inTime += result.inTime;
        summary.alarmed += result.alarmed;
        summary.undone += result.stage == MoveStage::Undone;
        summary.badRequests.push_back(result.badRequests);
        summary.seconds.push_back((fault == VersionFault::None ? result.doneAfter : result.undoneAfter).value / 1000);
    }
    return summary;
}

template <class T>
static double quantileOf(std::vector<T> values, double q)
{
    std::sort(values.begin(), values.end());
    return static_cast<double>(values[static_cast<size_t>(std::lround(q * static_cast<double>(values.size() - 1)))]);
}

static double share(uint64_t part, uint64_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

static void reportPolicy(const BenchContext& context, bool baseline, uint64_t seeds)
{
    const std::string prefix = baseline ? "moves.baseline_" : "moves.";
    const std::string size = std::to_string(seeds) + " seeds per scenario";
    const FaultSummary good = runFault(context, VersionFault::None, baseline, seeds);
    context.report(prefix + "good_in_time", share(good.inTime, good.runs), "share", size);
    context.report(prefix + "false_alarm", share(good.alarmed, good.runs), "share", size);
    context.report(prefix + "good_done_p95_s", quantileOf(good.seconds, 0.95), "s", size);
    uint64_t runs = 0;
    uint64_t undone = 0;
    std::vector<uint64_t> badRequests;
    for (const auto& it : enumNames<VersionFault>) {
        if (it.value == VersionFault::None)
            continue;
        const FaultSummary bad = runFault(context, it.value, baseline, seeds);
        const std::string name = "." + std::string(it.name);
        const auto report = [&](std::string figure, double value, std::string_view unit) {
            context.report(figure.insert(0, prefix).append(name), value, unit, size);
        };
        report("bad_taken_back", share(bad.undone, bad.runs), "share");
        report("bad_requests_p95", quantileOf(bad.badRequests, 0.95), "requests");
        if (!baseline)
            report("taken_back_p95_s", quantileOf(bad.seconds, 0.95), "s");
        runs += bad.runs;
        undone += bad.undone;
        badRequests.insert(badRequests.end(), bad.badRequests.begin(), bad.badRequests.end());
    }
    context.report(prefix + "bad_taken_back", share(undone, runs), "share", size);
    // Requests sent to the bad version after the fifth request that failed or was slowed because of the fault.
    context.report(prefix + "bad_requests_p95", quantileOf(badRequests, 0.95), "requests", size);
}

static void runMovesBench(const BenchContext& context)
{
    const uint64_t seeds = context.quick ? 10 : 200;
    reportPolicy(context, false, seeds);
    reportPolicy(context, true, seeds);
}

static const BenchRegistration s_movesBench("moves", runMovesBench);

}
