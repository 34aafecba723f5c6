#pragma once

#include "experiment/AnswerChecker.h"
#include "experiment/HttpClient.h"
#include "experiment/LoadConfig.h"

#include <string>
#include <vector>

namespace siskinshunt {

/// One call of the load, decided before the run.
struct Arrival {
    TimeMs at; ///< Since the start of the run.
    uint32_t mix = 0;
    uint32_t caller = 0; ///< Caller within the account.
    uint32_t promptTokens = 1; ///< Without the shared prefix.
    uint32_t answerTokens = 1;
    uint32_t prefix = 0; ///< Which shared prefix.
    bool once = false;
    bool leaves = false; ///< The caller goes away mid-answer.
    uint64_t number = 0;
};

/// Poisson arrivals of every mix over the duration, in order of time; a function of its arguments.
std::vector<Arrival> makeArrivals(const LoadConfig&, uint64_t seed, TimeMs duration);

/// One line of a recorded arrival file.
std::string toRecordedLine(const Arrival&, const LoadConfig&);

/// Reads a recorded arrival file: one JSON object a line with `at_ms` and `mix`; the other members of the recording are
/// drawn from the mix where absent. Fails with Io or Invalid.
Result<std::vector<Arrival>> readArrivals(const std::string& file, const LoadConfig&, uint64_t seed);

/// The request of an arrival and what its answer must be.
struct PreparedCall {
    HttpCall http; ///< Without address.
    AnswerExpectation expected;
    std::string key; ///< Idempotency key of a once call.
};

/// Text of at least `tokens` tokens that depends on the seed only.
std::string fillerText(uint64_t seed, uint32_t tokens);

/// UUIDv7 text.
std::string makeUuid7(uint64_t unixMs, uint64_t randomA, uint64_t randomB);

/// Builds the request. `unixMs` dates the idempotency key.
PreparedCall prepareCall(const LoadConfig&, const Arrival&, uint64_t seed, uint64_t unixMs);

}
