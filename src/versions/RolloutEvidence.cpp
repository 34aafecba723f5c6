#include "versions/RolloutEvidence.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <span>

namespace siskinshunt {

// A version is bad with this many failures or slow requests more than the other versions explain.
static constexpr uint64_t minBad = 4;
// The same with up to `trials` results, at the end of a trial while the other versions have hardly any failures.
struct LeastBad {
    uint64_t trials = 0;
    uint64_t bad = 0;
};
static constexpr std::array<LeastBad, 2> leastBad { { { 8, 2 }, { 20, 3 } } };
static constexpr uint64_t minFaultless = 1; // Results of the others.
static constexpr double maxFaultlessRate = 0.02;
static constexpr double excessFailureRate = 0.08;
static constexpr double excessSlowRate = 0.25;
static constexpr double expectedFactor = 1.5;
// Standard deviations of the expected number that chance may add.
static constexpr double chanceDeviations = 2.5;
// The node with the most bad results is left out in a second look, since its path may be at fault: the others must have this many, or
// hardly any results and the node this many. With fewer nodes none is left out.
static constexpr size_t minNodesToLeaveOut = 3;
static constexpr uint64_t minBadElsewhere = 2;
static constexpr double chanceDeviationsElsewhere = 1;
static constexpr uint64_t minTrialsElsewhere = 4;
static constexpr uint64_t minBadOfOne = 8;
// Nodes stop using a version by their own results; the path of a single one may be at fault.
static constexpr size_t minTripped = 2;
static constexpr double trippedShare = 0.25;
// Taken off the rates of a few windows, so that chance alone does not raise them.
static constexpr double recentDeviations = 0.5;
static constexpr double windowDeviations = 0.2;
// Results of the other versions on a route from which its limits are taken first, and once more.
static constexpr uint32_t minBaseline = 5;
static constexpr uint32_t fullBaseline = 20;
static constexpr double slowFactor = 3;
static constexpr double recentWeight = 0.75; // Of the former windows, in the counts of the other versions.

RolloutCounts& RolloutCounts::operator+=(const RolloutCounts& other)
{
    started += other.started;
    ended += other.ended;
    failures += other.failures;
    milliseconds += other.milliseconds;
    timed += other.timed;
    slow += other.slow;
    paced += other.paced;
    pace += other.pace;
    comparedPaces += other.comparedPaces;
    slowPaces += other.slowPaces;
    return *this;
}

// A node that has started again reports from 0.
static RolloutCounts increaseOf(const RolloutCounts& now, const RolloutCounts& last)
{
    if (now.started < last.started || now.ended < last.ended)
        return now;
    const auto minus = [](uint32_t a, uint32_t b) { return a > b ? a - b : 0; };
    return { .started = now.started - last.started,
        .ended = now.ended - last.ended,
        .failures = minus(now.failures, last.failures),
        .milliseconds = now.milliseconds - last.milliseconds,
        .timed = minus(now.timed, last.timed),
        .slow = minus(now.slow, last.slow),
        .paced = minus(now.paced, last.paced),
        .pace = now.pace - last.pace,
        .comparedPaces = minus(now.comparedPaces, last.comparedPaces),
        .slowPaces = minus(now.slowPaces, last.slowPaces) };
}

// `deviations`: standard deviations of the hits that are taken off.
static double rateOf(uint64_t hits, uint64_t trials, double deviations)
{
    const auto n = static_cast<double>(hits);
    return trials ? std::max(0.0, n - deviations * std::sqrt(n)) / static_cast<double>(trials) : 0;
}

static void decay(RolloutCounts& counts)
{
    for (auto* n : { &counts.ended, &counts.failures, &counts.timed, &counts.slow, &counts.comparedPaces, &counts.slowPaces })
        *n = static_cast<uint32_t>(*n * recentWeight);
}

namespace {

