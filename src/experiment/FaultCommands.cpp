#include "experiment/CommandOptions.h"
#include "experiment/Commands.h"
#include "experiment/FaultPlan.h"
#include "experiment/Json.h"

#include <algorithm>
#include <iostream>

namespace siskinshunt {

int runFaultPlanCommand(const std::vector<std::string>& arguments)
{
    CommandOptions options("siskinshuntctl faultplan --seed S --seconds N [--daemons N]", "Prints a random plan of faults, one `AT_MS ACTION TARGET ARGS` a line; the same options give the same plan.");
    options.addDefault("seed", "seed of the plan", "1");
    options.addDefault("seconds", "duration of the run in seconds", "60");
    options.addDefault("daemons", "number of daemons", "8");
    options.addDefault("voters", "number of daemons that are voters", "5");
    options.addDefault("engines", "number of engines", "10");
    options.addDefault("services", "number of services", "3");
    options.addDefault("domains", "number of failure domains", "3");
    options.addDefault("gap-ms", "mean time between faults", "3000");
    options.addFlag("json", "print JSON, one step a line");
    if (const auto code = options.parse(arguments))
        return *code;
    const auto seed = options.number("seed", 0, INT64_MAX);
    const auto seconds = options.number("seconds", 10, 7 * 24 * 3600);
    const auto daemons = options.number("daemons", 1, 1000);
    const auto voters = options.number("voters", 1, 7);
    const auto engines = options.number("engines", 1, 100000);
    const auto services = options.number("services", 1, 100000);
    const auto domains = options.number("domains", 1, 1000);
    const auto gap = options.number("gap-ms", 10, 3600000);
    if (!seed || !seconds || !daemons || !voters || !engines || !services || !domains || !gap)
        return exit_codes::usage;
    const auto plan = makeFaultPlan({ .seed = static_cast<uint64_t>(*seed), .duration = TimeMs { *seconds * 1000 }, .daemons = static_cast<uint32_t>(*daemons), .voters = static_cast<uint32_t>(std::min(*voters, *daemons)), .engines = static_cast<uint32_t>(*engines), .services = static_cast<uint32_t>(*services), .domains = static_cast<uint32_t>(*domains), .meanGap = TimeMs { *gap } });
    for (const auto& it : plan) {
        if (options.flag("json"))
            std::cout << toText(Json::object({ { "at_ms", it.at }, { "action", nameOf(it.action) }, { "target", it.target }, { "arguments", it.arguments } })) << '\n';
        else
            std::cout << toLine(it) << '\n';
    }
    return exit_codes::ok;
}

}
