#include "entry/Daemon.h"

#include "base/Hash.h"
#include "base/Invariant.h"
#include "entry/DiskThread.h"
#include "entry/HttpServer.h"
#include "entry/Log.h"
#include "entry/PeerTransport.h"
#include "entry/ToChrono.h"
#include "entry/UpstreamClient.h"
#include "node/Node.h"
#include "storage/FileDisk.h"
#include "storage/Identity.h"
#include "storage/RetryingStorage.h"

#include <boost/asio.hpp>
#include <chrono>
#include <ctime>
#include <filesystem>
#include <random>
#include <thread>

namespace siskinshunt {

namespace asio = boost::asio;

// Interval of checks for a changed settings file. The platform may replace the file without sending SIGHUP.
static constexpr TimeMs settingsCheckInterval { 1000 };
// A write to a full disk is repeated after these times.
static constexpr TimeMs minDiskRetryDelay { 250 };
static constexpr TimeMs maxDiskRetryDelay { 1000 };
// Time after which a voter with a full disk stops: what it has not stored is kept in memory.
static constexpr TimeMs maxDiskFullTime { 600000 };

namespace {

    // Monotonic clock that starts at the UTC time in milliseconds since 1970. It also advances while the machine is
    // suspended, so that a resumed node sees how old its state is.
    class NodeClock {
    public:
        NodeClock()
            : m_startUtc(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
            , m_start(bootMilliseconds())
        {
        }

        TimeMs now() const { return { m_startUtc + bootMilliseconds() - m_start }; }

    private:
        static int64_t bootMilliseconds()
        {
            timespec time {};
            ::clock_gettime(CLOCK_BOOTTIME, &time);
            return static_cast<int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000;
        }

        int64_t m_startUtc;
        int64_t m_start;
    };

    // Open data folder and the state recovered from it; empty for a node without one.
    struct DataFolder {
        std::unique_ptr<FileDisk> disk;
        RetryingStorage storage;
        VoterId voter;
        std::map<GroupId, GroupState> recovered;
    };

    class Daemon {
    public:
        Daemon(const DaemonOptions&, const NodeClock&, NodePtr, DataFolder);
        int run();

    private:
        void apply(Inputs);
        void executeOutputs(Outputs&);
        void writeDisk(std::vector<DiskRequest>);
        WriteOutcome writeUntilTaken(std::span<const DiskRequest>);
        void postLog(LogRecord);
        void handleDiskCompletion(Inputs);
        void tick();
        void waitForTick(TimeMs delay, bool isRepeat);
        void waitForSignal();
        void addServer(const Endpoint&, ListenerKind);
        HttpServer& serverForExchange(ExchangeId);
        void checkSettingsFile();
        void reloadSettings();

