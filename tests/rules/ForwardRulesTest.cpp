#include "rules/RuleParser.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static std::string problemsOf(const std::string& text)
{
    std::string out;
    for (const auto& problem : parseRules(text).problems)
        out += std::to_string(problem.line) + ": " + problem.message + "\n";
    return out;
}

static const std::string backend = "backend desk health=/up connections=10 # Asma: test\n";
static const std::string digestA(64, 'a');

// Guards against values that are stored in the wrong field or lost.
BOOST_AUTO_TEST_CASE(forwardingRulesAreRead)
{
    const auto parsed = parseRules("backend lm slots=64 memory-tokens=232000 min=1 max=6 boot=4s reclaimable-price=0.22 prices=x:0.85,y:1.2 # Asma: engines\n" + backend
        + "forward plan host=a.example prefix=/p/ kind=stream timeout=6s target=800ms gap=250ms priority=1 attempts=2 anonymous=no affinity=yes resume=yes to=lm:90,desk:10 # Asma: plans\n"
        + "allowance acme priority=1 rate=120352 burst=120352 tokens=yes plain-tokens=200 # Asma: limit\ncaller-key acme.1 account=acme token-sha256=" + digestA + " # Asma: key\n"
        + "intake all header-bytes=16384 body-bytes=4MB header-timeout=3s idle-timeout=15s # Asma: limits\n");
    BOOST_REQUIRE_MESSAGE(parsed.problems.empty(), problemsOf(parsed.rules.text));
    const auto& forward = parsed.rules.forwards.at(0);
    BOOST_TEST((forward.kind == ForwardKind::Stream && forward.resume && forward.affinity && !forward.anonymous));
    BOOST_TEST((forward.to.size() == 2U && forward.to[0].backend == "lm" && forward.to[0].weight == 90U));
    BOOST_TEST(forward.origin.person == "Asma");
    BOOST_TEST((parsed.rules.backends.at(0).prices.at(1).domain == "y" && parsed.rules.backends[0].prices[1].factor == 1.2));
    BOOST_TEST((parsed.rules.allowances.at(0).tokens && parsed.rules.allowances[0].rate == 120352));
    BOOST_TEST((parsed.rules.intakes.at(0).bodyBytes == 4U << 20));
}

// Guards against accepting unusable configurations: unknown backends, two routes with the same host and prefix, weights
// that sum to 0, a timeout of 0, a prefix without a final slash, and a key shared by two accounts.
BOOST_AUTO_TEST_CASE(impossibleForwardingIsRefused)
{
    const auto forward = [](const std::string& name, const std::string& more) { return "forward " + name + " host=a prefix=/p/ kind=once timeout=1s " + more + " # Asma: test\n"; };
    BOOST_TEST(problemsOf(backend + forward("f", "to=desk:1")) == "");
    BOOST_TEST(problemsOf(backend + forward("f", "to=desk:1,gone:0")).find("backend 'gone' is not defined") != std::string::npos);
    BOOST_TEST(problemsOf(backend + forward("f", "to=desk:0")).find("add up to 0") != std::string::npos);
    BOOST_TEST(problemsOf(backend + forward("f", "to=desk:1") + forward("g", "to=desk:1")).find("has the host and prefix of forward 'f'") != std::string::npos);
    BOOST_TEST(problemsOf(backend + "forward f host=a prefix=/p/ kind=once timeout=0ms to=desk:1 # Asma: test\n").find("timeout='0ms'") != std::string::npos);
    BOOST_TEST(problemsOf(backend + "forward f host=a prefix=/p kind=once timeout=1s to=desk:1 # Asma: test\n").find("prefix='/p'") != std::string::npos);
    const std::string accounts = "allowance a # Asma: test\nallowance b # Asma: test\n";
    const auto key = [](const std::string& name, const std::string& account) { return "caller-key " + name + " account=" + account + " token-sha256=" + digestA + " # Asma: test\n"; };
    BOOST_TEST(problemsOf(accounts + key("k", "a") + key("l", "a")) == "");
    BOOST_TEST(problemsOf(accounts + key("k", "a") + key("l", "b")).find("belongs to account 'a'") != std::string::npos);
    BOOST_TEST(problemsOf(accounts + key("k", "c")).find("account 'c' is not defined") != std::string::npos);
}

