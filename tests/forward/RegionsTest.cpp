#include "forward/Regions.h"

#include "forward/TargetChoice.h"
#include "rules/RuleParser.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

namespace {

RuleSet rulesOf(const std::string& regions)
{
    const std::string author = " # Asma: test\n";
    std::string text = "backend lm slots=64" + author + "allowance acme" + author + "allowance other" + author;
    for (const char* name : { "plan", "draft", "free" })
        text += std::string("forward ") + name + " host=H.example prefix=/" + name + "/ kind=stream timeout=6s to=lm:1" + author;
    text += "forward apart host=apart.example prefix=/ kind=stream timeout=6s to=lm:1" + author;
    auto parsed = parseRules(text + regions);
    BOOST_REQUIRE_MESSAGE(parsed.problems.empty(), (parsed.problems.empty() ? "" : parsed.problems.front().message));
    return std::move(parsed.rules);
}

// Engines in the regions r1 (ids 1 to 3), r2 (4 to 6) and in a failure domain without a region (7 to 9).
struct RegionEngines {
    RegionEngines()
    {
        for (uint64_t n = 1; n <= 9; ++n) {
            ForwardTarget target;
            target.id = UpstreamId { n };
            target.backend = "lm";
            target.domain = n <= 3 ? "a" : n <= 6 ? "b"
                                                  : "c";
            target.region = n <= 3 ? "r1" : n <= 6 ? "r2"
                                                   : "";
            target.engine = true;
            target.slots = 64;
            target.lastSeen = now;
            target.incarnation = 1;
            upsertTarget(table, target);
        }
        options.domain = "a";
    }

    std::optional<TargetChoice> choose(const AllowedRegions* regions, std::vector<UpstreamId> tried = {})
    {
        return chooseTarget(table, parts, options, { .backend = "lm", .promptTokens = 100, .tried = std::move(tried), .regions = regions }, now, random);
    }

    ForwardTarget& at(uint64_t id) { return *findTarget(table, UpstreamId { id }); }

    TimeMs now { 100000 };
    ForwardTargets table;
    PromptPartIndex parts;
    ChoiceOptions options;
    Random random { 1 };
};

}

BOOST_AUTO_TEST_SUITE(Regions)

// Guards against a constraint of the route or of the account that is dropped where both name regions, and against an empty intersection that counts as
// no constraint.
BOOST_AUTO_TEST_CASE(bothConstraintsApply)
{
    const auto rules = makeRegionRules(rulesOf("#: regions route plan allowed=r3,r1,r2 # Asma: t\n#: regions account acme allowed=r2,r4 # Asma: t\n#: regions account other allowed=r9 # Asma: t\n"));
    BOOST_TEST((allowedRegions(rules, "plan", "acme") == makeAllowedRegions({ "r2" })));
    BOOST_TEST((allowedRegions(rules, "plan", "") == makeAllowedRegions({ "r1", "r2", "r3" })));
    BOOST_TEST((allowedRegions(rules, "free", "acme") == makeAllowedRegions({ "r4", "r2", "r4" })));
    BOOST_TEST(!allowedRegions(rules, "free", "nobody").restricted);
    BOOST_TEST(allowsNoRegion(allowedRegions(rules, "plan", "other")));
    BOOST_TEST(!allowsRegion(allowedRegions(rules, "plan", "other"), "r1"));
    BOOST_TEST(!allowsNoRegion(AllowedRegions {}));
    BOOST_TEST(!namesRegions(makeRegionRules(rulesOf(""))));
}

// Guards against a failure domain without a region that counts as inside a region.
BOOST_AUTO_TEST_CASE(unknownDomainsAreOutsideEveryRegion)
{
    const DomainRegions regions { { "a", "r1" } };
    BOOST_TEST(regionOf(regions, "a") == "r1");
    BOOST_TEST(regionOf(regions, "x") == "");
    BOOST_TEST(!allowsRegion(makeAllowedRegions({ "r1" }), ""));
    BOOST_TEST(!allowsRegion(makeAllowedRegions({ "" }), ""));
    BOOST_TEST(allowsRegion(AllowedRegions {}, ""));
}

