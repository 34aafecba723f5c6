#pragma once

#include "base/TimeMs.h"

#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinshunt {

/// A prompt part that requests of a class share. Each request uses one of `things` different ones.
struct ModelPart {
    uint32_t things = 1;
    double meanTokens = 0;
    double spread = 0; ///< Of the logarithm of the tokens.
    double skew = 0; ///< Exponent of the popularity of a part by its rank.
};

/// Requests of one kind.
struct ModelClass {
    std::string_view name;
    int urgency = 0;
    double perSecond = 0; ///< Average over a period.
    double worth = 1; ///< Of an answer in time; one that is late earns a tenth.
    TimeMs target; ///< For the first event, from the first attempt.
    TimeMs deadline;
    std::vector<ModelPart> parts;
    double ownTokens = 0; ///< Mean number of prompt tokens that no other request shares.
    double ownSpread = 0;
    double minOwnTokens = 1;
    double maxOwnTokens = 1e9;
    double events = 1; ///< Mean number of events of an answer.
    double eventSpread = 0;
    std::string_view account; ///< Of its requests.
    double hintFactor = 0; ///< Hint for the output, as a multiple of its length; 0 for no hints.
    double hintSpread = 0; ///< Of the logarithm of the hint's error.
    TimeMs from; ///< Its requests arrive from this time on,
    TimeMs until { 1000000000 }; ///< and before this one.
};

/// Mix with long, shared prompts, as the largest deployment has it, with this many requests a second in total.
std::vector<ModelClass> largePromptClasses(double perSecond);

/// Engine that decodes one token of each running request per step, and prefills prompts in chunks within the steps.
struct ModelEngineOptions {
    uint32_t slots = 48;
    uint32_t chunkTokens = 1024;
    uint32_t tokensPerEvent = 3;
    double stepMs = 5.47;
    double stepMsPerSlot = 0.0121;
    double stepMsPerThousandTokens = 0.023; ///< Of the prompts of running requests.
    double prefillTokensPerMs = 38.7;
    double attentionMsPerMillionPairs = 0.737;
    double memoryTokens = 232000;
};

struct ForwardModelOptions {
    uint64_t seed = 1;
    size_t nodes = 12;
    size_t domains = 3;
    std::vector<ModelClass> classes;
    ModelEngineOptions engine;
    /// Number of engines from each time on, in ascending order of time. Engines that leave finish their requests.
    std::vector<std::pair<TimeMs, size_t>> engines;
    double swing = 0.3; ///< Relative amplitude of the sinusoidal variation of demand.
    TimeMs period { 40000 };
    double clump = 3; ///< Mean number of requests that arrive together.
    TimeMs duration { 50000 };
    TimeMs hubInterval { 150 }; ///< Between load reports.
    bool reportsAtOnce = false; ///< Nodes report to their hub when their load changes, beside the interval.
    double jitterMs = 0; ///< See ChoiceOptions.
    bool learnsCosts = false; ///< Nodes learn the costs of requests. Otherwise they count plain prompt tokens and a constant time per queued request.
    bool separateDraws = false; ///< Choices draw from a generator of their own, so that runs with different policies have the same requests.
    TimeMs pauseTarget { 500 }; ///< For the time between two events of an answer.
};

struct ModelClassResult {
    std::string_view name;
    uint64_t asked = 0;
    uint64_t inTime = 0;
    uint64_t late = 0;
    uint64_t refused = 0; ///< At last; a refused request comes back once.
    double worth = 0;
    double earned = 0;
    uint64_t pauses = 0; ///< Times between events that exceed the target.
    std::vector<float> firstEventMs; ///< From the first attempt, for the requests that got one.
};

struct ForwardModelResult {
    std::vector<ModelClassResult> classes;

    double share() const; ///< Worth earned per worth asked for.
    double shareInTime() const; ///< Requests served in time per request.
    double firstEventMs(double quantile) const; ///< Over all classes; 0 without answers.
    uint64_t pauses() const;
    double tokensPerMillionPairs = 0; ///< Learned by the nodes, mean.
    double queueDelayMs = 0; ///< The same.
};

/// The largest deployment's mix on a calm day on 50 engines, with this many entry nodes in five failure domains. `updates`: nodes send load
/// updates between the complete reports.
ForwardModelOptions largeFleetOptions(size_t nodes, bool updates);

/// Runs entry nodes that choose engines with chooseTarget() in virtual time. Each node knows its own load at once, and that of the others from
/// reports that pass through a hub of each failure domain.
ForwardModelResult runForwardModel(const ForwardModelOptions&);

}
