#pragma once

#include "rules/RuleParser.h"

#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// One key=value of a rule line.
struct RuleField {
    std::string key;
    std::string value;
    int column = 0; ///< Of the key.
    int valueColumn = 0;
};

/// One rule line, split but not yet interpreted.
struct RuleInput {
    std::string kind;
    std::string name;
    int kindColumn = 0;
    int nameColumn = 0;
    std::vector<RuleField> fields;
    RuleOrigin origin;
};

/// Interprets the line by the table of rule kinds and adds the rule, or the problems found, to `out`.
void addRule(const RuleInput&, ParsedRules& out);

/// Kinds of rules in the order of the operators' page.
std::vector<std::string_view> ruleKindNames();

/// A rule name, or "*".
bool isRuleNameOrStar(std::string_view text);

}