// Guards against a request that is sent to another region because the upstreams of its own are tried, backed off, stale, full or gone.
BOOST_AUTO_TEST_CASE(noFailureWidensTheRegions)
{
    const auto allowed = makeAllowedRegions({ "r2" });
    RegionEngines it;
    it.at(4).backoffUntil = it.at(5).backoffUntil = it.now + 1_s;
    it.at(4).lastSeen = it.now - 60_s;
    it.at(5).others.running = 500;
    it.at(5).others.prefillTokens[0] = 1e6;
    it.at(6).leaving = true;
    for (int n = 0; n < 500; ++n) {
        const auto choice = it.choose(&allowed);
        BOOST_REQUIRE(choice);
        BOOST_REQUIRE((choice->target == UpstreamId { 4 } || choice->target == UpstreamId { 5 }));
    }
    BOOST_TEST(!it.choose(&allowed, { UpstreamId { 4 }, UpstreamId { 5 } }));
    const auto none = makeAllowedRegions({});
    BOOST_TEST(!it.choose(&none));
    BOOST_TEST(it.choose(nullptr).has_value());
}

// Guards against an explanation without the exclusion, and against a refusal that names the time until an upstream of another region takes requests.
BOOST_AUTO_TEST_CASE(exclusionIsExplainedAndOtherRegionsAreNotWaitedFor)
{
    const auto allowed = makeAllowedRegions({ "r2" });
    RegionEngines it;
    it.at(1).leaving = true;
    for (const auto& target : explainTargets(it.table, it.parts, it.options, { .backend = "lm", .promptTokens = 100, .regions = &allowed }, it.now, it.random))
        BOOST_TEST((target.exclusion == (it.at(target.choice.target.value).region == "r2" ? TargetExclusion::None : TargetExclusion::Region)));
    BOOST_TEST(nameOf(TargetExclusion::Region) == "region");
    it.at(2).pausedUntil = it.now + 300_ms;
    BOOST_TEST((timeUntilTarget(it.table, "lm", it.now) == TimeMs { 300 }));
    BOOST_TEST(!timeUntilTarget(it.table, "lm", it.now, &allowed));
    it.at(4).pausedUntil = it.now + 700_ms;
    BOOST_TEST((timeUntilTarget(it.table, "lm", it.now, &allowed) == TimeMs { 700 }));
}

// Guards against choices that change where no region is named: the random part must be drawn as before.
BOOST_AUTO_TEST_CASE(unboundRequestsAreChosenAsBefore)
{
    RegionEngines one;
    RegionEngines two;
    one.options.jitterMs = two.options.jitterMs = 100;
    const AllowedRegions all;
    for (int n = 0; n < 200; ++n)
        BOOST_REQUIRE((one.choose(nullptr)->target == two.choose(&all)->target));
}

// Guards against a directory that names nodes which some bound route of the host must not use although others are there, that leaves a client without
// nodes, or that binds hosts which have no bound route.
BOOST_AUTO_TEST_CASE(directoryNamesAllowedRegionsAndTheClients)
{
    const auto rules = rulesOf("#: regions route plan allowed=r1,r2 # Asma: t\n#: regions route draft allowed=r2,r3 # Asma: t\n#: regions account acme allowed=r9 # Asma: t\n");
    const auto regions = makeRegionRules(rules);
    const auto host = regionsOfHost(rules, regions, "h.EXAMPLE:80");
    BOOST_TEST((host.common == makeAllowedRegions({ "r2" })));
    BOOST_TEST((host.named == makeAllowedRegions({ "r1", "r2", "r3" })));
    BOOST_TEST((directoryRegions(host, "r7", { "r1", "r2", "r7", "" }) == makeAllowedRegions({ "r2", "r7" })));
    BOOST_TEST((directoryRegions(host, "", { "r1", "r2" }) == makeAllowedRegions({ "r2" })));
    BOOST_TEST((directoryRegions(host, "", { "r1", "r8", "" }) == makeAllowedRegions({ "r1", "r2", "r3" })));
    BOOST_TEST(!directoryRegions(host, "r7", { "r8", "" }).restricted);
    BOOST_TEST(!directoryRegions(regionsOfHost(rules, regions, "apart.example"), "r7", { "r1" }).restricted);
    BOOST_TEST(!directoryRegions(regionsOfHost(rules, regions, ""), "r7", { "r1" }).restricted);
}

BOOST_AUTO_TEST_SUITE_END()
