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
    RoundRobin, ///< In turn over the upstreams that accept new work.
    LeastLoad, ///< Fewest calls: those of other nodes as reported, plus the node's own calls in flight.
    PrefixHashOnly, ///< Rendezvous hashing of the prompt's first blocks; random choice for prompts with fewer blocks.
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

/// Calls of one class in a mix. A prompt is a shared prefix followed by a suffix of its own.
struct MixClass {
    std::string_view name;
    int priority = 5;
    TimeMs firstTokenTarget; ///< 0: none.
    double share = 1; ///< Fraction of the calls.
    uint32_t prefixes = 1; ///< Number of distinct shared prefixes.
    double zipf = 0; ///< Zipf exponent of the popularity of prefixes.
    TokenRange prefix;
    TokenRange suffix;
    TokenRange output;
};

struct Mix {
    std::string_view name;
    std::vector<MixClass> classes;
    double callsPerSecond = 10; ///< Average outside bursts.
    double demandAmplitude = 0.3; ///< Relative amplitude of the sinusoidal variation of demand.
    double burst = 2; ///< Factor on demand during bursts of 8 s, one in every 40 s.
    bool wave = false; ///< Whether two reclaim waves occur, each of one failure domain.
    uint32_t nodes = 7; ///< Entry nodes.
    uint32_t maxRunners = 40; ///< Upper bound of the search for the smallest fleet.
};

struct SimResult {
    uint64_t withTarget = 0; ///< Measured calls of classes with a first token target.
    uint64_t inTime = 0;
    uint64_t usefulTokens = 0; ///< Prompt and output tokens of completed calls.
    uint64_t recomputedTokens = 0; ///< Prefilled tokens that the fleet had computed before.
    double instancePrice = 0; ///< Price of the time for which instances were running.
    uint64_t withTargetOf[8] {}; ///< By class.
    uint64_t inTimeOf[8] {};
    Histogram withoutTargetMs; ///< Time to the first token of measured calls without a target.
    uint64_t failed = 0; ///< Calls without a complete response.

    double shareInTime() const { return withTarget ? static_cast<double>(inTime) / static_cast<double>(withTarget) : 1; }
};

struct SimOptions {
    PolicyKind policy = PolicyKind::Siskinshunt;
    uint32_t runners = 10;
    uint64_t seed = 1;
    TimeMs duration { 120000 }; ///< The first 20 s are warm-up and are not measured.
    RouterOptions router;
};

/// Price of one recomputed token: its prefill time of 0.05 ms on a machine that costs 1 per hour.
constexpr double recomputedTokenPrice = 0.05 / 3.6e6;

/// Serves the mix on a fleet of emulated engines in virtual time. The calls depend on the seed, not on the policy.
SimResult simulate(const Mix&, const SimOptions&);

}
