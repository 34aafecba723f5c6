#include "settings/Settings.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static std::string settingsWith(const std::string& more)
{
    return "{ // a comment\n"
           "  \"node\": \"lhr-depot-1\", \"cluster\": \"punjab\", \"failure_domain\": \"lhr-depot\",\n"
           "  \"http\": \"127.0.1.1:8080\", \"peer\": \"127.0.1.1:7000\",\n"
           "  \"peer_key\": \"0123456789abcdef0123456789abcdef\",\n"
           "  \"announce_token_sha256\": \""
        + std::string(64, 'a') + "\"" + more + "\n}\n";
}

static std::string errorOf(const std::string& text)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(settings, parseSettings(text, "s.json"));
            return "node " + settings.node;
        },
        [](const Error& error) { return toString(error); });
}

// Guards against a daemon that refuses the documented minimum.
BOOST_AUTO_TEST_CASE(minimalSettingsAreAccepted)
{
    BOOST_TEST(errorOf(settingsWith("")) == "node lhr-depot-1");
    BOOST_TEST(errorOf(settingsWith(", \"timings\": { \"tick_ms\": 10 }")) == "node lhr-depot-1");
}

// Guards against misspelt or misplaced keys that are silently ignored, and against messages that lack the key or the range.
BOOST_AUTO_TEST_CASE(problemsNameKeyAndRange)
{
    BOOST_TEST(errorOf(settingsWith(", \"sedes\": []")).starts_with("read_settings s.json: key 'sedes' is not known; allowed: "));
    BOOST_TEST(errorOf(settingsWith(", \"timings\": { \"tick_ms\": 0 }")) == "read_settings s.json: key 'timings.tick_ms' is 0; allowed: a whole number from 1 to 1000");
    BOOST_TEST(errorOf(settingsWith(", \"timings\": { \"tick_ms\": \"x\" }")) == "read_settings s.json: key 'timings.tick_ms' has the wrong type; allowed: a whole number from 1 to 1000");
    BOOST_TEST(errorOf(settingsWith(", \"seeds\": [\"localhost:1\"]")) == "read_settings s.json: key 'seeds' holds \"localhost:1\"; allowed: a list of IP:PORT");
    BOOST_TEST(errorOf(settingsWith(", \"operators\": [{ \"name\": \"a\" }]")) == "read_settings s.json: key 'operators[0].token_sha256' is missing; expected a string");
    BOOST_TEST(errorOf(settingsWith(", \"log_level\": \"loud\"")) == "read_settings s.json: key 'log_level' is 'loud'; allowed: debug, info, warning, error");
    BOOST_TEST(errorOf("{ \"node\": 1,\n  }}").starts_with("read_settings s.json: line 2, column 4"));
    BOOST_TEST(errorOf("{ }") == "read_settings s.json: key 'node' is missing; expected a string");
}

// Guards against a missing file that reads as an empty one.
BOOST_AUTO_TEST_CASE(missingFileIsNamed)
{
    const auto text = handle(
        []() -> Result<std::string> {
            BOOST_LEAF_AUTO(settings, loadSettings("/nonexistent/s.json"));
            return settings.node;
        },
        [](const Error& error) { return toString(error); });
    BOOST_TEST(text == "read_settings /nonexistent/s.json: cannot open the file; expected a readable JSON settings file");
}
