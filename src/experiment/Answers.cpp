#include "experiment/Answers.h"

#include "base/Hash.h"

#include <cstdio>

namespace siskinshunt {

std::string promptOf(const Json& body)
{
    if (body.has("prompt"))
        return std::string(body["prompt"].asText());
    std::string out;
    for (const auto& it : body["messages"].items) {
        if (!out.empty())
            out += '\n';
        out += it["content"].asText();
    }
    return out;
}

uint64_t promptHash(std::string_view prompt) { return hash64(prompt); }

std::string answerToken(uint64_t promptHash, uint64_t k)
{
    static constexpr std::string_view consonants = "bdfgklmnprstvz";
    static constexpr std::string_view vowels = "aeiou";
    uint64_t n = combineHash(promptHash, k + 1);
    std::string out(answerTokenSize, ' ');
    for (size_t i = 0; i + 1 < answerTokenSize; ++i) {
        const auto letters = i % 2 ? vowels : consonants;
        out[i] = letters[n % letters.size()];
        n /= letters.size();
    }
    return out;
}

std::string expectedAnswer(std::string_view prompt, uint64_t from, uint64_t count)
{
    const auto hash = promptHash(prompt);
    std::string out;
    out.reserve(count * answerTokenSize);
    for (uint64_t k = from; k < from + count; ++k)
        out += answerToken(hash, k);
    return out;
}

std::string_view serviceTarget(std::string_view target)
{
    constexpr std::string_view prefix = "/services/";
    if (!target.starts_with(prefix))
        return target;
    const auto slash = target.find('/', prefix.size());
    return slash == std::string_view::npos ? std::string_view("/") : target.substr(slash);
}

std::string serviceConfirmation(std::string_view method, std::string_view target, std::string_view body)
{
    const auto n = hash64(body, hash64(serviceTarget(target), hash64(method)));
    char out[17];
    std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(n));
    return out;
}

}
