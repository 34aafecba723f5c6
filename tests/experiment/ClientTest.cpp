#include "experiment/Announcer.h"
#include "experiment/Arrivals.h"
#include "experiment/Audit.h"
#include "experiment/FakesConfig.h"
#include "experiment/Fencing.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static AttemptOutcome refusal(int status, const std::string& run)
{
    return { .end = HttpEnd::Complete, .status = status, .verdict = AnswerVerdict::Refusal, .code = "c", .run = run };
}

// Guards against lost or cut answers that are reported as a less severe result.
BOOST_AUTO_TEST_CASE(resultsDescribeTheOutcomeForTheCaller)
{
    BOOST_CHECK(resultOf({ .end = HttpEnd::Cut, .status = 0 }, false) == CallResult::Lost);
    BOOST_CHECK(resultOf({ .end = HttpEnd::Timeout, .status = 0 }, true) == CallResult::Lost);
    BOOST_CHECK(resultOf({ .end = HttpEnd::Cut, .status = 200, .verdict = AnswerVerdict::Incomplete }, false) == CallResult::Cut);
    BOOST_CHECK(resultOf({ .end = HttpEnd::NotConnected }, true) == CallResult::Unreachable);
    BOOST_CHECK(resultOf(refusal(503, "not-run"), true) == CallResult::Refused);
    BOOST_CHECK(resultOf(refusal(502, "unknown"), true) == CallResult::Unknown);
    BOOST_CHECK(resultOf(refusal(502, "unknown"), false) == CallResult::Failed);
    // A refusal without a `run` member must not count as "not run".
    BOOST_CHECK(resultOf(refusal(503, ""), true) == CallResult::Failed);
}

// Guards against a client that resends calls which a real client would not, or that gives up on calls which it can resend.
BOOST_AUTO_TEST_CASE(resendsOnlyRetryableAttempts)
{
    BOOST_TEST(canResend(refusal(503, "not-run"), true));
    BOOST_TEST(canResend(refusal(429, "not-run"), false));
    BOOST_TEST(!canResend(refusal(400, "not-run"), true));
    BOOST_TEST(!canResend(refusal(401, "not-run"), false));
    BOOST_TEST(canResend({ .end = HttpEnd::Cut, .status = 0 }, true));
    BOOST_TEST(!canResend({ .end = HttpEnd::Complete, .status = 200, .verdict = AnswerVerdict::Crossed }, false));
}

// Guards against an audit that misses duplicate executions, false "not run" reports or answered calls that never ran.
BOOST_AUTO_TEST_CASE(auditFindsDoubledFalseNotRunAndMissing)
{
    const std::vector<OnceRecord> records {
        { "good", CallResult::Answered, true },
        { "doubled", CallResult::Answered, true },
        { "refusedButRan", CallResult::Refused, false },
        { "refusedAfterDoubt", CallResult::Refused, true },
        { "refused", CallResult::Refused, false },
        { "answeredButNeverRan", CallResult::Answered, true },
        { "unreachable", CallResult::Unreachable, false },
    };
    const std::map<std::string, uint64_t> executions { { "good", 1 }, { "doubled", 2 }, { "refusedButRan", 1 }, { "refusedAfterDoubt", 1 }, { "unreachable", 1 }, { "foreign", 3 } };
    const auto audit = auditOnceCalls(records, executions);
    BOOST_CHECK(audit.doubled == std::vector<std::string> { "doubled" });
    BOOST_CHECK((audit.falseNotRun == std::vector<std::string> { "refusedButRan", "unreachable" }));
    BOOST_CHECK(audit.missing == std::vector<std::string> { "answeredButNeverRan" });
}

static LoadConfig loadConfig()
{
    const auto json = parseJson(R"({"accounts":[{"name":"a","token":"t"}],"mixes":[
        {"name":"chat","account":"a","rate_per_s":20,"prompt_tokens":[10,50],"answer_tokens":[5,30],"stream":true,"shared_prefix_tokens":300},
        {"name":"book","account":"a","path":"/services/desk/bookings","rate_per_s":5,"once":0.5}]})",
        "test");
    return parseLoadConfig(json.value(), "test").value();
}

