#pragma once

#include "rules/RuleSet.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace siskinshunt {

/// Measured demand of one model and class over the whole system.
struct DemandSample {
    std::string model;
    std::string className;
    int priority = 5; ///< Of the class; 0 is served first.
    double tokensPerSecond = 0;
    double requestsPerSecond = 0;
};

/// Capacity of one instance of a machine class for a model.
struct InstanceShape {
    std::string machine;
    std::string model;
    double tokensPerSecond = 0; ///< Highest rate at which the targets of the classes are met.
    double requestsPerSecond = 0;
    TimeMs startTime; ///< From the order until the instance announces itself, including loading of weights.
};

struct InstancePrice {
    std::string domain;
    std::string machine;
    InstanceKind kind = InstanceKind::Reclaimable;
    double perHour = 0;
};

enum class InstancePhase : uint8_t {
    Starting, ///< Listed by the platform, but not announced yet.
    Running, ///< Announces itself.
};

template <>
inline constexpr auto enumNames<InstancePhase> = std::to_array<EnumName<InstancePhase>>({
    { InstancePhase::Starting, "starting" },
    { InstancePhase::Running, "running" },
});

/// An instance that the platform lists or that announces itself.
struct InstanceView {
    std::string id; ///< Id of the start intent, or the platform's id if no intent started the instance.
    std::string domain;
    std::string machine;
    std::string model;
    InstanceKind kind = InstanceKind::Reclaimable;
    InstancePhase phase = InstancePhase::Starting;
    bool leaving = false; ///< Has a reclaim notice or is shutting down.
    bool canStop = true; ///< False if unknown to the platform or outside the rules: the instance counts as present but is never stopped or replaced by a cheaper one.
};

/// Identifies a pool of instances that are equivalent for planning.
struct PoolKey {
    std::string model;
    std::string domain;
    std::string machine;
    InstanceKind kind = InstanceKind::Reclaimable;

    bool operator==(const PoolKey&) const = default;
    bool operator<(const PoolKey& other) const
    {
        return std::tie(model, domain, machine, kind) < std::tie(other.model, other.domain, other.machine, other.kind);
    }
};

enum class InstanceAction : uint8_t {
    Start,
    Stop,
};

template <>
inline constexpr auto enumNames<InstanceAction> = std::to_array<EnumName<InstanceAction>>({
    { InstanceAction::Start, "start" },
    { InstanceAction::Stop, "stop" },
});

/// An order to the platform. Idempotent by id.
struct InstanceIntent {
    InstanceAction kind = InstanceAction::Start;
    std::string id; ///< Id of the instance: a stop has the same id as the start.
    PoolKey pool;
    std::string reason; ///< One line, for /admin/explain and the order record.
    RuleOrigin rule; ///< The `instances` rule that allows the pool.
};

/// Explains a property of the plan, for /admin/explain.
struct CapacityNote {
    std::string code; ///< "start_refused", "start_late", "start_died", "shortfall", "weights_wait".
    std::string instance;
    std::string text;
};

struct CapacityOptions {
    std::string idPrefix = "i"; ///< Unique per leader epoch, so that ids are never reused.
    TimeMs levelTimeConstant { 60000 }; ///< Time constant of the smoothed demand.
    TimeMs trendTimeConstant { 300000 }; ///< Time constant of its trend.
    double utilisation = 0.8; ///< Fraction of an instance's rate that plans use, so that latency targets are met.
    double runningDiscount = 0.1; ///< Fraction by which the cost of a running pool is reduced, to prevent flapping on price changes.
    double stopMargin = 0.1; ///< Fraction by which demand is increased when a stop is considered.
    TimeMs stopAfter { 300000 }; ///< Time for which a surplus has to last before instances are stopped.
    TimeMs savingsDelay; ///< Delay of starts that only save money, while the present instances are sufficient.
    TimeMs backoffBase { 30000 }; ///< Backoff after the first refused start for a domain, machine and kind.
    TimeMs backoffCap { 900000 }; ///< Longest backoff.
    double lateFactor = 2; ///< A start has failed after this many times the expected start time.
    TimeMs absenceTimeout { 10000 }; ///< An accepted start has failed when the platform has not listed it for this long.
    TimeMs orderRetryInterval { 30000 }; ///< Interval after which an unanswered intent is sent again with the same id.
    TimeMs reclaimTimeConstant { 6 * 3600 * 1000 }; ///< Time constant of the reclaim history.
};

