#pragma once

#include "experiment/AnswerChecker.h"
#include "experiment/HttpClient.h"
#include "experiment/LoadConfig.h"

#include <string>
#include <vector>

namespace siskinshunt {

/// A call of the load, determined before the run starts.
struct Arrival {
    TimeMs at; ///< Since the start of the run.
    uint32_t mix = 0;
    uint32_t caller = 0; ///< Index of the caller within the account.
    uint32_t promptTokens = 1; ///< Excluding the shared prefix.
    uint32_t answerTokens = 1;
    uint32_t prefix = 0; ///< Index of the shared prefix.
    bool once = false;
    bool leaves = false; ///< The caller cancels halfway through the answer.
    uint64_t number = 0;
};

/// Generates Poisson arrivals of all mixes over the duration in order of time. The result depends only on the arguments.
std::vector<Arrival> makeArrivals(const LoadConfig&, uint64_t seed, TimeMs duration);

/// Formats a line of a recorded arrival file.
std::string toRecordedLine(const Arrival&, const LoadConfig&);

/// Reads a recorded arrival file: one JSON object a line with `at_ms` and `mix`; the other members of the recording are
/// drawn from the mix where absent. Fails with Io or Invalid.
Result<std::vector<Arrival>> readArrivals(const std::string& file, const LoadConfig&, uint64_t seed);

/// The request of an arrival and the expected answer.
struct PreparedCall {
    HttpCall http; ///< Without an address.
    AnswerExpectation expected;
    std::string key; ///< Idempotency key of a once-only call.
};

/// Returns text of at least `tokens` tokens that depends only on the seed.
std::string fillerText(uint64_t seed, uint32_t tokens);

/// Formats a UUIDv7.
std::string makeUuid7(uint64_t unixMs, uint64_t randomA, uint64_t randomB);

/// Builds the request. `unixMs` is the timestamp in the idempotency key.
PreparedCall prepareCall(const LoadConfig&, const Arrival&, uint64_t seed, uint64_t unixMs);

}