    // Rates of the other versions on one route.
    struct UsualRates {
        double failures = 0;
        double slow = 0;
        double slowPaces = 0;
    };

}

static void raise(UsualRates& rates, const RolloutCounts& counts, double deviations)
{
    rates.failures = std::max(rates.failures, rateOf(counts.failures, counts.ended, deviations));
    rates.slow = std::max(rates.slow, rateOf(counts.slow, counts.timed, deviations));
    rates.slowPaces = std::max(rates.slowPaces, rateOf(counts.slowPaces, counts.comparedPaces, deviations));
}

// Rates now, over all routes: an outage hits all versions, and a single route may have too few requests to show it.
static UsualRates currentRates(RolloutCounts& recent, const RolloutCounts& window)
{
    // Without new results the last ones still say what is usual.
    if (window.ended) {
        decay(recent);
        recent += window;
    }
    UsualRates out;
    raise(out, recent, recentDeviations);
    raise(out, window, windowDeviations);
    return out;
}

static void addWindow(RolloutEvidence::Tested& tested, const RolloutCounts& after, const UsualRates& usual)
{
    tested.after += after;
    tested.expectedFailures += usual.failures * after.ended;
    tested.expectedSlow += usual.slow * after.timed;
    tested.expectedSlowPaces += usual.slowPaces * after.comparedPaces;
}

static RolloutEvidence::Tested& operator+=(RolloutEvidence::Tested& sum, const RolloutEvidence::Tested& it)
{
    sum.after += it.after;
    sum.expectedFailures += it.expectedFailures;
    sum.expectedSlow += it.expectedSlow;
    sum.expectedSlowPaces += it.expectedSlowPaces;
    return sum;
}

static bool updateLimit(float& limit, uint32_t& trials, uint32_t n, double sum)
{
    if (n < minBaseline || (trials && (trials >= fullBaseline || n < fullBaseline)) || sum <= 0)
        return false;
    trials = n;
    limit = static_cast<float>(slowFactor * sum / n);
    return true;
}

static void updateLimits(RolloutEvidence& evidence, const std::string& route, const RolloutCounts& before)
{
    auto& limits = evidence.limits[route];
    auto& trials = evidence.limitTrials[route];
    const bool changed = updateLimit(limits.answer, trials.answer, before.ended, std::max<double>(before.milliseconds, before.ended));
    evidence.limitsChanged = updateLimit(limits.pace, trials.pace, before.paced, before.pace) || changed || evidence.limitsChanged;
}

namespace {

    // What the reports of one step add on one route, or on all.
    struct Window {
        RolloutCounts before;
        RolloutCounts beforeTotal;
        std::map<NodeId, RolloutCounts> after;
    };

}

static std::map<std::string, Window> windowsOf(RolloutEvidence& evidence, const RolloutReports& reports)
{
    std::map<std::string, Window> windows;
    for (const auto& [node, results] : reports.nodes) {
        auto& last = evidence.last[node];
        for (const auto& it : results) {
            auto& known = last[it.route];
            for (const std::string& route : { it.route, std::string {} }) {
                Window& window = windows[route];
                window.before += increaseOf(it.before, known.before);
                window.beforeTotal += it.before;
                window.after[node] += increaseOf(it.after, known.after);
            }
            known = it;
        }
    }
    return windows;
}

std::map<std::string, NewRequests> recordReports(RolloutEvidence& evidence, const RolloutReports& reports)
{
    std::map<std::string, NewRequests> requests;
    auto windows = windowsOf(evidence, reports);
    evidence.before += windows[{}].before;
    const UsualRates current = currentRates(evidence.beforeRecently, windows[{}].before);
    for (const auto& [route, window] : windows) {
        if (!route.empty())
            updateLimits(evidence, route, window.beforeTotal);
        UsualRates usual = current;
        raise(usual, window.beforeTotal, 0);
        auto& added = requests[route];
        added.before = window.before.started;
        for (const auto& [node, after] : window.after) {
            added.after += after.started;
            addWindow(evidence.tested[route][node], after, usual);
            addWindow(evidence.testedRecently[route][node], after, usual);
        }
    }
    return requests;
}

namespace {

