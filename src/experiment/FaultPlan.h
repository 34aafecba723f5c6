#pragma once

#include "base/EnumNames.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinshunt {

enum class FaultAction : uint8_t {
    Kill, ///< Kills a daemon.
    Stop, ///< Suspends a daemon without closing its connections (silent partition).
    Continue, ///< Resumes a suspended daemon.
    Restart, ///< Starts a killed daemon.
    Wipe, ///< Kills a voter, deletes its data and starts it as a new voter.
    ReclaimEngine,
    RestartEngine, ///< Restarts an engine after a reclaim.
    ReclaimDomain,
    RestartDomain, ///< Restarts the engines of a failure domain after a reclaim.
    RefuseStarts,
    AllowStarts,
    BadVersion,
    GoodVersion,
    RacingOperators, ///< Two operators apply rules with the same expected revision.
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
    std::string arguments; ///< Space-separated KEY=VALUE pairs.
};

struct FaultPlanOptions {
    uint64_t seed = 1;
    TimeMs duration { 60000 };
    uint32_t daemons = 8;
    uint32_t voters = 5;
    uint32_t engines = 10;
    uint32_t services = 3;
    uint32_t domains = 3;
    TimeMs meanGap { 3000 }; ///< Mean time between the starts of two faults.
};

/// Generates a random plan that depends only on the options. Every fault that makes something unavailable is reverted at least
/// 5 s before the end. At most one voter is wiped, and no other voter is down in the 10 s before or after, so that a quorum of
/// the voters has its data at the end.
std::vector<FaultStep> makeFaultPlan(const FaultPlanOptions&);

/// `AT_MS ACTION TARGET ARGS`.
std::string toLine(const FaultStep&);

/// Maximum number of unavailable voters during a plan, and their number at its end.
struct UnavailableVoters {
    uint32_t peak = 0;
    uint32_t atEnd = 0;
};
UnavailableVoters countUnavailableVoters(const std::vector<FaultStep>&, uint32_t voters);

}
