#pragma once

#include "rules/RuleParser.h"

#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// One key=value pair of a rule line.
struct RuleField {
    std::string key;
    std::string value;
    int column = 0; ///< Of the key.
    int valueColumn = 0;
};

/// One tokenized rule line, not yet interpreted.
struct RuleInput {
    std::string kind;
    std::string name;
    int kindColumn = 0;
    int nameColumn = 0;
    std::vector<RuleField> fields;
    RuleOrigin origin;
};

/// Number of words at the start of a line that name its kind: two for "regions route" and "regions account", else one.
size_t kindWordCount(std::string_view first, std::string_view second);

/// Interprets the line according to its rule kind and adds the rule, or the problems found, to `out`.
void addRule(const RuleInput&, ParsedRules& out);

/// Rule kinds in the order of the operator documentation.
std::vector<std::string_view> ruleKindNames();

/// Whether the text is a valid rule name or "*".
bool isRuleNameOrStar(std::string_view text);

}
