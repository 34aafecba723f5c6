#pragma once

#include "base/EnumNames.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

/// Location of a rule in its file, and who requested it and why.
struct RuleOrigin {
    int line = 0; ///< 1-based line in the rules file.
    std::string text; ///< The rule without its comment.
    std::string person;
    std::string reason;
};

enum class Repeat : uint8_t {
    Yes, ///< Can run more than once.
    Once, ///< Runs at most once.
};

template <>
inline constexpr auto enumNames<Repeat> = std::to_array<EnumName<Repeat>>({
    { Repeat::Yes, "yes" },
    { Repeat::Once, "once" },
});

enum class InstanceKind : uint8_t {
    Reclaimable,
    OnDemand,
};

template <>
inline constexpr auto enumNames<InstanceKind> = std::to_array<EnumName<InstanceKind>>({
    { InstanceKind::Reclaimable, "reclaimable" },
    { InstanceKind::OnDemand, "on-demand" },
});

struct AccountRule {
    std::string name;
    std::string tokenSha256; ///< 64 lower-case hex digits.
    double weight = 1;
    RuleOrigin origin;
};

struct ClassRule {
    std::string name;
    int priority = 5; ///< 0 (highest) to 9 (lowest).
    TimeMs deadline { 60000 }; ///< For the whole call.
    uint32_t queueRequests = 1000;
    uint64_t queueBytes = 16 << 20;
    RuleOrigin origin;
};

struct TargetRule {
    std::string className;
    TimeMs firstToken { 400 };
    TimeMs betweenTokens { 26 };
    double percentile = 0.95;
    RuleOrigin origin;
};

struct RouteRule {
    std::string name;
    std::string account = "*"; ///< Name or "*".
    std::string className; ///< Empty: the class that the request names, or "default".
    std::string model; ///< Empty for services.
    std::string service; ///< Empty for models.
    std::string path; ///< Prefix; empty matches all.
    std::string method; ///< Empty matches all.
    Repeat repeat = Repeat::Yes;
    RuleOrigin origin;
};

struct LimitRule {
    std::string name;
    std::string account = "*";
    std::string className = "*";
    double rate = 0; ///< Requests per second across all nodes; 0: unlimited.
    double burst = 0; ///< Requests.
    uint32_t concurrent = 0; ///< Calls in flight across all nodes; 0: unlimited.
    double tokensPerSecond = 0; ///< Prompt and completion tokens; 0: unlimited.
    RuleOrigin origin;
};

struct RetryRule {
    std::string name;
    std::string route = "*";
    double budget = 0.1; ///< Ratio of retries to first attempts.
    int attempts = 3; ///< Maximum dispatches of one call, including the first.
    TimeMs base { 25 };
    TimeMs cap { 1000 };
    bool hedge = false;
    RuleOrigin origin;
};

struct VersionRule {
    std::string name;
    std::string model;
    std::string version;
    double share = 1; ///< Of the model's traffic, 0 to 1.
    RuleOrigin origin;
};

struct MoveRule {
    std::string name;
    std::string model;
    std::string from;
    std::string to;
    std::optional<TimeMs> start; ///< UTC, since 1970.
    TimeMs by; ///< UTC, since 1970.
    double maxShare = 0.05; ///< Maximum share of the model's traffic while the new version is unproven.
    double errors = 0.01; ///< Allowed increase of the error rate.
    double slower = 1.25; ///< Allowed latency increase, as a factor.
    TimeMs watch { 600000 };
    RuleOrigin origin;
};

struct PriceRule {
    std::string name;
    std::string domain;
    std::string machine;
    InstanceKind kind = InstanceKind::Reclaimable;
    double perHour = 0;
    RuleOrigin origin;
};

struct InstancesRule {
    std::string name;
    std::string domain;
    std::string machine;
    std::string model;
    uint32_t min = 0;
    uint32_t max = 0;
    std::optional<InstanceKind> kind; ///< Absent: any kind.
    RuleOrigin origin;
};

struct DrainRule {
    std::string name;
    TimeMs within { 3000 };
    TimeMs notice { 30000 };
    RuleOrigin origin;
};

/// How often a forwarded request can run.
enum class ForwardKind : uint8_t {
    Repeatable, ///< Can run more than once.
    Once, ///< Runs at most once.
    Stream, ///< Answered by numbered events; runs at most once unless it is resumable.
};

template <>
inline constexpr auto enumNames<ForwardKind> = std::to_array<EnumName<ForwardKind>>({
    { ForwardKind::Repeatable, "repeatable" },
    { ForwardKind::Once, "once" },
    { ForwardKind::Stream, "stream" },
});

/// Share of a route's requests that is sent to one backend.
struct BackendShare {
    std::string backend;
    uint32_t weight = 0; ///< Relative to the other shares of the route.
};

