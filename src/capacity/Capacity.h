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

/// What one instance of a machine class does for a model.
struct InstanceShape {
    std::string machine;
    std::string model;
    double tokensPerSecond = 0; ///< At which the class targets hold.
    double requestsPerSecond = 0;
    TimeMs startTime; ///< From the order until it announces itself, weights included.
};

struct InstancePrice {
    std::string domain;
    std::string machine;
    InstanceKind kind = InstanceKind::Reclaimable;
    double perHour = 0;
};

enum class InstancePhase : uint8_t {
    Starting, ///< Listed by the platform, does not announce itself yet.
    Running, ///< Announces itself.
};

template <>
inline constexpr auto enumNames<InstancePhase> = std::to_array<EnumName<InstancePhase>>({
    { InstancePhase::Starting, "starting" },
    { InstancePhase::Running, "running" },
});

/// An instance that the platform lists or that announces itself.
struct InstanceView {
    std::string id; ///< Id of the start intent, or the platform's for one that no intent started.
    std::string domain;
    std::string machine;
    std::string model;
    InstanceKind kind = InstanceKind::Reclaimable;
    InstancePhase phase = InstancePhase::Starting;
    bool leaving = false; ///< Reclaim notice, or shutting down.
    bool canStop = true; ///< False: not the platform's, or outside the rules; it counts as present but is never stopped or replaced by a cheaper one.
};

/// Instances that are alike for planning.
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

/// An order to the platform. Repeating it under the same id has no further effect.
struct InstanceIntent {
    InstanceAction kind = InstanceAction::Start;
    std::string id; ///< Of the instance: a stop names the same id as the start.
    PoolKey pool;
    std::string reason; ///< One line, for explain and the order record.
    RuleOrigin rule; ///< The `instances` rule that allows the pool.
};

/// Why the plan is as it is, for explain.
struct CapacityNote {
    std::string code; ///< "start_refused", "start_late", "start_died", "shortfall", "weights_wait".
    std::string instance;
    std::string text;
};

struct CapacityOptions {
    std::string idPrefix = "i"; ///< Unique per leader epoch, so that ids never repeat.
    TimeMs levelTimeConstant { 60000 }; ///< Time constant of the smoothed demand.
    TimeMs trendTimeConstant { 300000 }; ///< Time constant of its trend.
    double utilisation = 0.8; ///< Share of an instance's rate that is planned with, so that latency targets hold.
    double runningDiscount = 0.1; ///< A running pool counts as this much cheaper, against flapping on price changes.
    double stopMargin = 0.1; ///< Demand counts as this much higher when a stop is considered.
    TimeMs stopAfter { 300000 }; ///< Surplus has to last this long before anything is stopped.
    TimeMs savingsDelay; ///< While the present instances suffice, a start that only saves money waits for this long.
    TimeMs backoffBase { 30000 }; ///< After the first refused start of a pool's domain, machine and kind.
    TimeMs backoffCap { 900000 };
    double lateFactor = 2; ///< A start is late after this many start times.
    TimeMs absenceTimeout { 10000 }; ///< An accepted start that the platform no longer lists has died.
    TimeMs orderRetryInterval { 30000 }; ///< Unanswered intents are repeated under their id.
    TimeMs reclaimTimeConstant { 6 * 3600 * 1000 }; ///< Time constant of the reclaim history.
};

struct CapacityInputs {
    std::vector<DemandSample> demand;
    std::vector<InstanceShape> shapes;
    std::vector<InstancePrice> prices;
    std::vector<InstancesRule> rules;
    std::vector<InstanceView> instances;
    uint32_t loadSlots = 4; ///< Starts that can load weights at once, from the weight store's rate.
};

struct CapacityOutputs {
    std::vector<InstanceIntent> intents;
    std::vector<CapacityNote> notes;
};

/// A start that has not announced itself yet.
struct OpenStart {
    PoolKey pool;
    TimeMs orderedAt;
    TimeMs sentAt;
    TimeMs lastListed; ///< Set while accepted.
    bool accepted = false;
    RuleOrigin rule;
};

struct SmoothedDemand {
    TimeMs at;
    double level = 0;
    double trend = 0; ///< Per second.
};

/// Demand that a plan has to cover, after smoothing, trend and utilisation.
struct ModelNeed {
    double topTokens = 0; ///< Of the highest class present.
    double topRequests = 0;
    double allTokens = 0;
    double allRequests = 0;
};

/// Planner state of the decision leader. After a change of leader it is rebuilt by restoreStart() from the open intents
/// of the decision log and by the next inputs.
struct CapacityPlanner {
    CapacityOptions options;
    std::map<std::tuple<std::string, std::string, bool>, SmoothedDemand> demand; ///< Model, class, requests (or tokens).
    struct Refusal {
        int count = 0;
        TimeMs until;
    };
    std::map<std::tuple<std::string, std::string, InstanceKind>, Refusal> refusals; ///< Domain, machine, kind.
    struct Reclaims {
        TimeMs at;
        double perHour = 0; ///< Decayed count.
    };
    std::map<std::pair<std::string, std::string>, Reclaims> reclaims; ///< Domain, machine.
    std::map<std::string, OpenStart> starts; ///< By id.
    std::map<std::string, TimeMs> stops; ///< Id to when it was last ordered.
    std::map<std::string, TimeMs> surplusSince; ///< By model.
    std::map<std::string, TimeMs> savingsSince; ///< By model: since when starts would only save money.
    uint64_t nextNumber = 1;
};

/// Reconciles with what is listed and announced, then returns intents towards the cheapest allowed plan in which any one
/// failure domain may be lost and the highest class of every model is still served. Call it every 10 s and at once after a
/// notice, a refusal or a death: one call takes about 30 ms of a core at 940 instances.
CapacityOutputs planCapacity(CapacityPlanner&, TimeMs now, const CapacityInputs&);

/// The platform's answers to start intents. A refusal removes the start and backs its pool off.
void handleStartAccepted(CapacityPlanner&, TimeMs now, const std::string& id);
void handleStartRefused(CapacityPlanner&, TimeMs now, const std::string& id, CapacityOutputs&);
/// A reclaim notice, for the reclaim history.
void recordReclaim(CapacityPlanner&, TimeMs now, const std::string& domain, const std::string& machine);
void restoreStart(CapacityPlanner&, TimeMs now, const std::string& id, const PoolKey&, const RuleOrigin&);

/// Folds measured demand in and returns the need per model at the time when a start ordered now would serve.
std::map<std::string, ModelNeed> forecastDemand(CapacityPlanner&, TimeMs now, const CapacityInputs&);

/// Pool that a plan may use.
struct PoolCandidate {
    PoolKey key;
    size_t rule = 0; ///< Index of the rule that allows it.
    double tokensPerSecond = 0;
    double requestsPerSecond = 0;
    double cost = 0; ///< Per hour, with the expected cost of reclaims.
    uint32_t running = 0; ///< Instances that serve or start; kept before new ones are added.
    uint32_t limit = UINT32_MAX; ///< Instances at most: running ones while the pool is backed off.
};

struct PoolPlan {
    std::vector<uint32_t> counts; ///< Per choice.
    double cost = 0;
    double shortfall = 0; ///< Largest part of a requirement that stays uncovered, 0 to 1.
};

/// Chooses counts at low cost such that all demand is covered and, with any one domain gone, the highest class.
PoolPlan solvePools(const ModelNeed&, const std::vector<PoolCandidate>&, const std::vector<InstancesRule>&);

}
