#pragma once

#include "base/Error.h"
#include "rules/RuleSet.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// Something wrong in a rules file.
struct RuleProblem {
    int line = 0; ///< 1-based.
    int column = 0; ///< 1-based, in bytes.
    std::string message; ///< What is wrong and what was expected.
};

struct ParsedRules {
    RuleSet rules; ///< Complete only when there are no problems.
    std::vector<RuleProblem> problems; ///< In file order.
    std::map<std::string, int> lineOfRule; ///< By kind and name, to find duplicates.
};

/// Parses and checks a rules file: the grammar of every line, then the references between rules.
/// Reads at most 1 MiB and 10,000 lines; a longer text is one problem.
ParsedRules parseRules(std::string_view text);

/// Parses a rules file; the first problem becomes the error (step read_rules, `peer` names the source).
Result<RuleSet> loadRules(std::string_view text, const std::string& source);

/// "FILE:LINE:COLUMN: message".
std::string toString(const RuleProblem&, std::string_view file);

}