/// Price multiplier of a failure domain.
struct DomainPrice {
    std::string domain;
    double factor = 1;
};

/// A service that requests are forwarded to. Its upstreams register under its name.
struct BackendRule {
    std::string name;
    std::string health = "/health"; ///< Path of its health check.
    uint32_t connections = 0; ///< Maximum connections to one upstream from all nodes together; 0: unlimited.
    uint32_t slots = 0; ///< Concurrent requests of one engine; 0: not an engine.
    uint64_t memoryTokens = 0; ///< Token capacity of the memory of one engine.
    uint32_t minInstances = 0; ///< Per failure domain.
    uint32_t maxInstances = 0; ///< Per failure domain; 0: instances are not managed by this system.
    TimeMs boot { 0 }; ///< Time from ordering an instance to its first request.
    double reclaimablePrice = 1; ///< Price of a reclaimable instance relative to an on-demand one.
    std::vector<DomainPrice> prices;
    RuleOrigin origin;
};

/// How much an upstream of a backend takes in the time after its start, in which it is cold.
struct ColdStartRule {
    std::string name; ///< The backend.
    TimeMs duration; ///< For which an upstream is cold after it has started.
    double perSecond = 0; ///< Requests per second that a cold upstream sustains, from all nodes together.
    RuleOrigin origin;
};

/// Regions that requests on a route, or of a client account, may use.
struct RegionsRule {
    std::string name; ///< The forward rule, or the client account.
    std::vector<std::string> allowed;
    RuleOrigin origin;
};

/// A route of forwarded requests, selected by host and longest path prefix.
struct ForwardRule {
    std::string name;
    std::string host; ///< Lower case.
    std::string prefix; ///< Begins and ends with a slash.
    ForwardKind kind = ForwardKind::Once;
    TimeMs timeout { 30000 }; ///< Time limit for the complete response.
    TimeMs target { 1000 }; ///< Target latency of the response, for streams of the first event.
    TimeMs gap { 0 }; ///< Target for the longest pause between events; 0: not a stream.
    int priority = 5; ///< 0 (highest) to 9 (lowest).
    int attempts = 1; ///< Maximum number of upstreams that one request is sent to.
    bool anonymous = false; ///< Requires no caller key.
    bool affinity = false; ///< Requests list the parts of their prompt, which engines cache.
    bool resume = false; ///< An interrupted stream can resume on another upstream.
    std::vector<BackendShare> to;
    RuleOrigin origin;
};

/// Rate limit and priority of one client account, across all nodes.
struct AllowanceRule {
    std::string name; ///< The client account.
    int priority = 5; ///< Takes precedence over the route's priority.
    double rate = 0; ///< Tokens or requests per second; 0: unlimited.
    double burst = 0; ///< Tokens or requests allowed in excess of the rate.
    bool tokens = false; ///< Whether `rate` and `burst` count tokens instead of requests.
    double plainTokens = 1; ///< Tokens charged for a request that does not state its token count.
    RuleOrigin origin;
};

/// A key that authenticates callers of a client account.
struct CallerKeyRule {
    std::string name;
    std::string account;
    std::string tokenSha256; ///< 64 lower-case hex digits.
    RuleOrigin origin;
};

/// Limits on requests to the forwarding address.
struct IntakeRule {
    std::string name;
    uint32_t headerBytes = 16 << 10;
    uint64_t bodyBytes = 4 << 20;
    TimeMs headerTimeout { 3000 };
    TimeMs idleTimeout { 15000 };
    RuleOrigin origin;
};

/// Kind, name and origin of one rule line.
struct RuleLine {
    std::string kind;
    std::string name;
    RuleOrigin origin;
};

/// All rules of one revision, in file order.
struct RuleSet {
    uint64_t revision = 0;
    std::string text;
    std::vector<AccountRule> accounts;
    std::vector<ClassRule> classes;
    std::vector<TargetRule> targets;
    std::vector<RouteRule> routes;
    std::vector<LimitRule> limits;
    std::vector<RetryRule> retries;
    std::vector<VersionRule> versions;
    std::vector<MoveRule> moves;
    std::vector<PriceRule> prices;
    std::vector<InstancesRule> instances;
    std::vector<DrainRule> drains;
    std::vector<BackendRule> backends;
    std::vector<ColdStartRule> coldStarts;
    std::vector<RegionsRule> routeRegions; ///< By forward rule.
    std::vector<RegionsRule> accountRegions; ///< By client account.
    std::vector<ForwardRule> forwards;
    std::vector<AllowanceRule> allowances;
    std::vector<CallerKeyRule> callerKeys;
    std::vector<IntakeRule> intakes;
    std::vector<RuleLine> lines; ///< Every rule above.
};

}
