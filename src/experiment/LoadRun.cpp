#include "experiment/LoadRun.h"

#include "experiment/Commands.h"
#include "experiment/LoadCaller.h"
#include "experiment/RunReport.h"

#include <fstream>
#include <iostream>
#include <unistd.h>

namespace siskinshunt {

namespace {

    constexpr TimeMs second { 1000 };

    class LoadRun {
    public:
        LoadRun(const LoadOptions& options, LoadConfig config, std::vector<Arrival> arrivals)
            : m_options(options)
            , m_config(std::move(config))
            , m_arrivals(std::move(arrivals))
            , m_tally({ std::max<int64_t>(1000, options.duration.value / 60) })
            , m_context { .loop = m_loop, .config = m_config, .seed = options.seed, .startedAt = {}, .random = Random(options.seed), .onEnd = {} }
        {
            m_context.onEnd = [this](const LoadRecord& call, const OnceRecord* once) { handleEnd(call, once); };
            for (const auto& account : m_config.accounts) {
                for (uint32_t caller = 0; caller < m_config.callers; ++caller)
                    m_finders.push_back(std::make_unique<EntryFinder>(m_loop, options.targets, account.token, m_config.useEntries, options.seed + m_finders.size()));
            }
        }

        /// Runs until the last call has ended.
        Json run();
        bool reached() const { return m_tally.count(CallResult::Unreachable) < m_tally.calls() || m_tally.calls() == 0; }
        bool audited() const { return m_audited; }

    private:
        void startDue();
        void handleEnd(const LoadRecord&, const OnceRecord*);
        void sampleCost();
        void handleCost(const HttpAnswer&);
        void showProgress();
        void finishIfDone();
        void audit();
        void handleExecutions(const HttpAnswer&);

        const LoadOptions& m_options;
        LoadConfig m_config;
        std::vector<Arrival> m_arrivals;
        Loop m_loop;
        LoadTally m_tally;
        LoadContext m_context;
        std::vector<std::unique_ptr<EntryFinder>> m_finders;
        std::vector<OnceRecord> m_once;
        size_t m_next = 0;
        size_t m_inFlight = 0;
        bool m_stopped = false;
        bool m_ending = false;
        bool m_audited = false;
    };

    Json LoadRun::run()
    {
        m_context.startedAt = m_loop.now();
        m_loop.onSignal([this] {
            m_stopped = true;
            finishIfDone();
        });
        sampleCost();
        showProgress();
        startDue();
        m_loop.run();
        auto targets = Json::array();
        for (const auto& it : m_options.targets)
            targets.push(it);
        return m_tally.toJson(Json::object({ { "config", m_options.config }, { "seed", m_options.seed }, { "duration_s", m_options.duration.seconds() }, { "targets", targets }, { "arrivals", static_cast<uint64_t>(m_next) } }));
    }

    void LoadRun::startDue()
    {
        const auto now = m_loop.now() - m_context.startedAt;
        for (; !m_stopped && m_next < m_arrivals.size() && m_arrivals[m_next].at <= now; ++m_next) {
            const auto& arrival = m_arrivals[m_next];
            const auto finder = m_config.mixes[arrival.mix].account * m_config.callers + arrival.caller;
            ++m_inFlight;
            std::make_shared<LoadCaller>(m_context, arrival, *m_finders[finder])->start();
        }
        if (m_stopped || m_next == m_arrivals.size())
            return finishIfDone();
        m_loop.after(std::max(TimeMs { 1 }, m_arrivals[m_next].at - now), [this] { startDue(); });
    }

    void LoadRun::handleEnd(const LoadRecord& call, const OnceRecord* once)
    {
        m_tally.record(call);
        if (once)
            m_once.push_back(*once);
        --m_inFlight;
        finishIfDone();
    }

    void LoadRun::finishIfDone()
    {
        if (m_ending || m_inFlight || (!m_stopped && m_next < m_arrivals.size()))
            return;
        m_ending = true;
        // Gives executions time to finish that were in progress when their caller gave up.
        m_loop.after(second, [this] { audit(); });
    }

    void LoadRun::sampleCost()
    {
        if (m_config.control.empty() || m_ending)
            return;
        startHttpCall(m_loop, { .address = m_config.control, .target = "/control/cost", .timeout = second }, {}, [this](const HttpAnswer& answer) { handleCost(answer); });
        m_loop.after(second, [this] { sampleCost(); });
    }

