#include "forward/OutputLength.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

// Time constant of the averages, in answers.
static constexpr double memoryAnswers = 50;
// An average of this many answers of an account has the same weight as that of all accounts of the route.
static constexpr double parentAnswers = 2;
// Length and accuracy of hints before any answer has ended. The spread covers answers of 15 to 300 tokens.
static constexpr LogAverage defaultLength { .mean = 4.2, .variance = 1.4 };
static constexpr LogAverage defaultHintError { .mean = 0, .variance = 0.5 };
// Keeps a hint that was exact for a few answers from counting as certain.
static constexpr double minVariance = 0.01;
// Plausible lengths. Longer ones come from invalid headers.
static constexpr double maxTokens = 1e6;
// Quantile 0.75 of the normal distribution.
static constexpr double upperDeviations = 0.674;

static LogAverage blended(const LogAverage& parent, const LogAverage& own)
{
    const double part = own.count / (own.count + parentAnswers);
    return { .count = own.count, .mean = parent.mean + part * (own.mean - parent.mean), .variance = parent.variance + part * (own.variance - parent.variance) };
}

static void addTo(LogAverage& average, double value, const LogAverage& initial)
{
    if (average.count <= 0)
        average = { .count = 0, .mean = value, .variance = initial.variance };
    average.count = std::min(average.count + 1, memoryAnswers);
    const double delta = value - average.mean;
    average.mean += delta / average.count;
    // The initial variance counts as that of `parentAnswers` observations.
    average.variance += (delta * (value - average.mean) - average.variance) / (average.count + parentAnswers);
}

static const OutputLengths::Entry* findEntry(const OutputLengths& lengths, std::string_view account, std::string_view route)
{
    const auto it = lengths.entries.find({ std::string(account), std::string(route) });
    return it == lengths.entries.end() ? nullptr : &it->second;
}

static OutputLengths::Entry& useEntry(OutputLengths& lengths, std::string_view account, std::string_view route)
{
    std::pair key { std::string(account), std::string(route) };
    if (lengths.entries.size() >= std::max<size_t>(1, lengths.maxEntries) && !lengths.entries.contains(key))
        lengths.entries.erase(std::min_element(lengths.entries.begin(), lengths.entries.end(), [](const auto& a, const auto& b) { return a.second.lastUsed < b.second.lastUsed; }));
    auto& entry = lengths.entries[std::move(key)];
    entry.lastUsed = ++lengths.uses;
    return entry;
}

static bool isPlausible(double tokens)
{
    return std::isfinite(tokens) && tokens >= 1 && tokens <= maxTokens;
}

OutputEstimate estimateOutput(const OutputLengths& lengths, const OutputRequest& request)
{
    LogAverage length = defaultLength;
    LogAverage error = defaultHintError;
    for (const auto* entry : { findEntry(lengths, {}, request.route), request.account.empty() ? nullptr : findEntry(lengths, request.account, request.route) }) {
        if (!entry)
            continue;
        length = blended(length, entry->length);
        error = blended(error, entry->hintError);
    }
    double mean = length.mean;
    double variance = std::max(minVariance, length.variance);
    if (isPlausible(request.hint)) {
        // The squares give a hint that is no better than chance little weight: its error has the variance of the hints beside that of the lengths.
        const double hintVariance = std::max(minVariance, error.variance);
        const double part = variance * variance / (variance * variance + hintVariance * hintVariance);
        mean += part * (std::log(request.hint) + error.mean - mean);
        variance = part * part * hintVariance + (1 - part) * (1 - part) * variance;
    }
    const double limit = request.limit > 0 ? request.limit : maxTokens;
    const auto limited = [&](double tokens) { return std::clamp(tokens, 1.0, std::max(1.0, limit)); };
    const double spread = std::sqrt(variance);
    return { .median = limited(std::exp(mean)), .mean = limited(std::exp(mean + variance / 2)), .upper = limited(std::exp(mean + upperDeviations * spread)), .spread = spread };
}

void recordOutput(OutputLengths& lengths, const OutputRequest& request, double tokens)
{
    if (!isPlausible(tokens))
        return;
    const auto record = [&](OutputLengths::Entry& entry) {
        addTo(entry.length, std::log(tokens), defaultLength);
        if (isPlausible(request.hint))
            addTo(entry.hintError, std::log(tokens / request.hint), defaultHintError);
    };
    record(useEntry(lengths, {}, request.route));
    if (!request.account.empty())
        record(useEntry(lengths, request.account, request.route));
}

}
