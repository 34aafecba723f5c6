#pragma once

#include "forward/OutputLength.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Prompt tokens that an engine has to prefill for a request.
struct PrefillWork {
    double newTokens = 0; ///< Not cached.
    double cachedTokens = 0; ///< Before them.

    /// Pairs of a new token and a token before it, in millions: each costs attention.
    double millionPairs() const { return newTokens * (cachedTokens + newTokens / 2) / 1e6; }
};

/// Prefill of a prompt of which an engine caches the first tokens.
PrefillWork prefillWork(double promptTokens, double cachedTokens);

/// Time to the first event of one attempt.
struct PrefillObservation {
    PrefillWork work;
    double queuedTokens = 0; ///< Equivalent tokens of other requests before it.
    double milliseconds = 0;
};

/// Learns what a pair of tokens costs beside the tokens themselves, by least squares with exponentially decaying weights.
struct PairCost {
    double tokensPerMillionPairs = 0; ///< In equivalent tokens of a plain prompt; 0 until learned, never negative.

    // Decaying weighted sums: x is the number of tokens, p the number of pairs in millions, y the time in milliseconds.
    double n = 0;
    double w = 0;
    double x = 0;
    double p = 0;
    double y = 0;
    double xx = 0;
    double xp = 0;
    double pp = 0;
    double xy = 0;
    double py = 0;
    double yy = 0;

    // The fit, for the weights of further observations.
    bool fitted = false;
    double baseMs = 0;
    double msPerToken = 0;
    double msPerMillionPairs = 0;
    double deviationMs = 0; ///< Decaying mean of the deviations from the fit.
};

void recordPrefill(PairCost&, const PrefillObservation&);
/// Tokens of a plain prompt at the engine's rate that take as long to prefill.
double equivalentTokens(const PairCost&, const PrefillWork&);

/// Range of a random part of the cost that fits the deviations of first events from what was expected: they come mostly from work that
/// other nodes have sent since their reports. 0 until learned.
double unknownWorkJitterMs(const PairCost&);

/// Learns for how long requests of a backend occupy a slot.
struct SlotTime {
    double ended = 0; ///< Answers recorded, limited to the time constant.
    double decodeMs = 0; ///< Decaying sums over the answers: time after the first event,
    double tokens = 0; ///< tokens,
    double expectedMs = 0; ///< time in a slot as expected when the request was sent,
    double observedMs = 0; ///< and as observed.
    double sent = 0; ///< Requests recorded, limited to the time constant.
    double sentMs = 0; ///< Mean of the times expected for the requests sent last.
    uint64_t lastUsed = 0;
};

/// Costs of requests, as learned by this node. Starts with the defaults.
struct RequestCosts {
    PairCost pairs;
    std::map<std::string, SlotTime, std::less<>> slotTimes; ///< By backend; the least recently used one is evicted.
    uint64_t slotUses = 0;
    OutputLengths output;
};

/// Expected time of a request in a slot; 0 until learned.
double expectedSlotMs(const RequestCosts&, std::string_view backend, double prefillMs, const OutputEstimate&);
/// Records the expected time in a slot of a request that was sent. 0 is ignored.
void recordSlotUse(RequestCosts&, const std::string& backend, double slotMs);

/// A complete answer.
struct SlotObservation {
    double prefillMs = 0; ///< Expected for the request alone.
    double decodeMs = 0; ///< From the first event to the end.
    double tokens = 0;
    double expectedMs = 0; ///< As recordSlotUse(); 0 if unknown.
};

void recordSlotTime(RequestCosts&, const std::string& backend, const SlotObservation&);
/// Mean time in a slot of the requests sent lately; 0 until learned.
double meanSlotMs(const RequestCosts&, std::string_view backend);
/// Time that each queued request adds to the wait at a full engine: the mean time in a slot divided by the slots.
double queueDelayMs(const RequestCosts&, std::string_view backend, double slots);
/// Engine time of a request: that of its prefill, or its part of the slots if that is more.
double engineWorkMs(double prefillMs, double slotMs, double slots);

}