    void LoadRun::handleCost(const HttpAnswer& answer)
    {
        const auto json = handle([&] { return parseJson(answer.body, "cost"); }, [](const Error&) { return Json(); });
        if (answer.status != 200 || json.kind != Json::Kind::Object)
            return;
        const auto count = [&](const char* key) { return static_cast<uint64_t>(json[key].asInt()); };
        m_tally.addCost({ .at = m_loop.now() - m_context.startedAt, .perHour = json["per_hour"].asDouble(), .spent = json["spent"].asDouble(), .prefilled = count("prefilled_tokens"), .resumed = count("resumed_tokens"), .cached = count("cached_tokens"), .decoded = count("decoded_tokens"), .workAfterNotice = count("work_after_notice") });
    }

    void LoadRun::showProgress()
    {
        if (m_ending || !isatty(STDERR_FILENO))
            return;
        const auto now = m_loop.now() - m_context.startedAt;
        std::cerr << "\r" << now.value / 1000 << " s of " << m_options.duration.value / 1000 << ", " << m_next << " calls started, " << m_inFlight << " in flight, "
                  << m_tally.count(CallResult::Answered) << " answered, " << m_tally.count(CallResult::Refused) << " refused, "
                  << m_tally.count(CallResult::Failed) + m_tally.count(CallResult::Lost) + m_tally.count(CallResult::Cut) << " failed   " << std::flush;
        m_loop.after(second, [this] { showProgress(); });
    }

    void LoadRun::audit()
    {
        if (m_config.control.empty()) {
            m_audited = true;
            m_tally.setAuditMissing("not done: the load file names no control address");
            return m_loop.stop();
        }
        startHttpCall(m_loop, { .address = m_config.control, .target = "/control/cost", .timeout = second }, {}, [this](const HttpAnswer& answer) { handleCost(answer); });
        startHttpCall(m_loop, { .address = m_config.control, .target = "/control/executions" }, {}, [this](const HttpAnswer& answer) { handleExecutions(answer); });
    }

    void LoadRun::handleExecutions(const HttpAnswer& answer)
    {
        const auto json = handle([&] { return parseJson(answer.body, "executions"); }, [](const Error&) { return Json(); });
        m_audited = answer.end == HttpEnd::Complete && answer.status == 200 && json.has("executions");
        if (!m_audited)
            m_tally.setAuditMissing("not done: the control address " + m_config.control + " gave no list of executions");
        std::map<std::string, uint64_t> executions;
        for (const auto& it : json["executions"].items)
            executions[std::string(it["key"].asText())] = static_cast<uint64_t>(it["count"].asInt());
        if (m_audited)
            m_tally.setAudit(auditOnceCalls(m_once, executions));
        m_loop.stop();
    }

}

static Result<void> writeFile(const std::string& path, const std::string& text)
{
    if (path.empty())
        return {};
    std::ofstream out(path, std::ios::binary);
    out << text;
    out.close();
    if (!out)
        return fail(ErrorCode::Io, Step::Command, path, "the file cannot be written");
    return {};
}

static Result<std::vector<Arrival>> loadArrivals(const LoadOptions& options, const LoadConfig& config)
{
    auto arrivals = makeArrivals(config, options.seed, options.duration);
    if (!options.arrivals.empty()) {
        BOOST_LEAF_ASSIGN(arrivals, readArrivals(options.arrivals, config, options.seed));
    }
    std::string recorded;
    for (const auto& it : arrivals)
        recorded += toRecordedLine(it, config) + "\n";
    BOOST_LEAF_CHECK(writeFile(options.record, recorded));
    return arrivals;
}

static Result<int> tryLoad(const LoadOptions& options)
{
    BOOST_LEAF_AUTO(json, readJsonFile(options.config));
    BOOST_LEAF_AUTO(config, parseLoadConfig(json, options.config));
    BOOST_LEAF_AUTO(arrivals, loadArrivals(options, config));
    LoadRun load(options, config, std::move(arrivals));
    const auto run = load.run();
    if (isatty(STDERR_FILENO))
        std::cerr << '\n';
    BOOST_LEAF_CHECK(writeFile(options.out, toText(run) + "\n"));
    if (!options.html.empty())
        BOOST_LEAF_CHECK(writeFile(options.html, renderHtml({ run })));
    std::cout << (options.json ? toText(run) + "\n" : renderTable({ run }));
    if (!runIsClean(run, options.strict))
        return exit_codes::negative;
    return load.reached() && load.audited() ? exit_codes::ok : exit_codes::unreachable;
}

int runLoad(const LoadOptions& options)
{
    return handle([&] { return tryLoad(options); }, [](const Error& error) {
        std::cerr << "siskinshuntctl load: " << toString(error) << '\n';
        return exit_codes::usage; });
}

}
