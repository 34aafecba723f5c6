#include "entry/Log.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace siskinshunt {

namespace logging = boost::log;

// Limit of the lines that are queued for standard output. When the reader stalls, further lines are dropped.
static constexpr size_t maxQueuedBytes = 256 << 10;
// Size of the queue above which it is written without waiting for the next flush.
static constexpr size_t flushBytes = 32 << 10;

namespace {

    class QueueBackend : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::synchronized_feeding> {
    public:
        void consume(const logging::record_view&, const string_type& line)
        {
            if (m_queue.size() + line.size() > maxQueuedBytes) {
                ++m_dropped;
                return;
            }
            m_queue += line;
            m_queue += '\n';
            if (m_queue.size() > flushBytes)
                flush();
        }

        void flush()
        {
            size_t at = 0;
            pollfd out { STDOUT_FILENO, POLLOUT, 0 };
            while (at < m_queue.size() && ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT)) {
                // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
                const auto n = ::write(STDOUT_FILENO, m_queue.data() + at, std::min<size_t>(m_queue.size() - at, PIPE_BUF));
                if (n <= 0)
                    break;
                at += static_cast<size_t>(n);
            }
            m_queue.erase(0, at);
        }

        // Returns and resets the number of dropped lines once the queue has room again, 0 before.
        uint64_t consumeDroppedCount() { return m_queue.size() < maxQueuedBytes / 2 ? std::exchange(m_dropped, 0) : 0; }

    private:
        std::string m_queue;
        uint64_t m_dropped = 0;
    };

    struct LogState {
        std::string node;
        LogLevel minimum = LogLevel::Info;
        boost::shared_ptr<QueueBackend> backend;
        boost::shared_ptr<logging::sinks::synchronous_sink<QueueBackend>> sink;
        logging::sources::logger_mt logger;
    };

}

static LogState& logState()
{
    static LogState s_state;
    return s_state;
}

void startLog(const std::string& node, LogLevel minimum)
{
    auto& state = logState();
    state.backend = boost::make_shared<QueueBackend>();
    state.sink = boost::make_shared<logging::sinks::synchronous_sink<QueueBackend>>(state.backend);
    state.sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(state.sink);
    state.node = node;
    state.minimum = minimum;
}

void setLogLevel(LogLevel minimum)
{
    logState().minimum = minimum;
}

static void writeLine(LogState& state, const LogRecord& record)
{
    boost::json::object line;
    const auto now = boost::posix_time::microsec_clock::universal_time();
    line["time"] = boost::posix_time::to_iso_extended_string(now) + "Z";
    line["level"] = nameOf(record.level);
    line["node"] = state.node;
    line["code"] = record.code;
    line["step"] = nameOf(record.step);
    line["peer"] = record.peer;
    line["text"] = record.text;
    for (const auto& [key, value] : record.fields)
        line[key] = value;
    BOOST_LOG(state.logger) << boost::json::serialize(line);
}

void writeLog(const LogRecord& record)
{
    auto& state = logState();
    if (record.level < state.minimum || !state.backend)
        return;
    writeLine(state, record);
}

void flushLog()
{
    auto& state = logState();
    if (!state.backend)
        return;
    const auto backend = state.sink->locked_backend();
    backend->flush();
    if (const uint64_t dropped = backend->consumeDroppedCount())
        writeLine(state, { LogLevel::Warning, "log_lines_dropped", Step::Send, "standard output", "log lines were dropped because standard output was not read", { { "lines", std::to_string(dropped) } } });
}

}