// Guards against extension lines that earlier builds read as comments and that are not checked, or are reported at the wrong place.
BOOST_AUTO_TEST_CASE(extensionLinesAreRules)
{
    const auto parsed = parseRules(backend + "#: cold-start desk duration=3000ms rate=8.6 # Asma: engines fail\n# : a comment\n");
    BOOST_REQUIRE_MESSAGE(parsed.problems.empty(), problemsOf(parsed.rules.text));
    BOOST_REQUIRE(parsed.rules.coldStarts.size() == 1U);
    const auto& rule = parsed.rules.coldStarts[0];
    BOOST_TEST((rule.name == "desk" && rule.duration == TimeMs { 3000 } && rule.perSecond == 8.6));
    BOOST_TEST((rule.origin.line == 2 && rule.origin.person == "Asma" && rule.origin.text == "cold-start desk duration=3000ms rate=8.6"));
    BOOST_TEST(parsed.rules.lines.size() == 2U);
    BOOST_TEST(problemsOf(backend + "cold-start desk duration=3s rate=8.6 # Asma: as a plain line\n") == "");
    const auto problemAt = [](const std::string& text) {
        const auto problems = parseRules(text).problems;
        return problems.empty() ? std::string {} : toString(problems.front(), "f");
    };
    BOOST_TEST(problemAt(backend + "#: cold-start desk duration=3s rate=0 # Asma: test\n").starts_with("f:2:37: rate='0': expected a number"));
    BOOST_TEST(problemAt(backend + "#: cold-start desk rate=1 # Asma: test\n").starts_with("f:2:15: cold-start 'desk' lacks duration="));
    BOOST_TEST(problemAt(backend + "#: cold-start desk duration=3s rate=1\n").starts_with("f:2:38: expected a comment"));
    BOOST_TEST(problemAt(backend + "  #: chill desk # Asma: test\n").starts_with("f:2:6: unknown rule kind 'chill'"));
    BOOST_TEST(problemAt("#: cold-start gone duration=3s rate=1 # Asma: test\n").starts_with("f:1:1: backend 'gone' is not defined"));
    BOOST_TEST(problemAt(backend + "#: cold-start desk duration=3s rate=1 # Asma: test\ncold-start desk duration=3s rate=1 # Asma: test\n").starts_with("f:3:12: cold-start 'desk' is already defined on line 2"));
}

// Guards against region constraints that are lost, attached to the wrong kind of rule or to none, or accepted without a region.
BOOST_AUTO_TEST_CASE(regionsAreRead)
{
    const std::string base = backend + "forward plan host=h prefix=/p/ kind=stream timeout=6s to=desk:1 # Asma: test\nallowance acme # Asma: test\n";
    const auto parsed = parseRules(base + "#: regions route plan allowed=eu-west,eu.north # Asma: contract\n#: regions account acme allowed=eu-west # Omar: contract\n");
    BOOST_REQUIRE_MESSAGE(parsed.problems.empty(), problemsOf(parsed.rules.text));
    BOOST_REQUIRE((parsed.rules.routeRegions.size() == 1U && parsed.rules.accountRegions.size() == 1U));
    BOOST_TEST((parsed.rules.routeRegions[0].name == "plan" && parsed.rules.routeRegions[0].allowed == std::vector<std::string> { "eu-west", "eu.north" }));
    BOOST_TEST((parsed.rules.accountRegions[0].name == "acme" && parsed.rules.accountRegions[0].allowed == std::vector<std::string> { "eu-west" }));
    BOOST_TEST((parsed.rules.accountRegions[0].origin.line == 5 && parsed.rules.accountRegions[0].origin.person == "Omar"));
    BOOST_TEST((parsed.rules.lines.back().kind == "regions account" && parsed.rules.lines.back().name == "acme"));
    const auto problemAt = [&](const std::string& line) {
        const auto problems = parseRules(base + line).problems;
        return problems.empty() ? std::string {} : toString(problems.front(), "f");
    };
    BOOST_TEST(problemAt("regions route plan allowed=a # Asma: as a plain line\n") == "");
    for (const char* value : { "", ",", "a,", ",a", "a,,b", "a,a", "a/b" })
        BOOST_TEST(problemAt(std::string("#: regions route plan allowed=") + value + " # Asma: test\n").find("expected names of regions") != std::string::npos, value);
    BOOST_TEST(problemAt("#: regions route plan # Asma: test\n").starts_with("f:4:18: regions route 'plan' lacks allowed="));
    BOOST_TEST(problemAt("#: regions route # Asma: test\n").starts_with("f:4:17: expected a name"));
    BOOST_TEST(problemAt("#: regions route acme allowed=a # Asma: test\n").find("route 'acme' is not defined") != std::string::npos);
    BOOST_TEST(problemAt("#: regions account plan allowed=a # Asma: test\n").find("account 'plan' is not defined") != std::string::npos);
    BOOST_TEST(problemAt("#: regions plan allowed=a # Asma: test\n").find("unknown rule kind 'regions'") != std::string::npos);
    BOOST_TEST(problemAt("#: regions route plan allowed=a # Asma: test\n#: regions route plan allowed=b # Asma: test\n").find("is already defined on line 4") != std::string::npos);
}
