#include "platform/ManifestRules.h"

#include "base/Hash.h"
#include "platform/PlatformDialect.h"
#include "rules/RuleParser.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static const std::string manifest = R"({"version":7,
 "routes":[
  {"name":"r-1","host":"a.example","pathPrefix":"/p/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":800,"priority":1,"weightedBackends":[{"service":"lm","weight":90},{"service":"desk","weight":10}],"maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"streamResume":true,"targetGapMs":250},
  {"name":"r-2","host":"a.example","pathPrefix":"/b/","kind":"non_idempotent","timeoutMs":1000.0,"targetLatencyMs":150,"priority":0,"service":"desk","maxAttempts":1,"allowAnonymous":true}],
 "services":[
  {"name":"lm","healthPath":"/health","maxConnections":360,"engine":{"slots":64,"kvCapacity":232000},"scaling":{"min":1,"max":6,"bootS":4.0,"spotPrice":0.22,"zonePrices":{"x":0.85,"y":1.2}}},
  {"name":"desk","healthPath":"/health","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"acme","apiKeys":["k1","k2"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":120352,"burst":120352}]})";

static std::string withReplaced(const std::string& from, const std::string& to)
{
    std::string out = manifest;
    const auto at = out.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return out.replace(at, from.size(), to);
}

// Whether the manifest is rejected, either by readManifest() or by the parser of the rules made from it.
static bool isRejected(const std::string& text)
{
    const auto read = readManifest(text, "10.0.0.9");
    if (std::holds_alternative<BadCall>(read))
        return true;
    return !parseRules(std::get<PutConfigurationCall>(read).rules).problems.empty();
}

// Guards against fields that are converted wrongly, and against rule lines that do not name the operator.
BOOST_AUTO_TEST_CASE(manifestIsConvertedToRulesWithOrigin)
{
    const auto call = std::get<PutConfigurationCall>(readManifest(manifest, "10.0.0.9"));
    BOOST_TEST(call.number == 7U);
    BOOST_TEST(call.original == manifest);
    const auto parsed = parseRules(call.rules);
    BOOST_REQUIRE_MESSAGE(parsed.problems.empty(), (parsed.problems.empty() ? "" : parsed.problems.front().message));
    const auto& rules = parsed.rules;
    BOOST_REQUIRE(rules.forwards.size() == 2U);
    const auto& plan = rules.forwards[0];
    BOOST_TEST((plan.kind == ForwardKind::Stream && plan.resume && plan.affinity && !plan.anonymous && plan.attempts == 2));
    BOOST_TEST((plan.timeout == TimeMs { 6000 } && plan.target == TimeMs { 800 } && plan.gap == TimeMs { 250 }));
    BOOST_TEST((plan.to.size() == 2U && plan.to[1].backend == "desk" && plan.to[1].weight == 10U));
    BOOST_TEST((rules.forwards[1].kind == ForwardKind::Once && rules.forwards[1].anonymous && rules.forwards[1].timeout == TimeMs { 1000 }));
    BOOST_TEST((rules.backends.at(0).slots == 64U && rules.backends[0].memoryTokens == 232000U && rules.backends[0].maxInstances == 6U && rules.backends[0].boot == TimeMs { 4000 }));
    BOOST_TEST((rules.allowances.at(0).tokens && rules.allowances[0].plainTokens == 200));
    BOOST_TEST(rules.callerKeys.at(1).tokenSha256 == sha256Hex("k2"));
    BOOST_TEST((rules.intakes.at(0).idleTimeout == TimeMs { 15000 }));
    for (const auto& line : rules.lines) {
        BOOST_TEST(line.origin.person == "operator at 10.0.0.9");
        BOOST_TEST(line.origin.reason == "manifest version 7");
    }
    BOOST_TEST(call.rules.find("k1") == std::string::npos);
}

// Guards against an invalid manifest that takes effect.
BOOST_AUTO_TEST_CASE(invalidManifestsAreRejected)
{
    BOOST_TEST(!isRejected(manifest));
    BOOST_TEST(isRejected(manifest.substr(0, manifest.size() / 2)));
    BOOST_TEST(isRejected("[]"));
    BOOST_TEST(isRejected(withReplaced("\"version\":7", "\"version\":\"7\"")));
    BOOST_TEST(isRejected(withReplaced("\"service\":\"desk\",\"maxAttempts\"", "\"service\":\"gone\",\"maxAttempts\"")));
    BOOST_TEST(isRejected(withReplaced("/b/", "/p/")));
    BOOST_TEST(isRejected(withReplaced("\"weight\":90},{\"service\":\"desk\",\"weight\":10", "\"weight\":0},{\"service\":\"desk\",\"weight\":0")));
    BOOST_TEST(isRejected(withReplaced("\"timeoutMs\":6000", "\"timeoutMs\":0")));
    BOOST_TEST(isRejected(withReplaced("\"burst\":120352}", "\"burst\":120352},{\"name\":\"other\",\"apiKeys\":[\"k1\"]}")));
    BOOST_TEST(isRejected(withReplaced("\"streaming\"", "\"unheard-of\"")));
    BOOST_TEST(isRejected(withReplaced("\"timeoutMs\":6000", "\"timeoutMs\":\"6000\"")));
    BOOST_TEST(isRejected(withReplaced("\"r-1\"", "\"r-1 # x\"")));
}

