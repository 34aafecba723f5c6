#pragma once

#include "versions/MoveController.h"

namespace siskinshunt {

// Internal to the move controller.

/// Adds a node's report to the current window. Marks the move as bad if the node's circuit breaker is open.
void recordEvidence(ActiveMove&, const Evidence&);
/// Runs the tests if the current window has ended. Sets `bad` with its reason, and `proven` of routes.
void runWindowTests(ActiveMove&, const MoveSettings&, TimeMs now);
/// True while the route shows signs of a fault that are too weak for a rollback.
bool isSuspect(const ActiveMove&, const RouteTests&, const MoveSettings&);
/// Stores the old version's latency for the time when the old version has no traffic.
void storeBaselineLatency(RouteTests&);
/// Measurements of the old version that a later leader needs.
std::vector<RouteBaseline> baselinesOf(const ActiveMove&);
void restoreBaseline(RouteTests&, const RouteBaseline&);

/// Latest start of the shift that still meets the deadline.
TimeMs latestShiftStart(const ActiveMove&, const MoveSettings&);
/// Sets the shares of the canary. Returns true if they changed enough for a new directive.
bool planProving(ActiveMove&, const MoveSettings&, TimeMs now);
/// Raises the share of the routes that are due. Returns true if any share changed.
bool planShift(ActiveMove&, const MoveSettings&, TimeMs now);
/// True when all routes send all their traffic to the new version.
bool allShifted(const ActiveMove&);
/// Number of runners of the new version that the next step needs.
uint32_t neededRunners(const ActiveMove&);

}
