#include "bench/Bench.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <vector>

namespace siskinshunt {

struct RegisteredBench {
    std::string name;
    BenchFunction run;
};

static std::vector<RegisteredBench>& registeredBenches()
{
    static std::vector<RegisteredBench> s_benches;
    return s_benches;
}

BenchRegistration::BenchRegistration(const char* name, BenchFunction run)
{
    registeredBenches().push_back({ name, run });
}

static void printLine(uint64_t seed, std::string_view name, double value, std::string_view unit, std::string_view size)
{
    std::printf("{\"name\":\"%.*s\",\"value\":%.6g,\"unit\":\"%.*s\",\"seed\":%llu,\"size\":\"%.*s\"}\n",
        static_cast<int>(name.size()), name.data(), value, static_cast<int>(unit.size()), unit.data(),
        static_cast<unsigned long long>(seed), static_cast<int>(size.size()), size.data());
    std::fflush(stdout);
}

static std::vector<std::string> listOf(const boost::program_options::variables_map& values, const char* name)
{
    return values.count(name) ? values[name].as<std::vector<std::string>>() : std::vector<std::string> {};
}

static int runBenches(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description options("siskinshunt-bench");
    options.add_options()("help", "print this help")("quick", "short runs, under 45 s in all")("list", "list the benchmarks")(
        "seed", po::value<uint64_t>()->default_value(1), "seed of the first run")(
        "only", po::value<std::vector<std::string>>()->multitoken(), "run only the named benchmarks")("proxy", po::value<std::string>()->default_value(""), "IP:PORT of a running daemon, for the benchmark proxy")(
        "services", po::value<std::vector<std::string>>()->multitoken(), "IP:PORT of the services behind it")(
        "engines", po::value<std::vector<std::string>>()->multitoken(), "IP:PORT of the engines behind it");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help")) {
        std::cout << options;
        return 0;
    }
    BenchContext context { .quick = values.count("quick") != 0, .seed = values["seed"].as<uint64_t>(), .proxy = values["proxy"].as<std::string>(), .services = listOf(values, "services"), .engines = listOf(values, "engines"), .report = {} };
    context.report = [&](auto name, auto value, auto unit, auto size) { printLine(context.seed, name, value, unit, size); };
    for (const auto& bench : registeredBenches()) {
        if (values.count("list")) {
            std::cout << bench.name << '\n';
            continue;
        }
        const auto only = listOf(values, "only");
        if (only.empty() || std::find(only.begin(), only.end(), bench.name) != only.end())
            bench.run(context);
    }
    return 0;
}

}

int main(int argc, char** argv)
{
    try {
        return siskinshunt::runBenches(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "siskinshunt-bench: " << error.what() << '\n';
        return 2;
    }
}
