#include "platform/PlatformDialect.h"
#include "settings/Settings.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace siskinshunt;
namespace json = boost::json;

static json::object registration()
{
    return { { "service", "desk" }, { "address", "127.0.2.9:8080" }, { "zone", "lhr-depot" }, { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "coldRemainingMs", 0 }, { "sequence", 4 } };
}

static ControlCall decodeCall(const std::string& method, const std::string& path, const std::string& body)
{
    return makePlatformDialect()->decode({ method, path, {}, body }, "127.0.0.9:1");
}

static bool isAccepted(const json::object& body)
{
    const auto call = decodeCall("PUT", "/instances/i-1", json::serialize(body));
    const auto* bad = std::get_if<BadCall>(&call);
    BOOST_TEST((!bad || (bad->status == 400 && !bad->message.empty())));
    return !bad;
}

static bool isAcceptedWith(const char* field, json::value value)
{
    auto body = registration();
    body[field] = std::move(value);
    return isAccepted(body);
}

BOOST_AUTO_TEST_SUITE(Dialect)

// Guards against refusing registrations that have all documented fields.
BOOST_AUTO_TEST_CASE(CompleteRegistrationsAreAccepted)
{
    BOOST_TEST(isAccepted(registration()));
    BOOST_TEST(isAcceptedWith("born", 1765000000000));
    BOOST_TEST(isAcceptedWith("state", "draining"));
    BOOST_TEST(isAcceptedWith("slots", 0));
    BOOST_TEST(isAcceptedWith("coldRemainingMs", 812.5));
    BOOST_TEST(isAcceptedWith("unknown", json::array { 1, 2 }));
    auto leaving = registration();
    leaving["state"] = "draining";
    leaving["leaves_ms"] = 1500;
    BOOST_TEST(isAccepted(leaving));
}

// Guards against a report of another writer that is used although it lacks a field: requests were sent to a server that is no upstream.
BOOST_AUTO_TEST_CASE(RegistrationsThatLackAFieldAreRefused)
{
    const json::object complete = registration();
    for (const auto& field : complete) {
        auto body = complete;
        body.erase(field.key());
        BOOST_TEST(!isAccepted(body), field.key());
        body[field.key()] = nullptr;
        BOOST_TEST(!isAccepted(body), field.key());
        body[field.key()] = json::array { "127.0.2.9:8080" };
        BOOST_TEST(!isAccepted(body), field.key());
    }
    for (const char* text : { "", "{", "[]", "null", "7", "\"x\"" })
        BOOST_TEST(std::holds_alternative<BadCall>(decodeCall("PUT", "/instances/i-1", text)), text);
}

// Guards against an address that ends the process of every node that connects to it.
BOOST_AUTO_TEST_CASE(RegistrationsWithAnUnreadableAddressAreRefused)
{
    for (const std::string address : { "127.032.002.009:8080", "127.0.2.9", "desk:8080", "127.0.2.9:0", "127.0.2.9:80800", "127.0.2.9:8080 ", "http://127.0.2.9:8080" })
        BOOST_TEST(!isAcceptedWith("address", json::string(address)), address);
    BOOST_TEST(!isAcceptedWith("address", json::string("127.0.2.9\0.1:80", 15)));
}

// Guards against conversions that are undefined for numbers outside the range of their type.
BOOST_AUTO_TEST_CASE(NumbersOutOfRangeAreRefused)
{
    for (const char* field : { "slots", "sequence", "born", "coldRemainingMs" }) {
        BOOST_TEST(!isAcceptedWith(field, -1), field);
        BOOST_TEST(!isAcceptedWith(field, 1e300), field);
        BOOST_TEST(!isAcceptedWith(field, std::numeric_limits<uint64_t>::max()), field);
        BOOST_TEST(!isAcceptedWith(field, std::numeric_limits<int64_t>::max()), field);
        BOOST_TEST(!isAcceptedWith(field, "4"), field);
    }
    BOOST_TEST(!isAcceptedWith("slots", int64_t { 1 } << 32));
    auto leaving = registration();
    leaving["state"] = "draining";
    leaving["leaves_ms"] = 1e18;
    BOOST_TEST(!isAccepted(leaving));
}

// Guards against a rollout whose time limit overflows the clock.
BOOST_AUTO_TEST_CASE(RolloutsOutOfRangeAreRefused)
{
    const auto accepts = [](const std::string& seconds) {
        return std::holds_alternative<OrderVersionCall>(decodeCall("POST", "/rollouts", R"({"service":"desk","target":"v2","durationS":)" + seconds + "}"));
    };
    BOOST_TEST(accepts("12"));
    BOOST_TEST(accepts("0.5"));
    for (const char* seconds : { "0", "-1", "1e18", "1e300", "0.0001", "\"12\"", "null" })
        BOOST_TEST(!accepts(seconds), seconds);
}

BOOST_AUTO_TEST_SUITE_END()
