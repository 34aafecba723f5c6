#include "bench/ReplicaBench.h"

#include "base/Histogram.h"
#include "replica/DiskQueue.h"
#include "replica/Replica.h"
#include "storage/FileDisk.h"
#include "storage/Storage.h"

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace siskinshunt {

using Clock = std::chrono::steady_clock;

/// Wakes the replica thread when a write has completed.
struct WakeSignal {
    std::mutex mutex;
    std::condition_variable changed;
    bool raised = false;
};

/// A voter with its disk thread. The thread reads `running` only between `start` and `writeFinished`.
struct BenchVoter {
    VoterId id;
    std::unique_ptr<FileDisk> disk;
    std::unique_ptr<Storage> storage;
    std::vector<ReplicaPtr> replicas;
    DiskQueue queue;
    uint64_t syncs = 0;

    std::thread thread;
    std::mutex mutex;
    std::condition_variable start;
    std::span<const DiskRequest> running;
    bool stop = false;
    std::atomic<bool> writeFinished = false;
    std::string error;
};

struct OpenProposal {
    size_t caller = 0;
    Clock::time_point start;
};

struct BenchGroup {
    const ReplicaBenchOptions& options;
    std::array<BenchVoter, 3> voters;
    WakeSignal wake;
    std::deque<Message> network;
    Clock::time_point begin = Clock::now();
    std::map<std::pair<size_t, uint64_t>, OpenProposal> open; ///< By group and proposal id.
    std::vector<size_t> leaders; ///< Voter that leads each group.
    uint64_t commits = 0;
    Histogram latencyUs;
};

static TimeMs clockOf(const BenchGroup& bench)
{
    return { std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - bench.begin).count() };
}

static void runDiskThread(BenchVoter& voter, WakeSignal& wake)
{
    std::unique_lock lock(voter.mutex);
    for (;;) {
        voter.start.wait(lock, [&] { return voter.stop || !voter.running.empty(); });
        if (voter.stop)
            return;
        voter.error = handle(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(voter.storage->write(voter.running));
                return std::string();
            },
            [](const Error& error) { return toString(error); });
        voter.running = {};
        voter.writeFinished = true;
        const std::lock_guard guard(wake.mutex);
        wake.raised = true;
        wake.changed.notify_one();
    }
}

static StateMachine countingMachine()
{
    return {
        .apply = [](uint64_t, std::string_view) { return std::string("ok"); },
        .snapshot = [] { return std::string("state"); },
        .restore = [](std::string_view) { return true; },
    };
}

static Result<void> openVoters(BenchGroup& bench)
{
    const auto& options = bench.options;
    for (size_t n = 0; n < bench.voters.size(); ++n) {
        auto& voter = bench.voters[n];
        voter.id = { n + 1 };
        BOOST_LEAF_ASSIGN(voter.disk, FileDisk::open(options.folder + "/voter-" + std::to_string(n)));
        BOOST_LEAF_ASSIGN(voter.storage, Storage::open(*voter.disk, { .cluster = 1 }));
        for (size_t group = 0; group < options.groups; ++group) {
            // The first voter has a shorter election timeout, so that it becomes leader of all groups.
            const ReplicaOptions replicaOptions {
                .cluster = 1,
                .group = { group + 1 },
                .self = voter.id,
                .seed = options.seed,
                .electionMin = n ? 1500_ms : 500_ms,
                .electionMax = n ? 2500_ms : 600_ms,
                .snapshotEntries = options.snapshotEntries,
            };
            BOOST_LEAF_AUTO(replica, openReplica(replicaOptions, options.machine ? options.machine(n, group) : countingMachine(), {}, 0_ms));
            BOOST_LEAF_CHECK(bootstrap(*replica, { { 1 }, { 2 }, { 3 } }));
            voter.replicas.push_back(std::move(replica));
        }
    }
    return {};
}

static void proposeNext(BenchGroup& bench, size_t caller, const std::string& reply)
{
    const auto& options = bench.options;
    ReplicaBenchProposal next = options.next ? options.next(caller, reply) : ReplicaBenchProposal { caller % options.groups, std::string(options.commandBytes, 'c') };
    const uint64_t id = propose(*bench.voters[bench.leaders[next.group]].replicas[next.group], std::move(next.command));
    bench.open.emplace(std::pair(next.group, id), OpenProposal { caller, Clock::now() });
}

static void handleOutcome(BenchGroup& bench, size_t group, const ProposalOutcome& outcome)
{
    auto it = bench.open.find({ group, outcome.proposal });
    if (it == bench.open.end())
        return;
    if (outcome.status != ProposalStatus::Applied)
        throw std::runtime_error("proposal failed with status " + std::string(nameOf(outcome.status)) + ": " + outcome.reply);
    ++bench.commits;
    bench.latencyUs.record(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - it->second.start).count()));
    const size_t caller = it->second.caller;
    bench.open.erase(it);
    proposeNext(bench, caller, outcome.reply);
}

