#include "soak/Soak.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <vector>

namespace siskinshunt {

struct Scenario {
    std::string name;
    SoakFunction run;
    uint64_t schedules = 0;
    std::map<std::string, uint64_t> faults;
    std::vector<std::string> violations;
};

static std::vector<Scenario>& scenarios()
{
    static std::vector<Scenario> s_scenarios;
    return s_scenarios;
}

SoakRegistration::SoakRegistration(const char* name, SoakFunction run)
{
    scenarios().push_back({ name, run, 0, {}, {} });
}

static void runSchedule(Scenario& scenario, uint64_t seed)
{
    // Printed before the run, so that the seed is known if a failed invariant aborts the process.
    std::cerr << "\r" << scenario.name << " --seed " << seed << "          " << std::flush;
    const SoakResult result = scenario.run(seed);
    ++scenario.schedules;
    for (const auto& [kind, n] : result.faults)
        scenario.faults[kind] += n;
    if (!result.violation.empty())
        scenario.violations.push_back("seed " + std::to_string(seed) + ": " + result.violation);
}

static int printReport()
{
    bool violated = false;
    std::cerr << '\n';
    for (const auto& scenario : scenarios()) {
        if (!scenario.schedules)
            continue;
        std::cout << scenario.name << ": " << scenario.schedules << " schedules, " << scenario.violations.size() << " violations\n";
        for (const auto& [kind, n] : scenario.faults)
            std::cout << "  " << kind << ": " << n << '\n';
        for (const auto& line : scenario.violations)
            std::cout << "  VIOLATION " << line << '\n';
        violated = violated || !scenario.violations.empty();
    }
    return violated ? 1 : 0;
}

static int runSoak(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description options("siskinshunt-soak");
    options.add_options()("help", "print this help")("seconds", po::value<double>()->default_value(30), "time to run")(
        "seed", po::value<uint64_t>()->default_value(1), "seed of the first schedule; each next one adds 1")(
        "schedules", po::value<uint64_t>()->default_value(0), "run this many schedules of each scenario instead of a time")(
        "only", po::value<std::string>()->default_value(""), "run only the named scenario");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help")) {
        std::cout << options;
        return 0;
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(values["seconds"].as<double>());
    const auto limit = values["schedules"].as<uint64_t>();
    const auto only = values["only"].as<std::string>();
    const auto first = values["seed"].as<uint64_t>();
    for (uint64_t n = 0; limit ? n < limit : std::chrono::steady_clock::now() < end; ++n) {
        for (auto& scenario : scenarios()) {
            if (only.empty() || scenario.name == only)
                runSchedule(scenario, first + n);
        }
    }
    return printReport();
}

}

int main(int argc, char** argv)
{
    try {
        return siskinshunt::runSoak(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "siskinshunt-soak: " << error.what() << '\n';
        return 2;
    }
}
