#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "forward/ForwardTarget.h"

#include <deque>
#include <map>
#include <string>

namespace siskinshunt {

/// Up to this many entry nodes tell each other of their load directly: there an entry node takes 0.0033 of a core in all.
constexpr size_t maxDirectReporters = 12;

/// Totals since the start of several nodes, added up so that the sum never goes down while the adding node lives: a node
/// that starts again begins at zero, and one that is seen for the first time may have counted for hours.
struct MonotonicSum {
    std::map<NodeId, std::map<std::string, double>> highest; ///< Reported by each node, by name.
    std::map<std::string, double> sum; ///< By name.
};

void addTotals(MonotonicSum&, NodeId, const std::map<std::string, double>& totals);

/// What an entry node reported of itself, kept to take it off sums that contain it.
struct SentReport {
    uint64_t number = 0;
    std::map<UpstreamId, TargetLoad> loads;
    std::map<std::string, double> spent;
};

/// The last reports of an entry node, the newest at the back.
struct SentReports {
    static constexpr size_t maxReports = 8; ///< A sum holds a report that is two or three intervals old.
    std::deque<SentReport> reports;
};

void addReport(SentReports&, SentReport);
/// Null if the report is older than those that are kept.
const SentReport* findReport(const SentReports&, uint64_t number);

/// The load of all nodes without that of this node's report, which the sum contains.
std::map<UpstreamId, TargetLoad> subtractReport(std::map<UpstreamId, TargetLoad> sum, const SentReport*);

}
