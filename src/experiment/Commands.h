#pragma once

#include <string>
#include <vector>

namespace siskinshunt {

/// Exit codes of siskinshuntctl.
namespace exit_codes {
    constexpr int ok = 0;
    constexpr int negative = 1; ///< Negative result or failed check.
    constexpr int usage = 2; ///< Usage or input error.
    constexpr int unreachable = 3; ///< The system cannot be reached.
}

/// Runs siskinshuntctl and returns its exit code.
int runCommandLine(int argc, char** argv);

/// The subcommands; `arguments` follow the name of the subcommand.
int runFakesCommand(const std::vector<std::string>& arguments);
int runLoadCommand(const std::vector<std::string>& arguments);
int runReportCommand(const std::vector<std::string>& arguments);
int runRulesCommand(const std::vector<std::string>& arguments);
int runStatusCommand(const std::vector<std::string>& arguments);
int runUpstreamsCommand(const std::vector<std::string>& arguments);
int runMovesCommand(const std::vector<std::string>& arguments);
int runExplainCommand(const std::vector<std::string>& arguments);
int runEvacuateCommand(const std::vector<std::string>& arguments);
int runEvacuationsCommand(const std::vector<std::string>& arguments);
int runDrainCommand(const std::vector<std::string>& arguments);
int runVotersCommand(const std::vector<std::string>& arguments);
int runSnapshotCommand(const std::vector<std::string>& arguments);
int runFaultPlanCommand(const std::vector<std::string>& arguments);

}
