#pragma once

#include "base/Error.h"
#include "rules/RuleSet.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// Maximum size of the text of a rules file: room for about 30,000 forward rules.
constexpr size_t maxRulesBytes = 8 << 20;

/// An error in a rules file.
struct RuleProblem {
    int line = 0; ///< 1-based.
    int column = 0; ///< 1-based, in bytes.
    std::string message; ///< The error and the expected form.
};

struct ParsedRules {
    RuleSet rules; ///< Complete only if there are no problems.
    std::vector<RuleProblem> problems; ///< In file order.
    std::map<std::string, int> lineOfRule; ///< Keyed by "KIND NAME"; detects duplicates and resolves references.
};

/// Parses and validates a rules file: the syntax of every line, then the references between rules.
/// Reads at most 8 MiB and 50,000 lines; a longer text is reported as a single problem.
ParsedRules parseRules(std::string_view text);

/// Parses a rules file; fails with the first problem (step read_rules, `peer` is the source).
Result<RuleSet> loadRules(std::string_view text, const std::string& source);

/// "FILE:LINE:COLUMN: message".
std::string toString(const RuleProblem&, std::string_view file);

}
