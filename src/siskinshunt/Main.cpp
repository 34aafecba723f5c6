#include "entry/Daemon.h"
#include "platform/PlatformDialect.h"
#include "settings/Settings.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

namespace siskinshunt {

static constexpr int exitFailure = 1;
static constexpr int exitUsage = 2;
static constexpr const char* settingsEnvironmentVariable = "SISKINSHUNT_CONFIG";

static int runWithSettings(const std::string& file, bool checkOnly, const std::shared_ptr<const Dialect>& dialect)
{
    bool isValid = true;
    const Settings settings = handle([&] { return loadSettings(file); },
        [&](const Error& error) {
            std::cerr << "siskinshunt: " << toString(error) << '\n';
            isValid = false;
            return Settings {};
        });
    if (!isValid)
        return exitUsage;
    if (checkOnly) {
        std::cout << file << ": valid settings of node " << settings.node << '\n';
        return 0;
    }
    return handle([&] { return runDaemon({ .settings = settings, .settingsFile = file, .dialect = dialect }); },
        [](const Error& error) {
            std::cerr << "siskinshunt: " << toString(error) << '\n';
            return exitFailure;
        });
}

static int run(int argc, char** argv)
{
    namespace po = boost::program_options;
    po::options_description options("siskinshunt: serves language models on reclaimable instances\n\nusage: siskinshunt --config FILE [--check]\n\noptions");
    options.add_options()("config", po::value<std::string>(), "settings file, JSON with comments; default: the path in SISKINSHUNT_CONFIG")("platform", "speak the calls of the users' platform on the control and directory addresses")("check", "check the settings and exit")("version", "print the version and exit")("help", "print this help and exit");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help")) {
        std::cout << options << "\nexit codes: 0 after leaving or a successful check, 1 after a failure, 2 for wrong usage or settings\n";
        return 0;
    }
    if (values.count("version")) {
        std::cout << "siskinshunt " << SISKINSHUNT_VERSION << '\n';
        return 0;
    }
    const char* environmentFile = std::getenv(settingsEnvironmentVariable);
    if (!values.count("config") && !environmentFile) {
        std::cerr << "siskinshunt: neither --config FILE nor the variable " << settingsEnvironmentVariable << " is given; see --help\n";
        return exitUsage;
    }
    const std::string file = values.count("config") ? values["config"].as<std::string>() : std::string(environmentFile);
    const std::shared_ptr<const Dialect> dialect = values.count("platform") ? makePlatformDialect() : nullptr;
    return runWithSettings(file, values.count("check") != 0, dialect);
}

}

int main(int argc, char** argv)
{
    try {
        return siskinshunt::run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "siskinshunt: " << error.what() << '\n';
        return 2;
    }
}