// Guards against arrivals or requests that are not reproducible from the seed.
BOOST_AUTO_TEST_CASE(arrivalsRepeatWithTheSeed)
{
    const auto config = loadConfig();
    const auto linesOf = [&](uint64_t seed) {
        std::string out;
        for (const auto& it : makeArrivals(config, seed, { 20000 }))
            out += toRecordedLine(it, config) + prepareCall(config, it, seed, 1700000000000).http.body + "\n";
        return out;
    };
    BOOST_TEST(linesOf(3) == linesOf(3));
    BOOST_TEST(linesOf(3) != linesOf(4));
    const auto count = makeArrivals(config, 3, { 20000 }).size();
    BOOST_TEST(count > 400u);
    BOOST_TEST(count < 600u);
}

// Guards against idempotency keys that are not valid UUIDv7 with the creation time.
BOOST_AUTO_TEST_CASE(keysAreUuid7)
{
    const auto key = makeUuid7(0x0123456789ab, 0xffff, 0x1);
    BOOST_TEST(key == "01234567-89ab-7fff-800f-000000000001");
}

// Guards against configuration errors that do not name file, key and allowed values.
BOOST_AUTO_TEST_CASE(configErrorsNameKeyAndRange)
{
    const auto errorOf = [](const char* text) {
        return handle([&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(json, parseJson(text, "fakes.json"));
            BOOST_LEAF_CHECK(parseFakesConfig(json, "fakes.json"));
            return std::string("no error"); }, [](const Error& error) { return toString(error); });
    };
    BOOST_TEST(errorOf(R"({"control":"127.0.0.1:1"} // comment)") == "no error");
    BOOST_TEST(errorOf(R"({"control":"10.0.0.1:1"})") == "read_settings: fakes.json.control: must be IP:port with the IP in 127.0.0.0/8");
    BOOST_TEST(errorOf(R"({"control":"127.0.0.1:1","colour":1})") == "read_settings: fakes.json.colour: unknown key");
    BOOST_TEST(errorOf(R"({"control":"127.0.0.1:1","engines":[{"name":"e","address":"127.0.0.1:2","domain":"d","model":"m","capacity":0}]})")
        == "read_settings: fakes.json.engines[0].capacity: must be an integer from 1 to 100000");
}

// Guards against announcements that are still sent to failed nodes while other nodes are known.
BOOST_AUTO_TEST_CASE(announcementsAvoidFailedNodes)
{
    AnnounceTargets targets({ "a", "b", "c" });
    BOOST_CHECK((targets.choose({ 0 }) == std::vector<std::string> { "a", "b" }));
    targets.recordFailure("a", { 0 });
    BOOST_CHECK((targets.choose({ 1000 }) == std::vector<std::string> { "b", "c" }));
    targets.setReportedNodes({ "d", "b" });
    BOOST_CHECK((targets.choose({ 1000 }) == std::vector<std::string> { "d", "b" }));
    targets.recordFailure("d", { 1000 });
    targets.recordFailure("b", { 1000 });
    BOOST_CHECK((targets.choose({ 2000 }) == std::vector<std::string> { "c", "a" }));
    BOOST_CHECK((targets.choose({ 5000 }) == std::vector<std::string> { "d", "b" }));
}

// Guards against stand-ins that execute a stale or duplicate order.
BOOST_AUTO_TEST_CASE(ordersAreFencedAndIdempotent)
{
    const auto order = [](const char* id, int epoch, int sequence) { return Json::object({ { "id", id }, { "epoch", epoch }, { "sequence", sequence } }); };
    OrderLog checking(true);
    BOOST_CHECK(checking.checkAndRecord(order("a", 2, 1)) == OrderLog::Verdict::Accepted);
    BOOST_CHECK(checking.checkAndRecord(order("a", 2, 1)) == OrderLog::Verdict::Duplicate);
    BOOST_CHECK(checking.checkAndRecord(order("b", 1, 9)) == OrderLog::Verdict::Stale);
    OrderLog trusting(false);
    BOOST_CHECK(trusting.checkAndRecord(order("a", 2, 1)) == OrderLog::Verdict::Accepted);
    BOOST_CHECK(trusting.checkAndRecord(order("b", 1, 9)) == OrderLog::Verdict::Accepted);
    BOOST_TEST(trusting.staleOrdersAccepted() == 1u);
}
