#include "Fuzz.h"
#include "rules/RuleMatch.h"
#include "rules/RuleParser.h"

using namespace siskinshunt;

// Guards against rules files that crash a node, and against reported problems without a line and column.
void fuzzOne(std::string_view input)
{
    const auto parsed = parseRules(input);
    for (const auto& it : parsed.problems)
        INVARIANT(it.line >= 1 && it.column >= 1 && !it.message.empty(), "a problem has a place and a message", "line", it.line);
    if (!parsed.problems.empty())
        return;
    INVARIANT(diffRules(parsed.rules, parsed.rules).empty(), "rules do not differ from themselves");
    for (const auto& it : parsed.rules.routes) {
        const RouteQuery query { .account = it.account, .className = {}, .model = it.model, .service = it.service, .path = it.path, .method = it.method };
        if (const auto* route = matchRoute(parsed.rules, query))
            findClass(parsed.rules, classOfRequest(*route, query));
    }
}
