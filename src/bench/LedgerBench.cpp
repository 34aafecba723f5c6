#include "base/Random.h"
#include "bench/Bench.h"
#include "bench/BenchFolder.h"
#include "bench/ReplicaBench.h"
#include "bench/SingleVoter.h"
#include "control/ControlCommand.h"
#include "control/DecisionLog.h"
#include "ledger/Ledger.h"

#include <array>
#include <chrono>
#include <stdexcept>

namespace siskinshunt {

namespace {

    using Clock = std::chrono::steady_clock;

    constexpr uint32_t ledgerGroups = 4;
    constexpr TimeMs utcBase { INT64_C(1760000000000) };

    double secondsSince(Clock::time_point start)
    {
        return std::chrono::duration<double>(Clock::now() - start).count();
    }

    /// Ledger commands of a booking call with a request of 300 bytes and a response of 200 bytes.
    class BookingCalls {
    public:
        explicit BookingCalls(uint64_t seed)
            : m_random(seed)
        {
        }

        Reserve reserve()
        {
            const std::string key = "booking-" + std::to_string(m_random.next());
            const GroupId group = groupOfKey(m_account, key, ledgerGroups);
            return { .account = m_account, .key = key, .bodyDigest = std::string(64, 'd'), .owner = m_owner, .call = makeCallId(m_random.next(), group, ledgerGroups), .request = std::string(300, 'r'), .deadline = utcBase + 3600_s, .dispatchNow = true, .upstream = "hire-desk-1", .now = utcBase };
        }

        Complete complete(const LedgerReply& reserved) const
        {
            StoredAnswer answer { .status = 200, .ran = true, .headers = { { "Content-Type", "application/json" } }, .body = std::string(200, 'a'), .bodyDigest = {}, .bodyBytes = 200 };
            return { .call = reserved.call, .owner = m_owner, .attempt = reserved.attempt, .answer = std::move(answer), .now = utcBase };
        }

    private:
        Random m_random;
        std::string m_account = "district-office-3";
        CallOwner m_owner { idOfName<NodeId>("entry-1"), 1 };
    };

    /// Decodes a reply and throws unless a Reserve was accepted or a Complete stored the answer.
    LedgerReply decodeChecked(const std::string& reply, bool reserved)
    {
        const auto decoded = decodeLedgerReply(reply);
        const auto wanted = reserved ? LedgerOutcome::Accepted : LedgerOutcome::Stored;
        const auto state = reserved ? CallState::Dispatched : CallState::Done;
        if (!decoded || decoded->outcome != wanted || decoded->state != state)
            throw std::runtime_error("unexpected ledger reply: " + std::string(decoded ? nameOf(decoded->outcome) : "malformed bytes"));
        return *decoded;
    }

    /// Callers that alternate between Reserve and Complete commands.
    class BookingCallers {
    public:
        BookingCallers(size_t callers, uint64_t seed)
            : m_calls(seed)
            , m_reserved(callers)
        {
        }

        ReplicaBenchProposal next(size_t caller, const std::string& reply)
        {
            const auto decoded = reply.empty() ? LedgerReply {} : decodeChecked(reply, m_reserved[caller]);
            m_reserved[caller] = !m_reserved[caller];
            if (m_reserved[caller]) {
                const auto command = m_calls.reserve();
                return { groupOfCall(command.call, ledgerGroups).value - 2, encodeLedgerCommand(command) };
            }
            return { groupOfCall(decoded.call, ledgerGroups).value - 2, encodeLedgerCommand(m_calls.complete(decoded)) };
        }

    private:
        BookingCalls m_calls;
        std::vector<bool> m_reserved; ///< By caller: whether its last command was a Reserve.
    };

    /// With `bySize`, replicas take a snapshot only when the log has grown by the size of the last snapshot, not also
    /// after 1,000 entries.
    void benchCommits(const BenchContext& context, size_t callers, bool bySize)
    {
        const BenchFolder folder("ledger");
        std::array<std::array<Ledger, ledgerGroups>, 3> ledgers;
        BookingCallers booking(callers, context.seed);
        ReplicaBenchOptions options { .folder = folder.path(), .seconds = context.quick ? 1.0 : 10.0, .callers = callers, .groups = ledgerGroups, .seed = context.seed, .snapshotEntries = bySize ? uint64_t { 1 } << 30 : 1000, .machine = {}, .next = {} };
        options.machine = [&](size_t voter, size_t group) { return ledgerStateMachine(ledgers[voter][group]); };
        options.next = [&](size_t caller, const std::string& reply) { return booking.next(caller, reply); };
        const double before = measureSyncs(folder.path(), context.quick ? 0.25 : 2);
        const ReplicaBenchResult result = runReplicaBench(options);
        const double after = measureSyncs(folder.path(), context.quick ? 0.25 : 2);
        const std::string size = "3 voters, " + std::to_string(callers) + " callers, 4 groups, Reserve with dispatchNow then Complete, " + (context.quick ? "1 s (quick)" : "10 s");
        const std::string suffix = bySize ? ".snapshots_by_size" : callers == 64 ? ""
                                                                                 : "." + std::to_string(callers);
        context.report("ledger.commits_per_s" + suffix, result.commitsPerSecond, "1/s", size);
        context.report("ledger.commits_per_sync" + suffix, result.commitsPerSync, "1", size);
        context.report("ledger.commit_p99_ms" + suffix, result.p99Ms, "ms", size);
        context.report("disk.sync_per_s" + suffix, (before + after) / 2, "1/s", "512 B appends, same run and file system as ledger.commits_per_s" + suffix);
    }

    const ReplicaOptions singleVoterOptions { .cluster = 1, .group = { 2 }, .self = { 7 } };

