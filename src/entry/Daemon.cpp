#include "entry/Daemon.h"

#include "base/Hash.h"
#include "base/Invariant.h"
#include "entry/DiskThread.h"
#include "entry/HttpServer.h"
#include "entry/Log.h"
#include "entry/PeerTransport.h"
#include "entry/UpstreamClient.h"
#include "node/Node.h"
#include "storage/FileDisk.h"
#include "storage/Identity.h"
#include "storage/Storage.h"

#include <boost/asio.hpp>
#include <chrono>
#include <ctime>
#include <filesystem>
#include <random>

namespace siskinshunt {

namespace asio = boost::asio;

// Between looks at the settings file; the platform tells of changes by a signal or not at all.
static constexpr TimeMs settingsInterval { 1000 };

namespace {

    // Milliseconds since 1970 at the start, then a clock that also counts while the machine is suspended, so that a node
    // that wakes up sees how old its beliefs are. It never goes back.
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

    // The data folder of a node that has one.
    struct DataFolder {
        std::unique_ptr<FileDisk> disk;
        std::unique_ptr<Storage> storage;
        VoterId voter;
        std::map<GroupId, GroupState> recovered;
    };

    class Daemon {
    public:
        Daemon(const DaemonOptions&, const NodeClock&, NodePtr, DataFolder);
        int run();

    private:
        void apply(Inputs);
        void carry(Outputs&);
        void writeDisk(std::vector<DiskRequest>);
        void diskWritten(Inputs);
        void tick();
        void waitForSignal();
        void addServer(const Endpoint&, ListenerKind);
        HttpServer& serverOf(ExchangeId);
        void lookAtSettings();
        void reloadSettings();

        const DaemonOptions& m_options;
        const Settings& m_settings;
        const NodeClock& m_clock;
        NodePtr m_node;
        DataFolder m_folder;
        asio::io_context m_context { 1 };
        asio::signal_set m_signals { m_context, SIGTERM, SIGINT, SIGHUP };
        asio::steady_timer m_timer { m_context };
        std::vector<std::unique_ptr<HttpServer>> m_servers; ///< The first one is the node's own interface.
        HttpServer* m_forwardServer = nullptr;
        TimeMs m_nextLook;
        std::filesystem::file_time_type m_settingsTime;
        UpstreamClient m_client;
        PeerTransport m_transport;
        std::vector<DiskRequest> m_waitingDisk; ///< Gather while a write is under way: one sync covers all of them.
        bool m_writing = false;
        bool m_drainAsked = false;
        int m_exitCode = 0;
        DiskThread m_diskThread; ///< Last, so that its work ends before anything it refers to.
    };

}

static Result<DataFolder> openDataFolder(const Settings& settings)
{
    DataFolder out;
    if (settings.dataFolder.empty())
        return out;
    BOOST_LEAF_ASSIGN(out.disk, FileDisk::open(settings.dataFolder));
    std::random_device device;
    const VoterId fresh { static_cast<uint64_t>(device()) << 32 | device() | 1 };
    BOOST_LEAF_AUTO(identity, openIdentity(*out.disk, { .cluster = settings.cluster, .node = settings.node, .voter = fresh }));
    out.voter = identity.voter;
    BOOST_LEAF_ASSIGN(out.storage, Storage::open(*out.disk, { .cluster = hash64(settings.cluster) }));
    for (const auto& record : out.storage->log())
        writeLog(record);
    out.recovered = out.storage->takeRecovered();
    return out;
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
        m_settingsTime = std::filesystem::last_write_time(m_options.settingsFile, ec);
}

// The upper bits of an exchange's number tell its server.
static constexpr int serverShift = 56;

void Daemon::addServer(const Endpoint& listen, ListenerKind kind)
{
    if (!listen.port)
        return;
    HttpServerHandlers handlers {
        .arrived = [this](RequestArrived arrived) {
            Inputs inputs;
            inputs.requests.push_back(std::move(arrived));
            apply(std::move(inputs)); },
        .gone = [this](ExchangeId exchange) {
            Inputs inputs;
            inputs.disconnected.push_back(exchange);
            apply(std::move(inputs)); },
        .log = writeLog,
    };
    HttpServerOptions options { .listen = listen, .listener = kind, .firstExchange = static_cast<ExchangeId>(m_servers.size()) << serverShift, .limits = m_settings.limits, .tls = m_settings.tls };
    m_servers.push_back(std::make_unique<HttpServer>(m_context, std::move(options), std::move(handlers)));
    if (kind == ListenerKind::Forward)
        m_forwardServer = m_servers.back().get();
}

HttpServer& Daemon::serverOf(ExchangeId exchange)
{
    return *m_servers[std::min<size_t>(exchange >> serverShift, m_servers.size() - 1)];
}

void Daemon::apply(Inputs inputs)
{
    Outputs outputs;
    step(*m_node, m_clock.now(), std::move(inputs), outputs);
    carry(outputs);
}

void Daemon::carry(Outputs& outputs)
{
    for (const auto& record : outputs.log)
        writeLog(record);
    for (auto& answer : outputs.answers) {
        HttpServer& server = serverOf(answer.exchange);
        server.answer(std::move(answer));
    }
    for (const DispatchId dispatch : outputs.cancels)
        m_client.cancel(dispatch);
    for (const auto& address : outputs.discardedPools)
        m_client.replacePool(address);
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
        m_waitingDisk.push_back(std::move(request));
    if (m_writing || m_waitingDisk.empty())
        return;
    m_writing = true;
    auto batch = std::make_shared<std::vector<DiskRequest>>(std::move(m_waitingDisk));
    m_waitingDisk.clear();
    m_diskThread.post([this, batch] {
        std::string problem;
        Inputs inputs;
        const bool ok = handle(
            [&]() -> Result<bool> {
                BOOST_LEAF_AUTO(report, m_folder.storage->write(*batch));
                inputs.pinning = std::move(report.pinning);
                return true;
            },
            [&](const Error& error) { problem = toString(error); return false; });
        for (const auto& request : *batch)
            inputs.completions.push_back({ request.group, request.id, ok, problem });
        asio::post(m_context, [this, inputs = std::move(inputs)]() mutable { diskWritten(std::move(inputs)); });
    });
}

void Daemon::diskWritten(Inputs inputs)
{
    m_writing = false;
    apply(std::move(inputs));
    writeDisk({});
}

void Daemon::tick()
{
    m_timer.expires_after(std::chrono::milliseconds(m_settings.timings.tick.value));
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (ec)
            return;
        apply({});
        lookAtSettings();
        flushLog();
        tick();
    });
}