struct CapacityInputs {
    std::vector<DemandSample> demand;
    std::vector<InstanceShape> shapes;
    std::vector<InstancePrice> prices;
    std::vector<InstancesRule> rules;
    std::vector<InstanceView> instances;
    uint32_t loadSlots = 4; ///< Number of starts that can load weights concurrently, from the weight store's rate.
};

struct CapacityOutputs {
    std::vector<InstanceIntent> intents;
    std::vector<CapacityNote> notes;
};

/// A start whose instance has not announced itself yet.
struct OpenStart {
    PoolKey pool;
    TimeMs orderedAt;
    TimeMs sentAt;
    TimeMs lastListed; ///< Valid once accepted.
    bool accepted = false;
    RuleOrigin rule;
};

struct SmoothedDemand {
    TimeMs at;
    double level = 0;
    double trend = 0; ///< Per second.
};

/// Demand that a plan has to cover, with smoothing, trend and utilisation applied.
struct ModelNeed {
    double topTokens = 0; ///< Tokens/s of the highest class present.
    double topRequests = 0;
    double allTokens = 0;
    double allRequests = 0;
};

/// Planner state of the decision leader. After a change of leader it is rebuilt from the open intents of the decision log,
/// by restoreStart(), and from the next inputs.
struct CapacityPlanner {
    CapacityOptions options;
    std::map<std::tuple<std::string, std::string, bool>, SmoothedDemand> demand; ///< By model, class, and true for requests or false for tokens.
    struct Refusal {
        int count = 0;
        TimeMs until;
    };
    std::map<std::tuple<std::string, std::string, InstanceKind>, Refusal> refusals; ///< By domain, machine and kind.
    struct Reclaims {
        TimeMs at;
        double perHour = 0; ///< Rate with exponential decay.
    };
    std::map<std::pair<std::string, std::string>, Reclaims> reclaims; ///< By domain and machine.
    std::map<std::string, OpenStart> starts; ///< By id.
    std::map<std::string, TimeMs> stops; ///< Time of the last stop order, by instance id.
    std::map<std::string, TimeMs> surplusSince; ///< Start of the current surplus, by model.
    std::map<std::string, TimeMs> savingsSince; ///< Time since which starts would only save money, by model.
    uint64_t nextNumber = 1;
};

/// Reconciles the state with the listed and announced instances, then returns intents that lead to the cheapest allowed
/// plan in which the highest class of every model is still served after the loss of any one failure domain. Call it every
/// 10 s, and immediately after a reclaim notice, a refused start or a failed instance. One call takes about 30 ms of CPU
/// time at 940 instances.
CapacityOutputs planCapacity(CapacityPlanner&, TimeMs now, const CapacityInputs&);

/// Handle the platform's answers to start intents. A refusal removes the start and puts its pool into backoff.
void handleStartAccepted(CapacityPlanner&, TimeMs now, const std::string& id);
void handleStartRefused(CapacityPlanner&, TimeMs now, const std::string& id, CapacityOutputs&);
/// Adds a reclaim notice to the reclaim history.
void recordReclaim(CapacityPlanner&, TimeMs now, const std::string& domain, const std::string& machine);
/// Restores an open start intent from the decision log.
void restoreStart(CapacityPlanner&, TimeMs now, const std::string& id, const PoolKey&, const RuleOrigin&);

/// Updates the smoothed demand and returns the demand per model that is forecast for the time when an instance ordered now
/// starts serving.
std::map<std::string, ModelNeed> forecastDemand(CapacityPlanner&, TimeMs now, const CapacityInputs&);

/// A pool that a plan can use.
struct PoolCandidate {
    PoolKey key;
    size_t rule = 0; ///< Index of the rule that allows it.
    double tokensPerSecond = 0;
    double requestsPerSecond = 0;
    double cost = 0; ///< Per instance and hour, including the expected cost of reclaims.
    uint32_t running = 0; ///< Number of instances that serve or start; a plan keeps these before it adds new ones.
    uint32_t limit = UINT32_MAX; ///< Largest number of instances; `running` while the pool is in backoff.
};

struct PoolPlan {
    std::vector<uint32_t> counts; ///< Number of instances, per candidate.
    double cost = 0;
    double shortfall = 0; ///< Largest fraction of a requirement that is not covered, 0 to 1.
};

/// Selects instance counts at low cost that cover all demand and, after the loss of any one domain, the highest class.
PoolPlan solvePools(const ModelNeed&, const std::vector<PoolCandidate>&, const std::vector<InstancesRule>&);

}
