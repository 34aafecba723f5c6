#include "forward/RouteTable.h"

#include "base/Hash.h"
#include "rules/RuleParser.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static std::shared_ptr<const RouteTable> tableOf(const std::string& text)
{
    auto parsed = parseRules(text);
    BOOST_REQUIRE_MESSAGE(parsed.problems.empty(), (parsed.problems.empty() ? "" : parsed.problems.front().message));
    return makeRouteTable(std::make_shared<const RuleSet>(std::move(parsed.rules)));
}

static std::string forward(const std::string& name, const std::string& host, const std::string& prefix, int priority = 5)
{
    return "forward " + name + " host=" + host + " prefix=" + prefix + " kind=once timeout=1s priority=" + std::to_string(priority) + " to=desk:1 # Asma: test\n";
}

static const std::string backend = "backend desk # Asma: test\n";

// Guards against matching a shorter prefix, another host or part of a path segment.
BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins)
{
    const auto table = tableOf(backend + forward("root", "a.example", "/") + forward("deep", "a.example", "/x/y/") + forward("mid", "a.example", "/x/") + forward("other", "b.example", "/x/y/z/"));
    const auto nameOfMatch = [&](std::string_view host, std::string_view path) {
        const ForwardRule* rule = findForward(*table, host, path);
        return rule ? rule->name : std::string("-");
    };
    BOOST_TEST(nameOfMatch("a.example", "/x/y/z/q") == "deep");
    BOOST_TEST(nameOfMatch("A.Example:80", "/x/y") == "mid");
    BOOST_TEST(nameOfMatch("a.example", "/xy") == "root");
    BOOST_TEST(nameOfMatch("b.example", "/x/y/zz") == "-");
    BOOST_TEST(nameOfMatch("c.example", "/x/") == "-");
    BOOST_TEST(nameOfMatch("a.example", "") == "-");
}

// Guards against a route's priority that overrides the account's.
BOOST_AUTO_TEST_CASE(accountPriorityPrecedesRoutePriority)
{
    const auto table = tableOf(backend + "allowance gold priority=0 # Asma: test\nallowance tin priority=2 # Asma: test\n"
        + "caller-key g account=gold token-sha256=" + sha256Hex("g-key") + " # Asma: test\n" + forward("fast", "a", "/f/", 0) + forward("slow", "a", "/s/", 3));
    const AllowanceRule* gold = findAccountOfKey(*table, "g-key");
    BOOST_REQUIRE(gold);
    BOOST_TEST(!findAccountOfKey(*table, "unknown"));
    const auto& rules = *table->rules;
    const int goldSlow = urgencyOf(*table, gold, rules.forwards[1]);
    const int tinFast = urgencyOf(*table, &rules.allowances[1], rules.forwards[0]);
    BOOST_TEST(urgencyOf(*table, gold, rules.forwards[0]) < goldSlow);
    BOOST_TEST(goldSlow < tinFast);
    BOOST_TEST(tinFast <= 9);
}