/// Processes the outputs of all groups of one voter; returns whether there were any.
static bool collect(BenchGroup& bench, BenchVoter& voter)
{
    bool busy = false;
    for (size_t group = 0; group < voter.replicas.size(); ++group) {
        ReplicaOutputs out = collectOutputs(*voter.replicas[group]);
        busy = busy || !out.messages.empty() || !out.disk.empty() || !out.outcomes.empty();
        std::move(out.messages.begin(), out.messages.end(), std::back_inserter(bench.network));
        submit(voter.queue, std::move(out.disk));
        for (const auto& outcome : out.outcomes)
            handleOutcome(bench, group, outcome);
    }
    return busy;
}

static void startWrite(BenchVoter& voter)
{
    const auto requests = startBatch(voter.queue);
    if (requests.empty())
        return;
    ++voter.syncs;
    const std::lock_guard guard(voter.mutex);
    voter.running = requests;
    voter.start.notify_one();
}

static void completeWrite(BenchVoter& voter)
{
    if (!voter.writeFinished.exchange(false))
        return;
    const std::lock_guard guard(voter.mutex);
    if (!voter.error.empty())
        throw std::runtime_error(voter.error);
    for (const auto& request : finishBatch(voter.queue))
        diskCompleted(*voter.replicas[request.group.value - 1], request.id, true);
}

static void deliver(BenchGroup& bench)
{
    std::deque<Message> messages;
    messages.swap(bench.network);
    for (const auto& message : messages)
        receive(*bench.voters[message.to.value - 1].replicas[message.group.value - 1], message, clockOf(bench));
}

/// Processes everything that is ready, then waits until a write has completed, at most 20 ms.
static void step(BenchGroup& bench)
{
    for (auto& voter : bench.voters) {
        completeWrite(voter);
        for (auto& replica : voter.replicas)
            tick(*replica, clockOf(bench));
    }
    for (bool busy = true; busy;) {
        deliver(bench);
        busy = false;
        for (auto& voter : bench.voters)
            busy = collect(bench, voter) || busy;
    }
    for (auto& voter : bench.voters)
        startWrite(voter);
    std::unique_lock lock(bench.wake.mutex);
    bench.wake.changed.wait_for(lock, std::chrono::milliseconds(20), [&] { return bench.wake.raised; });
    bench.wake.raised = false;
}

/// Records the leader of each group; returns false if a group has none. Under load a slow first write can cause another
/// voter than the first one to win an election.
static bool findLeaders(BenchGroup& bench)
{
    bench.leaders.clear();
    for (size_t group = 0; group < bench.options.groups; ++group) {
        for (size_t n = 0; n < bench.voters.size() && bench.leaders.size() == group; ++n) {
            if (canRead(*bench.voters[n].replicas[group], clockOf(bench)))
                bench.leaders.push_back(n);
        }
    }
    return bench.leaders.size() == bench.options.groups;
}

static ReplicaBenchResult measure(BenchGroup& bench)
{
    const auto& options = bench.options;
    while (!findLeaders(bench)) {
        if (clockOf(bench) > 10_s)
            throw std::runtime_error("not every group has a leader after 10 s");
        step(bench);
    }
    for (size_t n = 0; n < options.callers; ++n)
        proposeNext(bench, n, {});
    for (auto& voter : bench.voters)
        voter.syncs = 0;
    const auto start = Clock::now();
    double seconds = 0;
    while (seconds < options.seconds) {
        step(bench);
        seconds = std::chrono::duration<double>(Clock::now() - start).count();
    }
    uint64_t syncs = 1;
    for (const auto& voter : bench.voters)
        syncs = std::max(syncs, voter.syncs);
    return {
        .commitsPerSecond = static_cast<double>(bench.commits) / seconds,
        .commitsPerSync = static_cast<double>(bench.commits) / static_cast<double>(syncs),
        .p99Ms = static_cast<double>(bench.latencyUs.quantile(0.99)) / 1000,
    };
}

static void stopThreads(BenchGroup& bench)
{
    for (auto& voter : bench.voters) {
        {
            const std::lock_guard guard(voter.mutex);
            voter.stop = true;
        }
        voter.start.notify_one();
        voter.thread.join();
    }
}

ReplicaBenchResult runReplicaBench(const ReplicaBenchOptions& options)
{
    BenchGroup bench { .options = options };
    const std::string error = handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(openVoters(bench));
            return std::string();
        },
        [](const Error& it) { return toString(it); });
    if (!error.empty())
        throw std::runtime_error(error);
    for (auto& voter : bench.voters)
        voter.thread = std::thread([&bench, &voter] { runDiskThread(voter, bench.wake); });
    try {
        const ReplicaBenchResult result = measure(bench);
        stopThreads(bench);
        return result;
    } catch (...) {
        stopThreads(bench);
        throw;
    }
}

}