    /// Commits this many completed calls in batches of 500 commands.
    Result<void> fillLedger(SingleVoter& voter, size_t calls, uint64_t seed)
    {
        BookingCalls booking(seed);
        BOOST_LEAF_CHECK(bootstrapGroup(voter));
        size_t applied = 0;
        for (size_t n = 0; n < calls; ++n) {
            const Reserve command = booking.reserve();
            propose(*voter.replica, encodeLedgerCommand(command));
            propose(*voter.replica, encodeLedgerCommand(booking.complete({ .outcome = LedgerOutcome::Accepted, .call = command.call, .attempt = 1, .state = {}, .owner = {}, .answer = {} })));
            if (n % 250 != 249 && n + 1 != calls)
                continue;
            BOOST_LEAF_AUTO(done, runWrites(voter));
            applied += done;
        }
        if (applied != 2 * calls)
            return fail(ErrorCode::Unavailable, Step::Propose, "bench", std::to_string(applied) + " commands applied");
        return {};
    }

    void benchLedgerRestart(const BenchContext& context, size_t calls)
    {
        const BenchFolder folder("ledger-restart");
        const std::string suffix = "." + std::to_string(calls);
        const std::string size = std::to_string(calls) + " done calls in one group, request 300 B, answer 200 B";
        orThrow([&]() -> Result<bool> {
            {
                Ledger ledger;
                BOOST_LEAF_AUTO(voter, openSingleVoter(folder.path(), ledgerStateMachine(ledger), singleVoterOptions));
                BOOST_LEAF_CHECK(fillLedger(*voter, calls, context.seed));
                const auto start = Clock::now();
                const std::string snapshot = snapshotLedger(ledger);
                context.report("ledger.snapshot_ms" + suffix, secondsSince(start) * 1000, "ms", size + ", on the event loop");
                context.report("ledger.snapshot_bytes_per_call" + suffix, static_cast<double>(snapshot.size()) / static_cast<double>(calls), "B", size);
                context.report("ledger.counted_bytes_per_call" + suffix, static_cast<double>(ledger.bytes) / static_cast<double>(calls), "B", size);
            }
            Ledger ledger;
            const auto start = Clock::now();
            BOOST_LEAF_AUTO(voter, openSingleVoter(folder.path(), ledgerStateMachine(ledger), singleVoterOptions));
            tick(*voter->replica, 2000_ms);
            BOOST_LEAF_CHECK(runWrites(*voter));
            context.report("restart.ledger_s" + suffix, secondsSince(start), "s", size + ", default snapshots, files cached");
            if (ledger.calls.size() != calls || !ledger.openCalls.empty())
                return fail(ErrorCode::Corrupt, Step::Recover, "bench", "the ledger is incomplete after the restart");
            return true;
        });
    }

    Result<void> applyRevisions(SingleVoter& voter, size_t applies, size_t textBytes)
    {
        BOOST_LEAF_CHECK(bootstrapGroup(voter));
        size_t applied = 0;
        for (size_t n = 0; n < applies; ++n) {
            const ApplyRules command { .requestId = "request-" + std::to_string(n), .expectedRevision = n, .text = std::string(textBytes, static_cast<char>('a' + n % 26)), .operatorName = "operator", .now = utcBase + TimeMs { static_cast<int64_t>(n) * 36000 } };
            propose(*voter.replica, encodeControlCommand(command));
            BOOST_LEAF_AUTO(done, runWrites(voter));
            applied += done;
        }
        if (applied != applies)
            return fail(ErrorCode::Unavailable, Step::Propose, "bench", std::to_string(applied) + " applies");
        return {};
    }

    void benchDecisionRestart(const BenchContext& context, size_t applies, size_t textBytes)
    {
        const BenchFolder folder("decisions-restart");
        const ReplicaOptions options { .cluster = 1, .group = { 1 }, .self = { 7 } };
        orThrow([&]() -> Result<bool> {
            {
                DecisionLog log;
                BOOST_LEAF_AUTO(voter, openSingleVoter(folder.path(), controlStateMachine(log), options));
                BOOST_LEAF_CHECK(applyRevisions(*voter, applies, textBytes));
            }
            DecisionLog log;
            const auto start = Clock::now();
            BOOST_LEAF_AUTO(voter, openSingleVoter(folder.path(), controlStateMachine(log), options));
            tick(*voter->replica, 2000_ms);
            BOOST_LEAF_CHECK(runWrites(*voter));
            const double elapsed = secondsSince(start);
            const std::string size = std::to_string(applies) + " applies of " + std::to_string(textBytes) + " B, default snapshots, files cached, snapshot now " + std::to_string(snapshotControl(log).size()) + " B";
            context.report("restart.decisions_s." + std::to_string(applies), elapsed, "s", size);
            if (log.revision != applies)
                return fail(ErrorCode::Corrupt, Step::Recover, "bench", "the decision log is incomplete after the restart");
            return true;
        });
    }

    void benchLedger(const BenchContext& context)
    {
        if (!context.quick) {
            benchCommits(context, 16, false);
            benchCommits(context, 256, false);
            benchCommits(context, 64, true);
        }
        benchCommits(context, 64, false);
        const std::array<size_t, 3> calls = context.quick ? std::array<size_t, 3> { 1000, 2000, 4000 } : std::array<size_t, 3> { 10000, 20000, 40000 };
        for (const size_t n : calls)
            benchLedgerRestart(context, n);
        for (const size_t applies : { 500, 1000, 2400 }) {
            if (!context.quick || applies == 500)
                benchDecisionRestart(context, applies, 20000);
        }
    }

    const BenchRegistration registration("ledger", benchLedger);

}

}
