#include "rules/RuleParser.h"

#include "rules/RuleChecks.h"
#include "rules/RuleKinds.h"

#include <algorithm>

namespace siskinshunt {

static constexpr int maxLines = 50000;
// Earlier builds read a line that begins with it as a comment, so it carries the kinds of rules that they do not know.
static constexpr std::string_view extensionMark = "#:";

static std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

struct Word {
    std::string_view text;
    int column = 0;
};

static std::vector<Word> splitWords(std::string_view text)
{
    std::vector<Word> words;
    size_t at = 0;
    while ((at = text.find_first_not_of(" \t\r", at)) != std::string_view::npos) {
        const size_t end = std::min(text.find_first_of(" \t\r", at), text.size());
        words.push_back({ text.substr(at, end - at), static_cast<int>(at) + 1 });
        at = end;
    }
    return words;
}

// Parses "PERSON: reason" of a comment into the origin; returns false if either is missing.
static bool parseComment(std::string_view comment, RuleOrigin& origin)
{
    const auto colon = comment.find(':');
    if (colon == std::string_view::npos)
        return false;
    origin.person = trim(comment.substr(0, colon));
    origin.reason = trim(comment.substr(colon + 1));
    return !origin.person.empty() && !origin.reason.empty();
}

static void parseFields(const std::vector<Word>& words, size_t first, RuleInput& input, std::vector<RuleProblem>& problems)
{
    for (size_t n = first; n < words.size(); ++n) {
        const auto& word = words[n];
        const auto equals = word.text.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            problems.push_back({ input.origin.line, word.column, "expected key=value, found '" + std::string(word.text) + "'" });
            continue;
        }
        RuleField field { std::string(word.text.substr(0, equals)), std::string(word.text.substr(equals + 1)), word.column, word.column + static_cast<int>(equals) + 1 };
        const bool repeated = std::any_of(input.fields.begin(), input.fields.end(), [&](const RuleField& it) { return it.key == field.key; });
        if (repeated)
            problems.push_back({ input.origin.line, word.column, "key '" + field.key + "' is given twice" });
        else
            input.fields.push_back(std::move(field));
    }
}

// Position after the mark of an extension line, or 0 if the line is none.
static size_t extensionStart(std::string_view line)
{
    const auto first = line.find_first_not_of(" \t\r");
    return first != std::string_view::npos && line.substr(first).starts_with(extensionMark) ? first + extensionMark.size() : 0;
}

static void parseLine(std::string_view line, int number, ParsedRules& out)
{
    const size_t start = extensionStart(line);
    const auto hash = line.find('#', start);
    const std::string_view body = trim(line.substr(start, hash == std::string_view::npos ? hash : hash - start));
    if (body.empty())
        return;
    auto words = splitWords(line.substr(start, hash == std::string_view::npos ? hash : hash - start));
    for (auto& word : words)
        word.column += static_cast<int>(start);
    RuleInput input;
    input.origin = { number, std::string(body), {}, {} };
    const int commentColumn = static_cast<int>(hash == std::string_view::npos ? line.size() : hash) + 1;
    if (hash == std::string_view::npos || !parseComment(line.substr(hash + 1), input.origin))
        out.problems.push_back({ number, commentColumn, "expected a comment '# PERSON: reason' that says who asked for the rule" });
    input.kind = words[0].text;
    input.kindColumn = words[0].column;
    const size_t kindWords = kindWordCount(words[0].text, words.size() > 1 ? words[1].text : std::string_view {});
    if (kindWords > 1)
        input.kind += " " + std::string(words[1].text);
    if (words.size() <= kindWords || !isRuleNameOrStar(words[kindWords].text)) {
        const auto& last = words[kindWords - 1];
        const int column = words.size() <= kindWords ? last.column + static_cast<int>(last.text.size()) : words[kindWords].column;
        out.problems.push_back({ number, column, "expected a name of letters, digits, '.', '_' or '-' after '" + input.kind + "'" });
        return;
    }
    input.name = words[kindWords].text;
    input.nameColumn = words[kindWords].column;
    parseFields(words, kindWords + 1, input, out.problems);
    addRule(input, out);
}

ParsedRules parseRules(std::string_view text)
{
    ParsedRules out;
    out.rules.text = text.substr(0, maxRulesBytes);
    if (text.size() > maxRulesBytes) {
        out.problems.push_back({ 1, 1, "the file has " + std::to_string(text.size()) + " bytes; at most 8 MiB are allowed" });
        return out;
    }
    int number = 0;
    while (!text.empty()) {
        if (++number > maxLines) {
            out.problems.push_back({ number, 1, "more than 50000 lines" });
            return out;
        }
        const auto end = text.find('\n');
        parseLine(text.substr(0, end), number, out);
        text = end == std::string_view::npos ? std::string_view {} : text.substr(end + 1);
    }
    checkReferences(out);
    std::stable_sort(out.problems.begin(), out.problems.end(), [](const auto& a, const auto& b) { return a.line < b.line; });
    return out;
}

std::string toString(const RuleProblem& problem, std::string_view file)
{
    return std::string(file) + ":" + std::to_string(problem.line) + ":" + std::to_string(problem.column) + ": " + problem.message;
}

Result<RuleSet> loadRules(std::string_view text, const std::string& source)
{
    auto parsed = parseRules(text);
    if (parsed.problems.empty())
        return std::move(parsed.rules);
    return fail(ErrorCode::Invalid, Step::ReadRules, source, toString(parsed.problems.front(), source));
}

}
