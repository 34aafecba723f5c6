#include "experiment/CommandOptions.h"
#include "experiment/Commands.h"
#include "experiment/LoadRun.h"
#include "experiment/RunReport.h"

#include <fstream>
#include <iostream>

namespace siskinshunt {

int runLoadCommand(const std::vector<std::string>& arguments)
{
    CommandOptions options("siskinshuntctl load --config FILE --target ADDR... [--seed S] [--duration SECONDS]",
        "Sends open-loop load, checks every answer completely and compares the once-only calls with the executions of the stand-ins.\n"
        "Exits with 1 if anything was lost, cut, crossed, doubled, missing or wrongly reported as not run.");
    options.add("config", "load file (JSON with comments)");
    options.addDefault("seed", "seed of the arrivals and prompts", "1");
    options.addDefault("duration", "seconds during which calls start", "10");
    options.addMany("target", "addresses (IP:port) of the system, for GET /v1/entries");
    options.add("arrivals", "recorded arrivals, one JSON object a line, instead of Poisson arrivals");
    options.add("record", "write the arrivals of this run to the file");
    options.add("out", "write the run as JSON to the file");
    options.add("html", "write the run as an HTML page to the file");
    options.addFlag("json", "print JSON instead of tables");
    options.addFlag("strict", "fail also when a connection broke after the request was sent, even if a later attempt was answered");
    if (const auto code = options.parse(arguments))
        return *code;
    if (!options.require({ "config", "target" }))
        return exit_codes::usage;
    const auto seed = options.number("seed", 0, INT64_MAX);
    const auto duration = options.number("duration", 1, 7 * 24 * 3600);
    if (!seed || !duration)
        return exit_codes::usage;
    return runLoad({ .config = options.text("config"), .seed = static_cast<uint64_t>(*seed), .duration = TimeMs { *duration * 1000 }, .targets = options.many("target"), .arrivals = options.text("arrivals"), .record = options.text("record"), .out = options.text("out"), .html = options.text("html"), .json = options.flag("json"), .strict = options.flag("strict") });
}

int runReportCommand(const std::vector<std::string>& arguments)
{
    CommandOptions options("siskinshuntctl report FILE [FILE2] [--html FILE]", "Renders a saved load run, or two side by side. Exits with 1 if a run is not clean.");
    options.addPositional("file", 2);
    options.add("html", "write an HTML page to the file instead of tables to standard output");
    options.addFlag("json", "print JSON instead of tables");
    if (const auto code = options.parse(arguments))
        return *code;
    if (!options.require({ "file" }))
        return exit_codes::usage;
    return handle(
        [&]() -> Result<int> {
            std::vector<Json> runs;
            for (const auto& file : options.many("file")) {
                BOOST_LEAF_AUTO(run, readJsonFile(file));
                if (!run.has("checks") || !run.has("mixes"))
                    return fail(ErrorCode::Invalid, Step::Decode, file, "not a saved load run");
                runs.push_back(run);
            }
            if (const auto html = options.text("html"); !html.empty()) {
                std::ofstream out(html);
                out << renderHtml(runs);
                out.close();
                if (!out)
                    return fail(ErrorCode::Io, Step::Command, html, "the file cannot be written");
            } else {
                std::cout << (options.flag("json") ? toText(Json::array(runs)) + "\n" : renderTable(runs));
            }
            for (const auto& run : runs) {
                if (!runIsClean(run, false))
                    return exit_codes::negative;
            }
            return exit_codes::ok;
        },
        [](const Error& error) {
            std::cerr << "siskinshuntctl report: " << toString(error) << '\n';
            return exit_codes::usage;
        });
}

}