// Guards against a cold start that is lost, that earlier builds would refuse the configuration for, or that is made up.
BOOST_AUTO_TEST_CASE(coldStartsBecomeExtensionLines)
{
    const auto rulesOf = [](const std::string& text) { return std::get<PutConfigurationCall>(readManifest(text, "10.0.0.9")).rules; };
    const auto parsed = parseRules(rulesOf(withReplaced("\"maxConnections\":360", "\"maxConnections\":360,\"coldStartS\":3.0,\"coldPerS\":8.6")));
    BOOST_REQUIRE_MESSAGE(parsed.problems.empty(), (parsed.problems.empty() ? "" : parsed.problems.front().message));
    BOOST_REQUIRE(parsed.rules.coldStarts.size() == 1U);
    BOOST_TEST((parsed.rules.coldStarts[0].name == "lm" && parsed.rules.coldStarts[0].duration == TimeMs { 3000 } && parsed.rules.coldStarts[0].perSecond == 8.6));
    BOOST_TEST(parsed.rules.coldStarts[0].origin.person == "operator at 10.0.0.9");
    BOOST_TEST(parsed.rules.text.find("\n#: cold-start lm ") != std::string::npos);
    BOOST_TEST(rulesOf(manifest).find("cold-start") == std::string::npos);
    BOOST_TEST(rulesOf(withReplaced("\"maxConnections\":360", "\"maxConnections\":360,\"coldStartS\":0,\"coldPerS\":8.6")).find("cold-start") == std::string::npos);
    BOOST_TEST(isRejected(withReplaced("\"maxConnections\":360", "\"maxConnections\":360,\"coldStartS\":3.0,\"coldPerS\":\"8.6\"")));
}

// Guards against region constraints that are lost or made up, that earlier builds would refuse the configuration for, and against malformed ones that leave a
// route or an account unbound.
BOOST_AUTO_TEST_CASE(allowedRegionsBecomeExtensionLines)
{
    const auto rulesOf = [](const std::string& text) { return std::get<PutConfigurationCall>(readManifest(text, "10.0.0.9")).rules; };
    const auto onRoute = [](const std::string& value) { return withReplaced("\"targetGapMs\":250", "\"targetGapMs\":250,\"allowedRegions\":" + value); };
    const auto onTenant = [](const std::string& value) { return withReplaced("\"plainTokens\":200", "\"plainTokens\":200,\"allowedRegions\":" + value); };
    const auto route = parseRules(rulesOf(onRoute(R"(["r-eu","r-us","r-eu"])")));
    BOOST_REQUIRE_MESSAGE(route.problems.empty(), (route.problems.empty() ? "" : route.problems.front().message));
    BOOST_REQUIRE((route.rules.routeRegions.size() == 1U && route.rules.accountRegions.empty()));
    BOOST_TEST((route.rules.routeRegions[0].name == "r-1" && route.rules.routeRegions[0].allowed == std::vector<std::string> { "r-eu", "r-us" }));
    BOOST_TEST(route.rules.text.find("\n#: regions route r-1 allowed=r-eu,r-us # operator at 10.0.0.9") != std::string::npos);
    const auto tenant = parseRules(rulesOf(onTenant(R"(["r-eu"])")));
    BOOST_REQUIRE((tenant.problems.empty() && tenant.rules.accountRegions.size() == 1U && tenant.rules.routeRegions.empty()));
    BOOST_TEST((tenant.rules.accountRegions[0].name == "acme" && tenant.rules.accountRegions[0].allowed == std::vector<std::string> { "r-eu" }));
    BOOST_TEST(rulesOf(manifest).find("regions") == std::string::npos);
    BOOST_TEST(rulesOf(onRoute("[]")).find("regions") == std::string::npos);
    for (const char* malformed : { "\"r-eu\"", "7", "true", "{}", "{\"r-eu\":true}", "[7]", "[\"r-eu\",null]", "[[\"r-eu\"]]", "[\"\"]", "[\"r eu\"]", "[\"r,eu\"]", "[\"r#eu\"]" }) {
        BOOST_TEST(isRejected(onRoute(malformed)), malformed);
        BOOST_TEST(isRejected(onTenant(malformed)), malformed);
    }
}

static ControlCall decodeCall(const std::string& method, const std::string& target, const std::string& body = {})
{
    return makePlatformDialect()->decode({ method, target, {}, body }, "10.0.0.9:4000");
}

