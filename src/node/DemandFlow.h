#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinshunt {

struct Node;
struct NodeCall;

/// Demand of one model and class at one node, as reported to the decision leader.
struct DemandItem {
    std::string model;
    std::string className;
    double requestsPerSecond = 0; ///< Admitted calls, including those that later find no capacity.
    double tokensPerSecond = 0; ///< Completion tokens of these requests.
    double prefillPerSecond = 0; ///< Prompt tokens of these requests that were not cached.

    template <class Archive>
    void serialize(Archive& archive) { archive(model, className, requestsPerSecond, tokensPerSecond, prefillPerSecond); }
};

struct DemandFrame {
    std::vector<DemandItem> items;

    template <class Archive>
    void serialize(Archive& archive) { archive(items); }
};

/// Counts of one model and class since the last report, and the smoothed values.
struct DemandRow {
    uint64_t arrived = 0;
    uint64_t finished = 0;
    uint64_t completionTokens = 0;
    uint64_t prefillTokens = 0;
    double requestsPerSecond = 0;
    double tokensPerRequest = 0;
    double prefillPerRequest = 0;
};

struct DemandMeter {
    std::map<std::pair<std::string, std::string>, DemandRow> rows; ///< By model and class; bounded.
    TimeMs lastReport;
};

/// The latest report of a node to the decision leader.
struct DemandReport {
    TimeMs at;
    std::vector<DemandItem> items;
};

/// Counts a model call that passed the limits.
void recordArrival(Node&, const NodeCall&);
/// Counts the tokens of a model call that completed successfully.
void recordCompletion(Node&, const NodeCall&);
/// Once a second: smooths the counts and reports them to the decision leader.
void tickDemand(Node&);
void receiveDemand(Node&, NodeId from, std::string_view body);

}
