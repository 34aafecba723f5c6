#pragma once

#include "rules/RuleParser.h"

namespace siskinshunt {

/// Checks constraints within and between rules: references to other rules, contradictory ranges, and routes that are
/// shadowed by an earlier line with the same conditions.
void checkReferences(ParsedRules&);

}
