#include "bench/Bench.h"
#include "bench/ReplicaBench.h"
#include "replica/Replica.h"
#include "storage/FileDisk.h"
#include "storage/Storage.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <unistd.h>

namespace siskinshunt {

using Clock = std::chrono::steady_clock;

static double secondsSince(Clock::time_point start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

/// A folder below TMPDIR, or below build/ without it, that is removed at the end.
class BenchFolder {
public:
    explicit BenchFolder(const std::string& name)
    {
        const char* base = std::getenv("TMPDIR");
        m_path = std::string(base ? base : "build") + "/siskinshunt-bench-" + name + "-" + std::to_string(::getpid());
        std::filesystem::remove_all(m_path);
        std::filesystem::create_directories(m_path);
    }
    ~BenchFolder() { std::filesystem::remove_all(m_path); }
    BenchFolder(const BenchFolder&) = delete;
    BenchFolder& operator=(const BenchFolder&) = delete;
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

template <class Body>
static auto orThrow(Body&& body)
{
    return handle(std::forward<Body>(body), [](const Error& error) -> decltype(body().value()) { throw std::runtime_error(toString(error)); });
}

static double measureSyncs(const std::string& folder, double seconds)
{
    return orThrow([&]() -> Result<double> {
        BOOST_LEAF_AUTO(disk, FileDisk::open(folder));
        const std::string block(512, 'b');
        const auto start = Clock::now();
        double n = 0;
        for (; secondsSince(start) < seconds; ++n) {
            BOOST_LEAF_CHECK(disk->append("sync", block));
            BOOST_LEAF_CHECK(disk->sync("sync"));
        }
        const double rate = n / secondsSince(start);
        BOOST_LEAF_CHECK(disk->remove("sync"));
        return rate;
    });
}

static void benchSync(const BenchContext& context)
{
    const BenchFolder folder("sync");
    context.report("disk.sync_per_s", measureSyncs(folder.path(), context.quick ? 1 : 5), "1/s", "512 B appends");
}

static StateMachine keepingMachine(std::string& state)
{
    return {
        .apply = [&state](uint64_t, std::string_view command) { state.append(command.substr(0, 64)); return std::string("ok"); },
        .snapshot = [&state] { return state; },
        .restore = [&state](std::string_view bytes) { state = bytes; return true; },
    };
}

/// One voter on its own, whose writes are run at once.
struct LoneVoter {
    std::unique_ptr<FileDisk> disk;
    std::unique_ptr<Storage> storage;
    std::string state;
    ReplicaPtr replica;
};

static Result<std::unique_ptr<LoneVoter>> openLoneVoter(const std::string& folder, TimeMs now)
{
    auto voter = std::make_unique<LoneVoter>();
    BOOST_LEAF_ASSIGN(voter->disk, FileDisk::open(folder));
    BOOST_LEAF_ASSIGN(voter->storage, Storage::open(*voter->disk, { .cluster = 1 }));
    auto recovered = voter->storage->takeRecovered();
    // No snapshot is taken, so the restart has to read and apply every command.
    const ReplicaOptions options { .cluster = 1, .group = { 1 }, .self = { 7 }, .snapshotEntries = 1 << 20, .snapshotBytes = 1 << 30 };
    BOOST_LEAF_ASSIGN(voter->replica,
        openReplica(options, keepingMachine(voter->state), std::move(recovered[GroupId { 1 }]), now));
    return voter;
}

static Result<size_t> runWrites(LoneVoter& voter)
{
    size_t applied = 0;
    for (;;) {
        const ReplicaOutputs out = takeOutputs(*voter.replica);
        for (const auto& it : out.outcomes)
            applied += it.status == ProposalStatus::Applied;
        if (out.disk.empty())
            return applied;
        BOOST_LEAF_CHECK(voter.storage->write(out.disk));
        diskCompleted(*voter.replica, out.disk.front().id, true);
    }
}

static Result<void> applyMany(const std::string& folder, size_t commands, size_t bytes)
{
    BOOST_LEAF_AUTO(voter, openLoneVoter(folder, 0_ms));
    BOOST_LEAF_CHECK(bootstrap(*voter->replica, { VoterId { 7 } }));
    BOOST_LEAF_CHECK(runWrites(*voter));
    tick(*voter->replica, 2000_ms);
    BOOST_LEAF_CHECK(runWrites(*voter));
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
        const auto start = Clock::now();
        BOOST_LEAF_AUTO(voter, openLoneVoter(folder.path(), 0_ms));
        tick(*voter->replica, 2000_ms);
        BOOST_LEAF_CHECK(runWrites(*voter));
        const double taken = secondsSince(start);
        if (voter->state.size() != commands * 64)
            return fail(ErrorCode::Corrupt, Step::Recover, "bench", "the state after the restart is not complete");
        return taken;
    });
    context.report("restart.after_1000_applies_s", seconds, "s", "1000 commands of 4096 B, no snapshot, files cached");
}

static void benchCommits(const BenchContext& context)
{
    const BenchFolder folder("commits");
    const ReplicaBenchOptions options { .folder = folder.path(), .seconds = context.quick ? 2.0 : 10.0, .callers = 64, .commandBytes = 512, .groups = 4, .seed = context.seed };
    const double before = measureSyncs(folder.path(), context.quick ? 0.5 : 2);
    const ReplicaBenchResult result = runReplicaBench(options);
    const double after = measureSyncs(folder.path(), context.quick ? 0.5 : 2);
    const std::string size = "3 voters, 64 callers, 4 groups, 512 B";
    context.report("consensus.commits_per_s", result.commitsPerSecond, "1/s", size);
    context.report("consensus.commits_per_sync", result.commitsPerSync, "1", size);
    context.report("consensus.commit_p99_ms", result.p99Ms, "ms", size);
    context.report("consensus.raw_syncs_per_s", (before + after) / 2, "1/s", "512 B appends, same run");
}

static const BenchRegistration s_sync("disk", benchSync);
static const BenchRegistration s_restart("restart", benchRestart);
static const BenchRegistration s_commits("consensus", benchCommits);

}
