#include "entry/Log.h"

#include <boost/date_time/posix_time/posix_time.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <iostream>

namespace siskinshunt {

namespace logging = boost::log;

namespace {

    struct LogState {
        std::string node;
        LogLevel minimum = LogLevel::Info;
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
    using Backend = logging::sinks::text_ostream_backend;
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
    backend->auto_flush(true);
    auto sink = boost::make_shared<logging::sinks::synchronous_sink<Backend>>(backend);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
    logState().node = node;
    logState().minimum = minimum;
}

void writeLog(const LogRecord& record)
{
    auto& state = logState();
    if (record.level < state.minimum)
        return;
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

}
