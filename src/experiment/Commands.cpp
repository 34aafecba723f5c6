#include "experiment/Commands.h"

#include "experiment/CommandOptions.h"
#include "experiment/Fakes.h"

#include <algorithm>
#include <iostream>

namespace siskinshunt {

namespace {
    struct Command {
        const char* name;
        const char* summary;
        int (*run)(const std::vector<std::string>&);
    };

    constexpr Command commands[] = {
        { "rules", "check, apply, show, compare and list the rules", runRulesCommand },
        { "status", "state of the system from the view of a node", runStatusCommand },
        { "upstreams", "runners and services with load and version", runUpstreamsCommand },
        { "moves", "version moves with stage and reason", runMovesCommand },
        { "explain", "decisions that concern an id", runExplainCommand },
        { "evacuate", "start or end the evacuation of a failure domain", runEvacuateCommand },
        { "evacuations", "evacuations in force, with who ordered them", runEvacuationsCommand },
        { "drain", "drain one node", runDrainCommand },
        { "voters", "show, bootstrap or replace the voters", runVotersCommand },
        { "snapshot", "all data of the operator interface in one JSON object", runSnapshotCommand },
        { "load", "send load to the system and check every answer", runLoadCommand },
        { "report", "render one saved load run, or two side by side", runReportCommand },
        { "faultplan", "print a random plan of faults from a seed", runFaultPlanCommand },
        { "fakes", "serve the stand-ins of a file: engines, services, platform, weight store", runFakesCommand },
    };
}

static int printUsage(std::ostream& out, int code)
{
    out << "usage: siskinshuntctl COMMAND [OPTIONS]\n\ncommands:\n";
    for (const auto& it : commands)
        out << "  " << it.name << std::string(12 - std::string_view(it.name).size(), ' ') << it.summary << '\n';
    out << "\nsiskinshuntctl COMMAND --help describes the options of a command.\n"
           "exit codes: 0 ok; 1 negative result or failed check; 2 usage or input error; 3 the system cannot be reached\n";
    return code;
}

int runCommandLine(int argc, char** argv)
{
    const std::vector<std::string> all(argv + 1, argv + argc);
    if (all.empty())
        return printUsage(std::cerr, exit_codes::usage);
    if (all[0] == "--help" || all[0] == "-h" || all[0] == "help")
        return printUsage(std::cout, exit_codes::ok);
    for (const auto& it : commands) {
        if (all[0] == it.name)
            return it.run({ all.begin() + 1, all.end() });
    }
    std::cerr << "siskinshuntctl: unknown command " << all[0] << '\n';
    return printUsage(std::cerr, exit_codes::usage);
}

int runFakesCommand(const std::vector<std::string>& arguments)
{
    CommandOptions options("siskinshuntctl fakes --config FILE", "Serves the stand-ins of the file until SIGINT or SIGTERM.");
    options.add("config", "stand-ins file (JSON with comments)");
    if (const auto code = options.parse(arguments))
        return *code;
    if (!options.require({ "config" }))
        return exit_codes::usage;
    return runFakes(options.text("config"));
}

}
