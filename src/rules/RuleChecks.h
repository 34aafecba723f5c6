#pragma once

#include "rules/RuleParser.h"

namespace siskinshunt {

/// Checks what no single line shows: references to other rules, ranges that contradict each other, routes that an
/// earlier line with the same conditions hides.
void checkReferences(ParsedRules&);

}
