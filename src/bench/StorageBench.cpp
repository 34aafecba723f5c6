#include "bench/Bench.h"
#include "bench/BenchFolder.h"
#include "bench/ReplicaBench.h"
#include "bench/SingleVoter.h"

#include <chrono>

namespace siskinshunt {

using Clock = std::chrono::steady_clock;

static double secondsSince(Clock::time_point start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

static void benchSync(const BenchContext& context)
{
    const BenchFolder folder("sync");
    context.report("disk.sync_per_s", measureSyncs(folder.path(), context.quick ? 0.5 : 5), "1/s", context.quick ? "512 B appends, 0.5 s (quick)" : "512 B appends, 5 s");
}

static StateMachine appendingMachine(std::string& state)
{
    return {
        .apply = [&state](uint64_t, std::string_view command) { state.append(command.substr(0, 64)); return std::string("ok"); },
        .snapshot = [&state] { return state; },
        .restore = [&state](std::string_view bytes) { state = bytes; return true; },
    };
}

// Disables snapshots, so that the restart has to read and apply every command.
static const ReplicaOptions noSnapshotOptions { .cluster = 1, .group = { 1 }, .self = { 7 }, .snapshotEntries = 1 << 20, .snapshotBytes = 1 << 30 };

static Result<void> applyMany(const std::string& folder, size_t commands, size_t bytes)
{
    std::string state;
    BOOST_LEAF_AUTO(voter, openSingleVoter(folder, appendingMachine(state), noSnapshotOptions));
    BOOST_LEAF_CHECK(bootstrapGroup(*voter));
    size_t applied = 0;
    for (size_t n = 0; n < commands; ++n) {
        propose(*voter->replica, std::string(bytes, static_cast<char>('a' + n % 26)));
        BOOST_LEAF_AUTO(done, runWrites(*voter));
        applied += done;
    }
    if (applied != commands)
        return fail(ErrorCode::Unavailable, Step::Propose, "bench", std::to_string(applied) + " commands applied");
    return {};
}

static void benchRestart(const BenchContext& context)
{
    const BenchFolder folder("restart");
    constexpr size_t commands = 1000;
    constexpr size_t bytes = 4096;
    const double seconds = orThrow([&]() -> Result<double> {
        BOOST_LEAF_CHECK(applyMany(folder.path(), commands, bytes));
        std::string state;
        const auto start = Clock::now();
        BOOST_LEAF_AUTO(voter, openSingleVoter(folder.path(), appendingMachine(state), noSnapshotOptions));
        tick(*voter->replica, 2000_ms);
        BOOST_LEAF_CHECK(runWrites(*voter));
        const double elapsed = secondsSince(start);
        if (state.size() != commands * 64)
            return fail(ErrorCode::Corrupt, Step::Recover, "bench", "the state is incomplete after the restart");
        return elapsed;
    });
    context.report("restart.after_1000_applies_s", seconds, "s", "1000 commands of 4096 B, no snapshot, files cached");
}

static void benchCommits(const BenchContext& context)
{
    const BenchFolder folder("commits");
    const ReplicaBenchOptions options { .folder = folder.path(), .seconds = context.quick ? 1.0 : 10.0, .callers = 64, .commandBytes = 512, .groups = 4, .seed = context.seed };
    const double before = measureSyncs(folder.path(), context.quick ? 0.25 : 2);
    const ReplicaBenchResult result = runReplicaBench(options);
    const double after = measureSyncs(folder.path(), context.quick ? 0.25 : 2);
    const std::string size = std::string("3 voters, 64 callers, 4 groups, 512 B, ") + (context.quick ? "1 s (quick)" : "10 s");
    context.report("consensus.commits_per_s", result.commitsPerSecond, "1/s", size);
    context.report("consensus.commits_per_sync", result.commitsPerSync, "1", size);
    context.report("consensus.commit_p99_ms", result.p99Ms, "ms", size);
    context.report("consensus.raw_syncs_per_s", (before + after) / 2, "1/s", "512 B appends, same run");
}

static const BenchRegistration s_sync("disk", benchSync);
static const BenchRegistration s_restart("restart", benchRestart);
static const BenchRegistration s_commits("consensus", benchCommits);

}
