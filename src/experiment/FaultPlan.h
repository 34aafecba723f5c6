#pragma once

#include "base/EnumNames.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinshunt {

enum class FaultAction : uint8_t {
    Kill, ///< Ends a daemon at once.
    Stop, ///< Stops a daemon without closing its connections (silent partition).
    Continue, ///< Lets a stopped daemon go on.
    Restart, ///< Starts a killed daemon.
    Wipe, ///< Kills a voter, empties its data folder and starts it as a new voter.
    ReclaimEngine,
    RestartEngine, ///< Starts an engine again after a reclaim.
    ReclaimDomain,
    RestartDomain, ///< Starts the engines of a domain again after a reclaim.
    RefuseStarts,
    AllowStarts,
    BadVersion,
    GoodVersion,
    RacingOperators, ///< Two operators apply rules under equal numbers.
    FreezeConnections,
    DropAnswers,
};

template <>
inline constexpr auto enumNames<FaultAction> = std::to_array<EnumName<FaultAction>>({
    { FaultAction::Kill, "kill" },
    { FaultAction::Stop, "stop" },
    { FaultAction::Continue, "continue" },
    { FaultAction::Restart, "restart" },
    { FaultAction::Wipe, "wipe" },
    { FaultAction::ReclaimEngine, "reclaim-engine" },
    { FaultAction::RestartEngine, "restart-engine" },
    { FaultAction::ReclaimDomain, "reclaim-domain" },
    { FaultAction::RestartDomain, "restart-domain" },
    { FaultAction::RefuseStarts, "refuse-starts" },
    { FaultAction::AllowStarts, "allow-starts" },
    { FaultAction::BadVersion, "bad-version" },
    { FaultAction::GoodVersion, "good-version" },
    { FaultAction::RacingOperators, "racing-operators" },
    { FaultAction::FreezeConnections, "freeze-connections" },
    { FaultAction::DropAnswers, "drop-answers" },
});

/// One line of a plan. Targets: `daemon-N` (N from 1; the first `voters` daemons are voters), `engine-N`, `service-N`,
/// `domain-N`, `version` and `rules`.
struct FaultStep {
    TimeMs at;
    FaultAction action = FaultAction::Kill;
    std::string target;
    std::string arguments; ///< KEY=VALUE words.
};

struct FaultPlanOptions {
    uint64_t seed = 1;
    TimeMs duration { 60000 };
    uint32_t daemons = 8;
    uint32_t voters = 5;
    uint32_t engines = 10;
    uint32_t services = 3;
    uint32_t domains = 3;
    TimeMs meanGap { 3000 }; ///< Between the beginnings of two faults.
};

/// Random plan, a function of the options. Every fault that takes something away is followed by what brings it back at
/// least 5 s before the end, at most one voter is wiped, and never in the 10 s before or after that while another voter
/// is down; so a quorum of the voters has its data at the end.
std::vector<FaultStep> makeFaultPlan(const FaultPlanOptions&);

/// `AT_MS ACTION TARGET ARGS`.
std::string toLine(const FaultStep&);

/// Voters that are away, by count, at the worst moment of the plan, and at its end.
struct UnavailableVoters {
    uint32_t peak = 0;
    uint32_t atEnd = 0;
};
UnavailableVoters countUnavailableVoters(const std::vector<FaultStep>&, uint32_t voters);

}
