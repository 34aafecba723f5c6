#include "api/PlatformJson.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

template <class T>
static std::string problemOf(Result<T> (*parse)(std::string_view), const std::string& body)
{
    return handle([&]() -> Result<std::string> { BOOST_LEAF_CHECK(parse(body)); return std::string {}; }, [](const Error& error) { return error.detail; });
}

// Guards against members that are read into the wrong field.
BOOST_AUTO_TEST_CASE(platformResponsesAreParsed)
{
    const auto prices = parsePrices(R"({"prices":[{"domain":"d1","machine":"gpu","kind":"on-demand","per_hour":2}]})").value();
    BOOST_REQUIRE_EQUAL(prices.size(), 1U);
    BOOST_TEST(prices[0].domain == "d1");
    BOOST_TEST(prices[0].machine == "gpu");
    BOOST_TEST(!prices[0].reclaimable);
    BOOST_TEST(prices[0].perHour == 2.0);
    const auto instances = parseInstances(R"({"instances":[{"id":"i1","domain":"d1","machine":"gpu","kind":"reclaimable","state":"stopped","address":"127.0.0.1:1","model":"m","version":"v"}]})").value();
    BOOST_REQUIRE_EQUAL(instances.size(), 1U);
    BOOST_TEST(instances[0].id == "i1");
    BOOST_TEST(instances[0].model == "m");
    BOOST_TEST(instances[0].version == "v");
    BOOST_TEST(instances[0].reclaimable);
    BOOST_TEST((instances[0].state == PlatformState::Stopped));
    const auto notices = parseNotices(R"({"notices":[{"id":"i1","domain":"d1","reclaim_in_ms":-5}]})").value();
    BOOST_REQUIRE_EQUAL(notices.size(), 1U);
    BOOST_TEST(notices[0].reclaimIn.value == 0);
}

// Guards against using the valid items of a response that also has malformed ones: with the shorter list, existing
// instances would look as if they had ended.
BOOST_AUTO_TEST_CASE(malformedPlatformResponsesAreRejectedWhole)
{
    BOOST_TEST(problemOf(parsePrices, "{") == "expected an object with a list \"prices\"");
    BOOST_TEST(problemOf(parsePrices, R"({"prices":{}})") == "expected an object with a list \"prices\"");
    BOOST_TEST(problemOf(parsePrices, R"({"prices":[{"domain":"d","machine":"m","kind":"reclaimable","per_hour":-1}]})")
        == "\"prices\" item 1: \"per_hour\": expected a number from 0 to 1000000");
    BOOST_TEST(problemOf(parsePrices, R"({"prices":[{"domain":"d","machine":"m","kind":"spot","per_hour":1}]})")
        == "\"prices\" item 1: \"kind\": expected reclaimable or on-demand");
    BOOST_TEST(problemOf(parseInstances, R"({"instances":[{"id":"a","domain":"d","machine":"m","kind":"reclaimable","state":"running"},{"id":""}]})")
        == "\"instances\" item 2: \"id\": expected a string of at most 64 bytes");
    BOOST_TEST(problemOf(parseInstances, R"({"instances":[{"id":"a","domain":"d","machine":"m","kind":"reclaimable","state":"lost"}]})")
        == "\"instances\" item 1: \"state\": expected starting, running or stopped");
    BOOST_TEST(problemOf(parseNotices, R"({"notices":[{"id":"a","reclaim_in_ms":1.5}]})")
        == "\"notices\" item 1: \"reclaim_in_ms\": expected a whole number up to 86400000");
}

// Guards against unbounded memory use by a platform response.
BOOST_AUTO_TEST_CASE(platformResponsesAreBounded)
{
    std::string many = "{\"notices\":[";
    for (int n = 0; n < 10001; ++n)
        many += std::string(n ? "," : "") + "{\"id\":\"a\",\"reclaim_in_ms\":1}";
    BOOST_TEST(problemOf(parseNotices, many + "]}") == "\"notices\": at most 10000 items");
    BOOST_TEST(problemOf(parseNotices, std::string(maxPlatformBytes + 1, ' ')) == "the answer is over 4 MiB");
}
