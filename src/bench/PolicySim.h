#pragma once

#include "base/Histogram.h"
#include "base/TimeMs.h"
#include "routing/Router.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

enum class PolicyKind : uint8_t {
    Siskinshunt,
    RoundRobin, ///< In turn over the upstreams that may take work.
    LeastLoad, ///< Fewest calls: reported ones of others plus own ones in flight.
    PrefixHashOnly, ///< Rendezvous hash of the prompt's first blocks; at random for prompts with fewer blocks.
};

template <>
inline constexpr auto enumNames<PolicyKind> = std::to_array<EnumName<PolicyKind>>({
    { PolicyKind::Siskinshunt, "siskinshunt" },
    { PolicyKind::RoundRobin, "round_robin" },
    { PolicyKind::LeastLoad, "least_load" },
    { PolicyKind::PrefixHashOnly, "prefix_hash_only" },
});

struct TokenRange {
    uint32_t low = 0;
    uint32_t high = 0;
};

/// Calls of one class in a mix. A prompt is a shared prefix followed by tokens of its own.
struct MixClass {
    std::string_view name;
    int priority = 5;
    TimeMs firstTokenTarget; ///< 0: none.
    double share = 1; ///< Of the calls.
    uint32_t prefixes = 1; ///< Distinct shared prefixes.
    double zipf = 0; ///< Exponent of the popularity of prefixes.
    TokenRange prefix;
    TokenRange suffix;
    TokenRange output;
};

struct Mix {
    std::string_view name;
    std::vector<MixClass> classes;
    double callsPerSecond = 10; ///< On average outside bursts.
    double demandAmplitude = 0.3; ///< Amplitude of the slow wave of demand, relative.
    double burst = 2; ///< Factor on demand during bursts of 8 s, one every 40 s.
    bool wave = false; ///< A failure domain is reclaimed, twice.
    uint32_t nodes = 7; ///< Entry nodes.
    uint32_t maxRunners = 40; ///< Upper end of the search.
};

struct SimResult {
    uint64_t withTarget = 0; ///< Measured calls of classes with a target.
    uint64_t inTime = 0;
    uint64_t usefulTokens = 0; ///< Prompt and answer tokens of completed calls.
    uint64_t recomputedTokens = 0; ///< Prefill of tokens that the fleet had computed before.
    double instancePrice = 0; ///< Of the time for which instances were kept.
    uint64_t withTargetOf[8] {}; ///< By class.
    uint64_t inTimeOf[8] {};
    Histogram withoutTargetMs; ///< Time to the first token of measured calls without a target.
    uint64_t failed = 0; ///< Calls without a complete answer.

    double shareInTime() const { return withTarget ? static_cast<double>(inTime) / static_cast<double>(withTarget) : 1; }
};

struct SimOptions {
    PolicyKind policy = PolicyKind::Siskinshunt;
    uint32_t runners = 10;
    uint64_t seed = 1;
    TimeMs duration { 120000 }; ///< The first 20 s warm up and are not measured.
    RouterOptions router;
};

/// Price of one recomputed token: the prefill time of a token on a machine at price 1 per hour.
constexpr double recomputedTokenPrice = 0.05 / 3.6e6;

/// Serves the mix on a fleet of emulated engines in virtual time. The seed determines the calls, whatever the policy.
SimResult simulate(const Mix&, const SimOptions&);

}
