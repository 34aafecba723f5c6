#include "experiment/Arrivals.h"

#include "base/Hash.h"
#include "base/PrefixHash.h"
#include "base/Random.h"
#include "experiment/Answers.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace siskinshunt {

static uint32_t draw(Random& random, LoadTokenRange range)
{
    return static_cast<uint32_t>(random.between(range.low, range.high));
}

static Arrival drawArrival(Random& random, const LoadConfig& config, uint32_t mix, TimeMs at)
{
    const auto& it = config.mixes[mix];
    Arrival out { .at = at, .mix = mix };
    out.caller = static_cast<uint32_t>(random.below(config.callers));
    out.promptTokens = draw(random, it.prompt);
    out.answerTokens = draw(random, it.answer);
    out.prefix = static_cast<uint32_t>(random.below(it.sharedPrefixes));
    out.once = it.service && random.chance(it.once);
    out.leaves = !it.service && random.chance(it.leave);
    return out;
}

static void sortAndNumber(std::vector<Arrival>& arrivals)
{
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    for (size_t n = 0; n < arrivals.size(); ++n)
        arrivals[n].number = n;
}

std::vector<Arrival> makeArrivals(const LoadConfig& config, uint64_t seed, TimeMs duration)
{
    std::vector<Arrival> out;
    for (uint32_t mix = 0; mix < config.mixes.size(); ++mix) {
        const double rate = config.mixes[mix].ratePerSecond;
        if (rate <= 0)
            continue;
        // Each mix has its own generator, so that changing one mix does not affect the arrivals of the others.
        Random random(combineHash(seed, mix + 1));
        for (double at = random.exponential(1000 / rate); at < static_cast<double>(duration.value); at += random.exponential(1000 / rate))
            out.push_back(drawArrival(random, config, mix, { static_cast<int64_t>(at) }));
    }
    sortAndNumber(out);
    return out;
}

std::string toRecordedLine(const Arrival& arrival, const LoadConfig& config)
{
    return toText(Json::object({ { "at_ms", arrival.at }, { "mix", config.mixes[arrival.mix].name }, { "caller", arrival.caller }, { "prompt_tokens", arrival.promptTokens }, { "answer_tokens", arrival.answerTokens }, { "prefix", arrival.prefix }, { "once", arrival.once }, { "leaves", arrival.leaves } }));
}

static Result<Arrival> readArrival(const Json& json, const LoadConfig& config, Random& random, const std::string& where)
{
    const auto mix = std::find_if(config.mixes.begin(), config.mixes.end(), [&](const auto& it) { return it.name == json["mix"].asText(); });
    if (mix == config.mixes.end() || json["at_ms"].asInt(-1) < 0)
        return fail(ErrorCode::Invalid, Step::Decode, where, "at_ms and the name of a mix are required");
    auto out = drawArrival(random, config, static_cast<uint32_t>(mix - config.mixes.begin()), { json["at_ms"].asInt() });
    constexpr int64_t maxTokens = 1000000;
    const auto read = [&](const char* key, uint32_t& value, int64_t low) { value = static_cast<uint32_t>(std::clamp<int64_t>(json[key].asInt(value), low, maxTokens)); };
    read("caller", out.caller, 0);
    read("prompt_tokens", out.promptTokens, 1);
    read("answer_tokens", out.answerTokens, 1);
    read("prefix", out.prefix, 0);
    out.caller %= config.callers;
    out.once = json["once"].asBool(out.once) && mix->service;
    out.leaves = json["leaves"].asBool(out.leaves);
    return out;
}

Result<std::vector<Arrival>> readArrivals(const std::string& file, const LoadConfig& config, uint64_t seed)
{
    std::ifstream in(file);
    if (!in)
        return fail(ErrorCode::Io, Step::ReadSettings, file, "the file cannot be read");
    Random random(seed);
    std::vector<Arrival> out;
    std::string line;
    for (size_t number = 1; std::getline(in, line); ++number) {
        if (line.empty())
            continue;
        const auto where = file + ":" + std::to_string(number);
        BOOST_LEAF_AUTO(json, parseJson(line, where));
        BOOST_LEAF_AUTO(arrival, readArrival(json, config, random, where));
        out.push_back(arrival);
    }
    sortAndNumber(out);
    return out;
}

