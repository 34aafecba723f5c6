#include "rules/RuleParser.h"
#include "rules/RuleMatch.h"
#include "rules/RuleValues.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static const std::string s_token(64, 'a');

static std::string validText()
{
    return "# rules of the tests\n"
           "account office token-sha256="
        + s_token + " weight=3 # Asma Butt: district office\n"
                    "class crew priority=0 deadline=30s # Asma Butt: crews wait at the venue\n"
                    "class dossier priority=5 deadline=10m # Asma Butt: drafting may wait\n"
                    "target crew first-token=400ms between-tokens=26ms # Asma Butt: spoken answers\n"
                    "route booking service=hire path=/services/hire/bookings method=POST repeat=once # Omar Khan: a booking is billed\n"
                    "route crew account=office class=crew model=sound repeat=yes # Asma Butt: crew desk\n"
                    "route any model=sound repeat=yes # Asma Butt: all other calls\n"
                    "version sound-v1 model=sound version=v1 # Omar Khan: in service since spring\n"
                    "move sound-v2 model=sound from=v1 to=v2 by=2026-12-03T22:00Z max-share=5% # Omar Khan: better plans\n";
}

static std::string firstProblem(const std::string& text)
{
    const auto parsed = parseRules(text);
    return parsed.problems.empty() ? "" : toString(parsed.problems.front(), "f");
}

// Guards against rejecting rules that the operator documentation shows.
BOOST_AUTO_TEST_CASE(validRulesParse)
{
    const auto parsed = parseRules(validText());
    BOOST_TEST(firstProblem(validText()) == "");
    BOOST_TEST(parsed.rules.lines.size() == 9u);
    BOOST_TEST(parsed.rules.accounts[0].weight == 3);
    BOOST_TEST(parsed.rules.routes[0].origin.person == "Omar Khan");
    BOOST_TEST(parsed.rules.routes[0].origin.line == 6);
    BOOST_TEST(parsed.rules.moves[0].by.value == 1796335200000);
}

// Guards against rules without a requester, and against messages that lack the position or the expected form.
BOOST_AUTO_TEST_CASE(problemsNameLineColumnAndExpectation)
{
    BOOST_TEST(firstProblem("class crew priority=0 deadline=30s\n") == "f:1:35: expected a comment '# PERSON: reason' that says who asked for the rule");
    BOOST_TEST(firstProblem("class crew priority=0 deadline=30s # urgent\n").starts_with("f:1:36: expected a comment"));
    BOOST_TEST(firstProblem("\nclass crew prio=0 deadline=30s # A: b\n").starts_with("f:2:12: unknown key 'prio' for class; expected one of: priority"));
    BOOST_TEST(firstProblem("class crew priority=12 deadline=30s # A: b\n") == "f:1:21: priority='12': expected a whole number from 0 (first) to 9 (last)");
    BOOST_TEST(firstProblem("class crew priority=1 # A: b\n") == "f:1:7: class 'crew' lacks deadline=; expected a duration from 100ms to 1h");
    BOOST_TEST(firstProblem("klass crew priority=1 # A: b\n").starts_with("f:1:1: unknown rule kind 'klass'"));
    BOOST_TEST(firstProblem("class # A: b\n").starts_with("f:1:6: expected a name"));
    BOOST_TEST(firstProblem("route r model=m repeat=twice # A: b\n") == "f:1:24: repeat='twice': expected yes or once");
}

// Guards against references to rules that do not exist and against routes that can never match.
BOOST_AUTO_TEST_CASE(referencesAreChecked)
{
    BOOST_TEST(firstProblem("target crew first-token=400ms # A: b\n").find("class 'crew' is not defined") != std::string::npos);
    BOOST_TEST(firstProblem("route r account=x model=m repeat=yes # A: b\n").find("account 'x' is not defined") != std::string::npos);
    BOOST_TEST(firstProblem("route r model=m repeat=yes # A: b\nroute s model=m repeat=once # A: b\n").find("never matches") != std::string::npos);
    BOOST_TEST(firstProblem("move m model=m from=a to=b by=2026-01-01T00:00Z # A: b\n").find("expected a version rule") != std::string::npos);
}

// Guards against a wrong match order that sends a booking to a repeatable route.
BOOST_AUTO_TEST_CASE(firstMatchingRouteWins)
{
    const auto rules = parseRules(validText()).rules;
    const auto nameOf = [&](const RouteQuery& query) {
        const auto* route = matchRoute(rules, query);
        return route ? route->name : std::string("none");
    };
    BOOST_TEST(nameOf({ .account = "office", .service = "hire", .path = "/services/hire/bookings/7", .method = "POST" }) == "booking");
    BOOST_TEST(nameOf({ .account = "office", .service = "hire", .path = "/services/hire/bookings/7", .method = "GET" }) == "none");
    BOOST_TEST(nameOf({ .account = "office", .className = "crew", .model = "sound", .path = "/v1/completions" }) == "crew");
    BOOST_TEST(nameOf({ .account = "office", .className = "dossier", .model = "sound", .path = "/v1/completions" }) == "any");
    BOOST_TEST(nameOf({ .account = "other", .className = "crew", .model = "sound", .path = "/v1/completions" }) == "any");
}

// Guards against misreading values without a unit, with a sign or out of range.
BOOST_AUTO_TEST_CASE(valuesNeedTheirUnits)
{
    BOOST_TEST(parseDuration("400ms")->value == 400);
    BOOST_TEST(parseDuration("1.5s")->value == 1500);
    BOOST_TEST(!parseDuration("400"));
    BOOST_TEST(!parseDuration("-3s"));
    BOOST_TEST(!parseNumber("nan"));
    BOOST_TEST(!parsePercent("101%"));
    BOOST_TEST(*parseBytes("16MB") == 16u << 20);
    BOOST_TEST(*parseBytes("2KB") == 2048u);
    BOOST_TEST(!parseUtc("2026-13-03T22:00Z"));
    BOOST_TEST(!parseUtc("2026-12-03 22:00Z"));
}

// Guards against a diff that ignores a changed requester.
BOOST_AUTO_TEST_CASE(diffShowsChangedComment)
{
    const auto before = parseRules("class a priority=1 deadline=1s # A: b\nclass b priority=1 deadline=1s # A: b\n").rules;
    const auto after = parseRules("class a priority=1 deadline=1s # C: b\nclass c priority=1 deadline=1s # A: b\n").rules;
    const auto changes = diffRules(before, after);
    BOOST_REQUIRE(changes.size() == 3u);
    BOOST_TEST(nameOf(changes[0].change) == "changed");
    BOOST_TEST(nameOf(changes[1].change) == "removed");
    BOOST_TEST(nameOf(changes[2].change) == "added");
}