        const DaemonOptions& m_options;
        const Settings& m_settings;
        const NodeClock& m_clock;
        NodePtr m_node;
        DataFolder m_folder;
        asio::io_context m_context { 1 };
        asio::signal_set m_signals { m_context, SIGTERM, SIGINT, SIGHUP };
        asio::steady_timer m_timer { m_context };
        std::vector<std::unique_ptr<HttpServer>> m_servers; ///< The first one serves the node's own interface.
        HttpServer* m_forwardServer = nullptr;
        TimeMs m_nextSettingsCheck;
        std::filesystem::file_time_type m_settingsModified;
        UpstreamClient m_client;
        PeerTransport m_transport;
        std::vector<DiskRequest> m_pendingDiskRequests; ///< Collected while a write is in progress and then written with one sync.
        bool m_diskWriteActive = false;
        bool m_drainRequested = false;
        int m_exitCode = 0;
        DiskThread m_diskThread; ///< Declared last: its destructor completes tasks that use the other members.
    };

}

static Result<DataFolder> openDataFolder(const Settings& settings)
{
    DataFolder out;
    if (settings.dataFolder.empty())
        return out;
    BOOST_LEAF_ASSIGN(out.disk, FileDisk::open(settings.dataFolder));
    std::random_device device;
    const VoterId newVoter = makeVoterId(idOfName<NodeId>(settings.node), static_cast<uint64_t>(device()) << 32 | device());
    BOOST_LEAF_AUTO(identity, openIdentity(*out.disk, { .cluster = settings.cluster, .node = settings.node, .voter = newVoter }));
    out.voter = identity.voter;
    BOOST_LEAF_ASSIGN(out.storage, openRetryingStorage(*out.disk, { .cluster = hash64(settings.cluster) }));
    for (const auto& record : out.storage.storage->log())
        writeLog(record);
    out.recovered = out.storage.storage->takeRecovered();
    return out;
}

// A start can have to cut an incomplete write off the log, or to create the identity. While the disk is full, it waits.
static Result<DataFolder> openDataFolderWhenWritable(const Settings& settings)
{
    for (TimeMs waited;; waited += maxDiskRetryDelay) {
        Error problem;
        auto folder = handle([&]() -> Result<std::optional<DataFolder>> {
            BOOST_LEAF_AUTO(opened, openDataFolder(settings));
            return std::optional<DataFolder>(std::move(opened)); },
            [&](const Error& error) {
                problem = error;
                return std::optional<DataFolder> {};
            });
        if (folder)
            return std::move(*folder);
        if (!isDiskFull(problem) || waited >= maxDiskFullTime)
            return fail(problem.code, problem.step, problem.peer, problem.detail);
        if (waited == TimeMs {}) {
            writeLog({ LogLevel::Error, "disk_full", problem.step, settings.dataFolder, "the start waits until the disk takes bytes again: " + toString(problem), {} });
            flushLog();
        }
        std::this_thread::sleep_for(toChrono(maxDiskRetryDelay));
    }
}

Daemon::Daemon(const DaemonOptions& options, const NodeClock& clock, NodePtr node, DataFolder folder)
    : m_options(options)
    , m_settings(options.settings)
    , m_clock(clock)
    , m_node(std::move(node))
    , m_folder(std::move(folder))
    , m_client(m_context, { .idleReuse = m_settings.timings.idleReuse }, [this](UpstreamEvent event) {
        Inputs inputs;
        inputs.events.push_back(std::move(event));
        apply(std::move(inputs));
    })
    , m_transport(m_context, { .listen = m_settings.peer }, {
                                                                .datagram = [this](std::string bytes, const Endpoint& from) {
                  Inputs inputs;
                  inputs.datagrams.push_back({ toString(from), std::move(bytes) });
                  apply(std::move(inputs)); },
                                                                .frame = [this](std::string bytes) {
                  Inputs inputs;
                  inputs.frames.push_back(std::move(bytes));
                  apply(std::move(inputs)); },
                                                                .log = writeLog,
                                                            })
{
    addServer(m_settings.http, ListenerKind::Main);
    addServer(m_settings.listeners.forward, ListenerKind::Forward);
    addServer(m_settings.listeners.ready, ListenerKind::Ready);
    addServer(m_settings.listeners.control, ListenerKind::Control);
    addServer(m_settings.listeners.directory, ListenerKind::Directory);
    std::error_code ec;
    if (!m_options.settingsFile.empty())
        m_settingsModified = std::filesystem::last_write_time(m_options.settingsFile, ec);
}

// The bits of an exchange id from this one on are the index of its server.
static constexpr int serverIndexShift = 56;

void Daemon::addServer(const Endpoint& listen, ListenerKind kind)
{
    if (!listen.port)
        return;
    HttpServerHandlers handlers {
        .arrived = [this](RequestArrived arrived) {
            Inputs inputs;
            inputs.requests.push_back(std::move(arrived));
            apply(std::move(inputs)); },
        .disconnected = [this](ExchangeId exchange) {
            Inputs inputs;
            inputs.disconnected.push_back(exchange);
            apply(std::move(inputs)); },
        .log = writeLog,
    };
    HttpServerOptions options { .listen = listen, .listener = kind, .firstExchange = static_cast<ExchangeId>(m_servers.size()) << serverIndexShift, .limits = m_settings.limits, .tls = m_settings.tls };
    m_servers.push_back(std::make_unique<HttpServer>(m_context, std::move(options), std::move(handlers)));
    if (kind == ListenerKind::Forward)
        m_forwardServer = m_servers.back().get();
}

HttpServer& Daemon::serverForExchange(ExchangeId exchange)
{
    return *m_servers[std::min<size_t>(exchange >> serverIndexShift, m_servers.size() - 1)];
}

void Daemon::apply(Inputs inputs)
{
    Outputs outputs;
    step(*m_node, m_clock.now(), std::move(inputs), outputs);
    executeOutputs(outputs);
}

void Daemon::executeOutputs(Outputs& outputs)
{
    for (const auto& record : outputs.log)
        writeLog(record);
    for (auto& answer : outputs.answers) {
        HttpServer& server = serverForExchange(answer.exchange);
        server.answer(std::move(answer));
    }
    for (const DispatchId dispatch : outputs.cancels)
        m_client.cancel(dispatch);
    for (const auto& address : outputs.discardedPools)
        m_client.discardPool(address);
    for (auto& dispatch : outputs.dispatches)
        m_client.dispatch(std::move(dispatch));
    for (const auto& datagram : outputs.datagrams)
        m_transport.send(datagram);
    for (auto& frame : outputs.frames)
        m_transport.send(std::move(frame));
    if (outputs.forwardLimits && m_forwardServer)
        m_forwardServer->setLimits(*outputs.forwardLimits);
    if (outputs.closeWhenIdle) {
        for (const auto& server : m_servers)
            server->closeWhenIdle();
    }
    if (!outputs.disk.empty())
        writeDisk(std::move(outputs.disk));
    if (outputs.stop)
        m_context.stop();
}

void Daemon::writeDisk(std::vector<DiskRequest> requests)
{
    for (auto& request : requests)
        m_pendingDiskRequests.push_back(std::move(request));
    if (m_diskWriteActive || m_pendingDiskRequests.empty())
        return;
    m_diskWriteActive = true;
    auto batch = std::make_shared<std::vector<DiskRequest>>(std::move(m_pendingDiskRequests));
    m_pendingDiskRequests.clear();
    m_diskThread.post([this, batch] {
        WriteOutcome outcome = writeUntilTaken(*batch);
        Inputs inputs;
        inputs.pinning = std::move(outcome.report.pinning);
        for (const auto& request : *batch)
            inputs.completions.push_back({ request.group, request.id, outcome.state == WriteState::Written, outcome.error });
        asio::post(m_context, [this, inputs = std::move(inputs)]() mutable { handleDiskCompletion(std::move(inputs)); });
    });
}

// Runs on the disk thread, which must not write the log itself.
void Daemon::postLog(LogRecord record)
{
    asio::post(m_context, [record = std::move(record)] { writeLog(record); });
}

// Runs on the disk thread. While the disk is full, the voter neither votes nor acknowledges entries, as with a disk that does not respond.
WriteOutcome Daemon::writeUntilTaken(std::span<const DiskRequest> requests)
{
    TimeMs waited;
    for (TimeMs delay = minDiskRetryDelay;; delay = std::min(delay * 2, maxDiskRetryDelay)) {
        WriteOutcome outcome = write(m_folder.storage, requests);
        for (auto& record : outcome.log)
            postLog(std::move(record));
        if (outcome.state == WriteState::Written && waited > TimeMs {})
            postLog({ LogLevel::Info, "disk_has_space", Step::Append, m_settings.dataFolder, "the disk takes bytes again", { { "full_ms", std::to_string(waited.value) } } });
        if (outcome.state != WriteState::Full || waited >= maxDiskFullTime)
            return outcome;
        if (waited == TimeMs {})
            postLog({ LogLevel::Error, "disk_full", Step::Append, m_settings.dataFolder, "this voter waits until the disk takes bytes again: " + outcome.error, {} });
        if (!m_diskThread.wait(delay))
            return outcome;
        waited = waited + delay;
    }
}

void Daemon::handleDiskCompletion(Inputs inputs)
{
    m_diskWriteActive = false;
    apply(std::move(inputs));
    writeDisk({});
}

void Daemon::tick()
{
    apply({});
    checkSettingsFile();
    flushLog();
    waitForTick(m_settings.timings.tick, false);
}

// A poll of the event loop queues ready sockets before expired timers, so the bytes that had arrived at the poll are passed to the
// node before the tick. A timer that runs late may have been queued before a stall; then the sockets are polled once more.
void Daemon::waitForTick(TimeMs delay, bool isRepeat)
{
    const TimeMs due = m_clock.now() + delay;
    m_timer.expires_after(toChrono(delay));
    m_timer.async_wait([this, due, isRepeat](boost::system::error_code ec) {
        if (ec)
            return;
        if (!isRepeat && m_clock.now() - due > m_settings.timings.tick)
            return waitForTick({}, true);
        tick();
    });
}

// Reloads the settings if the file has changed.
void Daemon::checkSettingsFile()
{
    const TimeMs now = m_clock.now();
    if (m_options.settingsFile.empty() || now < m_nextSettingsCheck)
        return;
    m_nextSettingsCheck = now + settingsCheckInterval;
    std::error_code ec;
    const auto time = std::filesystem::last_write_time(m_options.settingsFile, ec);
    if (ec || time == m_settingsModified)
        return;
    m_settingsModified = time;
    reloadSettings();
}

// Applies the seeds and the log level; all other settings are read at startup only.
void Daemon::reloadSettings()
{
    if (m_options.settingsFile.empty())
        return;
    const auto reloaded = handle([&]() -> Result<std::optional<Settings>> {
        BOOST_LEAF_AUTO(settings, loadSettings(m_options.settingsFile));
        return std::optional<Settings>(std::move(settings)); },
        [](const Error& error) {
            writeLog({ LogLevel::Error, "settings_refused", Step::ReadSettings, error.peer, "the current settings stay in force: " + error.detail, {} });
            return std::optional<Settings> {};
        });
    if (!reloaded)
        return;
    Inputs inputs;
    for (const auto& seed : reloaded->seeds)
        inputs.seeds.push_back(toString(seed));
    setLogLevel(reloaded->logLevel);
    writeLog({ LogLevel::Info, "settings_read", Step::ReadSettings, m_options.settingsFile, "applied the seeds and the log level", { { "seeds", std::to_string(inputs.seeds.size()) } } });
    // A step without inputs would state that all sockets have been read.
    if (!inputs.seeds.empty())
        apply(std::move(inputs));
}

void Daemon::waitForSignal()
{
    m_signals.async_wait([this](boost::system::error_code ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP) {
            reloadSettings();
            return waitForSignal();
        }
        if (signal == SIGINT || m_drainRequested) {
            writeLog({ LogLevel::Warning, "stopped", Step::Command, {}, "stopped by a signal without draining", {} });
            return m_context.stop();
        }
        m_drainRequested = true;
        writeLog({ LogLevel::Info, "drain_started", Step::Command, {}, "SIGTERM: leaving the entry addresses, then stopping", {} });
        Inputs inputs;
        inputs.drain = true;
        apply(std::move(inputs));
        waitForSignal();
    });
}

int Daemon::run()
{
    for (const auto& server : m_servers)
        server->start();
    m_transport.start();
    waitForSignal();
    waitForTick(m_settings.timings.tick, false);
    writeLog({ LogLevel::Info, "started", Step::Accept, toString(m_settings.http), "serving", { { "peer_address", toString(m_settings.peer) }, { "data_folder", m_settings.dataFolder } } });
    m_context.run();
    writeLog({ LogLevel::Info, "exiting", Step::Command, {}, "the process exits", {} });
    flushLog();
    return m_exitCode;
}

Result<int> runDaemon(const DaemonOptions& daemonOptions)
{
    const Settings& settings = daemonOptions.settings;
    startLog(settings.node, settings.logLevel);
    setInvariantHandler([](const std::string& line) {
        writeLog({ LogLevel::Error, "invariant_failed", Step::Command, {}, line, {} });
        flushLog();
    });
    const NodeClock clock;
    BOOST_LEAF_AUTO(folder, openDataFolderWhenWritable(settings));
    std::random_device device;
    NodeOptions options { .settings = settings, .startedAtUtc = clock.now(), .seed = static_cast<uint64_t>(device()) << 32 | device(), .voter = folder.voter, .recovered = std::move(folder.recovered), .dialect = daemonOptions.dialect };
    BOOST_LEAF_AUTO(node, makeNode(std::move(options), clock.now()));
    try {
        return Daemon(daemonOptions, clock, std::move(node), std::move(folder)).run();
    } catch (const std::exception& error) {
        return fail(ErrorCode::Io, Step::Accept, toString(settings.http), error.what());
    }
}

}
