#pragma once

#include "versions/MoveController.h"

namespace siskinshunt {

// Parts of the move controller. For use by it only.

/// Adds what the nodes report to the current window; notes trips.
void recordEvidence(ActiveMove&, const Evidence&);
/// Runs the tests on the current window, if it has ended; sets `bad` with its reason, and `proven` of routes.
void runWindowTests(ActiveMove&, const MoveSettings&, TimeMs now);
/// True while the route shows signs of a fault that are too weak to take the move back.
bool isSuspect(const ActiveMove&, const RouteTests&, const MoveSettings&);
/// Keeps the old version's latency for the time when it has no traffic.
void storeBaselineLatency(RouteTests&);
/// What a later leader needs to know of the old version.
std::vector<RouteBaseline> baselinesOf(const ActiveMove&);
void restoreBaseline(RouteTests&, const RouteBaseline&);

/// Latest start of the shift that still meets the deadline.
TimeMs latestShiftStart(const ActiveMove&, const MoveSettings&);
/// Sets the shares of the canary; true if they changed so much that the nodes have to know.
bool planProving(ActiveMove&, const MoveSettings&, TimeMs now);
/// Steps routes up that are due; true if any share changed.
bool planShift(ActiveMove&, const MoveSettings&, TimeMs now);
/// True when all routes send everything to the new version.
bool allShifted(const ActiveMove&);
/// Runners of the new version that the next step needs.
uint32_t neededRunners(const ActiveMove&);

}
