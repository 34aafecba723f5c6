#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "forward/ForwardTarget.h"

#include <deque>
#include <map>
#include <string>

namespace siskinshunt {

/// Up to this number, entry nodes report their load to each other directly: at this size an entry node uses 0.0033 of a
/// core in total.
constexpr size_t maxDirectReporters = 12;

/// Sum of counters of several nodes that never decreases while the summing node runs. Counters restart at zero with their
/// node. The first report of a node adds nothing, since its counters may cover hours.
struct MonotonicSum {
    std::map<NodeId, std::map<std::string, double>> highest; ///< Highest counters reported, by node and name.
    std::map<std::string, double> sum; ///< By name.
};

void addTotals(MonotonicSum&, NodeId, const std::map<std::string, double>& totals);
/// Takes the totals as known without adding them: the node has reported to another hub meanwhile.
void rebaseTotals(MonotonicSum&, NodeId, const std::map<std::string, double>& totals);

/// Report of an entry node on itself, kept in order to subtract it from sums that include it.
struct SentReport {
    uint64_t number = 0;
    std::map<UpstreamId, TargetLoad> loads;
    std::map<std::string, double> spent;
    TimeMs spentAt; ///< When `spent` was read; earlier than the report if it holds the loads alone.
};

/// The last reports of an entry node, oldest first.
struct SentReports {
    /// A sum includes a report that is two or three intervals old, and updates come more often than reports.
    static constexpr size_t maxReports = 48;
    std::deque<SentReport> reports;
};

void addReport(SentReports&, SentReport);
/// Returns null if the report is no longer kept.
const SentReport* findReport(const SentReports&, uint64_t number);

/// Subtracts this node's report, which the sum includes. A null report leaves the sum as it is.
std::map<UpstreamId, TargetLoad> subtractReport(std::map<UpstreamId, TargetLoad> sum, const SentReport*);

}