std::string fillerText(uint64_t seed, uint32_t tokens)
{
    std::string out;
    const size_t size = size_t { tokens } * bytesPerToken;
    out.reserve(size + answerTokenSize);
    for (uint64_t n = 0; out.size() < size; ++n)
        out += answerToken(seed, n);
    out.resize(size);
    return out;
}

std::string makeUuid7(uint64_t unixMs, uint64_t randomA, uint64_t randomB)
{
    char out[37];
    std::snprintf(out, sizeof out, "%08llx-%04llx-7%03llx-%04llx-%012llx",
        static_cast<unsigned long long>((unixMs >> 16) & 0xffffffff), static_cast<unsigned long long>(unixMs & 0xffff),
        static_cast<unsigned long long>(randomA & 0xfff), static_cast<unsigned long long>(0x8000 | ((randomA >> 12) & 0x3fff)),
        static_cast<unsigned long long>(randomB & 0xffffffffffff));
    return out;
}

static void prepareService(PreparedCall& out, const Arrival& arrival, uint64_t random, uint64_t unixMs)
{
    out.expected.form = AnswerExpectation::Form::Service;
    const auto id = makeUuid7(unixMs, random, combineHash(random, arrival.number));
    if (arrival.once) {
        out.key = id;
        out.http.method = "POST";
        out.http.body = toText(Json::object({ { "booking", id }, { "text", fillerText(random, arrival.promptTokens) } }));
        out.http.headers.emplace_back("Idempotency-Key", id);
    } else {
        out.http.method = "GET";
        out.http.target += "/" + id;
    }
    out.expected.text = serviceConfirmation(out.http.method, out.http.target, out.http.body);
}

static void prepareCompletion(PreparedCall& out, const Arrival& arrival, const LoadMix& mix, uint64_t seed, uint64_t random)
{
    const auto prefix = mix.sharedPrefixTokens ? fillerText(hash64(mix.name, combineHash(seed, arrival.prefix)), mix.sharedPrefixTokens) : std::string {};
    const auto prompt = prefix + "call " + std::to_string(seed) + "-" + std::to_string(arrival.number) + " " + fillerText(random, arrival.promptTokens);
    auto body = Json::object({ { "model", mix.model }, { "max_tokens", arrival.answerTokens }, { "stream", mix.stream } });
    if (mix.path.ends_with("/chat/completions"))
        body.set("messages", Json::array({ Json::object({ { "role", "user" }, { "content", prompt } }) }));
    else
        body.set("prompt", prompt);
    out.http.method = "POST";
    out.http.body = toText(body);
    out.expected.form = mix.stream ? AnswerExpectation::Form::Stream : AnswerExpectation::Form::Body;
    out.expected.text = expectedAnswer(prompt, 0, arrival.answerTokens);
}

PreparedCall prepareCall(const LoadConfig& config, const Arrival& arrival, uint64_t seed, uint64_t unixMs)
{
    const auto& mix = config.mixes[arrival.mix];
    const uint64_t random = combineHash(combineHash(seed, arrival.number), arrival.mix);
    PreparedCall out;
    out.http.target = mix.path;
    out.http.timeout = mix.deadline;
    out.http.headers = { { "Authorization", "Bearer " + config.accounts[mix.account].token }, { "Content-Type", "application/json" } };
    if (!mix.className.empty())
        out.http.headers.emplace_back("Siskinshunt-Class", mix.className);
    if (mix.service)
        prepareService(out, arrival, random, unixMs);
    else
        prepareCompletion(out, arrival, mix, seed, random);
    return out;
}

}