// The platform may replace the settings file without a signal.
void Daemon::lookAtSettings()
{
    const TimeMs now = m_clock.now();
    if (m_options.settingsFile.empty() || now < m_nextLook)
        return;
    m_nextLook = now + settingsInterval;
    std::error_code ec;
    const auto time = std::filesystem::last_write_time(m_options.settingsFile, ec);
    if (ec || time == m_settingsTime)
        return;
    m_settingsTime = time;
    reloadSettings();
}

// Seeds and the log level can change while the node runs; everything else is read at the start only.
void Daemon::reloadSettings()
{
    if (m_options.settingsFile.empty())
        return;
    const auto reloaded = handle([&]() -> Result<std::optional<Settings>> {
        BOOST_LEAF_AUTO(settings, loadSettings(m_options.settingsFile));
        return std::optional<Settings>(std::move(settings)); },
        [](const Error& error) {
            writeLog({ LogLevel::Error, "settings_refused", Step::ReadSettings, error.peer, "the settings before stay in force: " + error.detail, {} });
            return std::optional<Settings> {};
        });
    if (!reloaded)
        return;
    Inputs inputs;
    for (const auto& seed : reloaded->seeds)
        inputs.seeds.push_back(toString(seed));
    setLogLevel(reloaded->logLevel);
    writeLog({ LogLevel::Info, "settings_read", Step::ReadSettings, m_options.settingsFile, "seeds and log level are in force", { { "seeds", std::to_string(inputs.seeds.size()) } } });
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
        if (signal == SIGINT || m_drainAsked) {
            writeLog({ LogLevel::Warning, "stopped", Step::Command, {}, "stopped by a signal without draining", {} });
            return m_context.stop();
        }
        m_drainAsked = true;
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
    tick();
    writeLog({ LogLevel::Info, "started", Step::Accept, toString(m_settings.http), "serving", { { "peer_address", toString(m_settings.peer) }, { "data_folder", m_settings.dataFolder } } });
    m_context.run();
    writeLog({ LogLevel::Info, "exiting", Step::Command, {}, "the process ends", {} });
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
    BOOST_LEAF_AUTO(folder, openDataFolder(settings));
    std::random_device device;
    NodeOptions options { .settings = settings, .startedAtUtc = clock.now(), .seed = static_cast<uint64_t>(device()) << 32 | device(), .voter = folder.voter, .recovered = std::move(folder.recovered), .dialect = daemonOptions.dialect };
    BOOST_LEAF_AUTO(node, makeNode(std::move(options), clock.now()));
    try {
        return Daemon(daemonOptions, clock, std::move(node), std::move(folder)).run();
    } catch (const boost::system::system_error& error) {
        return fail(ErrorCode::Io, Step::Accept, toString(settings.http), error.what());
    }
}

}