// Guards against malformed registrations that are accepted, and against confused states.
BOOST_AUTO_TEST_CASE(registrationsAreParsedOrRejected)
{
    const std::string registration = R"({"service":"lm","address":"10.0.0.1:80","zone":"x","version":"v1","slots":64,"state":"draining","sequence":0,"coldRemainingMs":2300,"born":1764800000000,"spot":true,"leaves_ms":2300,"models":[]})";
    const auto call = std::get<AnnounceCall>(decodeCall("PUT", "/instances/i-1", registration)).announcement;
    BOOST_TEST((call.name == "i-1" && call.model == "lm" && call.domain == "x" && call.address == "10.0.0.1:80" && call.version == "v1"));
    BOOST_TEST((call.leaving && call.reclaimable && call.reclaimIn && call.reclaimIn->value == 2300));
    BOOST_TEST((call.kind == UpstreamKind::Engine && call.load.capacity == 64U && call.incarnation == 1764800000000U && call.sequence == 1U));
    const auto cold = std::get<AnnounceCall>(decodeCall("PUT", "/instances/i-1", registration)).coldRemaining;
    BOOST_TEST((cold && *cold == TimeMs { 2300 }));
    for (const char* malformed : { "", "[]", "{}", R"({"service":"lm","address":"a","zone":"x","slots":"64","state":"ready","sequence":1})", R"({"service":"lm","address":"a","zone":"x","slots":6,"state":"asleep","sequence":1})", R"({"service":7,"address":"a","zone":"x","slots":6,"state":"ready","sequence":1})" })
        BOOST_TEST(std::holds_alternative<BadCall>(decodeCall("PUT", "/instances/i-1", malformed)), malformed);
    BOOST_TEST(std::get<LeaveCall>(decodeCall("DELETE", "/instances/i-1")).name == "i-1");
}

// Guards against calls that are decoded as a different call.
BOOST_AUTO_TEST_CASE(callsAreDecoded)
{
    BOOST_TEST(std::get<EntriesCall>(decodeCall("GET", "/resolve?name=h&region=r&zone=x")).domain == "x");
    const auto entries = std::get<EntriesCall>(decodeCall("GET", "/resolve?name=h.example&region=r&zone=x"));
    BOOST_TEST((entries.region == "r" && entries.host == "h.example"));
    BOOST_TEST(std::holds_alternative<ReadConfigurationCall>(decodeCall("GET", "/config")));
    BOOST_TEST(std::holds_alternative<PutConfigurationCall>(decodeCall("PUT", "/config", manifest)));
    const auto order = std::get<OrderVersionCall>(decodeCall("POST", "/rollouts", R"({"service":"lm","target":"v2","durationS":12})"));
    BOOST_TEST((order.backend == "lm" && order.target == "v2" && order.within == TimeMs { 12000 }));
    BOOST_TEST(std::get<ReadVersionCall>(decodeCall("GET", "/rollouts/lm")).backend == "lm");
    const auto start = std::get<OrderEvacuationCall>(decodeCall("POST", "/evacuations/lhr-depot"));
    BOOST_TEST((start.start && start.domain == "lhr-depot"));
    const auto end = std::get<OrderEvacuationCall>(decodeCall("DELETE", "/evacuations/lhr-depot"));
    BOOST_TEST((!end.start && end.domain == "lhr-depot"));
    BOOST_TEST(std::get<BadCall>(decodeCall("POST", "/evacuations/")).status == 404);
    BOOST_TEST(std::get<BadCall>(decodeCall("GET", "/evacuations/lhr-depot")).status == 404);
    BOOST_TEST(std::get<BadCall>(decodeCall("POST", "/config")).status == 404);
    BOOST_TEST(std::get<BadCall>(decodeCall("POST", "/rollouts", "{}")).status == 400);
}

// Guards against responses and requests that the platform cannot parse.
BOOST_AUTO_TEST_CASE(bodiesMatchThePlatformFormat)
{
    const auto dialect = makePlatformDialect();
    BOOST_TEST(dialect->entriesBody({ "10.0.0.1:80" }, TimeMs { 2000 }) == R"({"addresses":["10.0.0.1:80"],"ttlS":2E0})");
    BOOST_TEST(dialect->versionBody({ .backend = "lm", .target = "v2", .state = VersionOrderState::RolledBack, .reason = {} }) == R"({"state":"rolled_back","target":"v2"})");
    const auto usage = dialect->usageRequest({ "core-1", 12 }, { 353, { { "acme", 4 } } });
    BOOST_TEST((usage.method == "POST" && usage.target == "/usage" && usage.body == R"({"window":353,"counts":{"acme":4}})"));
    BOOST_TEST((findHeader(usage.headers, "Lease-Holder") == "core-1" && findHeader(usage.headers, "Fencing-Token") == "12"));
    const auto scale = dialect->scaleRequest({ "core-1", 12 }, { .backend = "lm", .domain = "x", .wanted = 3, .reclaimable = true });
    BOOST_TEST(scale.body == R"({"service":"lm","zone":"x","desired":3,"spot":true})");
}

// Guards against conversions that are undefined for durations outside the range of their type.
BOOST_AUTO_TEST_CASE(durationsOutOfRangeAreRejected)
{
    BOOST_TEST(isRejected(withReplaced("\"timeoutMs\":6000", "\"timeoutMs\":1e300")));
    BOOST_TEST(isRejected(withReplaced("\"timeoutMs\":6000", "\"timeoutMs\":18446744073709551615")));
    BOOST_TEST(isRejected(withReplaced("\"bootS\":4.0", "\"bootS\":1e300")));
}