    // One kind of bad result.
    struct Measure {
        const char* text;
        uint32_t RolloutCounts::*bad;
        uint32_t RolloutCounts::*trials;
        double RolloutEvidence::Tested::*expected;
        double allowedRate;
    };

}

static constexpr std::array<Measure, 3> measures { {
    { "fails more often", &RolloutCounts::failures, &RolloutCounts::ended, &RolloutEvidence::Tested::expectedFailures, excessFailureRate },
    { "is slower", &RolloutCounts::slow, &RolloutCounts::timed, &RolloutEvidence::Tested::expectedSlow, excessSlowRate },
    { "streams more slowly", &RolloutCounts::slowPaces, &RolloutCounts::comparedPaces, &RolloutEvidence::Tested::expectedSlowPaces, excessSlowRate },
} };

// Three in ten requests of all versions may fail in an outage, and instances that are fewer or colder than the former ones are slower.
static constexpr std::array<Measure, 2> measuresAfterSwitch { {
    { "fails", &RolloutCounts::failures, &RolloutCounts::ended, &RolloutEvidence::Tested::expectedFailures, 0.42 },
    { "is slow", &RolloutCounts::slow, &RolloutCounts::timed, &RolloutEvidence::Tested::expectedSlow, 0.9 },
} };

static bool isExcess(const Measure& measure, const RolloutEvidence::Tested& it, uint64_t least, double deviations)
{
    const uint32_t bad = it.after.*measure.bad;
    const double expected = it.*measure.expected;
    return bad >= least && bad > expectedFactor * expected + deviations * std::sqrt(expected) + measure.allowedRate * (it.after.*measure.trials);
}

static std::string describe(const Measure& measure, const RolloutEvidence::Tested& it)
{
    return std::string(measure.text) + ": " + std::to_string(it.after.*measure.bad) + " of " + std::to_string(it.after.*measure.trials) + ", " + std::to_string(std::lround(it.*measure.expected)) + " expected";
}

static RolloutEvidence::TestedByNode::const_iterator worstNode(const Measure& measure, const RolloutEvidence::TestedByNode& nodes)
{
    return std::max_element(nodes.begin(), nodes.end(), [&](const auto& a, const auto& b) { return a.second.after.*measure.bad < b.second.after.*measure.bad; });
}

// Whether the bad results may be those of the path of one node only.
static bool isOnOnePath(const Measure& measure, const RolloutEvidence::TestedByNode& nodes)
{
    if (nodes.size() < minNodesToLeaveOut)
        return false;
    const auto worst = worstNode(measure, nodes);
    RolloutEvidence::Tested others;
    for (const auto& [node, it] : nodes) {
        if (node != worst->first)
            others += it;
    }
    if (isExcess(measure, others, minBadElsewhere, chanceDeviationsElsewhere))
        return false;
    return others.after.*measure.trials >= minTrialsElsewhere || worst->second.after.*measure.bad < minBadOfOne;
}

RolloutEvidence::Tested sumOf(const RolloutEvidence::TestedByNode& nodes)
{
    RolloutEvidence::Tested sum;
    for (const auto& [node, it] : nodes)
        sum += it;
    return sum;
}

static std::optional<std::string> faultOf(const RolloutEvidence::TestedByNode& nodes, std::span<const Measure> looked)
{
    const auto sum = sumOf(nodes);
    for (const Measure& measure : looked) {
        if (isExcess(measure, sum, minBad, chanceDeviations) && !isOnOnePath(measure, nodes))
            return describe(measure, sum);
    }
    return std::nullopt;
}

// Whether the results show a fault that may be one of the version or of the path of one node. The caller has found no fault of the version.
bool isUndecided(const RolloutEvidence& evidence)
{
    const auto nodes = evidence.tested.find({});
    if (nodes == evidence.tested.end())
        return false;
    const auto sum = sumOf(nodes->second);
    return std::any_of(measures.begin(), measures.end(), [&](const Measure& it) { return isExcess(it, sum, minBad, chanceDeviations); });
}

static std::string describeRoute(const std::string& route)
{
    return route.empty() ? std::string() : "on route " + route + " it ";
}

// Whether the few bad results of a route may be those of the path of one node: a path that is at fault shows on the other routes, too.
static bool isLikelyOnOnePath(const Measure& measure, const RolloutEvidence& evidence, const std::string& route, uint64_t least)
{
    const auto& nodes = evidence.tested.at(route);
    if (nodes.size() < minNodesToLeaveOut)
        return false;
    const auto& [worst, tested] = *worstNode(measure, nodes);
    const uint64_t bad = tested.after.*measure.bad;
    if (sumOf(nodes).after.*measure.bad - bad + 1 >= least)
        return false;
    const RolloutCounts& all = evidence.tested.at({}).at(worst).after;
    return all.*measure.bad > bad || all.*measure.trials < tested.after.*measure.trials + minTrialsElsewhere;
}

std::optional<std::string> findLikelyFault(const RolloutEvidence& evidence)
{
    if (evidence.before.failures > maxFaultlessRate * evidence.before.ended || evidence.before.ended < minFaultless)
        return std::nullopt;
    const Measure& failures = measures.front();
    for (const auto& [route, nodes] : evidence.tested) {
        const auto sum = sumOf(nodes);
        const auto least = std::find_if(leastBad.begin(), leastBad.end(), [&](const LeastBad& it) { return sum.after.ended <= it.trials; });
        if (least != leastBad.end() && isExcess(failures, sum, least->bad, chanceDeviations) && !isLikelyOnOnePath(failures, evidence, route, least->bad))
            return describeRoute(route) + describe(failures, sum) + "; the other versions hardly fail";
    }
    return std::nullopt;
}

std::optional<std::string> findFaultAfterSwitch(const RolloutEvidence& evidence)
{
    for (const auto& [route, nodes] : evidence.testedRecently) {
        if (auto fault = faultOf(nodes, measuresAfterSwitch))
            return "after the switch " + describeRoute(route) + *fault;
    }
    return std::nullopt;
}

std::optional<std::string> findTrippedNodes(const RolloutReports& reports)
{
    const size_t tripped = reports.tripped.size();
    if (tripped < minTripped || static_cast<double>(tripped) < trippedShare * static_cast<double>(reports.nodes.size()))
        return std::nullopt;
    return std::to_string(tripped) + " of " + std::to_string(reports.nodes.size()) + " nodes have stopped using it";
}

std::optional<std::string> findFault(const RolloutEvidence& evidence)
{
    for (const auto* tested : { &evidence.tested, &evidence.testedRecently }) {
        for (const auto& [route, nodes] : *tested) {
            if (auto fault = faultOf(nodes, measures))
                return describeRoute(route) + *fault;
        }
    }
    return std::nullopt;
}

}
